package generation

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
)

// targetMonitors holds a monitor for each target with open streams, which detects that the target
// stopped answering. All streams of an entry at a target share the monitor: a probe that fails for
// one of them moves the others too, except those that have received an event since it was sent. It is
// safe for concurrent use.
type targetMonitors struct {
	connectivity *Connectivity
	// detour is the way through peers; nil for none.
	detour RelayDetour
	// targets returns the targets of a service that accept new work.
	targets func(service string) []*directory.Target

	mu       sync.Mutex
	monitors map[string]*targetMonitor
}

// targetMonitor monitors one incarnation of a target while streams are open there.
type targetMonitor struct {
	key       string
	target    *directory.Target
	streams   int
	probeDone chan struct{} // closed when the probe in progress ends
	// lastEvent is when the target last sent an event of any stream, in Unix nanoseconds; 0 if it has sent none.
	lastEvent atomic.Int64
	// answered reports whether the latest probe was answered, linkLost whether only peers reached the target.
	answered, linkLost bool
	// unreachable is closed when the target is found unreachable.
	unreachable   chan struct{}
	isUnreachable bool
	// failedProbeSentAt is when the probe was sent that found the target unreachable. It is set before unreachable is closed.
	failedProbeSentAt time.Time
}

func newTargetMonitors(shared *Connectivity, targets func(string) []*directory.Target, detour RelayDetour) *targetMonitors {
	return &targetMonitors{connectivity: shared, targets: targets, detour: detour, monitors: map[string]*targetMonitor{}}
}

// acquire returns the target's monitor and counts one more stream.
func (m *targetMonitors) acquire(target *directory.Target) *targetMonitor {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := target.Key()
	monitor := m.monitors[key]
	if monitor == nil || monitor.isUnreachable {
		monitor = &targetMonitor{key: key, target: target, unreachable: make(chan struct{})}
		m.monitors[key] = monitor
	}
	monitor.streams++
	return monitor
}

func (m *targetMonitors) release(monitor *targetMonitor) {
	m.mu.Lock()
	defer m.mu.Unlock()
	monitor.streams--
	if monitor.streams == 0 && m.monitors[monitor.key] == monitor {
		delete(m.monitors, monitor.key)
	}
}

// renew replaces an unreachable monitor for a stream that has received an event since the failed probe was sent.
func (m *targetMonitors) renew(monitor *targetMonitor) *targetMonitor {
	renewed := m.acquire(monitor.target)
	renewed.lastEvent.CompareAndSwap(0, monitor.lastEvent.Load())
	m.release(monitor)
	return renewed
}

// otherSilence counts the targets, besides one, with open streams of its service: those that have sent an event since a time, and those
// that sent some before it only.
func (m *targetMonitors) otherSilence(than *directory.Target, since time.Time) (active, silent int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, monitor := range m.monitors {
		last := monitor.lastEvent.Load()
		switch {
		case monitor.target.Service != than.Service || monitor.key == than.Key() || monitor.isUnreachable || last == 0:
		case last > since.UnixNano():
			active++
		default:
			silent++
		}
	}
	return active, silent
}

// markUnreachable ends the attempts of all streams at the target that have received no event since the failed probe was sent.
func (m *targetMonitors) markUnreachable(monitor *targetMonitor, probeSentAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !monitor.isUnreachable {
		monitor.isUnreachable = true
		monitor.failedProbeSentAt = probeSentAt
		close(monitor.unreachable)
	}
}

// controlCandidates returns the targets that a control check may probe: those of the service, and those with
// open streams, which also belong to other services.
func (m *targetMonitors) controlCandidates(service string) []*directory.Target {
	candidates := slices.Clone(m.targets(service))
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(m.monitors)) {
		if monitor := m.monitors[key]; !monitor.isUnreachable {
			candidates = append(candidates, monitor.target)
		}
	}
	return candidates
}

// probe starts a probe of the target, or joins the one in progress. The channel is closed when it
// ends; if the target was found unreachable, the monitor is marked so by then.
func (m *targetMonitors) probe(monitor *targetMonitor, service string) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if monitor.probeDone != nil {
		return monitor.probeDone
	}
	done := make(chan struct{})
	monitor.probeDone = done
	sentAt := time.Now()
	go func() {
		found := m.connectivity.examine(monitor.target, func() []*directory.Target { return m.controlCandidates(service) })
		if found == unreachable {
			m.markUnreachable(monitor, sentAt)
		}
		linkLost := found == undetermined && m.detour != nil && m.detour.Reaches(context.Background(), monitor.target)
		m.mu.Lock()
		monitor.probeDone = nil
		monitor.answered, monitor.linkLost = found == reachable, linkLost
		m.mu.Unlock()
		close(done)
	}()
	return done
}

// isLinkLost reports whether, by the latest probe, only peers reach the target.
func (m *targetMonitors) isLinkLost(monitor *targetMonitor) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return monitor.linkLost
}

// lastProbeAnswered reports whether the latest probe of the target was answered.
func (m *targetMonitors) lastProbeAnswered(monitor *targetMonitor) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return monitor.answered
}
