package entry

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/standin/target"
)

// startTrickling starts a target that sends the first event of each stream, and then a byte now and then that never makes an event.
func (c *testCluster) startTrickling(t *testing.T, streams *atomic.Int64) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			return
		}
		streams.Add(1)
		id := r.Header.Get(target.FieldRequestID)
		w.Header().Set(target.FieldSignature, target.Signature(id))
		w.Header().Set(target.FieldRequestID, id)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, target.Event(r.URL.Path, 1))
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, ":")
			w.(http.Flusher).Flush()
			time.Sleep(50 * time.Millisecond)
		}
	}))
	t.Cleanup(server.Close)
	c.register(&standinTarget{address: strings.TrimPrefix(server.URL, "http://")}, target.Options{ID: "i-trickle", Service: "long", AvailabilityZone: "a", Slots: 64}, "ready")
}

// Guards against stalled streams that never end, because bytes go on coming that make no event.
func TestStreamsThatTrickleBytesAreMoved(t *testing.T) {
	is := is.NewRelaxed(t)
	c := startCluster(t, 1)
	var trickled atomic.Int64
	c.startTrickling(t, &trickled)
	c.startTarget(t, target.Options{ID: "i-sound", Service: "long", AvailabilityZone: "b", Slots: 64, Events: streamEvents, EventInterval: streamEventInterval})
	c.awaitTargets(t, "long", 2)
	var streams sync.WaitGroup
	for i := range 12 {
		streams.Go(func() {
			path := fmt.Sprintf("/long/%d", i)
			response, text, err := c.request(0, "POST", path, fmt.Sprint("trickle-", i), "k1", "")
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(text, expectedStream(path))
		})
	}
	streams.Wait()
	is.True(trickled.Load() > 0)
}
