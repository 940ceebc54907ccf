// Package metrics holds the metrics of an entry and the endpoint that exports them to Prometheus.
package metrics

import (
	"context"
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// metricsInterval is how often values are read and reported to tally.
const metricsInterval = time.Second

// Set holds the metrics and the endpoint that exports them. Values are read periodically from the
// packages that own them, so that hot paths do not depend on metrics.
type Set struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
	counters []counter
	gauges   []gauge
}

// counter exports a value that never decreases.
type counter struct {
	metric tally.Counter
	read   func() int64
	last   int64
}

// gauge exports a value that can go up and down.
type gauge struct {
	metric tally.Gauge
	read   func() float64
}

// New returns a Set without metrics.
func New() *Set {
	// A separate registry allows several entries in one process.
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "azurebarrow",
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// The internal metrics of tally have dots in their names, which Prometheus rejects.
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, metricsInterval)
	return &Set{scope: scope, closer: closer, reporter: reporter}
}

// Count adds a counter whose value is read by calling read. Call it before Run.
func (m *Set) AddCounter(name string, read func() int64) {
	m.counters = append(m.counters, counter{metric: m.scope.Counter(name), read: read})
}

// Show adds a gauge whose value is read by calling read. Call it before Run.
func (m *Set) AddGauge(name string, read func() float64) {
	m.gauges = append(m.gauges, gauge{metric: m.scope.Gauge(name), read: read})
}

// Run reads and exports all values at each interval until ctx ends.
func (m *Set) Run(ctx context.Context) error {
	defer m.closer.Close()
	ticker := time.NewTicker(metricsInterval)
	defer ticker.Stop()
	for {
		m.readValues()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// readValues reads all values and passes them to tally.
func (m *Set) readValues() {
	for i := range m.counters {
		counter := &m.counters[i]
		value := counter.read()
		counter.metric.Inc(value - counter.last)
		counter.last = value
	}
	for _, gauge := range m.gauges {
		gauge.metric.Update(gauge.read())
	}
}

// Histogram adds and returns a histogram of durations. Call it before Run.
func (m *Set) AddHistogram(name string, buckets tally.DurationBuckets) tally.Histogram {
	return m.scope.Histogram(name, buckets)
}

// Handler serves the metrics in the Prometheus text format.
func (m *Set) Handler() http.Handler { return m.reporter.HTTPHandler() }
