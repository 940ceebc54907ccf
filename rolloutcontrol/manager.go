// Package rolloutcontrol carries out rollouts in a running entry. Each entry reports what it saw of both versions to the coordinator, the
// entry that ranks first for the service, and gets the share of new requests back that may go to the new version. The coordinator decides
// with package rollout, and writes the status.
package rolloutcontrol

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/rollout"
)

// Report is what an entry saw of a service since its report before.
type Report struct {
	Entry string
	// Service and To identify the order that the entry carries out.
	Service, To string
	// Sequence is the number of the report's evidence. A report whose answer was lost is repeated with the same number.
	Sequence int64
	// Old and New are the evidence of other versions and of the new one.
	Old, New rollout.Evidence
	// OldInProgress counts the requests that are at other versions or may need them.
	OldInProgress int
	// Stage is the stage that the entry knew of as it sent the report.
	Stage rollout.Stage
}

// Answer is what the coordinator answers to a report.
type Answer struct {
	To    string        `json:"to"`
	Stage rollout.Stage `json:"stage"`
	Share float64       `json:"share"`
}

// Transport sends reports to other entries.
type Transport interface {
	Report(ctx context.Context, peer membership.Peer, report Report) (Answer, error)
}

// Store holds the orders and their statuses.
type Store interface {
	// ReadRollout reads an order. The error wraps objects.ErrNotFound if it was withdrawn.
	ReadRollout(ctx context.Context, name string) (*directory.Rollout, error)
	// WriteRolloutStatus writes the status of an order as it was read. It returns a *objects.ConflictError if the order or its status
	// has changed since.
	WriteRolloutStatus(ctx context.Context, read *directory.Rollout, status rollout.Status) error
}

// Directory is what is known of orders and targets; directory.Snapshot is one.
type Directory interface {
	// Rollouts returns the orders of rollouts, Rollout that of a service; nil if there is none.
	Rollouts() []*directory.Rollout
	Rollout(service string) *directory.Rollout
	// KnownTargets returns the known targets of a service, AvailableTargets those that may get new work.
	KnownTargets(service string) []*directory.Target
	AvailableTargets(service string) []*directory.Target
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	// EventOrdered: this entry has learned of an order.
	EventOrdered EventKind = "rollout-ordered"
	// EventStage: the rollout has reached a stage, as the coordinator says.
	EventStage EventKind = "rollout-stage"
	// EventVerdict: this entry, the coordinator, has judged the new version.
	EventVerdict EventKind = "rollout-verdict"
	// EventEnded: the order is carried out or withdrawn.
	EventEnded EventKind = "rollout-ended"
	// EventIgnored: this entry, the coordinator, can't carry out the order.
	EventIgnored EventKind = "rollout-ignored"
	// EventStatusRefused: the store did not take the status that this entry wrote.
	EventStatusRefused EventKind = "rollout-status-refused"
	// EventCoordinatorLost: the coordinator does not answer, EventCoordinatorRegained that it does again.
	EventCoordinatorLost     EventKind = "rollout-coordinator-lost"
	EventCoordinatorRegained EventKind = "rollout-coordinator-regained"
)

// Event reports a step of a rollout.
type Event struct {
	Kind        EventKind
	Order       rollout.Order
	Stage       rollout.Stage
	Share       float64
	Verdict     rollout.Verdict
	Coordinator string
	Err         error
}

// Options configure a Manager.
type Options struct {
	Bounds    rollout.Bounds
	Snapshot  func() Directory
	View      membership.View
	Transport Transport
	Store     Store
	// Observe is called for each event; nil discards them.
	Observe func(Event)
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

const (
	// reportInterval is the time between two reports of an entry. With many live entries it is reportIntervalPerEntry for each of them,
	// but no more than maxReportInterval: a share that is older than rollout.MaxShareAge lets nothing through.
	reportInterval         = 400 * time.Millisecond
	reportIntervalPerEntry = 5 * time.Millisecond
	maxReportInterval      = 700 * time.Millisecond
	// reportTimeout limits one report.
	reportTimeout = 300 * time.Millisecond
	// stepInterval is the time between two looks at the orders and two steps of a plan.
	stepInterval = 100 * time.Millisecond
)

// Manager carries out the rollouts in one entry. It is safe for concurrent use.
type Manager struct {
	options Options
	// nextReport is the sequence number of the next evidence. It begins with the time, so that those of a restarted entry are higher.
	nextReport int64

	mu       sync.Mutex
	services map[string]*serviceState
	requests map[string]map[*Request]bool
	// coordinated are the rollouts that this entry coordinates, by service.
	coordinated map[string]*coordination
	filtered    map[string]filteredTargets

	stats Stats
}

// Stats are the counters of a Manager. Succeeded and RolledBack count the ends of rollouts that this entry saw, SentNew the requests that
// it sent to new versions.
type Stats struct {
	Succeeded, RolledBack, SentNew              atomic.Int64
	ReportsSent, ReportsFailed, ReportsReceived atomic.Int64
}

// Stats returns the counters.
func (m *Manager) Stats() *Stats { return &m.stats }

// StageCount returns the number of rollouts in a stage, as this entry knows.
func (m *Manager) StageCount(stage rollout.Stage) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, state := range m.services {
		if !state.ended && state.stage == stage {
			count++
		}
	}
	return count
}

