package generation

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Regression test for balanza-serrana-grown inc1: an entry whose own link was full for two seconds took
// all engines for unreachable and cancelled streams at sound engines.
func TestStreamStaysAtItsEngineWhileEntryIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{events: eventsUpTo(20), pause: 30 * time.Millisecond, end: io.EOF}},
		})
		time.AfterFunc(200*time.Millisecond, func() { f.engine.startOutage(2 * time.Second) })
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
		is.Equal(sink.events, eventsUpTo(20))
		is.Equal(len(f.engine.attempts), 1)
		is.Equal(len(f.placer.lost), 0)
		is.Equal(f.budget.spent, 0)
	})
}

// Regression test for balanza-serrana-grown inc1: dials that never left the entry used up the attempts of a
// stream that its caller had in part.
func TestUnsentAttemptsOfCutOffEntryDoNotEndBegunStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		// The first engine breaks off just after the entry is cut off.
		f := newRelayFixture(map[string][]script{
			"a": {{events: eventsUpTo(3), pause: 30 * time.Millisecond, end: io.ErrUnexpectedEOF}},
			"b": {{events: []int64{4, 5}, end: io.EOF}},
			"c": {{events: []int64{4, 5}, end: io.EOF}},
		})
		f.engine.breakDuringOutage = true
		time.AfterFunc(100*time.Millisecond, func() { f.engine.startOutage(5 * time.Second) })
		f.budget.left = 1
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
		is.Equal(sink.events, eventsUpTo(5))
		is.Equal(f.budget.spent-f.budget.refunded, 1)
		is.Equal(f.placer.lost, []string{"a"})
		is.True(len(f.engine.attempts) <= 3) // no dials one after the other while nothing leaves the entry
	})
}
