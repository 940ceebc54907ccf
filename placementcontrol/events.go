package placementcontrol

import (
	"sync/atomic"
	"time"
)

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	// EventCoordinator: this entry starts or stops coordinating a service, or follows another coordinator.
	EventCoordinator EventKind = "placement-coordinator"
	// EventFallback: this entry placed streams itself although placement is shared.
	EventFallback EventKind = "placement-fallback"
	// EventQueued: a stream of this entry begins to wait for room.
	EventQueued EventKind = "stream-queued"
	// EventRefusedEarly: a stream of this entry is refused since no engine is expected to have room in time.
	EventRefusedEarly EventKind = "stream-refused-early"
)

// Roles of EventCoordinator.
const (
	RoleCoordinating = "coordinating"
	RoleStopped      = "stopped"
	RoleFollowing    = "following"
)

// Reasons of EventFallback.
const (
	// ReasonTimeout: the coordinator did not answer in time. ReasonError: it could not be reached, or its answer was invalid.
	ReasonTimeout = "timeout"
	ReasonError   = "error"
	// ReasonPaused: the coordinator failed a moment ago.
	ReasonPaused = "paused"
	// ReasonDeclined: no entry coordinates.
	ReasonDeclined = "declined"
	// ReasonNoEngine: the coordinator knows no engine for the stream.
	ReasonNoEngine = "no_engine"
	// ReasonStopping: this entry is shutting down, and the stream would have to wait.
	ReasonStopping = "stopping"
	// ReasonUnusable: this entry can't use the engines that the coordinator chose.
	ReasonUnusable = "unusable"
)

// Event reports a step of the coordination.
type Event struct {
	Kind        EventKind
	Service     string
	Coordinator string
	Role        string
	// Reason and Count are those of an EventFallback: the streams since the event before.
	Reason string
	Count  int
	// Request and Priority are those of a stream. Position counts the streams that wait, with this one.
	Request            string
	Priority, Position int
	// RetryAfter is when the caller may return, by the expected wait for room.
	RetryAfter time.Duration
}

// Stats are the counters of a Manager. PlacedByCoordinator, PlacedBySelf and PlacedByFallback count the placements that another entry, this
// entry as the coordinator, and this entry without a coordinator made; PlacedByVersion those of streams that may only continue at certain
// versions. Queued counts the streams of this entry that waited for room, RefusedEarly those that were refused for lack of it.
type Stats struct {
	PlacedByCoordinator, PlacedBySelf, PlacedByFallback, PlacedByVersion atomic.Int64
	Queued, RefusedEarly                                                 atomic.Int64
	ReportsSent, ReportsFailed                                           atomic.Int64
	RequestsReceived, ReportsReceived, Declined                          atomic.Int64
}

// Stats returns the counters.
func (m *Manager) Stats() *Stats { return &m.stats }

// fallbackInterval is the least time between two events of the same reason.
const fallbackInterval = time.Second

// fallbackCount counts the streams that this entry placed itself for a reason.
type fallbackCount struct {
	service string
	count   int
	// reportedAt is when the last event was reported.
	reportedAt time.Time
}

// countFallback counts a stream that this entry places itself.
func (m *Manager) countFallback(service, reason string) {
	m.stats.PlacedByFallback.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.fallbacks[reason]
	if known == nil {
		known = &fallbackCount{}
		m.fallbacks[reason] = known
	}
	known.service = service
	known.count++
	m.reportFallbacks(m.options.Now(), reason, known)
}

// flushFallbacks reports the streams that were counted since the last events.
func (m *Manager) flushFallbacks(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for reason, known := range m.fallbacks {
		m.reportFallbacks(now, reason, known)
	}
}

// reportFallbacks reports the count of a reason unless it did a moment ago. The caller holds mu.
func (m *Manager) reportFallbacks(now time.Time, reason string, known *fallbackCount) {
	if known.count == 0 || now.Sub(known.reportedAt) < fallbackInterval {
		return
	}
	m.options.Observe(Event{Kind: EventFallback, Service: known.service, Reason: reason, Count: known.count})
	known.count, known.reportedAt = 0, now
}
