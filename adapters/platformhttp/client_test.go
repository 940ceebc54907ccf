package platformhttp

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/objects"
)

// testTimeout is the time without data after which the tests' client gives up.
const testTimeout = 200 * time.Millisecond

// serveSlowly answers each call in eight pieces that together take twice testTimeout, and is then silent if
// the request asks for it.
func serveSlowly(t *testing.T) *Client {
	silent := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(`{"revision":7,"items":[`))
		for range 8 {
			_ = http.NewResponseController(w).Flush()
			time.Sleep(testTimeout / 4)
			_, _ = w.Write([]byte(" "))
		}
		if r.URL.Path == "/v1/objects/Silent" {
			_ = http.NewResponseController(w).Flush()
			<-silent
		}
		_, _ = w.Write([]byte(`]}`))
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(silent) })
	return New(server.URL, Options{Timeout: testTimeout})
}

// Guards against a long list that is cut while data arrives, and read from the start for ever.
func TestLongListIsNotCutWhileDataArrives(t *testing.T) {
	is := is.New(t)
	list, err := serveSlowly(t).List(t.Context(), "Target")
	is.NoErr(err)
	is.Equal(list.Revision, int64(7))
}

func TestSilentListTimesOut(t *testing.T) {
	is := is.New(t)
	_, err := serveSlowly(t).List(t.Context(), "Silent")
	is.True(errors.Is(err, objects.ErrUnavailable))
	is.True(errors.Is(err, errSilent))
}

// Guards against a watch that hangs unnoticed: config relies on the client to end it.
func TestSilentWatchTimesOut(t *testing.T) {
	is := is.New(t)
	silent := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).Flush() // the header alone is no answer
		<-silent
	}))
	defer server.Close()
	defer close(silent)
	_, err := New(server.URL, Options{}).Watch(t.Context(), []string{"Target"}, 1, testTimeout)
	is.True(errors.Is(err, errSilent))
}
