package placementcontrol

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/membership"
)

const (
	// changeInterval is the least time between a message and a report of a change after it.
	changeInterval = 150 * time.Millisecond
	// keepInterval is the time between messages without a change, while the entry has streams.
	keepInterval = time.Second
	// reportTimeout limits a report. No stream waits for it.
	reportTimeout = 300 * time.Millisecond
	// failedReportDelay is the time after a report that failed until the next one.
	failedReportDelay = time.Second
)

// Run sends the reports, and has waiting streams get room, until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	var queue sync.WaitGroup
	defer queue.Wait()
	queue.Go(func() { m.runQueue(ctx) })
	for {
		timer := time.NewTimer(m.step(ctx))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		case <-m.changed:
			timer.Stop()
		}
	}
}

// step sends the reports that are due and returns the time until the next step.
func (m *Manager) step(ctx context.Context) time.Duration {
	now := m.options.Now()
	live := m.options.View.Live()
	m.flushFallbacks(now)
	m.endIdleCoordinations(now, m.accepts(len(live)))
	next := keepInterval
	var due []string
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sweep(now)
	if !m.isShared(len(live)) {
		return next
	}
	for service, state := range m.services {
		if spec, _ := m.options.Service(service); spec == nil || state.reporting {
			continue
		}
		at := now.Add(keepInterval)
		if state.busy {
			at = state.sentAt.Add(keepInterval)
		}
		if state.dirty {
			at = state.sentAt.Add(changeInterval)
		}
		if at.Before(state.notBefore) {
			at = state.notBefore
		}
		if now.Before(at) {
			next = min(next, at.Sub(now))
			continue
		}
		state.reporting = true
		due = append(due, service)
	}
	for _, service := range due {
		go m.report(ctx, live, service)
	}
	return next
}

// sweep removes what is no longer needed. The caller holds mu.
func (m *Manager) sweep(now time.Time) {
	for request, each := range m.choices {
		if now.Sub(each.at) >= choiceTTL {
			delete(m.choices, request)
		}
	}
	for name, state := range m.peers {
		if now.Sub(state.usedAt) > peerTTL {
			delete(m.peers, name)
		}
	}
}

// report reports the state of a service to its coordinator.
func (m *Manager) report(ctx context.Context, live []membership.Peer, service string) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	failed := true
	for declines := 0; declines < maxDeclines; {
		peer, found := m.nextCoordinator(live, service)
		if !found {
			break
		}
		report := m.nextReport(service, peer.Name)
		err := m.sendReport(ctx, peer, report)
		m.recordSent(report, peer.Name, err)
		if !errors.Is(err, ErrDeclined) {
			failed = err != nil
			break
		}
		declines++
		m.recordDecline(peer, service, declines)
	}
	if failed {
		m.stats.ReportsFailed.Add(1)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.service(service)
	state.reporting = false
	if failed {
		state.notBefore = m.options.Now().Add(failedReportDelay)
	}
	m.wake()
}

// sendReport sends a report to an entry, which may be this one.
func (m *Manager) sendReport(ctx context.Context, peer membership.Peer, report Report) error {
	if peer.Name == m.options.View.Self().Name {
		return m.Receive(report)
	}
	m.stats.ReportsSent.Add(1)
	return m.options.Transport.Report(ctx, peer, report)
}
