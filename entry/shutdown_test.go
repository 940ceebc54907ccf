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
		s.streamEnded("drafts", 500, 5*time.Second)
	}
	is.True(s.accepts(stream, 500, now.Add(time.Minute), now))
	is.True(!s.stopping())
	s.begin(now)
	is.True(s.stopping())
	is.True(s.accepts(stream, 500, now.Add(time.Minute), now.Add(time.Second)))    // expected to end at 7 s
	is.True(!s.accepts(stream, 500, now.Add(time.Minute), now.Add(2*time.Second))) // would be aborted
	is.True(s.accepts(booking, 0, now.Add(time.Minute), now.Add(6*time.Second)))   // takes milliseconds
	is.True(!s.accepts(lookup, 0, now.Add(time.Minute), now.Add(7*time.Second)))
	s.callEnded("book", time.Second)
	is.True(!s.accepts(booking, 0, now.Add(time.Minute), now.Add(6500*time.Millisecond)))          // would be cut off at 7.5 s
	is.True(s.accepts(booking, 0, now.Add(7200*time.Millisecond), now.Add(6500*time.Millisecond))) // its caller gives up before
	is.True(s.accepts(lookup, 0, now.Add(time.Minute), now.Add(6500*time.Millisecond)))            // other calls take less
	for range 300 {
		s.callEnded("book", time.Millisecond)
	}
	is.True(s.accepts(booking, 0, now.Add(time.Minute), now.Add(6500*time.Millisecond)))
	running := func(count int64) func() int64 { return func() int64 { return count } }
	is.True(!s.shouldExit(now.Add(2*time.Second), running(0))) // the platform still routes connections here
	is.True(!s.shouldExit(now.Add(7*time.Second), running(1)))
	idle := newShutdown(8 * time.Second)
	idle.begin(now)
	is.True(idle.shouldExit(now.Add(3*time.Second), running(0)))
	is.True(s.shouldExit(now.Add(7600*time.Millisecond), running(1))) // before SIGKILL
}

// Guards against a request that is accepted after the entry has found none in progress and decided to exit, and that is cut off.
func TestNothingIsAcceptedOnceTheProcessIsToExit(t *testing.T) {
	is := is.New(t)
	s := newShutdown(8 * time.Second)
	now := time.Unix(1000, 0)
	booking := &directory.Route{Name: "book", Class: directory.AtMostOnce, LatencyObjective: 100 * time.Millisecond}
	s.begin(now)
	after := now.Add(3 * time.Second)
	is.True(s.accepts(booking, 0, after.Add(time.Minute), after))
	is.True(s.lasts(time.Second, after))
	is.True(s.shouldExit(after, func() int64 { return 0 }))
	is.True(!s.accepts(booking, 0, after.Add(time.Minute), after))
	is.True(!s.lasts(time.Second, after)) // neither for peers
	is.True(s.shouldExit(after, func() int64 { return 1 }))
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

// Guards against long streams that an entry accepts late in its stop, since it has seen many short ones end, or none of their kind,
// and that it cuts as its grace ends.
func TestShutdownAcceptsStreamsByHowLongTheirKindTakes(t *testing.T) {
	const grace, short, long = 8 * time.Second, 600 * time.Millisecond, 4 * time.Second
	const shortTokens, longTokens = 100, 650
	history := &directory.Route{Name: "history", Class: directory.Stream}
	summary := &directory.Route{Name: "summary", Class: directory.Stream}
	now := time.Unix(1000, 0)
	deadline := now.Add(time.Minute)
	for _, each := range []struct {
		name string
		seen func(s *shutdown)
		// tokens are those of the stream on history that is tried, and took how long it takes.
		tokens int
	}{
		{"long ones are on another route", func(s *shutdown) {
			for range 12 {
				s.streamEnded("history", longTokens, long)
			}
		}, longTokens},
		{"none of the route seen", func(*shutdown) {}, longTokens},
		{"few of the route seen, all short", func(s *shutdown) { s.streamEnded("history", longTokens, short) }, longTokens},
		{"short ones on the same route", func(s *shutdown) {
			for range 500 {
				s.streamEnded("history", shortTokens, short)
			}
		}, longTokens},
		{"one in a hundred is long", func(s *shutdown) {
			for i := range 500 {
				s.streamEnded("history", longTokens, short)
				if i%100 == 50 {
					s.streamEnded("history", longTokens, long)
				}
			}
		}, longTokens},
		{"lengths unknown", func(s *shutdown) {
			for range 20 {
				s.streamEnded("history", 0, long)
			}
		}, 0},
	} {
		t.Run(each.name, func(t *testing.T) {
			is := is.New(t)
			s := newShutdown(grace)
			for range 1000 {
				s.streamEnded("summary", shortTokens, short)
			}
			each.seen(s)
			s.begin(now)
			for since := time.Duration(0); since < grace; since += 100 * time.Millisecond {
				accepted := s.accepts(history, each.tokens, deadline, now.Add(since))
				if since >= lateAfter {
					is.True(!accepted || since+long+time.Second < 94*grace/100) // also if its target falls silent for a second
				}
				is.True(!accepted || since+long < 94*grace/100)
			}
			is.True(s.accepts(summary, shortTokens, deadline, now.Add(4500*time.Millisecond))) // these end in time
		})
	}
}

// Guards against streams that count as sent early in the stop, and get no allowance for a silent target, since the process has learned
// of the SIGTERM late.
func TestStreamsSentLateGetTheirAllowanceAlsoIfTheSignalIsHandledLate(t *testing.T) {
	is := is.New(t)
	const grace, handledAfter, took, silence = 8 * time.Second, 400 * time.Millisecond, 3800 * time.Millisecond, time.Second
	history := &directory.Route{Name: "history", Class: directory.Stream}
	s := newShutdown(grace)
	for range 100 {
		s.streamEnded("history", 650, took)
	}
	signalled := time.Unix(1000, 0)
	s.begin(signalled.Add(handledAfter))
	for since := 3 * time.Second; since < grace; since += 100 * time.Millisecond {
		accepted := s.accepts(history, 650, signalled.Add(time.Minute), signalled.Add(since))
		is.True(!accepted || since+took+silence < 94*grace/100+handledAfter)
	}
}
