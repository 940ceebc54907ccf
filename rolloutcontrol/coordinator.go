package rolloutcontrol

import (
	"context"
	"errors"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"
	"github.com/azurebarrow/azurebarrow/rollout"
)

const (
	// lostEntryGrace is the time for which the requests of an entry that reports no more count as in progress: their callers may come
	// back to another entry for the rest of their streams.
	lostEntryGrace = reconnectGrace
	// writeRetryDelay is the time between two attempts to write a status.
	writeRetryDelay = 250 * time.Millisecond
	// writeTimeout limits one of them.
	writeTimeout = 2 * time.Second
)

// coordination is a rollout that this entry coordinates.
type coordination struct {
	plan  *rollout.Plan
	order rollout.Order
	// object is the order as it was last read from the store.
	object *directory.Rollout
	// entries are the last reports by entry; old and new are the evidence since the last step.
	entries  map[string]entryReport
	old, new rollout.Evidence
	// totalOld and totalNew are the evidence since this entry coordinates the rollout.
	totalOld, totalNew rollout.Evidence
	output             rollout.Output
	// rolledBack is the status to write if a former coordinator has decided so; the plan does not count then.
	rolledBack *rollout.Status
	// writing is set while a status is being written, nextWrite is when the next attempt may start.
	writing   bool
	nextWrite time.Time
	reported  error
}

// entryReport is what counts of the last report of an entry.
type entryReport struct {
	at            time.Time
	sequence      int64
	oldInProgress int
	stage         rollout.Stage
}

