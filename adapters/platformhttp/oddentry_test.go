package platformhttp

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/membership"
)

// deepNesting is a value that encoding/json rejects for its depth.
var deepNesting = strings.Repeat(`{"a":[`, 20_000) + strings.Repeat(`]}`, 20_000)

// targetItem returns the format of a target's object that lacks its name, twice.
func targetItem(kind, spec string) string {
	return `{"kind":"` + kind + `","name":%[1]q,"uid":"u","revision":3,"value":{"apiVersion":"azurebarrow.dev/v1","kind":"Target","metadata":{"name":%[1]q},"spec":` + spec + `}}`
}

func engineSpec(address, concurrency string) string {
	return fmt.Sprintf(`{"type":"engine","address":%q,"availabilityZone":"a","concurrency":%s}`, address, concurrency)
}

// oddTargets are the objects of targets that another writer may leave, as formats that lack the name.
var oddTargets = map[string]string{
	"deeply nested":              `{"kind":"Target","name":%[1]q,"uid":"u","revision":3,"value":` + deepNesting + `}`,
	"deeply nested spec":         targetItem("Target", deepNesting),
	"deeply nested status":       `{"kind":"Target","name":%[1]q,"uid":"u","revision":3,"value":{"status":` + deepNesting + `}}`,
	"deeply nested field beside": `{"kind":"Target","name":%[1]q,"uid":"u","revision":3,"other":` + deepNesting + `,"value":{}}`,
	"count too large":            targetItem("Target", engineSpec("10.0.0.9:80", "99999999999999999999")),
	"count out of range":         targetItem("Target", engineSpec("10.0.0.9:80", "4611686018427387904")),
	"number too large":           targetItem("Target", engineSpec("10.0.0.9:80", "1e999")),
	"negative count":             targetItem("Target", engineSpec("10.0.0.9:80", "-6")),
	"fraction of a call":         targetItem("Target", engineSpec("10.0.0.9:80", "0.5")),
	"port 0":                     targetItem("Target", engineSpec("10.0.0.9:0", "6")),
	"port out of range":          targetItem("Target", engineSpec("10.0.0.9:65536", "6")),
	"port of another type":       targetItem("Target", engineSpec("10.0.0.9:http", "6")),
	"address of no host":         targetItem("Target", engineSpec("0.0.0.0:80", "6")),
	"address of no host, mapped": targetItem("Target", engineSpec("[::ffff:0.0.0.0]:80", "6")),
	"address of many hosts":      targetItem("Target", engineSpec("224.0.0.1:80", "6")),
	"no object":                  `{"kind":"Target","name":%[1]q,"uid":"u","revision":3,"value":"rubbish \ud800"}`,
	"no value":                   `{"kind":"Target","name":%[1]q,"uid":"u","revision":3}`,
	"revision too large":         `{"kind":"Target","name":%[1]q,"uid":"u","revision":1e99,"value":{}}`,
	"negative revision":          `{"kind":"Target","name":%[1]q,"uid":"u","revision":-3,"value":{}}`,
	"name of another type":       `{"kind":"Target","name":[%[1]q],"uid":"u","revision":3,"value":{}}`,
	"UID of another type":        `{"kind":"Target","name":%[1]q,"uid":[7],"revision":3,"value":{}}`,
	"no item":                    `[%[1]q]`,
}

func soundTarget(name string, revision int) string {
	item := fmt.Sprintf(targetItem("Target", engineSpec(fmt.Sprintf("10.0.0.%d:80", revision), "6")), name)
	return strings.Replace(item, `"revision":3`, fmt.Sprintf(`"revision":%d`, revision), 1)
}

// serveOddStore serves a list of targets with an odd one between sound ones, and a watch that brings the odd one and then a sound
// one.
func serveOddStore(odd string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPut:
			_, _ = fmt.Fprint(w, `{"kind":"Entry","name":"e","uid":"u","revision":1,"value":{}}`)
		case r.URL.Path == "/v1/objects/Target":
			_, _ = fmt.Fprintf(w, `{"revision":4,"items":[%s,%s,%s]}`, soundTarget("first", 1), fmt.Sprintf(odd, "odd"), soundTarget("last", 2))
		case r.URL.Path == "/v1/watch" && r.URL.Query().Get("after") == "4":
			changed := strings.Replace(fmt.Sprintf(odd, "other"), `"revision":3`, `"revision":5`, 1)
			_, _ = fmt.Fprintf(w, `{"revision":6,"items":[%s,%s]}`, changed, soundTarget("later", 6))
		case r.URL.Path == "/v1/watch":
			time.Sleep(10 * time.Millisecond)
			_, _ = fmt.Fprint(w, `{"revision":6,"items":[]}`)
		default:
			_, _ = fmt.Fprint(w, `{"revision":4,"items":[]}`)
		}
	}
}

// Guards against one odd entry of another writer that ends the processes that read the list of targets, or keeps them from
// following it.
func TestOddEntryLeavesTheOtherTargetsReadable(t *testing.T) {
	for name, odd := range oddTargets {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := httptest.NewServer(serveOddStore(odd))
			defer server.Close()
			var refused atomic.Int64
			manager := config.NewManager(config.Options{
				Observe: func(event config.Event) {
					if event.Kind == config.EventRefused && event.Err != nil {
						refused.Add(1)
					}
				},
				Platform:     New(server.URL, Options{}),
				View:         membership.Static{This: membership.Peer{Name: "e"}},
				Registration: config.Registration{Name: "e"},
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			ended := make(chan error, 1)
			go func() { ended <- manager.Run(ctx) }()
			if manager.WaitReady(ctx) == nil {
				for ctx.Err() == nil && manager.Snapshot().Targets["later"] == nil {
					time.Sleep(10 * time.Millisecond)
				}
			}
			var targets []string
			for _, target := range []string{"first", "last", "later", "odd", "other"} {
				if snapshot := manager.Snapshot(); snapshot != nil && snapshot.Targets[target] != nil {
					targets = append(targets, target)
				}
			}
			is.Equal(targets, []string{"first", "last", "later"})
			for _, state := range manager.States() { // the writer of statuses reads them
				is.Equal(state.Key.Kind, v1.KindTarget)
			}
			cancel()
			<-ended
			is.Equal(refused.Load(), int64(2)) // once in the list and once in the watch
		})
	}
}

// Guards against an answer that is cut off being taken for a list.
func TestAnswerThatIsNoListIsAnError(t *testing.T) {
	for _, text := range []string{``, `[]`, `null`, `{"items":[`, `{"items":[{}]`, `{"items":{},"revision":4}`, `{"items":[],"revision":"x"}`, `{"items":[]} {`} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, text) }))
			defer server.Close()
			_, err := New(server.URL, Options{}).List(t.Context(), v1.KindTarget)
			is.True(err != nil)
		})
	}
}
