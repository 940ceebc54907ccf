package entry

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/placementpeer"
	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/placementcontrol"
	"github.com/azurebarrow/azurebarrow/routing"
)

// placementConnections is the number of idle connections to a coordinator that are kept: an entry seldom has more streams to place at
// the same time, and each costs the coordinator memory.
const placementConnections = 3

// lastQueuePriority is the priority whose metric counts all lower ones too.
const lastQueuePriority = 3

// buildSharedPlacement creates the component that places streams with the other entries. available returns the targets of a service that
// may get new work.
func (e *Entry) buildSharedPlacement(available func(service string) []*directory.Target) {
	dialer := net.Dialer{Timeout: peerDialTimeout}
	client := &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: placementConnections, IdleConnTimeout: peerIdleTimeout,
	}}
	e.sharedPlacement = placementcontrol.NewManager(placementcontrol.Options{
		MinEntries: e.settings.Passthrough.SharedPlacement.MinEntries,
		NarrowLink: e.settings.Passthrough.IsNarrowForPlacement(),
		Stopping:   e.shutdown.stopping,
		IsOutdated: e.isDirectoryOutdated,
		Local:      e.placement,
		NewView: func() placementcontrol.View {
			return routing.NewSharedView(routing.SharedViewOptions{Seed: rand.Uint64()})
		},
		View:      e.members,
		Transport: placementpeer.NewClient(client),
		Service: func(name string) (*directory.EngineSpec, []*directory.Target) {
			configuration := e.directory.Snapshot().Configuration
			if configuration == nil {
				return nil, nil
			}
			return configuration.Services[name].Engine, available(name)
		},
		Observe: e.logPlacement,
		Waited:  func(d time.Duration) { e.counters.streamWait.RecordDuration(d) },
	})
}

const (
	// outdatedAge is the age from which the directory counts as outdated. Watches of the store end after 1.2 s.
	outdatedAge = 3 * time.Second
	// outdatedGrace is the time for which it counts as outdated after that: engines register again within about two seconds.
	outdatedGrace = 2 * time.Second
)

// isDirectoryOutdated reports whether the directory may lack engines that have started a while ago, since the store is or was unavailable.
func (e *Entry) isDirectoryOutdated() bool {
	now := time.Now()
	if e.directory.Feed().Age(now) > outdatedAge {
		e.outdatedAt.Store(now.UnixNano())
		return true
	}
	return now.UnixNano()-e.outdatedAt.Load() < int64(outdatedGrace)
}

// logPlacement logs a step of the coordination of placement.
func (e *Entry) logPlacement(event placementcontrol.Event) {
	fields := []generation.Field{{Key: "service", Value: event.Service}}
	switch event.Kind {
	case placementcontrol.EventCoordinator:
		fields = append(fields, generation.Field{Key: "coordinator", Value: event.Coordinator}, generation.Field{Key: "role", Value: event.Role})
	case placementcontrol.EventFallback:
		fields = append(fields, generation.Field{Key: "reason", Value: event.Reason}, generation.Field{Key: "count", Value: event.Count})
	case placementcontrol.EventQueued:
		fields = append(fields, generation.Field{Key: "request", Value: event.Request}, generation.Field{Key: "priority", Value: event.Priority},
			generation.Field{Key: "position", Value: event.Position})
	case placementcontrol.EventRefusedEarly:
		fields = append(fields, generation.Field{Key: "request", Value: event.Request}, generation.Field{Key: "priority", Value: event.Priority},
			generation.Field{Key: "position", Value: event.Position}, generation.Field{Key: "retry_after", Value: event.RetryAfter})
	}
	e.log(string(event.Kind), fields...)
}

// registerPlacementMetrics registers the metrics of shared placement.
func (e *Entry) registerPlacementMetrics() {
	stats := e.sharedPlacement.Stats()
	e.metrics.AddCounter("placements_coordinator", stats.PlacedByCoordinator.Load)
	e.metrics.AddCounter("placements_self", stats.PlacedBySelf.Load)
	e.metrics.AddCounter("placements_fallback", stats.PlacedByFallback.Load)
	e.metrics.AddCounter("placements_by_version", stats.PlacedByVersion.Load)
	e.metrics.AddCounter("streams_queued", stats.Queued.Load)
	e.metrics.AddCounter("streams_refused_early", stats.RefusedEarly.Load)
	for priority := range lastQueuePriority {
		e.metrics.AddGauge(fmt.Sprint("stream_queue_priority_", priority), func() float64 { return float64(e.sharedPlacement.QueueLength(priority, priority)) })
	}
	e.metrics.AddGauge(fmt.Sprint("stream_queue_priority_", lastQueuePriority), func() float64 {
		return float64(e.sharedPlacement.QueueLength(lastQueuePriority, math.MaxInt))
	})
	e.metrics.AddCounter("placement_reports_sent", stats.ReportsSent.Load)
	e.metrics.AddCounter("placement_reports_failed", stats.ReportsFailed.Load)
	e.metrics.AddCounter("placement_reports_received", stats.ReportsReceived.Load)
	e.metrics.AddCounter("placement_requests_received", stats.RequestsReceived.Load)
	e.metrics.AddCounter("placement_messages_declined", stats.Declined.Load)
	e.metrics.AddGauge("placement_services_coordinated", func() float64 { return float64(e.sharedPlacement.CoordinatedCount()) })
	e.metrics.AddGauge("placement_state_age_seconds", func() float64 { return e.sharedPlacement.StateAge().Seconds() })
}
