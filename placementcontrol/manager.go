// Package placementcontrol coordinates the placement of streams among the entries. One entry, the coordinator of a service, chooses the
// engines for all new attempts, based on what all entries have in progress. The other entries query it before each attempt, report
// their streams to it, and place streams themselves if it does not answer in time.
package placementcontrol

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/routing"
)

// Report is the complete state of one entry for a service, so that no message depends on another one.
type Report struct {
	Entry string
	// Incarnation identifies the process of the entry. Sequence increases with each message of a service.
	Incarnation uint64
	Sequence    int64
	Service     string
	Engines     []routing.EngineLoad
	// Paces are the observations since the last message that was answered.
	Paces []routing.PaceSample
	// Tickets are those of answers whose streams Engines includes, or that were not used.
	Tickets []uint64
}

// Request asks the coordinator for the engine of an attempt. It counts as a report.
type Request struct {
	Report
	Zone string
	// ID and Customer name the caller's request and its customer.
	ID, Customer       string
	Priority           int
	Size               generation.StreamSize
	CachedAt, Affinity string
	// Exclude lists the IDs of engines that the entry can't use for the attempt.
	Exclude []string
	// Waited is the time since the caller's request arrived, Objective that after which the first event is late, TimeLeft the time until the
	// request times out.
	Waited, Objective, TimeLeft time.Duration
	// Begun is set if the caller has a part of the stream, or if a target may have run the request before.
	Begun bool
	// Queued is set if the request repeats one that was queued.
	Queued bool
}

// Answer is what the coordinator answers to a Request. The entry places the stream itself if it is the zero value.
type Answer struct {
	// Engine and Address identify the engine, Ticket the reservation there.
	Engine, Address string
	Ticket          uint64
	// Queued is set if the stream must wait; the entry repeats its request. Position counts from 1.
	Queued   bool
	Position int
	// Refused is set if no engine is expected to have room in time.
	Refused    bool
	RetryAfter time.Duration
}

// ErrDeclined: the peer does not coordinate.
var ErrDeclined = errors.New("the entry does not coordinate placement")

// Transport sends messages to other entries. Errors of peers that do not coordinate wrap ErrDeclined.
type Transport interface {
	Place(ctx context.Context, peer membership.Peer, request Request) (Answer, error)
	Report(ctx context.Context, peer membership.Peer, report Report) error
}

// Local is the placement of this entry alone; *routing.Placement is one.
type Local interface {
	generation.RelayPlacer
	// Load returns this entry's streams and copies at the service's engines.
	Load(service string) []routing.EngineLoad
	// TakePaceSamples returns the observations since the last call.
	TakePaceSamples(service string) []routing.PaceSample
}

// View is the coordinator's view of one service; *routing.SharedView is one.
type View interface {
	Update(entry string, incarnation uint64, sequence int64, load []routing.EngineLoad, samples []routing.PaceSample, tickets []uint64)
	Place(query routing.SharedQuery) (engine *directory.Target, ticket uint64, wait time.Duration, ok bool)
	HasRoom(query routing.SharedQuery) bool
}

