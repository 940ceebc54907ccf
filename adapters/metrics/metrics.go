// Package metrics holds an entry's metrics and the endpoint that shows them.
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

// metricsInterval is how often values are read and tally reports its scopes.
const metricsInterval = time.Second

// Set holds the metrics and the endpoint that shows them. Values are read from the parts
// that own them, so that the hot paths know nothing of metrics.
type Set struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
	counters []counter
	gauges   []gauge
}

// counter follows a value that only grows.
type counter struct {
	metric tally.Counter
	read   func() int64
	last   int64
}

// gauge follows a value that goes up and down.
type gauge struct {
	metric tally.Gauge
	read   func() float64
}

// New returns a set without metrics.
func New() *Set {
	// A registry of its own lets several entries run in one process.
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "azurebarrow",
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// Tally's own metrics have dots in their names, which Prometheus refuses.
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, metricsInterval)
	return &Set{scope: scope, closer: closer, reporter: reporter}
}

// Count shows a value that only grows. Call it before Run.
func (m *Set) Count(name string, read func() int64) {
	m.counters = append(m.counters, counter{metric: m.scope.Counter(name), read: read})
}

// Show shows a value that goes up and down. Call it before Run.
func (m *Set) Show(name string, read func() float64) {
	m.gauges = append(m.gauges, gauge{metric: m.scope.Gauge(name), read: read})
}

// Run reads every value at each interval until ctx ends.
func (m *Set) Run(ctx context.Context) error {
	defer m.closer.Close()
	ticker := time.NewTicker(metricsInterval)
	defer ticker.Stop()
	for {
		m.update()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (m *Set) update() {
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

// Histogram returns a histogram of durations. Call it before Run.
func (m *Set) Histogram(name string, buckets tally.DurationBuckets) tally.Histogram {
	return m.scope.Histogram(name, buckets)
}

// Handler serves the metrics as text.
func (m *Set) Handler() http.Handler { return m.reporter.HTTPHandler() }