// RankKey returns the key by which the entries are ranked for the rollout of a service: the first one is its coordinator.
func RankKey(service string) string { return "rollout/" + service }

// serviceState is this entry's part in the order of one service.
type serviceState struct {
	order rollout.Order
	// ended is set once the status in the store is final; status is that status.
	ended  bool
	status rollout.Status
	gate   *rollout.Gate
	// old and new are the evidence since the last report, sent that of the report which is not answered yet.
	old, new   rollout.Evidence
	sent       *Report
	stage      rollout.Stage
	share      float64
	reportedAt time.Time
	// reporting is set while a report is in flight, lost while the coordinator does not answer.
	reporting, lost bool
}

func (s *serviceState) pending(version string) *rollout.Evidence {
	if version == s.order.To {
		return &s.new
	}
	return &s.old
}

// takesAll reports whether all new requests go to the new version.
func (s *serviceState) takesAll(now time.Time) bool {
	return s.share >= 1 && s.gate.Open(now)
}

// NewManager returns a Manager. Run carries out the orders of the directory.
func NewManager(options Options) *Manager {
	if options.Observe == nil {
		options.Observe = func(Event) {}
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Manager{
		options: options, nextReport: options.Now().UnixNano(), services: map[string]*serviceState{}, requests: map[string]map[*Request]bool{},
		coordinated: map[string]*coordination{}, filtered: map[string]filteredTargets{},
	}
}

// runningState returns this entry's part in the order of the service that is being carried out; nil if there is none. The directory may
// know of an order that Run has not seen yet. The caller holds mu.
func (m *Manager) runningState(service string) *serviceState {
	known := m.options.Snapshot().Rollout(service)
	if known == nil && m.services[service] == nil {
		return nil
	}
	m.update(service, known)
	state := m.services[service]
	if state == nil || state.ended {
		return nil
	}
	return state
}

// update takes an order of the directory over. The caller holds mu.
func (m *Manager) update(service string, known *directory.Rollout) {
	state := m.services[service]
	if known == nil {
		if state != nil {
			delete(m.services, service)
			if !state.ended {
				m.observe(Event{Kind: EventEnded, Order: state.order})
			}
		}
		return
	}
	if state == nil || state.order.To != known.Order.To || state.order.Duration != known.Order.Duration || state.ended && !known.Ended() {
		state = &serviceState{order: known.Order, gate: rollout.NewGate(m.options.View.Self().Name, known.Order)}
		m.services[service] = state
		if state.ended = known.Ended(); !state.ended {
			m.observe(Event{Kind: EventOrdered, Order: state.order})
		}
	}
	state.status = known.Status
	if known.Ended() && !state.ended {
		state.ended = true
		switch known.Status.State {
		case rollout.StateSucceeded:
			m.stats.Succeeded.Add(1)
		case rollout.StateRolledBack:
			m.stats.RolledBack.Add(1)
		}
		m.observe(Event{Kind: EventEnded, Order: state.order, Stage: rollout.Stage(known.Status.State), Verdict: rollout.Verdict{Reason: known.Status.Reason}})
	}
}

// observe reports an event without holding up the caller, which holds mu.
func (m *Manager) observe(event Event) { m.options.Observe(event) }

// servesOther reports whether a target of another version than the given one is known. The caller holds mu.
func (m *Manager) servesOther(service, version string) bool {
	for _, target := range m.options.Snapshot().KnownTargets(service) {
		if target.Version != version {
			return true
		}
	}
	return false
}

// Run carries out the orders of the directory until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	for wait.For(ctx, stepInterval) == nil {
		m.step(ctx)
	}
	return nil
}

