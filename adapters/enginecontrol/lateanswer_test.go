package enginecontrol

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/control"
	"github.com/azurebarrow/azurebarrow/standin/engine"
	"github.com/azurebarrow/azurebarrow/standin/server"
)

// settleTime lets what follows an answer arrive, and the goroutine that wrote the request end.
const settleTime = 10 * time.Millisecond

// startEngine serves an engine with one model behind a target that may repeat answers, and may leave the names of calls out.
func startEngine(t *testing.T, target *server.Repeating, named bool) (address string) {
	t.Helper()
	options := engine.DefaultOptions()
	options.Loaded = []engine.Version{{Model: "m", Version: "v1"}}
	standIn := engine.New(options)
	t.Cleanup(standIn.Close)
	target.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !named {
			r.Header.Del(server.CallIDHeader)
		}
		if r.URL.Path != "/v1/orders" {
			standIn.ServeHTTP(w, r)
			return
		}
		answer := httptest.NewRecorder()
		standIn.ServeHTTP(answer, r)
		maps.Copy(w.Header(), answer.Header())
		w.WriteHeader(answer.Code) // without a body, the answer is whole once its head is read
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go target.Serve(listener)
	return listener.Addr().String()
}

// Guards against the answer to an earlier call that an engine writes once more: an order counted as refused that the engine had
// executed, or the reverse, and an answer about its health counted as the inventory of an engine without models.
func TestLateAnswerIsNotTakenForThatToTheNextCall(t *testing.T) {
	for _, named := range []bool{true, false} {
		t.Run(fmt.Sprintf("named=%v", named), func(t *testing.T) {
			is := is.New(t)
			address := startEngine(t, &server.Repeating{}, named)
			client := New(nil)
			command := control.Command{ID: "1", Kind: control.CommandLoad, Weights: control.Weights{Model: "m", Version: "v1"}}
			for _, step := range []struct {
				fence  control.Token
				fenced bool
			}{{7, false}, {6, true}, {8, false}, {6, true}} {
				command.Fence = step.fence
				err := client.Send(t.Context(), address, command)
				is.Equal(errors.Is(err, control.ErrFenced), step.fenced)
				is.Equal(err != nil, step.fenced)
				time.Sleep(settleTime)
			}
			for range 3 {
				health, err := client.Health(t.Context(), address)
				is.NoErr(err)
				is.True(health.Incarnation != "")
				time.Sleep(settleTime)
				inventory, err := client.Inventory(t.Context(), address)
				is.NoErr(err)
				is.Equal(inventory.Loaded, []control.Weights{{Model: "m", Version: "v1"}})
				is.Equal(inventory.Fence, control.Token(8))
				time.Sleep(settleTime)
			}
		})
	}
}

func TestConnectionsAreKeptOnlyToEnginesThatNameCalls(t *testing.T) {
	for named, want := range map[bool]int64{true: 1, false: 3} {
		t.Run(fmt.Sprintf("named=%v", named), func(t *testing.T) {
			is := is.New(t)
			target := &server.Repeating{Sound: true}
			address := startEngine(t, target, named)
			client := New(nil)
			for range 3 {
				_, err := client.Inventory(t.Context(), address)
				is.NoErr(err)
				time.Sleep(settleTime)
			}
			is.Equal(target.Accepted(), want)
		})
	}
}
