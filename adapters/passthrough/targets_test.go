package passthrough

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/adapters/targethttp"
	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
)

// Guards against taking a host that refuses connections for the loss of the entry's own connectivity.
func TestProbeTellsRefusalFromSilence(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	targets := NewTargets(targethttp.NewPool(targethttp.Options{}), nil, nil, nil, func(string, ...generation.Field) {})
	target := &directory.Target{ID: "t", Address: listener.Addr().String()}
	is.NoErr(targets.Probe(t.Context(), target))
	is.NoErr(listener.Close())
	is.True(errors.Is(targets.Probe(t.Context(), target), generation.ErrProbeRefused))
}

// Guards against a second answer of a target being taken for that to a later attempt of a stream: the first one, of status 200, was no
// stream of events, and its connection carried that attempt too.
func TestConnectionOfABrokenStreamIsNotKept(t *testing.T) {
	for _, body := range []string{"oops\n", "out of memory\n", "id: 1\ndata"} {
		t.Run(body, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				_, _ = io.WriteString(w, body)
			}))
			defer server.Close()
			pool := targethttp.NewPool(targethttp.Options{})
			request := &targethttp.Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{"X-Request-Id": {"1"}}, IDHeader: "X-Request-Id", ID: "1"}
			for range 2 {
				received, err := pool.Do(t.Context(), "t", strings.TrimPrefix(server.URL, "http://"), request)
				is.NoErr(err)
				time.Sleep(5 * time.Millisecond) // lets the goroutine that writes the request end
				stream := newStream(received)
				_, err = stream.Next()
				is.True(err != nil && err != io.EOF)
				stream.Close()
			}
			is.Equal(pool.DialCount(), int64(2))
		})
	}
}
