//go:build defect

package soak

import (
	"testing"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/defect"
)

// TestDefectsAreFoundBySoak plays deliberate defects, each of which must be found by its check.
func TestDefectsAreFoundBySoak(t *testing.T) {
	options := buildPrograms(t, "-tags", "defect")
	const (
		faultAt  = 4 * time.Second
		faultFor = 3 * time.Second
		// wavePause lets targets that left be back.
		wavePause = targetDrainTime + time.Second
		// stopPause lets each of four entries start again before it is stopped again.
		stopPause = 700 * time.Millisecond
		// wayLostAnswer is the variant of a target's fault that loses the answers of calls that ran.
		wayLostAnswer = 2
	)
	// Each defect shows in a request that a fault meets by chance; the steps are as many as let a run miss
	// all of them less than once in a thousand.
	var lostAnswers, drains, stops []Step
	for wave := range 3 {
		at := faultAt + time.Duration(wave)*wavePause
		for i := range options.Records {
			lostAnswers = append(lostAnswers, Step{At: at, Kind: TargetFault, Index: options.Engines + i, Way: wayLostAnswer, For: faultFor})
		}
		for i := range options.Engines / 2 {
			drains = append(drains, Step{At: at, Kind: DrainTarget, Index: wave*options.Engines/2 + i})
		}
	}
	for i := range 16 {
		stops = append(stops, Step{At: faultAt + time.Duration(i)*stopPause, Kind: StopEntry, Index: i})
	}
	cases := []struct {
		defect defect.Name
		rule   string
		steps  []Step
	}{
		{defect.AbortOnDrain, "LOST", stops},
		{defect.DrainingIgnored, "DRAIN", drains},
		{defect.RetryUnsafe, "TWICE", lostAnswers},
		{defect.NotRunPerAttempt, "REFUSED", lostAnswers},
	}
	for _, c := range cases {
		t.Run(string(c.defect), func(t *testing.T) {
			t.Parallel()
			options := options
			options.Seed = 1
			options.Steps = c.steps
			options.Environment = []string{defect.EnvironmentVariable + "=" + string(c.defect)}
			broken, _ := play(t, options)
			found := 0
			for _, violation := range broken {
				if violation.Rule == c.rule {
					found++
				}
			}
			t.Logf("%s is found %d times", c.rule, found)
			if found == 0 {
				t.Errorf("no %s is found among %v", c.rule, broken)
			}
		})
	}
}
