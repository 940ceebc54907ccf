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
	for range 100 {
		s.streamEnded(5 * time.Second)
	}
	is.True(s.accepts(directory.Stream, now))
	is.True(!s.stopping())
	s.begin(now)
	is.True(s.stopping())
	is.True(s.accepts(directory.Stream, now.Add(time.Second)))       // expected to end at 7 s
	is.True(!s.accepts(directory.Stream, now.Add(2*time.Second)))    // would be aborted
	is.True(s.accepts(directory.AtMostOnce, now.Add(6*time.Second))) // takes milliseconds
	is.True(!s.accepts(directory.Idempotent, now.Add(7*time.Second)))
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
