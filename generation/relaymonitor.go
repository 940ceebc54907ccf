package generation

import (
	"context"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
)

// targetMonitors holds a monitor for each target with open streams, which detects that the target
// stopped answering. All streams of an entry at a target share the monitor: a probe that fails for
// one of them moves the others too. It is safe for concurrent use.
type targetMonitors struct {
	mu       sync.Mutex
	monitors map[string]*targetMonitor
}

// targetMonitor monitors one incarnation of a target while streams are open there.
type targetMonitor struct {
	key       string
	streams   int
	probeDone chan struct{} // closed when the probe in progress ends
	// unreachable is closed when a probe of the target failed.
	unreachable   chan struct{}
	isUnreachable bool
}

func newTargetMonitors() *targetMonitors {
	return &targetMonitors{monitors: map[string]*targetMonitor{}}
}

// acquire returns the target's monitor and counts one more stream.
func (m *targetMonitors) acquire(target *directory.Target) *targetMonitor {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := target.Key()
	monitor := m.monitors[key]
	if monitor == nil || monitor.isUnreachable {
		monitor = &targetMonitor{key: key, unreachable: make(chan struct{})}
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

// markUnreachable ends the attempts of all streams at the target.
func (m *targetMonitors) markUnreachable(monitor *targetMonitor) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !monitor.isUnreachable {
		monitor.isUnreachable = true
		close(monitor.unreachable)
	}
}

// probe starts a probe of the target, or joins the one in progress. The channel is closed when it
// ends; if the target did not answer, the monitor is marked unreachable by then.
func (m *targetMonitors) probe(monitor *targetMonitor, connect func(context.Context) error, timeout time.Duration) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if monitor.probeDone != nil {
		return monitor.probeDone
	}
	done := make(chan struct{})
	monitor.probeDone = done
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		err := connect(ctx)
		if err != nil {
			m.markUnreachable(monitor)
		}
		m.mu.Lock()
		monitor.probeDone = nil
		m.mu.Unlock()
		close(done)
	}()
	return done
}
