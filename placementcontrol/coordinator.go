package placementcontrol

import (
	"context"
	"time"

	"github.com/azurebarrow/azurebarrow/admission"
	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/routing"
)

const (
	// stateTTL is how long the state of an entry that sends nothing counts.
	stateTTL = 3 * time.Second
	// coordinationTTL is the time without messages after which this entry no longer coordinates a service.
	coordinationTTL = 10 * time.Second
)

// coordination is what this entry knows of a service that it coordinates. Manager.coordinatedMu guards it.
type coordination struct {
	service string
	view    View
	usedAt  time.Time
	// heard is when each entry sent its last message.
	heard map[string]time.Time
	// queue orders the streams that wait for room. waiters are their requests by queueID.
	queue     *admission.StreamQueue
	waiters   map[string]*waiter
	decidedAt time.Time
}

// accepts reports whether this entry coordinates, among that many live entries.
func (m *Manager) accepts(live int) bool {
	return m.isShared(live) && !m.options.NarrowLink && !m.options.Stopping()
}

// coordinate returns the coordination of a service after the entry's state was taken over. The caller holds coordinatedMu.
func (m *Manager) coordinate(report *Report) *coordination {
	c := m.coordinated[report.Service]
	if c == nil {
		c = &coordination{
			service: report.Service, view: m.options.NewView(), heard: map[string]time.Time{}, waiters: map[string]*waiter{},
			queue: admission.NewStreamQueue(admission.StreamQueueOptions{Now: m.options.Now, Seed: m.incarnation}),
		}
		m.coordinated[report.Service] = c
		m.options.Observe(Event{Kind: EventCoordinator, Service: report.Service, Coordinator: m.options.View.Self().Name, Role: RoleCoordinating})
	}
	c.usedAt = m.options.Now()
	c.heard[report.Entry] = c.usedAt
	c.view.Update(report.Entry, report.Incarnation, report.Sequence, report.Engines, report.Paces, report.Tickets)
	return c
}

// Place answers the placement request of an entry. A request that repeats one that was queued is held for a while. It returns ErrDeclined
// if this entry does not coordinate.
func (m *Manager) Place(ctx context.Context, request Request) (Answer, error) {
	if !m.accepts(len(m.options.View.Live())) {
		m.stats.Declined.Add(1)
		return Answer{}, ErrDeclined
	}
	m.stats.RequestsReceived.Add(1)
	spec, engines := m.options.Service(request.Service)
	if spec == nil || len(engines) == 0 {
		return Answer{}, nil // this entry does not know of the service or its engines yet
	}
	query := m.sharedQuery(&request, spec, engines)
	m.coordinatedMu.Lock()
	c := m.coordinate(&request.Report)
	if ctx.Err() != nil { // after a pause, many wait that their entries have given up: each would reserve an engine
		m.coordinatedMu.Unlock()
		return Answer{}, ctx.Err()
	}
	if request.Begun || request.ID == "" {
		defer m.coordinatedMu.Unlock()
		return c.place(query), nil
	}
	w, holds, answer := m.enqueue(c, &request, query)
	m.coordinatedMu.Unlock()
	if w == nil {
		return answer, nil
	}
	return m.hold(ctx, c, w, holds, &request)
}

// place chooses the engine for a stream.
func (c *coordination) place(query routing.SharedQuery) Answer {
	engine, number, _, ok := c.view.Place(query)
	if !ok {
		return Answer{}
	}
	return Answer{Engine: engine.ID, Address: engine.Address, Ticket: number}
}

// sharedQuery returns the query for an entry's request.
func (m *Manager) sharedQuery(request *Request, spec *directory.EngineSpec, engines []*directory.Target) routing.SharedQuery {
	return routing.SharedQuery{
		RelayQuery: generation.RelayQuery{
			Service: request.Service, Request: request.ID, Customer: request.Customer, Priority: request.Priority, Objective: request.Objective,
			Deadline: m.options.Now().Add(request.TimeLeft), Begun: request.Begun, Engines: engines, Spec: spec, Size: request.Size,
			Affinity: request.Affinity, CachedAt: request.CachedAt, Exclude: request.Exclude,
		},
		Entry: request.Entry, AvailabilityZone: request.Zone, Objective: request.Objective,
	}
}

// Receive takes the report of an entry over. It returns ErrDeclined if this entry does not coordinate.
func (m *Manager) Receive(report Report) error {
	if !m.accepts(len(m.options.View.Live())) {
		m.stats.Declined.Add(1)
		return ErrDeclined
	}
	m.stats.ReportsReceived.Add(1)
	if spec, _ := m.options.Service(report.Service); spec == nil {
		return nil // this entry does not know of the service yet
	}
	m.coordinatedMu.Lock()
	defer m.coordinatedMu.Unlock()
	m.decide(m.coordinate(&report))
	return nil
}

// endIdleCoordinations ends the coordination of services for which no messages arrive, of all if this entry does not coordinate.
func (m *Manager) endIdleCoordinations(now time.Time, accepts bool) {
	m.coordinatedMu.Lock()
	defer m.coordinatedMu.Unlock()
	for service, c := range m.coordinated {
		for entry, at := range c.heard {
			if now.Sub(at) > stateTTL {
				delete(c.heard, entry)
			}
		}
		if !accepts || now.Sub(c.usedAt) > coordinationTTL {
			delete(m.coordinated, service)
			// The entries of waiting streams ask the next coordinator.
			for _, w := range c.waiters {
				w.answerHeld(held{err: ErrDeclined})
			}
			m.options.Observe(Event{Kind: EventCoordinator, Service: service, Coordinator: m.options.View.Self().Name, Role: RoleStopped})
		}
	}
}

// CoordinatedCount returns the number of services that this entry coordinates.
func (m *Manager) CoordinatedCount() int {
	m.coordinatedMu.Lock()
	defer m.coordinatedMu.Unlock()
	return len(m.coordinated)
}

// StateAge returns the age of the oldest state that counts where this entry coordinates.
func (m *Manager) StateAge() time.Duration {
	m.coordinatedMu.Lock()
	defer m.coordinatedMu.Unlock()
	now := m.options.Now()
	var oldest time.Duration
	for _, c := range m.coordinated {
		for _, at := range c.heard {
			if age := now.Sub(at); age <= stateTTL {
				oldest = max(oldest, age)
			}
		}
	}
	return oldest
}