// Options configure a Manager.
type Options struct {
	// MinEntries is the number of live entries from which placement is shared; a negative value disables it.
	MinEntries int
	// NarrowLink is set if the link of this entry is too narrow for a coordinator.
	NarrowLink bool
	// Stopping reports whether the entry is shutting down; nil means never.
	Stopping func() bool
	// IsOutdated reports whether this entry's list of engines may lack those that have started a while ago; nil means never.
	IsOutdated func() bool
	Local      Local
	NewView    func() View
	View       membership.View
	Transport  Transport
	// Service returns the engine specification of a service, nil if it has none, and the engines that may get new work.
	Service func(name string) (*directory.EngineSpec, []*directory.Target)
	// Observe is called for each event; nil discards them.
	Observe func(Event)
	// Waited is called with the time that a stream of this entry has waited for room; nil discards it.
	Waited func(time.Duration)
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

const (
	// placeTimeout limits a placement request with all that it takes: the peers that decline, and a second query.
	placeTimeout = 60 * time.Millisecond
	// ticketTTL is how long a reservation lasts at the coordinator if no state includes it.
	ticketTTL = time.Second
	// maxQueries is the number of queries for one attempt: the second one excludes the engine that the entry can't use.
	maxQueries = 2
	// choiceTTL is the time after which further queries for a stream without an engine are counted from zero.
	choiceTTL = time.Second
	// maxExcluded limits the engines that a request excludes, since these take a dozen bytes each. A service that moves to another
	// version has half of its engines excluded at some time.
	maxExcluded = 256
	// maxNameBytes limits the IDs of a request and of its prompt, which callers choose, to what fits a message beside the state.
	maxNameBytes = 200
	// maxPaces is the number of pace observations in a message.
	maxPaces = 32
	// maxEngines limits the engines in a message to what fits a body of 64 KB beside maxExcluded and maxPaces IDs of 36 bytes.
	maxEngines = 250
)

// Manager shares the placement of streams with the other entries. It implements generation.RelayPlacer on top of Options.Local, and is safe
// for concurrent use.
type Manager struct {
	Local
	options     Options
	incarnation uint64
	stats       Stats
	// changed has a value after the state of a service has changed.
	changed chan struct{}
	// waiting has a value after a stream has started to wait here.
	waiting chan struct{}

	mu       sync.Mutex
	services map[string]*serviceState
	peers    map[string]*peerState
	ranks    map[string]ranking
	// choices are the streams that were placed a moment ago and have not begun an attempt, by request.
	choices   map[string]*choice
	fallbacks map[string]*fallbackCount

	// held is the number of requests that are held.
	held atomic.Int64
	// coordinatedMu guards what this entry does as the coordinator.
	coordinatedMu sync.Mutex
	coordinated   map[string]*coordination
}

// serviceState is what this entry has told of one service.
type serviceState struct {
	sequence int64
	// paces are the observations that no answered message had.
	paces []routing.PaceSample
	// included are the tickets that the next messages list.
	included []ticket
	// declinedUntil is the time until which no entry is asked, since too many declined.
	declinedUntil time.Time
	// following is the name of the entry that coordinates the service, to this entry's knowledge.
	following string
	// dirty is set once the state has changed since the last message, busy if that message had any engine. reporting is set while a
	// report is in flight; notBefore is when the next one may be sent.
	dirty, busy, reporting bool
	sentAt, notBefore      time.Time
}

// ticket is a reservation at the coordinator.
type ticket struct {
	number      uint64
	coordinator string
	at          time.Time
}

// choice is the choice of an engine for one attempt of a request.
type choice struct {
	at      time.Time
	queries int
	// service, engine and ticket are of the last answer; engine is empty without one.
	service, engine string
	ticket          ticket
}

// NewManager returns a Manager. Run sends the reports.
func NewManager(options Options) *Manager {
	if options.Observe == nil {
		options.Observe = func(Event) {}
	}
	if options.Waited == nil {
		options.Waited = func(time.Duration) {}
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Stopping == nil {
		options.Stopping = func() bool { return false }
	}
	if options.IsOutdated == nil {
		options.IsOutdated = func() bool { return false }
	}
	return &Manager{
		Local: options.Local, options: options, incarnation: uint64(options.Now().UnixNano()), changed: make(chan struct{}, 1), waiting: make(chan struct{}, 1),
		services: map[string]*serviceState{}, peers: map[string]*peerState{}, ranks: map[string]ranking{}, choices: map[string]*choice{},
		fallbacks: map[string]*fallbackCount{}, coordinated: map[string]*coordination{},
	}
}

// isShared reports whether placement is shared among that many live entries. It is not while the list of engines is outdated: engines that
// have started under another ID since are known only to the entries that have met them, and those that have ended look idle.
func (m *Manager) isShared(live int) bool {
	return m.options.MinEntries >= 0 && live >= m.options.MinEntries && !m.options.IsOutdated()
}

// shorten returns a name of at most maxNameBytes, which differs for names that differ.
func shorten(name string) string {
	if len(name) <= maxNameBytes {
		return name
	}
	const hashBytes = 16
	return fmt.Sprintf("%s%0*x", name[:maxNameBytes-hashBytes], hashBytes, xxhash.Sum64String(name))
}

// service returns the state of a service. The caller holds mu.
func (m *Manager) service(name string) *serviceState {
	state := m.services[name]
	if state == nil {
		state = &serviceState{}
		m.services[name] = state
	}
	return state
}

// AddStream implements generation.RelayPlacer.
func (m *Manager) AddStream(engine *directory.Target, size generation.StreamSize, read int) generation.PlacedStream {
	m.mu.Lock()
	// The load is changed and the ticket listed under the same lock as a message is made, which has both or neither.
	placed := m.Local.AddStream(engine, size, read)
	m.includeTicket(engine)
	m.markChanged(engine.Service)
	m.mu.Unlock()
	return &placedStream{PlacedStream: placed, manager: m, service: engine.Service}
}

// includeTicket lists the oldest ticket of a stream at the engine that has not begun. The caller holds mu.
func (m *Manager) includeTicket(engine *directory.Target) {
	var oldest string
	for request, each := range m.choices {
		if each.engine == engine.ID && each.service == engine.Service && (oldest == "" || each.ticket.at.Before(m.choices[oldest].ticket.at)) {
			oldest = request
		}
	}
	if oldest != "" {
		m.releaseUnused(m.choices[oldest])
		delete(m.choices, oldest)
	}
}

// markChanged has the state of a service be reported. The caller holds mu.
func (m *Manager) markChanged(service string) {
	if state := m.service(service); !state.dirty {
		state.dirty = true
		m.wake()
	}
}

// wake has Run look for reports that are due.
func (m *Manager) wake() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

func (m *Manager) recordChange(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.markChanged(service)
}

// AddCopy implements generation.RelayPlacer.
func (m *Manager) AddCopy(holder *directory.Target, size generation.StreamSize) (release func()) {
	releaseLocal := m.Local.AddCopy(holder, size)
	m.recordChange(holder.Service)
	return func() {
		releaseLocal()
		m.recordChange(holder.Service)
	}
}

// ReportLost implements generation.RelayPlacer.
func (m *Manager) ReportLost(engine *directory.Target) {
	m.Local.ReportLost(engine)
	m.recordChange(engine.Service)
}

// ReportRefused implements generation.RelayPlacer.
func (m *Manager) ReportRefused(engine *directory.Target) {
	m.Local.ReportRefused(engine)
	m.recordChange(engine.Service)
}

// placedStream records when the load of a stream changes. Only the goroutine that reads the stream uses it.
type placedStream struct {
	generation.PlacedStream
	manager *Manager
	service string
	begun   bool
}

// EventArrived implements generation.PlacedStream.
func (s *placedStream) EventArrived() {
	s.PlacedStream.EventArrived()
	if !s.begun {
		s.begun = true
		s.manager.recordChange(s.service)
	}
}

// Ended implements generation.PlacedStream.
func (s *placedStream) Ended() {
	s.PlacedStream.Ended()
	s.manager.recordChange(s.service)
}
