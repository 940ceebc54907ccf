package azurebarrow

import "github.com/azurebarrow/azurebarrow/invariant"

// registerMetrics registers the entry's metrics; docs/operators/metrics.md documents them. None has a
// label, so that the number of time series does not grow with customers, targets or entries.
func (e *Entry) registerMetrics() {
	m := e.metrics
	m.AddCounter("invariant_violations", invariant.Violations)
	m.AddGauge("entries_live", func() float64 { return float64(len(e.members.Live())) })
	m.AddGauge("configuration_revision", func() float64 { return float64(e.configuration.Snapshot().Revision) })
	m.AddGauge("targets_leaving", func() float64 { return float64(len(e.control.drainingTargets.DrainingTargets())) })
	e.registerGenerationMetrics()
	e.registerJournalMetrics()
	e.registerLinkMetrics()
}

func (e *Entry) registerGenerationMetrics() {
	m := e.metrics
	stats := e.generations.Stats()
	m.AddGauge("generations_running", func() float64 { return float64(e.generations.Running()) })
	m.AddCounter("attempts", stats.Attempts.Load)
	m.AddCounter("attempts_speculative", stats.Speculative.Load)
	m.AddCounter("streams_attached", stats.Attached.Load)
	m.AddCounter("streams_broken", stats.Broken.Load)
	m.AddCounter("suspicions", stats.Suspicions.Load)
	m.AddCounter("suspicions_false", stats.FalseSuspicions.Load)
	m.AddCounter("tokens_accepted", stats.Accepted.Load)
	m.AddCounter("tokens_stray", stats.Stray.Load)
	m.AddCounter("tokens_duplicate", stats.Duplicate.Load)
	m.AddCounter("tokens_lost_race", stats.NotOwner.Load)
	m.AddCounter("tokens_mismatched", stats.Mismatch.Load)
	m.AddCounter("stream_gaps", stats.Gap.Load)
	m.AddCounter("generations_superseded", stats.Superseded.Load)
	m.AddCounter("generations_taken_over", stats.Takeovers.Load)
	m.AddCounter("generations_degraded", stats.Degraded.Load)
	m.AddCounter("poison_refused", stats.PoisonRefused.Load)
}

func (e *Entry) registerJournalMetrics() {
	m := e.metrics
	stats := e.recovery.journal.Stats()
	m.AddCounter("journal_batches", stats.Batches.Load)
	m.AddCounter("journal_operations", stats.Operations.Load)
	m.AddCounter("journal_tokens", stats.Tokens.Load)
	m.AddCounter("journal_replicas_dropped", stats.ReplicasReplaced.Load)
}