// Receive takes a report of an entry and returns what this entry, the coordinator, has decided. The answer is empty if this entry does
// not coordinate the order.
func (m *Manager) Receive(report Report) (Answer, error) {
	if !report.Old.Valid() || !report.New.Valid() || report.OldInProgress < 0 {
		return Answer{}, errInvalidReport
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.coordinated[report.Service]
	if c == nil || c.order.To != report.To {
		return Answer{}, nil
	}
	m.stats.ReportsReceived.Add(1)
	if report.Stage == rollout.RolledBack {
		c.adoptRollback()
	}
	if c.entries[report.Entry].sequence < report.Sequence {
		c.old.Add(report.Old)
		c.new.Add(report.New)
	}
	c.entries[report.Entry] = entryReport{
		at: m.options.Now(), sequence: report.Sequence, oldInProgress: report.OldInProgress, stage: report.Stage,
	}
	return Answer{To: c.order.To, Stage: c.output.Stage, Share: c.output.Share}, nil
}

// adoptRollback rolls back since a former coordinator has decided so, which may not have been able to write it.
func (c *coordination) adoptRollback() {
	if c.rolledBack != nil || c.output.Stage.Final() {
		return
	}
	c.rolledBack = &rollout.Status{
		State: rollout.StateRolledBack, To: c.order.To, Stage: rollout.RolledBack, Reason: "decided by a former coordinator",
	}
	c.output = rollout.Output{Stage: rollout.RolledBack}
}

var errInvalidReport = errors.New("the report is not valid")

// coordinate makes one step of each rollout that this entry coordinates.
func (m *Manager) coordinate(ctx context.Context, known map[string]*directory.Rollout, live []membership.Peer, interval time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.options.View.Self().Name
	for service := range m.coordinated {
		order := known[service]
		if order == nil || order.Ended() || coordinatorOf(service, live).Name != self {
			delete(m.coordinated, service)
		}
	}
	for service, order := range known {
		if order.Ended() || coordinatorOf(service, live).Name != self {
			continue
		}
		m.stepPlan(ctx, m.coordinationOf(service, order), live, interval)
	}
}

// coordinationOf returns this entry's coordination of an order, which continues from the status that the store holds. The caller holds mu.
func (m *Manager) coordinationOf(service string, known *directory.Rollout) *coordination {
	c := m.coordinated[service]
	if c == nil || c.order.To != known.Order.To || c.order.Duration != known.Order.Duration {
		c = &coordination{
			plan: rollout.NewPlan(m.options.Bounds), order: known.Order, object: known, entries: map[string]entryReport{},
		}
		if known.Status.State != "" {
			c.plan.Resume(m.options.Now(), c.order, known.Status)
		}
		if state := m.services[service]; state != nil && state.order.To == c.order.To && state.stage == rollout.RolledBack {
			c.adoptRollback()
		}
		m.coordinated[service] = c
	}
	if known.Revision > c.object.Revision {
		c.object = known
	}
	return c
}

// stepPlan makes one step of a plan and starts to write the status that it returns. The caller holds mu.
func (m *Manager) stepPlan(ctx context.Context, c *coordination, live []membership.Peer, interval time.Duration) {
	now := m.options.Now()
	input := rollout.Input{Order: &c.order, Old: c.old, New: c.new, ReportInterval: interval}
	input.OldRegistered, input.NewReady = m.countTargets(c.order)
	input.OldInProgress, input.Unconfirmed = c.inProgress(live, now)
	c.totalOld.Add(c.old)
	c.totalNew.Add(c.new)
	c.old, c.new = rollout.Evidence{}, rollout.Evidence{}
	before := c.output
	if c.rolledBack != nil {
		c.output = rollout.Output{Stage: rollout.RolledBack, Write: c.rolledBack}
	} else {
		c.output = c.plan.Step(now, input)
	}
	if c.output.Invalid != nil && c.reported == nil {
		m.observe(Event{Kind: EventIgnored, Order: c.order, Err: c.output.Invalid})
	}
	c.reported = c.output.Invalid
	if c.output.Verdict != before.Verdict && c.output.Verdict.Decision != rollout.Undecided {
		m.observe(Event{Kind: EventVerdict, Order: c.order, Stage: c.output.Stage, Share: c.output.Share, Verdict: c.output.Verdict})
	}
	if c.output.Write == nil || c.writing || now.Before(c.nextWrite) {
		return
	}
	c.writing = true
	object, status := *c.object, *c.output.Write
	object.Order = c.order // with the time of the order, which the store may not know yet
	go m.writeStatus(ctx, c, &object, status)
}

// countTargets returns the known targets of other versions, and the targets of the order's version that may get work. Unregistered ones
// count too: objects expire while the store is unavailable, although their targets run.
func (m *Manager) countTargets(order rollout.Order) (old, ready int) {
	snapshot := m.options.Snapshot()
	for _, target := range snapshot.KnownTargets(order.Service) {
		if target.Version != order.To {
			old++
		}
	}
	for _, target := range snapshot.AvailableTargets(order.Service) {
		if target.Version == order.To && !target.Unregistered {
			ready++
		}
	}
	return old, ready
}

// inProgress returns the requests that are in progress at other versions, and the number of live entries that may send more there.
func (c *coordination) inProgress(live []membership.Peer, now time.Time) (count, unconfirmed int) {
	for _, entry := range live {
		last, reported := c.entries[entry.Name]
		if !reported || now.Sub(last.at) > rollout.MaxShareAge || last.stage != rollout.Drain {
			unconfirmed++
		}
	}
	isLive := make(map[string]bool, len(live))
	for _, entry := range live {
		isLive[entry.Name] = true
	}
	for name, last := range c.entries {
		if !isLive[name] && now.Sub(last.at) > lostEntryGrace {
			delete(c.entries, name)
			continue
		}
		count += last.oldInProgress
	}
	return count, unconfirmed
}

// writeStatus writes a status to the store. What the store holds already is final: on a conflict the plan continues from it.
func (m *Manager) writeStatus(ctx context.Context, c *coordination, object *directory.Rollout, status rollout.Status) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := m.options.Store.WriteRolloutStatus(ctx, object, status)
	var read *directory.Rollout
	if err == nil || objects.IsConflict(err) {
		var readErr error
		if read, readErr = m.options.Store.ReadRollout(ctx, object.Name); readErr != nil && err == nil {
			read = nil // the status is written; the directory brings the revision
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c.writing, c.nextWrite = false, m.options.Now().Add(writeRetryDelay)
	if err == nil {
		c.plan.Written(status)
		c.nextWrite = time.Time{}
	} else if ctx.Err() == nil || !errors.Is(err, context.Canceled) {
		m.observe(Event{Kind: EventStatusRefused, Order: c.order, Stage: status.Stage, Share: status.Share, Err: err})
	}
	if read == nil || read.Revision < c.object.Revision || read.Order.To != c.order.To || read.Order.Duration != c.order.Duration {
		return // the directory brings the order that the store holds
	}
	c.object = read
	switch {
	case err == nil:
	case read.Status == status:
		c.plan.Written(status) // the answer to an earlier write was lost
		c.nextWrite = time.Time{}
	case read.Status.Final():
		c.plan.Resume(m.options.Now(), c.order, read.Status)
	}
}

// Status is the state of a rollout that this entry coordinates.
type Status struct {
	Service string        `json:"service"`
	To      string        `json:"to"`
	Stage   rollout.Stage `json:"stage"`
	Share   float64       `json:"share"`
	// Decision is "good", "bad" or "undecided", Reason why it is bad.
	Decision string `json:"decision"`
	Reason   string `json:"reason,omitempty"`
	// Entries is the number of entries that reported, OldInProgress the requests that they have at the old version.
	Entries       int              `json:"entries"`
	OldInProgress int              `json:"oldInProgress"`
	Old           rollout.Evidence `json:"old"`
	New           rollout.Evidence `json:"new"`
}

// decisionNames are the decisions as Status names them.
var decisionNames = map[rollout.Decision]string{rollout.Undecided: "undecided", rollout.Good: "good", rollout.Bad: "bad"}

// Coordinated returns the rollouts that this entry coordinates.
func (m *Manager) Coordinated() []Status {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	all := []Status{}
	for service, c := range m.coordinated {
		status := Status{
			Service: service, To: c.order.To, Stage: c.output.Stage, Share: c.output.Share, Decision: decisionNames[c.output.Verdict.Decision],
			Reason: c.output.Verdict.Reason, Entries: len(c.entries),
		}
		for _, last := range c.entries {
			status.OldInProgress += last.oldInProgress
		}
		status.Old.Add(c.totalOld)
		status.New.Add(c.totalNew)
		all = append(all, status)
	}
	return all
}
