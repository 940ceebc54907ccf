package callerhttp

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/adapters/callerlimit"
)

// pipeListener accepts one end of a pipe for each call.
type pipeListener struct{ net.Listener }

// Accept implements net.Listener.
func (pipeListener) Accept() (net.Conn, error) {
	_, accepted := net.Pipe()
	return accepted, nil
}

// Guards against bodies that together take the memory of the entry, and against a refusal for lack of memory that doesn't say whether the
// request has run.
func TestBodyWithoutMemoryIsNotRun(t *testing.T) {
	is := is.New(t)
	limiter := callerlimit.New(callerlimit.Options{MemoryBytes: 2 << 20, Connections: 10, DefersForwarding: true})
	listener := limiter.NewListener(pipeListener{})
	limited := &http.Server{Handler: http.NotFoundHandler()}
	limiter.Configure(limited)
	server := newTestServer(engineTarget, "a")
	server.options.MaxBodyBytes = 1 << 20
	call := func(conn net.Conn, body, key string) *httptest.ResponseRecorder {
		limited.ConnState(conn, http.StateActive)
		request := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
		request.Header.Set("Authorization", "Bearer ranch-key")
		if key != "" {
			request.Header.Set(headerIdempotencyKey, key)
		}
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, request.WithContext(limited.ConnContext(t.Context(), conn)))
		return recorder
	}
	small := `{"model":"drafting","prompt":"p"}`
	large := `{"model":"drafting","prompt":"` + strings.Repeat("p", 700<<10) + `"}`
	first, err := listener.Accept()
	is.NoErr(err)
	is.Equal(call(first, large, "").Code, http.StatusOK) // its connection holds the memory until the response is written
	for _, key := range []string{"", "k1"} {
		second, err := listener.Accept()
		is.NoErr(err)
		answer := call(second, large, key)
		is.Equal(answer.Code, http.StatusServiceUnavailable)
		is.Equal(answer.Header().Get("Connection"), "close")
		is.True(strings.Contains(answer.Body.String(), `"code":"overloaded"`))
		outcome := map[string]string{"": `"not-run"`, "k1": `"unknown"`}[key]
		is.True(strings.Contains(answer.Body.String(), `"outcome":`+outcome))
	}
	third, err := listener.Accept()
	is.NoErr(err)
	is.Equal(call(third, small, "").Code, http.StatusOK) // a small one needs no shared memory
	limited.ConnState(first, http.StateIdle)
	is.Equal(call(first, large, "").Code, http.StatusOK)
}
