package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/azurebarrow/azurebarrow/adapters/passthrough"
	"github.com/azurebarrow/azurebarrow/adapters/peertwirp/directorypeer"
	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/service"
)

// counters holds the entry's own metrics: callers' requests by result, and problems with the store and
// its objects.
type counters struct {
	succeeded, refused, failed, aborted atomic.Int64
	storeLost, unusableObjects          atomic.Int64
	callLatency, streamDuration         tally.Histogram
	streamWait                          tally.Histogram
}

// Histogram buckets: calls without a stream take milliseconds, streams take seconds.
var (
	callBuckets   = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 11)
	streamBuckets = tally.MustMakeExponentialDurationBuckets(100*time.Millisecond, 2, 9)
)

// observe counts a finished request by its result and records its duration. Status 0 means that the
// request was aborted.
func (c *counters) observe(o passthrough.Observation) {
	switch {
	case o.Status == 0:
		c.aborted.Add(1)
	case o.Status < http.StatusMultipleChoices:
		c.succeeded.Add(1)
	case o.Status == http.StatusServiceUnavailable || o.Status == http.StatusTooManyRequests:
		c.refused.Add(1)
	default:
		c.failed.Add(1)
	}
	if o.Class == directory.Stream {
		c.streamDuration.RecordDuration(o.Took)
		return
	}
	c.callLatency.RecordDuration(o.Took)
}

func (e *Entry) observeRequest(o passthrough.Observation) {
	e.counters.observe(o)
	if o.Class != directory.Stream && o.Dispatched && o.Status != 0 && o.Status < http.StatusInternalServerError {
		e.shutdown.callEnded(o.Route, o.Took)
	}
}

// streamBegan has the shutdown learn how long streams take.
func (e *Entry) streamBegan(start passthrough.StreamStart) (ended func(complete bool)) {
	stopped := e.shutdown.streamBegan(start.Route, start.OutputTokens, start.Arrived)
	return func(complete bool) {
		stopped()
		// A remainder takes less time than a whole stream and would have these expected to take as little.
		if complete && !start.Remainder {
			e.shutdown.streamEnded(start.Route, start.OutputTokens, time.Since(start.Arrived))
		}
	}
}

// registerMetrics registers the entry's metrics; docs/OPERATIONS.md documents them.
func (e *Entry) registerMetrics() {
	m := e.metrics
	e.counters.callLatency = m.AddHistogram("call_latency", callBuckets)
	e.counters.streamDuration = m.AddHistogram("stream_duration", streamBuckets)
	e.counters.streamWait = m.AddHistogram("stream_wait", streamBuckets)
	m.AddCounter("requests_succeeded", e.counters.succeeded.Load)
	m.AddCounter("requests_refused", e.counters.refused.Load)
	m.AddCounter("requests_failed", e.counters.failed.Load)
	m.AddCounter("requests_broken_off", e.counters.aborted.Load)
	m.AddCounter("store_losses", e.counters.storeLost.Load)
	m.AddCounter("unusable_objects", e.counters.unusableObjects.Load)
	m.AddCounter("feed_bytes_sent", e.transfers.Bytes)
	m.AddCounter("feed_answers_cut", e.transfers.Cut)
	m.AddCounter("feed_parts_withheld", e.directory.Feed().Withheld)
	m.AddCounter("target_connections", e.pool.DialCount)
	m.AddGauge("requests_running", func() float64 { return float64(e.running.Load()) })
	m.AddGauge("entries_live", func() float64 { return float64(len(e.members.Live())) })
	m.AddGauge("configuration_version", func() float64 {
		if configuration := e.directory.Snapshot().Configuration; configuration != nil {
			return float64(configuration.Version)
		}
		return 0
	})
	stats := e.relay.Stats()
	m.AddCounter("attempts", stats.Attempts.Load)
	m.AddCounter("streams_broken", stats.Broken.Load)
	m.AddCounter("streams_stalled", stats.Suspicions.Load)
	m.AddCounter("connectivity_losses", e.connectivity.Losses)
	m.AddCounter("requests_detoured", e.router.DetouredCount)
	m.AddCounter("requests_helped", e.router.HelpedCount)
	m.AddCounter("requests_without_path", e.router.PathlessCount)
	m.AddCounter("requests_unacknowledged", e.pool.UnacknowledgedCount)
	m.AddGauge("target_links_lost", func() float64 { return float64(e.router.LostLinkCount()) })
	m.AddGauge("connectivity_lost", func() float64 {
		if e.connectivity.IsLost() {
			return 1
		}
		return 0
	})
	m.AddCounter("events_relayed", stats.Accepted.Load)
	m.AddCounter("events_duplicate", stats.Duplicate.Load)
	m.AddCounter("event_gaps", stats.Gap.Load)
	m.AddCounter("poison_refused", func() int64 { return stats.PoisonRefused.Load() + e.forwarder.PoisonRefused() })
	m.AddCounter("stream_versions_unknown", stats.VersionsUnknown.Load)
	versions := e.versions.Stats()
	prompts := e.prompts.Stats()
	m.AddCounter("prompt_writes", prompts.Writes.Load)
	m.AddCounter("prompt_reads", prompts.Reads.Load)
	for class, count := range e.directory.StoreCalls() {
		m.AddCounter("store_calls_"+class, count)
	}
	e.registerRolloutMetrics()
	e.registerPlacementMetrics()
	m.AddCounter("stream_version_writes", versions.Writes.Load)
	m.AddCounter("stream_version_reads", versions.Reads.Load)
	m.AddGauge("stream_versions_stored", func() float64 { return float64(e.versions.StoredCount()) })
	m.AddGauge("targets_brittle", func() float64 { return float64(e.limits.brittle.BrittleCount()) })
	m.AddCounter("target_pauses", e.limits.pauses.Count)
	m.AddGauge("targets_paused", func() float64 { return float64(e.limits.pauses.PausedCount(time.Now())) })
	m.AddGauge("targets_slow", func() float64 { return float64(e.placement.SlowCount()) })
	m.AddGauge("targets_limited", func() float64 { return float64(e.limits.LimitedCount()) })
	m.AddGauge("prompt_parts_refused", func() float64 { _, parts := e.crashRecords.crashes.RefusedCounts(); return float64(parts) })
	m.AddGauge("requests_refused_for_crashes", func() float64 { requests, _ := e.crashRecords.crashes.RefusedCounts(); return float64(requests) })
}

