package generation

import (
	"testing"

	"github.com/matryer/is"
)

func TestNegativeIndexIsAGap(t *testing.T) {
	is := is.New(t)
	const attempt = 1
	for _, tokens := range [][]string{nil, {"a", "b"}} {
		log := Log{Generation: "g", Tokens: tokens}
		var arbiter AttemptArbiter
		arbiter.Add(attempt)
		event := StreamEvent{ID: StreamID{Generation: "g", Attempt: attempt}, Token: Token{Index: -1, Text: "a"}}
		is.Equal(arbiter.Offer(&log, attempt, event), VerdictGap)
		is.Equal(len(log.Tokens), len(tokens))
	}
}
