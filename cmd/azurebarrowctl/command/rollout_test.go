package command

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a rollout that the operator can't see since the entry that was named first does not answer or does not coordinate it.
func TestRolloutShowsOrdersAndEvidence(t *testing.T) {
	is := is.New(t)
	serve := func(text string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/rollouts" {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			_, _ = w.Write([]byte(text))
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	const order = `"orders":[{"service":"drafts","to":"v2","status":{"state":"running","to":"v2","stage":"canary","share":0.04},"coordinator":"e2"}]`
	follower := serve(`{"entry":"e1",` + order + `,"coordinated":[]}`)
	coordinator := serve(`{"entry":"e2",` + order + `,"coordinated":[{"service":"drafts","to":"v2","stage":"shift","share":0.25,"decision":"good","oldInProgress":7,
		"old":{"Started":900},"new":{"Started":40,"Routes":[{"Route":"r","Requests":40,"Failures":2,"Broken":1}]}}]}`)
	run := func(entries ...string) (string, error) {
		var out bytes.Buffer
		command := rolloutCommand{Entry: entries, globals: &globalOptions{Output: outputTable, out: &out, ctx: t.Context()}}
		err := command.Execute(nil)
		return out.String(), err
	}
	out, err := run("127.0.0.1:1", follower, coordinator)
	is.NoErr(err)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	is.Equal(len(lines), 3)
	is.True(strings.Contains(lines[1], "canary") && strings.Contains(lines[1], "0.04"))
	for _, want := range []string{"shift", "0.25", "good", "900 sent", "40 sent, 2 failed, 1 broken", "7"} {
		is.True(strings.Contains(lines[2], want))
	}
	_, err = run("127.0.0.1:1")
	is.True(err != nil)
}
