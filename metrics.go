package azurebarrow

import "github.com/azurebarrow/azurebarrow/invariant"

// registerMetrics registers the entry's metrics; docs/operators/metrics.md documents them. None has a
// label, so that the number of time series does not grow with customers, targets or entries.
func (e *Entry) registerMetrics() {
	m := e.metrics
	m.Count("invariant_violations", invariant.Violations)
	m.Show("entries_live", func() float64 { return float64(len(e.members.Live())) })
	m.Show("configuration_revision", func() float64 { return float64(e.configuration.Snapshot().Revision) })
	m.Show("targets_leaving", func() float64 { return float64(len(e.control.drainingTargets.DrainingTargets())) })
	e.registerGenerationMetrics()
	e.registerJournalMetrics()
}

func (e *Entry) registerGenerationMetrics() {
	m := e.metrics
	stats := e.generations.Stats()
	m.Show("generations_running", func() float64 { return float64(e.generations.Running()) })
	m.Count("attempts", stats.Attempts.Load)
	m.Count("attempts_speculative", stats.Speculative.Load)
	m.Count("streams_attached", stats.Attached.Load)
	m.Count("streams_broken", stats.Broken.Load)
	m.Count("suspicions", stats.Suspicions.Load)
	m.Count("suspicions_false", stats.FalseSuspicions.Load)
	m.Count("tokens_accepted", stats.Accepted.Load)
	m.Count("tokens_stray", stats.Stray.Load)
	m.Count("tokens_duplicate", stats.Duplicate.Load)
	m.Count("tokens_lost_race", stats.NotOwner.Load)
	m.Count("tokens_mismatched", stats.Mismatch.Load)
	m.Count("stream_gaps", stats.Gap.Load)
	m.Count("generations_superseded", stats.Superseded.Load)
	m.Count("generations_taken_over", stats.Takeovers.Load)
	m.Count("generations_degraded", stats.Degraded.Load)
	m.Count("poison_refused", stats.PoisonRefused.Load)
}

func (e *Entry) registerJournalMetrics() {
	m := e.metrics
	stats := e.recovery.journal.Stats()
	m.Count("journal_batches", stats.Batches.Load)
	m.Count("journal_operations", stats.Operations.Load)
	m.Count("journal_tokens", stats.Tokens.Load)
	m.Count("journal_replicas_dropped", stats.ReplicasReplaced.Load)
}
