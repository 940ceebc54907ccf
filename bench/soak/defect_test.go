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
		// wayLostAnswer is the variant of a target's fault that loses the answers of calls that ran.
		wayLostAnswer = 2
	)
	// lostAnswers has all records lose answers of calls that ran.
	var lostAnswers []Step
	for i := range options.Records {
		lostAnswers = append(lostAnswers, Step{At: faultAt, Kind: TargetFault, Index: options.Engines + i, Way: wayLostAnswer, For: faultFor})
	}
	var drains, stops []Step
	for i := range 2 {
		drains = append(drains, Step{At: faultAt, Kind: DrainTarget, Index: i})
		stops = append(stops, Step{At: faultAt + time.Duration(i)*time.Second, Kind: StopEntry, Index: i})
	}
	cases := []struct {
		defect defect.Name
		rule   string
		steps  []Step
	}{
		{defect.DrainTimeout, "LOST", stops},
		{defect.LeavingIgnored, "DRAIN", drains},
		{defect.RepeatUnsafe, "TWICE", lostAnswers},
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
			for _, violation := range broken {
				if violation.Rule == c.rule {
					return
				}
			}
			t.Errorf("no %s is found among %v", c.rule, broken)
		})
	}
}
