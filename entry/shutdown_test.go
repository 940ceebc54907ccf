package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/directory"
)

func TestShutdownAcceptsWorkThatFinishesInTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := newShutdown(8 * time.Second)
	stream := &directory.Route{Name: "drafts", Class: directory.Stream}
	booking := &directory.Route{Name: "book", Class: directory.AtMostOnce, LatencyObjective: 100 * time.Millisecond}
	lookup := &directory.Route{Name: "find", Class: directory.Idempotent, LatencyObjective: 100 * time.Millisecond}
	for range 100 {
		s.streamEnded(5 * time.Second)
	}
	is.True(s.accepts(stream, now.Add(time.Minute), now))
	is.True(!s.stopping())
	s.begin(now)
	is.True(s.stopping())
	is.True(s.accepts(stream, now.Add(time.Minute), now.Add(time.Second)))    // expected to end at 7 s
	is.True(!s.accepts(stream, now.Add(time.Minute), now.Add(2*time.Second))) // would be aborted
	is.True(s.accepts(booking, now.Add(time.Minute), now.Add(6*time.Second))) // takes milliseconds
	is.True(!s.accepts(lookup, now.Add(time.Minute), now.Add(7*time.Second)))
	s.callEnded("book", time.Second)
	is.True(!s.accepts(booking, now.Add(time.Minute), now.Add(6500*time.Millisecond)))          // would be cut off at 7.5 s
	is.True(s.accepts(booking, now.Add(7200*time.Millisecond), now.Add(6500*time.Millisecond))) // its caller gives up before
	is.True(s.accepts(lookup, now.Add(time.Minute), now.Add(6500*time.Millisecond)))            // other calls take less
	for range 300 {
		s.callEnded("book", time.Millisecond)
	}
	is.True(s.accepts(booking, now.Add(time.Minute), now.Add(6500*time.Millisecond)))
	is.True(!s.shouldExit(now.Add(2*time.Second), 0)) // the platform still routes connections here
	is.True(s.shouldExit(now.Add(3*time.Second), 0))
	is.True(!s.shouldExit(now.Add(7*time.Second), 1))
	is.True(s.shouldExit(now.Add(7600*time.Millisecond), 1)) // before SIGKILL
}

// Guards against an entry that stops and refuses the short requests of peers that have no other helper.
func TestEntryThatStopsHelpsWithWhatEndsInTime(t *testing.T) {
	is := is.New(t)
	s := newShutdown(8 * time.Second)
	now := time.Now()
	is.True(s.lasts(time.Hour, now))
	s.begin(now)
	is.True(s.lasts(1500*time.Millisecond, now.Add(time.Second)))
	is.True(!s.lasts(10*time.Second, now.Add(time.Second)))
	is.True(!s.lasts(1500*time.Millisecond, now.Add(7*time.Second)))
}
