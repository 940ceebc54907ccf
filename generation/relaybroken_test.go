package generation

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a stream that runs at more targets than its route allows, since each of them lives and only loses its answer.
func TestAttemptsWhoseAnswerIsLostCountAtTargetsThatLive(t *testing.T) {
	for _, each := range []struct {
		name string
		// lost are the targets that accept no connection any more.
		lost        []string
		maxAttempts int
		attempts    int
		err         error
	}{
		{"all live", nil, 2, 2, ErrRelayBroken},
		{"one of two was lost", []string{"a"}, 2, 3, nil},
		{"both were lost", []string{"a", "b"}, 2, 3, nil},
		{"the route allows three", nil, 3, 3, nil},
	} {
		t.Run(each.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				broken := func(event int64) []script {
					return []script{{events: []int64{event}, pause: 10 * time.Millisecond, end: io.ErrUnexpectedEOF}}
				}
				f := newRelayFixture(map[string][]script{"a": broken(1), "b": broken(2), "c": {{events: []int64{3}, end: io.EOF}}})
				for _, target := range each.lost {
					f.engine.unreachable[target] = true
				}
				request := relayRequest()
				request.MaxAttempts, request.Spec = each.maxAttempts, nil // no copies
				is.Equal(f.relay.Run(t.Context(), request, &recordingSink{}), each.err)
				is.Equal(len(f.engine.attempts), each.attempts)
			})
		})
	}
}