func (e *Entry) observeDirectory(event directory.Event) {
	if event.Kind == directory.EventStoreLost {
		e.counters.storeLost.Add(1)
	}
	if event.Kind == directory.EventUnusable {
		e.counters.unusableObjects.Add(1)
	}
	fields := []generation.Field{
		{Key: "subject", Value: event.Subject}, {Key: "detail", Value: event.Detail}, {Key: "revision", Value: event.Revision},
	}
	if event.Age > 0 {
		fields = append(fields, generation.Field{Key: "away", Value: event.Age})
	}
	if event.Era > 0 {
		fields = append(fields, generation.Field{Key: "era", Value: event.Era})
	}
	if event.Err != nil {
		fields = append(fields, generation.Field{Key: "error", Value: event.Err})
	}
	e.log(string(event.Kind), fields...)
}

// logTransfer logs an answer of the directory feed that was large or that its reader did not get whole.
func (e *Entry) logTransfer(done directorypeer.Transfer) {
	e.log("feed-answer-sent", generation.Field{Key: "reader", Value: done.Reader}, generation.Field{Key: "bytes", Value: done.Bytes},
		generation.Field{Key: "took", Value: done.Took}, generation.Field{Key: "cut", Value: done.Cut})
}

// logRetryTotals logs that the peer which sums up the retries of all entries has become unreachable or
// answers again.
func (e *Entry) logRetryTotals(peer string, err error) {
	if err != nil {
		e.log("retry-totals-lost", generation.Field{Key: "peer", Value: peer}, generation.Field{Key: "error", Value: err})
		return
	}
	e.log("retry-totals-regained", generation.Field{Key: "peer", Value: peer})
}

// logAttempt logs the end of an attempt of a call without a stream.
func (e *Entry) logAttempt(event string, call *service.ForwardedCall, target string, sent service.SendResult) {
	fields := []generation.Field{
		{Key: "request", Value: call.ID}, {Key: "service", Value: call.Service}, {Key: "target", Value: target},
		{Key: "fingerprint", Value: call.Fingerprint}, {Key: "verdict", Value: sent.Verdict},
		{Key: "left", Value: time.Until(call.Deadline)}, {Key: "connectivity_lost", Value: e.connectivity.IsLost()},
	}
	if sent.AskedPause > 0 {
		fields = append(fields, generation.Field{Key: "asked_pause", Value: sent.AskedPause})
	}
	if sent.Err != nil {
		fields = append(fields, generation.Field{Key: "error", Value: sent.Err})
	}
	e.log(event, fields...)
}
