//go:build defect

package soak

import (
	"testing"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/defect"
)

// TestDefectsAreFoundBySoak checks that each deliberate defect is found by the check of its guarantee.
func TestDefectsAreFoundBySoak(t *testing.T) {
	options := buildPrograms(t, "-tags", "defect,linkfault")
	const (
		faultAt  = 4 * time.Second
		faultFor = 3 * time.Second
		// wavePause is long enough for drained targets to be replaced.
		wavePause = targetDrainTime + time.Second
		// stopPause is long enough for each of four entries to restart before its next stop.
		stopPause = 700 * time.Millisecond
		// lossPause is long enough for all entries to be back and for their callers to take streams up.
		lossPause = lossFor + takeUpTime + 2*time.Second
		// wayLostAnswer is the variant of TargetFault that loses the responses of calls that ran.
		wayLostAnswer = 2
		// wayOverload has calls refused, wayResetStream streams reset after their third event.
		wayOverload, wayResetStream = 0, 3
	)
	// A defect shows only if a fault happens to affect a request. With this number of steps, less than one run
	// in a thousand misses a defect.
	var lostAnswers, drains, stops []Step
	for wave := range 3 {
		at := faultAt + time.Duration(wave)*wavePause
		for i := range options.Records {
			lostAnswers = append(lostAnswers, Step{At: at, Kind: TargetFault, Index: options.Engines + i, Variant: wayLostAnswer, Duration: faultFor})
		}
		for i := range options.Engines / 2 {
			drains = append(drains, Step{At: at, Kind: DrainTarget, Index: wave*options.Engines/2 + i})
		}
	}
	for i := range 16 {
		stops = append(stops, Step{At: faultAt + time.Duration(i)*stopPause, Kind: StopEntry, Index: i})
	}
	// Requests with a bad part, and limits, last for nine seconds each; two in a row leave time for the bound.
	badRequests := []Step{{At: faultAt, Kind: BadRequests}, {At: faultAt + badRequestsFor, Kind: BadRequests}}
	badCalls := []Step{{At: faultAt, Kind: BadCalls}, {At: faultAt, Kind: BadCalls, Variant: 1}}
	// Engines are lost under the streams that they run, one of each version at a time. This hits a third of the streams, and half of
	// these are continued at the other version.
	var losses []Step
	for i := range 32 {
		for half := range 2 {
			losses = append(losses, Step{
				At: faultAt + time.Duration(i)*stopPause, Kind: KillTarget, Index: (i + half*options.Engines/2) % options.Engines, Duration: time.Second,
			})
		}
	}
	var limits []Step
	for i := range 3 {
		limits = append(limits, Step{At: faultAt + time.Duration(i)*limitFor, Kind: LimitTarget, Index: i})
	}
	// Three of four entries lose their links again and again, for longer than stableWindow each time.
	var cuts []Step
	for i := range 3 {
		for wave := range 2 {
			cuts = append(cuts, Step{At: faultAt + time.Duration(wave)*(cutFor+time.Second), Kind: CutLinks, Index: i, Variant: wave})
		}
	}
	var pauses []Step
	for i := range options.Engines + options.Records {
		pauses = append(pauses, Step{At: faultAt + time.Duration(i)*stopPause, Kind: AskPause, Index: i})
	}
	// All entries are lost, time after time, while engines of both versions serve, or those of one are replaced.
	entryLosses := func(variant int) (steps []Step) {
		for i := range 3 {
			steps = append(steps, Step{At: faultAt + time.Duration(i)*lossPause, Kind: LoseEntries, Index: i, Variant: variant})
		}
		return steps
	}
	// Records targets refuse calls again and again, engines break streams off, and targets leave while the store holds an odd object.
	var refusals, breaks []Step
	for i := range 24 {
		at := faultAt + time.Duration(i)*stopPause
		refusals = append(refusals, Step{At: at, Kind: TargetFault, Index: options.Engines + i%options.Records, Variant: wayOverload, Duration: stopPause})
		for half := range 2 {
			breaks = append(breaks, Step{At: at, Kind: TargetFault, Index: (i + half*options.Engines/2) % options.Engines, Variant: wayResetStream, Duration: stopPause})
		}
	}
	// Crowds of requests with many fields come to all entries, until each process has had one.
	var crowds []Step
	for i := range options.Entries {
		crowds = append(crowds, Step{At: faultAt, Kind: ManyFields, Index: i})
	}
	// A version that takes several times as long: the variant is an odd number, whose half selects the fault.
	slowVersion := []Step{{At: faultAt, Kind: Rollout, Variant: 1}}
	cases := []struct {
		defect defect.Name
		rule   string
		steps  []Step
		faulty bool
	}{
		{defect.AbortOnDrain, "LOST", stops, false},
		{defect.DrainingIgnored, "DRAIN", drains, false},
		{defect.RetryUnsafe, "TWICE", lostAnswers, false},
		{defect.NotRunPerAttempt, "REFUSED", lostAnswers, false},
		{defect.CrashesByRequest, "BUDGET", badRequests, false},
		{defect.CallCrashesIgnored, "BUDGET", badCalls, false},
		{defect.VersionIgnored, "ORDER", losses, false},
		{defect.VersionsForgotten, "ORDER", entryLosses(lossOneLeaves), false},
		{defect.VersionsForgotten, "LOST", entryLosses(lossBothServe), false},
		{defect.DrainingForgotten, "DRAIN", entryLosses(lossAcknowledged), false},
		{defect.LimitIgnored, "LIMIT", limits, false},
		{defect.NoDetour, "RECOVER", cuts, false},
		{defect.PauseIgnored, "BUDGET", pauses, false},
		{defect.SecondAnswerBelieved, "TWICE", refusals, true},
		{defect.ErrorPassedOn, "ORDER", breaks, true},
		{defect.OddObjectHides, "DRAIN", drains, true},
		{defect.CallerMemoryUnlimited, "MEMORY", crowds, false},
		{defect.NewVersionUnjudged, "ROLLOUT", slowVersion, false},
	}
	for _, c := range cases {
		t.Run(string(c.defect), func(t *testing.T) {
			t.Parallel()
			options := options
			options.Seed = 1
			options.Steps = c.steps
			options.Faulty = c.faulty
			options.Environment = []string{defect.EnvironmentVariable + "=" + string(c.defect)}
			violations, _ := runAndCheck(t, options)
			found := 0
			for _, violation := range violations {
				if violation.Rule == c.rule {
					found++
				}
			}
			t.Logf("%s is found %d times", c.rule, found)
			if found == 0 {
				t.Errorf("no %s is found among %v", c.rule, violations)
			}
		})
	}
}
