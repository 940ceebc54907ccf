package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/azurebarrow/azurebarrow/adapters/passthrough"
	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/service"
)

// counts are the entry's counters of requests and of what it believes.
type counts struct {
	succeeded, refused, failed, aborted atomic.Int64
	storeLost, unusableObjects          atomic.Int64
	callLatency, streamDuration         tally.Histogram
}

// Buckets of the latency histograms: plain calls take milliseconds, streams seconds.
var (
	callBuckets   = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 11)
	streamBuckets = tally.MustMakeExponentialDurationBuckets(100*time.Millisecond, 2, 9)
)

func (c *counts) observe(o passthrough.Observation) {
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
	e.counts.observe(o)
	if o.Class == directory.Stream && o.Status == http.StatusOK {
		e.shutdown.streamEnded(o.Took)
	}
}

// registerMetrics lists the entry's metrics; docs/OPERATIONS.md is their catalogue.
func (e *Entry) registerMetrics() {
	m := e.metrics
	e.counts.callLatency = m.Histogram("call_latency", callBuckets)
	e.counts.streamDuration = m.Histogram("stream_duration", streamBuckets)
	m.Count("requests_succeeded", e.counts.succeeded.Load)
	m.Count("requests_refused", e.counts.refused.Load)
	m.Count("requests_failed", e.counts.failed.Load)
	m.Count("requests_broken_off", e.counts.aborted.Load)
	m.Count("store_losses", e.counts.storeLost.Load)
	m.Count("unusable_objects", e.counts.unusableObjects.Load)
	m.Count("target_connections", e.pool.Dialed)
	m.Show("requests_running", func() float64 { return float64(e.running.Load()) })
	m.Show("entries_live", func() float64 { return float64(len(e.members.Live())) })
	m.Show("configuration_version", func() float64 {
		if configuration := e.directory.Snapshot().Configuration; configuration != nil {
			return float64(configuration.Version)
		}
		return 0
	})
	stats := e.relay.Stats()
	m.Count("attempts", stats.Attempts.Load)
	m.Count("streams_broken", stats.Broken.Load)
	m.Count("streams_stalled", stats.Suspicions.Load)
	m.Count("events_relayed", stats.Accepted.Load)
	m.Count("events_duplicate", stats.Duplicate.Load)
	m.Count("event_gaps", stats.Gap.Load)
	m.Count("poison_refused", stats.PoisonRefused.Load)
}

func (e *Entry) observeDirectory(event directory.Event) {
	if event.Kind == directory.EventStoreLost {
		e.counts.storeLost.Add(1)
	}
	if event.Kind == directory.EventUnusable {
		e.counts.unusableObjects.Add(1)
	}
	fields := []generation.Field{
		{Key: "subject", Value: event.Subject}, {Key: "detail", Value: event.Detail}, {Key: "revision", Value: event.Revision},
	}
	if event.Age > 0 {
		fields = append(fields, generation.Field{Key: "away", Value: event.Age})
	}
	if event.Err != nil {
		fields = append(fields, generation.Field{Key: "error", Value: event.Err})
	}
	e.log(string(event.Kind), fields...)
}

// logRetryTotals notes that the entry which adds up the retries was lost or answers again.
func (e *Entry) logRetryTotals(adder string, err error) {
	if err != nil {
		e.log("retry-totals-lost", generation.Field{Key: "peer", Value: adder}, generation.Field{Key: "error", Value: err})
		return
	}
	e.log("retry-totals-regained", generation.Field{Key: "peer", Value: adder})
}

func (e *Entry) logSend(event string, call *service.Forward, target string, sent service.Sent) {
	fields := []generation.Field{
		{Key: "request", Value: call.ID}, {Key: "service", Value: call.Service}, {Key: "target", Value: target},
		{Key: "verdict", Value: sent.Verdict}, {Key: "left", Value: time.Until(call.Deadline)},
	}
	if sent.Err != nil {
		fields = append(fields, generation.Field{Key: "error", Value: sent.Err})
	}
	e.log(event, fields...)
}
