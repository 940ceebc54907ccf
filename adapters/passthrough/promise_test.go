package passthrough

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
)

// Guards against a call that runs twice: its target ran it and answered with a status by which the entry promises that nothing ran,
// so that the caller repeats it.
func TestFailureOfATargetPromisesNothing(t *testing.T) {
	for _, each := range []struct {
		class     directory.Class
		resumable bool
		status    int
		want      int
	}{
		{directory.AtMostOnce, false, 503, 502}, {directory.AtMostOnce, false, 429, 502}, {directory.AtMostOnce, false, 408, 502},
		{directory.AtMostOnce, false, 500, 500}, {directory.AtMostOnce, false, 200, 200},
		{directory.Stream, false, 503, 502}, {directory.Stream, true, 503, 503}, {directory.Idempotent, false, 503, 503},
	} {
		for name, write := range map[string]func(*request, *answer){
			"call":   func(c *request, a *answer) { c.write(a) },
			"stream": func(c *request, a *answer) { c.writeStreamError(&generation.RelayTargetError{Answer: a}) },
		} {
			is := is.New(t)
			recorder := httptest.NewRecorder()
			handler := NewHandler(Options{Draining: func() bool { return false }, Log: func(string, ...generation.Field) {}, Observe: func(Observation) {}})
			call := &request{handler: handler, writer: recorder, http: httptest.NewRequest("POST", "/", http.NoBody),
				snapshot: &directory.Snapshot{}, route: &directory.Route{Class: each.class, Resumable: each.resumable}}
			write(call, &answer{status: each.status, header: http.Header{"X-Response-Signature": {"s"}, "Retry-After": {"1"}}, body: []byte("x")})
			t.Log(name, each)
			is.Equal(recorder.Code, each.want)
			is.Equal(recorder.Header().Get("X-Response-Signature") != "", each.want == each.status) // only the target's own answer is signed
		}
	}
}
