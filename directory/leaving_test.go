package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// leavingManager returns a manager with targets, whose control goroutine the test plays.
func leavingManager(targets ...*Target) *Manager {
	m := NewManager(Options{})
	for _, target := range targets {
		m.known[target.ID] = target
	}
	m.targetsKnown = true
	m.publish()
	return m
}

func (m *Manager) availableIDs(service string) []string {
	var ids []string
	for _, target := range m.Snapshot().AvailableTargets(service) {
		ids = append(ids, target.ID)
	}
	return ids
}

func leavingTarget(id, address string, started int64) *Target {
	return &Target{ID: id, Address: address, Service: "desk", StartedMs: started}
}

// Guards against new work for a target that said it leaves, while the store doesn't say so yet.
func TestTargetThatSaysItLeavesGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	m := leavingManager(leavingTarget("a", "a:1", 1), leavingTarget("b", "b:1", 1))
	m.recordLeaving("a", time.Now())
	is.Equal(m.availableIDs("desk"), []string{"b"})
	is.True(m.Snapshot().Target("a") != nil)
	m.known["a"] = leavingTarget("a", "a:1", 1) // the same incarnation registers again
	m.publish()
	is.Equal(m.availableIDs("desk"), []string{"b"})
	m.known["a"] = leavingTarget("a", "a:1", 2) // another one starts under the ID
	m.publish()
	is.Equal(m.availableIDs("desk"), []string{"a", "b"})
	m.recordLeaving("unknown", time.Now())
	is.Equal(m.availableIDs("desk"), []string{"a", "b"})
}

// Guards against a wrong or hostile word of all targets of a service that leaves it without any, and against new work
// for the last one of a service that really leaves.
func TestWordsOfAllTargetsNeverEmptyTheirServiceForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := leavingManager(leavingTarget("a", "a:1", 1), leavingTarget("b", "b:1", 1), leavingTarget("c", "c:1", 1))
		for _, id := range []string{"a", "b", "c"} {
			m.recordLeaving(id, time.Now())
		}
		is.Equal(m.availableIDs("desk"), []string{"a", "b", "c"}) // the last resort
		time.Sleep(lastResortTime)
		m.publish()
		is.Equal(len(m.availableIDs("desk")), 0)
		time.Sleep(contradictedAfter - lastResortTime)
		m.publish()
		is.Equal(m.availableIDs("desk"), []string{"a", "b", "c"}) // the store contradicts them

		confirmed := leavingTarget("a", "a:1", 1)
		confirmed.Draining = true
		m.known["a"] = confirmed
		m.publish()
		is.Equal(m.availableIDs("desk"), []string{"b", "c"})
	})
}
