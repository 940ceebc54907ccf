package main

import (
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/settings"
)

// Guards against rollouts in a deployment that has no bounds for them: the platform sets its variables to nothing.
func TestRolloutBoundsComeFromTheEnvironment(t *testing.T) {
	for _, each := range []struct {
		name, share, slack, rollback string
		want                         settings.Rollouts
		findings                     int
	}{
		{"all", "0.1", "50", "5000", settings.Rollouts{Share: 0.1, Slack: 50, RollbackAfter: 5 * time.Second}, 0},
		{"empty", "", "", "", settings.Rollouts{}, 0},
		{"share only", "0.2", "", "", settings.Rollouts{Share: 0.2}, 0},
		{"no number", "much", "50", "soon", settings.Rollouts{Slack: 50}, 2},
	} {
		t.Run(each.name, func(t *testing.T) {
			is := is.New(t)
			t.Setenv("AZUREBARROW_ROLLOUT_SHARE", each.share)
			t.Setenv("AZUREBARROW_ROLLOUT_SLACK", each.slack)
			t.Setenv("AZUREBARROW_ROLLOUT_ROLLBACK_MS", each.rollback)
			var command runCommand
			_, err := flags.NewParser(&command, flags.None).ParseArgs([]string{"--settings", "s.yaml"})
			is.NoErr(err)
			var got settings.Rollouts
			is.Equal(len(command.rolloutOptions.override(&got)), each.findings)
			is.Equal(got, each.want)
		})
	}
}
