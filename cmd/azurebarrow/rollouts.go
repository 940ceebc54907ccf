package main

import (
	"strconv"
	"time"

	"github.com/azurebarrow/azurebarrow/settings"
)

// rolloutOptions override the bounds of rollouts. They are texts, since the platform renders bounds that a deployment doesn't have as
// empty variables.
type rolloutOptions struct {
	Share      string `long:"rollout-share" env:"AZUREBARROW_ROLLOUT_SHARE" value-name:"SHARE" description:"overrides passthrough.rollouts.share"`
	Slack      string `long:"rollout-slack" env:"AZUREBARROW_ROLLOUT_SLACK" value-name:"REQUESTS" description:"overrides passthrough.rollouts.slack"`
	RollbackMs string `long:"rollout-rollback-ms" env:"AZUREBARROW_ROLLOUT_ROLLBACK_MS" value-name:"MS" description:"overrides passthrough.rollouts.rollbackAfter"`
}

// override replaces settings with the options that are not empty. It returns a finding for each that is no number.
func (o rolloutOptions) override(s *settings.Rollouts) []settings.Finding {
	var findings []settings.Finding
	for _, each := range []struct {
		name, text string
		set        func(number float64)
	}{
		{"rollout-share", o.Share, func(number float64) { s.Share = number }},
		{"rollout-slack", o.Slack, func(number float64) { s.Slack = number }},
		{"rollout-rollback-ms", o.RollbackMs, func(number float64) { s.RollbackAfter = time.Duration(number * float64(time.Millisecond)) }},
	} {
		if each.text == "" {
			continue
		}
		number, err := strconv.ParseFloat(each.text, 64)
		if err != nil {
			findings = append(findings, settings.Finding{File: "flags", Field: each.name, Message: strconv.Quote(each.text) + " is not a number"})
			continue
		}
		each.set(number)
	}
	return findings
}
