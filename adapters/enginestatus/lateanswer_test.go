package enginestatus

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/standin/server"
)

// Guards against the answer to an earlier poll that an engine writes once more: the load was taken for the inventory of an
// engine whose models aren't known, so that it got requests for others.
func TestLateAnswerIsNotTakenForThatToTheNextPoll(t *testing.T) {
	for _, named := range []bool{true, false} {
		t.Run(fmt.Sprintf("named=%v", named), func(t *testing.T) {
			is := is.New(t)
			mux := http.NewServeMux()
			mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprint(w, `{"ageMs":900,"running":3,"queued":1,"concurrency":16}`)
			})
			mux.HandleFunc("GET /v1/inventory", func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprint(w, `{"incarnation":"1","role":"serve","loaded":[{"model":"m","version":"v1","adapter":""}]}`)
			})
			target := &server.Repeating{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if named {
					server.NameCall(w, r)
				}
				mux.ServeHTTP(w, r)
			})}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			go target.Serve(listener)
			recorder, inventories := &fakeSink{}, NewInventories()
			poller := NewPoller(nil, nil, recorder, inventories)
			engine := &v1.Target{Spec: v1.TargetSpec{Address: listener.Addr().String()}}
			for range 3 {
				poller.poll(t.Context(), "t", engine, &cachePosition{})
				is.Equal(recorder.load.Concurrency, 16)
				is.Equal(recorder.restarts, 0)
				is.True(inventories.Serves("t", &generation.Request{Model: "m", Version: "v1"}))
				is.True(!inventories.Serves("t", &generation.Request{Model: "m", Version: "v2"}))
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
}
