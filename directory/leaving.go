package directory

import "time"

const (
	// lastResortTime is how long a target that says it leaves still gets requests if its service has no other one: less
	// than the two seconds after which it must get none.
	lastResortTime = 1500 * time.Millisecond
	// contradictedAfter is the age from which such a word no longer counts for the only targets of a service, if the
	// store has confirmed it for none of them: a target that leaves is draining or gone in the store by then.
	contradictedAfter = 4 * time.Second
)

// leavingReport is the word of a target, in an answer, that it leaves.
type leavingReport struct {
	target *Target
	at     time.Time
}

// ReportLeaving records that a target said in an answer that it leaves: it gets no new work, until another incarnation
// registers. This is one target's word, which may be wrong: it never leaves a service without targets for long. Other
// entries learn of the target from the store or from its answers. ReportLeaving never blocks. It discards the report if
// the queue is full; the next answer reports it again.
func (m *Manager) ReportLeaving(id string) {
	if target := m.Snapshot().Target(id); target == nil || target.Draining {
		return
	}
	select {
	case m.updates <- func(now time.Time) { m.recordLeaving(id, now) }:
	default:
	}
}

func (m *Manager) recordLeaving(id string, now time.Time) {
	known := m.known[id]
	if known == nil || m.saidLeaving(known) {
		return
	}
	m.leaving[id] = leavingReport{target: known, at: now}
	m.report(EventTargetSaysLeaving, known)
	m.publish()
}

// saidLeaving reports whether this incarnation of the target has said that it leaves.
func (m *Manager) saidLeaving(target *Target) bool {
	report, ok := m.leaving[target.ID]
	return ok && report.target.SameIncarnation(target)
}

// withLeaving returns the target as draining if it has said that it leaves.
func (m *Manager) withLeaving(target *Target) *Target {
	if target.Draining || !m.saidLeaving(target) {
		return target
	}
	draining := *target
	draining.Draining = true
	return &draining
}

// lastResorts returns the targets of a service without others that only their own word keeps from new work, and that get
// some all the same.
func (m *Manager) lastResorts(targets []*Target, now time.Time) []*Target {
	var usable []*Target
	for _, target := range targets {
		known := m.known[target.ID]
		if known.Draining || known.Unregistered || !m.saidLeaving(known) {
			continue
		}
		if age := now.Sub(m.leaving[target.ID].at); age < lastResortTime || age >= contradictedAfter {
			usable = append(usable, known)
		}
	}
	return usable
}
