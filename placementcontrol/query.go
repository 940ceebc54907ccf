package placementcontrol

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/routing"
)

const (
	// declineTTL is how long an entry that declined is not asked again.
	declineTTL = 10 * time.Second
	// peerTTL is how long a peer that is not asked is remembered.
	peerTTL = 2 * declineTTL
	// maxDeclines is the number of peers that may decline one request.
	maxDeclines = 12
	// declinedPause is the time for which a service's streams are placed locally after maxDeclines peers declined in a row: where all
	// links are narrow, each stream would ask as many others.
	declinedPause = 2 * time.Second
	// A coordinator that failed twice in a row is not queried for minPause, twice as long after each further failure, up to maxPause.
	failuresToPause    = 2
	minPause, maxPause = time.Second, 4 * time.Second
)

// RankKey returns the key by which the entries are ranked for the placement of a service.
func RankKey(service string) string { return "placement/" + service }

// peerState is what this entry knows of another one as a coordinator.
type peerState struct {
	// declinedUntil is the time until which the peer is not asked again.
	declinedUntil time.Time
	// failures counts the placement requests in a row that it did not answer in time. After failuresToPause of them it is not queried
	// until pausedUntil; then a single request tries it, while trying is set.
	failures    int
	pausedUntil time.Time
	trying      bool
	usedAt      time.Time
}

// ranking is the order of the live entries for a service.
type ranking struct {
	live, ranked []membership.Peer
}

// rank returns the live entries in the order in which they coordinate the service. Their slice changes only with the membership. The
// caller holds mu.
func (m *Manager) rank(live []membership.Peer, service string) []membership.Peer {
	known := m.ranks[service]
	if len(known.live) != len(live) || len(live) > 0 && &known.live[0] != &live[0] {
		known = ranking{live, membership.Rank(live, RankKey(service))}
		m.ranks[service] = known
	}
	return known.ranked
}

// peer returns the state of a peer. The caller holds mu.
func (m *Manager) peer(name string) *peerState {
	state := m.peers[name]
	if state == nil {
		state = &peerState{}
		m.peers[name] = state
	}
	state.usedAt = m.options.Now()
	return state
}

// nextCoordinator returns the first live entry that has not declined; found is false if there is none.
func (m *Manager) nextCoordinator(live []membership.Peer, service string) (peer membership.Peer, found bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Now()
	if state := m.services[service]; state != nil && now.Before(state.declinedUntil) {
		return peer, false
	}
	self := m.options.View.Self().Name
	for _, each := range m.rank(live, service) {
		if each.Name == self {
			if m.accepts(len(live)) {
				return each, true
			}
			continue
		}
		if state := m.peers[each.Name]; state == nil || !now.Before(state.declinedUntil) {
			return each, true
		}
	}
	return peer, false
}

// recordDecline records that a peer does not coordinate.
func (m *Manager) recordDecline(peer membership.Peer, service string, declines int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peer(peer.Name).declinedUntil = m.options.Now().Add(declineTTL)
	if declines >= maxDeclines {
		m.service(service).declinedUntil = m.options.Now().Add(declinedPause)
	}
}

// query sends a request to the coordinator. If there is no answer, reason says why.
func (m *Manager) query(ctx context.Context, live []membership.Peer, request Request) (answer Answer, coordinator, reason string) {
	for declines := 0; declines < maxDeclines; {
		peer, found := m.nextCoordinator(live, request.Service)
		if !found {
			return Answer{}, "", ReasonDeclined
		}
		answer, reason, declined := m.queryPeer(ctx, peer, request)
		if !declined {
			return answer, peer.Name, reason
		}
		declines++
		m.recordDecline(peer, request.Service, declines)
	}
	return Answer{}, "", ReasonDeclined
}