// step takes new orders over, decides on the rollouts that this entry coordinates, and sends the reports that are due.
func (m *Manager) step(ctx context.Context) {
	orders := m.options.Snapshot().Rollouts()
	m.mu.Lock()
	known := map[string]*directory.Rollout{}
	for _, order := range orders {
		known[order.Order.Service] = order
	}
	for service := range m.services {
		m.update(service, known[service])
	}
	for service, order := range known {
		m.update(service, order)
	}
	m.sweepRequests()
	isIdle := len(orders) == 0 && len(m.coordinated) == 0
	m.mu.Unlock()
	if isIdle {
		return
	}
	live := m.options.View.Live()
	interval := ReportInterval(len(live))
	m.coordinate(ctx, known, live, interval)
	for service, order := range known {
		if !order.Ended() {
			m.report(ctx, service, live, interval)
		}
	}
}

// ReportInterval returns the time between two reports of an entry, among a number of live entries.
func ReportInterval(live int) time.Duration {
	return min(maxReportInterval, max(reportInterval, time.Duration(live)*reportIntervalPerEntry))
}

// sweepRequests drops the streams whose callers did not reconnect. The caller holds mu.
func (m *Manager) sweepRequests() {
	now := m.options.Now()
	for _, requests := range m.requests {
		for r := range requests {
			if !r.endedAt.IsZero() && now.Sub(r.endedAt) >= reconnectGrace {
				delete(requests, r)
			}
		}
	}
}

// coordinatorOf returns the entry that coordinates the rollout of a service.
func coordinatorOf(service string, live []membership.Peer) membership.Peer {
	return membership.Rank(live, RankKey(service))[0]
}

// report sends a report of a service if it is due and none is in flight.
func (m *Manager) report(ctx context.Context, service string, live []membership.Peer, interval time.Duration) {
	now := m.options.Now()
	m.mu.Lock()
	state := m.runningState(service)
	if state == nil || state.reporting || now.Sub(state.reportedAt) < interval {
		m.mu.Unlock()
		return
	}
	state.reporting, state.reportedAt = true, now
	report := m.nextReportOf(service, state)
	m.mu.Unlock()
	coordinator := coordinatorOf(service, live)
	go func() {
		answer, err := m.send(ctx, coordinator, report)
		m.mu.Lock()
		defer m.mu.Unlock()
		state.reporting = false
		if (err != nil) != state.lost && ctx.Err() == nil {
			state.lost = err != nil
			event := Event{Kind: EventCoordinatorRegained, Order: state.order, Coordinator: coordinator.Name, Err: err}
			if state.lost {
				event.Kind = EventCoordinatorLost
			}
			m.observe(event)
		}
		if err != nil {
			m.stats.ReportsFailed.Add(1)
			return
		}
		m.takeAnswer(state, answer, now)
	}()
}

// nextReportOf returns the next report of a service. Evidence that was sent and not acknowledged is sent again first. The caller holds mu.
func (m *Manager) nextReportOf(service string, state *serviceState) Report {
	if state.sent == nil {
		m.nextReport++
		state.sent = &Report{
			Entry: m.options.View.Self().Name, Service: service, To: state.order.To, Sequence: m.nextReport, Old: state.old, New: state.new,
		}
		state.old, state.new = rollout.Evidence{}, rollout.Evidence{}
	}
	report := *state.sent
	report.Stage = state.stage
	for r := range m.requests[service] {
		if r.needsOther(state.order.To) {
			report.OldInProgress++
		}
	}
	return report
}

// send sends a report to the coordinator, which may be this entry.
func (m *Manager) send(ctx context.Context, coordinator membership.Peer, report Report) (Answer, error) {
	m.stats.ReportsSent.Add(1)
	if coordinator.Name == m.options.View.Self().Name {
		return m.Receive(report)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return m.options.Transport.Report(ctx, coordinator, report)
}

// takeAnswer takes the coordinator's answer to a report that was sent at the given time. The caller holds mu.
func (m *Manager) takeAnswer(state *serviceState, answer Answer, sent time.Time) {
	if answer.To != state.order.To {
		return // the coordinator does not know of the order yet, or knows of another one
	}
	state.sent = nil
	if state.stage == rollout.RolledBack {
		return // a coordinator that follows one that was lost learns of it by the next reports
	}
	if answer.Stage != state.stage {
		m.observe(Event{Kind: EventStage, Order: state.order, Stage: answer.Stage, Share: answer.Share})
	}
	state.stage, state.share = answer.Stage, answer.Share
	state.gate.SetShare(sent, answer.Share)
	state.gate.SetStage(answer.Stage)
}
