package entry

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/standin/target"
)

// startBreaking starts a target that breaks each stream off after two events, and answers fail to each attempt that takes one up.
func (c *testCluster) startBreaking(t *testing.T, id string, fail func(w http.ResponseWriter)) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(target.FieldRequestID, r.Header.Get(target.FieldRequestID))
		w.Header().Set(target.FieldSignature, target.Signature(r.Header.Get(target.FieldRequestID)))
		if r.Header.Get("Last-Event-Id") != "" {
			fail(w)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, target.Event(r.URL.Path, 1)+target.Event(r.URL.Path, 2)+"id: 3\ndata: ha")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	c.register(&standinTarget{address: strings.TrimPrefix(server.URL, "http://")}, target.Options{ID: id, Service: "long", AvailabilityZone: "a", Slots: 64}, "ready")
}

// failures are answers that are no continuation of a stream.
var failures = map[string]func(w http.ResponseWriter){
	"500 with text": func(w http.ResponseWriter) { http.Error(w, "out of memory", http.StatusInternalServerError) },
	"503 without a word on whether it ran": func(w http.ResponseWriter) {
		http.Error(w, "busy", http.StatusServiceUnavailable)
	},
	"404": func(w http.ResponseWriter) { w.WriteHeader(http.StatusNotFound) },
	"500 with an event": func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "id: 3\ndata: error\n\n")
	},
	"302": func(w http.ResponseWriter) {
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(http.StatusFound)
	},
	"204": func(w http.ResponseWriter) { w.WriteHeader(http.StatusNoContent) },
	"200 without a signature": func(w http.ResponseWriter) {
		w.Header().Del(target.FieldSignature)
		_, _ = io.WriteString(w, "id: 3\ndata: error\n\n")
	},
	"200 and a page": func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "text/html")
		_, _ = io.WriteString(w, "<html>\n\n</html>\n\n")
	},
	"200 of another type, empty": func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", "0")
	},
	"200 of another type, like an event": func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = io.WriteString(w, "id: 3\ndata: error\n\n")
	},
	"200 and a word": func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "error\n\n")
	},
	"200 and an event without an ID": func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "event: error\ndata: out of memory\n\n")
	},
	"200 and the head of an error": func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\noops")
	},
	"200 without a length": func(w http.ResponseWriter) {
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		signature := w.Header().Get(target.FieldSignature)
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\n\r\ninternal error\r\n\r\n", target.FieldSignature, signature)
		_ = buffered.Flush()
		_ = conn.Close()
	},
}

// Guards against the error of a target that takes a begun stream up: its text in the caller's stream, or its end as that of the stream.
func TestErrorOfTheNextTargetNeverReachesABegunStream(t *testing.T) {
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.NewRelaxed(t)
			c := startCluster(t, 1)
			for _, id := range []string{"i-breaks-1", "i-breaks-2"} {
				c.startBreaking(t, id, fail)
			}
			c.awaitTargets(t, "long", 2)
			path := "/long/no-sound-target"
			_, text, err := c.request(0, "POST", path, "lost", "k1", "")
			is.True(err != nil) // the answer doesn't look complete
			is.Equal(text, target.Event(path, 1)+target.Event(path, 2))

			c.startTarget(t, target.Options{ID: "i-sound", Service: "long", AvailabilityZone: "b", Slots: 64, Events: streamEvents, EventInterval: streamEventInterval})
			c.awaitTargets(t, "long", 3)
			var streams sync.WaitGroup
			for i := range 6 {
				streams.Go(func() {
					path := fmt.Sprintf("/long/%d", i)
					response, text, err := c.request(0, "POST", path, fmt.Sprint("whole-", i), "k1", "")
					is.NoErr(err)
					is.Equal(response.StatusCode, http.StatusOK)
					is.Equal(text, expectedStream(path))
				})
			}
			streams.Wait()
		})
	}
}