// queryPeer sends a request to one entry, which may be this one.
func (m *Manager) queryPeer(ctx context.Context, peer membership.Peer, request Request) (answer Answer, reason string, declined bool) {
	isSelf := peer.Name == m.options.View.Self().Name
	begun := m.options.Now()
	isTrial := false
	if !isSelf {
		var ok bool
		if isTrial, ok = m.beginQueryOf(peer, begun); !ok {
			return Answer{}, ReasonPaused, false
		}
	}
	request.Report = m.nextReport(request.Service, peer.Name)
	var err error
	if isSelf {
		answer, err = m.Place(ctx, request)
	} else {
		answer, err = m.options.Transport.Place(ctx, peer, request)
		m.endQueryOf(ctx, peer, begun, isTrial, err)
	}
	m.recordSent(request.Report, peer.Name, err)
	switch {
	case err == nil:
		return answer, "", false
	case errors.Is(err, ErrDeclined):
		return Answer{}, "", true
	case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		return Answer{}, ReasonTimeout, false
	}
	return Answer{}, ReasonError, false
}

// beginQueryOf reports whether the peer may be queried now. isTrial is set for the only query after a pause.
func (m *Manager) beginQueryOf(peer membership.Peer, now time.Time) (isTrial, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peer(peer.Name).beginQuery(now)
}

// beginQuery is Manager.beginQueryOf.
func (p *peerState) beginQuery(now time.Time) (isTrial, ok bool) {
	if p.failures < failuresToPause {
		return false, true
	}
	if p.trying || now.Before(p.pausedUntil) {
		return false, false
	}
	p.trying = true
	return true, true
}

// endQueryOf records how a query of the peer that began at the time has ended.
func (m *Manager) endQueryOf(ctx context.Context, peer membership.Peer, begun time.Time, isTrial bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peer(peer.Name).endQuery(ctx, m.options.Now(), begun, placeTimeout, isTrial, err)
}

// endQuery records how a query with a timeout has ended, which began at the time.
func (p *peerState) endQuery(ctx context.Context, now, begun time.Time, timeout time.Duration, isTrial bool, err error) {
	if isTrial {
		p.trying = false
	}
	switch {
	case err == nil || errors.Is(err, ErrDeclined):
		p.failures = 0
		return
	case errors.Is(ctx.Err(), context.Canceled):
		return // the caller has left, which says nothing of the coordinator
	case ctx.Err() != nil && now.Sub(begun) < timeout/2:
		return // other peers took the time
	case !isTrial && p.failures >= failuresToPause:
		return // the query began before the pause
	}
	p.failures++
	if p.failures >= failuresToPause {
		p.pausedUntil = now.Add(min(maxPause, minPause<<min(p.failures-failuresToPause, 8)))
	}
}

// nextReport returns this entry's state for a message to the coordinator.
func (m *Manager) nextReport(service, coordinator string) Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Now()
	state := m.service(service)
	state.sequence++
	state.dirty, state.sentAt = false, now
	report := Report{
		Entry: m.options.View.Self().Name, Incarnation: m.incarnation, Sequence: state.sequence, Service: service,
		Engines: m.Local.Load(service), Paces: latest(append(state.paces, m.Local.TakePaceSamples(service)...), maxPaces),
	}
	state.paces = nil
	state.busy = len(report.Engines) > 0
	if len(report.Engines) > maxEngines {
		slices.SortFunc(report.Engines, func(a, b routing.EngineLoad) int {
			return cmp.Compare(b.PrefillTokens+b.ResidentTokens+b.CopyTokens, a.PrefillTokens+a.ResidentTokens+a.CopyTokens)
		})
		report.Engines = report.Engines[:maxEngines]
	}
	state.included = slices.DeleteFunc(state.included, func(each ticket) bool { return now.Sub(each.at) >= ticketTTL })
	for _, each := range state.included {
		if each.coordinator == coordinator {
			report.Tickets = append(report.Tickets, each.number)
		}
	}
	return report
}

// latest returns the last elements, up to a number of them.
func latest[T any](all []T, count int) []T { return all[max(0, len(all)-count):] }

// recordSent records whether a message was answered.
func (m *Manager) recordSent(report Report, coordinator string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.service(report.Service)
	if err != nil {
		m.markChanged(report.Service)
		state.paces = latest(append(report.Paces, state.paces...), maxPaces)
		return
	}
	state.included = slices.DeleteFunc(state.included, func(each ticket) bool {
		return each.coordinator == coordinator && slices.Contains(report.Tickets, each.number)
	})
	if state.following != coordinator {
		state.following = coordinator
		if coordinator != m.options.View.Self().Name {
			m.options.Observe(Event{Kind: EventCoordinator, Service: report.Service, Coordinator: coordinator, Role: RoleFollowing})
		}
	}
}
