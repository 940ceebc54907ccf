package cluster

import (
	"slices"

	"github.com/azurebarrow/azurebarrow/standin/engine"
	"github.com/azurebarrow/azurebarrow/standin/service"
)

// EngineStats returns the sum of the counters of all engines.
func (c *Cluster) EngineStats() engine.Stats {
	var sum engine.Stats
	for _, t := range c.Engines() {
		s := t.engine.Stats()
		sum.PrefillTokens += s.PrefillTokens
		sum.RecoveryPrefillTokens += s.RecoveryPrefillTokens
		sum.CachedTokens += s.CachedTokens
		sum.DecodeTokens += s.DecodeTokens
		sum.Streams += s.Streams
		sum.Resumes += s.Resumes
		sum.RepeatedAttempts += s.RepeatedAttempts
		sum.Refused += s.Refused
		sum.Cancels += s.Cancels
		sum.Expired += s.Expired
		sum.Commands += s.Commands
		sum.FencedCommands += s.FencedCommands
		sum.StaleCommands += s.StaleCommands
		sum.Kills += s.Kills
		sum.BusyMs += s.BusyMs
		sum.WorkMs += s.WorkMs
	}
	return sum
}

// ExecutedTwice returns the idempotency keys whose calls ran more than once, summed over all services,
// the highest counts first.
func (c *Cluster) ExecutedTwice() []service.KeyCount {
	counts := map[string]int{}
	for _, t := range c.Services() {
		for _, key := range t.service.Keys() {
			counts[key.Key] += key.Count
		}
	}
	var twice []service.KeyCount
	for key, count := range counts {
		if key != "" && count > 1 {
			twice = append(twice, service.KeyCount{Key: key, Count: count})
		}
	}
	slices.SortFunc(twice, func(a, b service.KeyCount) int { return b.Count - a.Count })
	return twice
}

// Executions returns how often the call of an idempotency key ran, summed over all services.
func (c *Cluster) Executions(key string) int {
	count := 0
	for _, t := range c.Services() {
		for _, execution := range t.service.Executions() {
			if execution.Key == key {
				count++
			}
		}
	}
	return count
}
