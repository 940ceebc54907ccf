package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var sensitivity = Sensitivity{MeanMultiple: 4, Deviations: 6, Floor: 100 * time.Millisecond, InitialLimit: time.Second}

func TestBoundFollowsTheStreamsOwnGaps(t *testing.T) {
	is := is.New(t)
	var g Gaps
	is.Equal(g.SilenceLimit(sensitivity), time.Second)
	for range 20 {
		g.Observe(39 * time.Millisecond)
	}
	is.Equal(g.SilenceLimit(sensitivity), 156*time.Millisecond)
	is.True(g.SilenceLimit(sensitivity) > 3*39*time.Millisecond) // a batch that grows threefold at once
	for range 50 {
		g.Observe(117 * time.Millisecond)
	}
	is.True(g.SilenceLimit(sensitivity) > 4*110*time.Millisecond)
}

func TestPauseDetectorCountsTimeInWhichTheProcessDidNotRun(t *testing.T) {
	is := is.New(t)
	p := NewPauseDetector(10 * time.Millisecond)
	start := time.Unix(0, 0)
	is.Equal(p.Tick(start), time.Duration(0))
	is.Equal(p.Tick(start.Add(15*time.Millisecond)), time.Duration(0)) // a normal delay
	woke := start.Add(5015 * time.Millisecond)
	is.Equal(p.Lost(woke), 4990*time.Millisecond) // before the ticker has fired
	is.Equal(p.Tick(woke), 4990*time.Millisecond)
	is.Equal(p.Lost(woke.Add(time.Millisecond)), 4990*time.Millisecond)
}

func TestSuspicionEndsOnEventOrTimeout(t *testing.T) {
	is := is.New(t)
	targets := NewSuspectedTargets()
	now := time.Unix(0, 0)
	targets.Suspect("a", now)
	targets.Suspect("b", now)
	is.Equal(targets.Suspected(now), []string{"a", "b"})
	targets.Alive("a", now)
	is.Equal(targets.Suspected(now), []string{"b"})
	is.Equal(len(targets.Suspected(now.Add(3*time.Second))), 0)
}

func TestMassFailureIsDiscardedButNotAPoisonRequest(t *testing.T) {
	is := is.New(t)
	d := NewCrashes()
	now := time.Unix(0, 0)
	for i, target := range []string{"a", "b", "c"} {
		d.Record("innocent of "+target, target, now)
		d.Record("killer", target, now.Add(time.Duration(i)*100*time.Millisecond))
	}
	is.Equal(d.Count("innocent of a", now), 0)
	is.Equal(RestrictionFor(d.Count("killer", now)), RestrictionRefused)
	d.Record("killer", "c", now)
	is.Equal(d.Count("killer", now), MinCrashesToRefuse) // distinct targets count
	is.Equal(RestrictionFor(d.Count("killer", now.Add(48*time.Hour))), RestrictionNone)
}

func TestCompletionDiscardsCrashes(t *testing.T) {
	is := is.New(t)
	d := NewCrashes()
	now := time.Unix(0, 0)
	d.Record("f", "a", now)
	d.Record("f", "b", now.Add(time.Minute))
	is.Equal(RestrictionFor(d.Count("f", now.Add(time.Minute))), RestrictionIsolated)
	d.Discard("f")
	is.Equal(d.Count("f", now.Add(time.Minute)), 0)
}

func TestSweepRemovesExpiredCrashes(t *testing.T) {
	is := is.New(t)
	crashes := NewCrashes()
	now := time.Unix(1000, 0)
	crashes.Record("once", "t1", now)
	for i, target := range []string{"t2", "t3", "t4"} {
		crashes.Record("often", target, now.Add(time.Duration(i)*time.Minute))
	}
	crashes.Sweep(now.Add(crashTTL + 3*time.Minute))
	is.Equal(len(crashes.crashes), 1) // a refusal is kept for longer
	crashes.Sweep(now.Add(refusalTTL + time.Hour))
	is.Equal(len(crashes.crashes), 0)
}

// Requests that crash each target they run on come at several entries at once, so that three targets crash within
// the window of a mass failure again and again.
func TestRequestsThatCrashTargetsInTurnAreNoMassFailure(t *testing.T) {
	is := is.New(t)
	crashes := NewCrashes()
	now := time.Unix(1000, 0)
	for i := range 9 {
		crashes.Record(fmt.Sprintf("f%d", i%3), fmt.Sprintf("target-%d", i), now)
		now = now.Add(700 * time.Millisecond)
	}
	for i := range 3 {
		is.Equal(RestrictionFor(crashes.Count(fmt.Sprintf("f%d", i), now)), RestrictionRefused)
	}
}

// Guards against targets that keep their IDs when they start again, and against entries that don't know the start: one
// crash must not count twice.
func TestEachIncarnationOfATargetCountsOnce(t *testing.T) {
	is := is.New(t)
	crashes := NewCrashes()
	now := time.Unix(1000, 0)
	for _, target := range []CrashedTarget{{ID: "t", StartedMs: 1}, {ID: "t"}, {ID: "t", StartedMs: 1}, {ID: "t", StartedMs: 2}} {
		crashes.Record("f", target.Incarnation(), now)
	}
	is.Equal(crashes.Count("f", now), 2)
	crashes.Record("f", "t", now.Add(minRestartTime))
	is.Equal(crashes.Count("f", now), 3)
}
