package config

import (
	"context"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/membership"
)

const (
	// watchersPerZone is the number of entries in an availability zone that watch the platform.
	watchersPerZone = 2
	// questionedPeers is the number of peers that a starting entry asks.
	questionedPeers = 6
	// followWait is how long one call to a peer waits for a change.
	followWait = 10 * time.Second
	// peerSilence is the time without any peer's answer after which an entry watches by itself.
	peerSilence = 2 * time.Second
	// failedSourceRest is how long a peer that did not answer is not chosen again.
	failedSourceRest = 2 * time.Second

	watchRankKey = "configuration-watch"
)

// sourceGroup selects the peers that one loop follows.
type sourceGroup int

const (
	ownZone sourceGroup = iota
	otherZones
	sourceGroups
)

// sourceHealth remembers which peers failed, and when one last answered.
type sourceHealth struct {
	mu       sync.Mutex
	failed   map[string]time.Time
	answered time.Time
}

func (h *sourceHealth) noteFailure(name string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failed == nil {
		h.failed = map[string]time.Time{}
	}
	h.failed[name] = now
}

func (h *sourceHealth) noteAnswer(name string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.failed, name)
	h.answered = now
}

func (h *sourceHealth) usable(name string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.failed[name]
	return !ok || now.Sub(at) >= failedSourceRest
}

// silent tells whether no peer has answered for peerSilence. A pending call counts as silence
// only when it is overdue, so that an idle peer is not taken for a silent one.
func (h *sourceHealth) silent(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.answered) > followWait+peerSilence
}

// mustWatch tells whether this entry watches the platform: when it ranks among the first of its
// availability zone, or when it hears from no peer.
func (m *Manager) mustWatch() bool {
	self := m.options.View.Self()
	for _, watcher := range watchersOf(m.options.View.Live(), self.AvailabilityZone) {
		if watcher.Name == self.Name {
			return true
		}
	}
	return m.options.Peers == nil || m.sources.silent(time.Now())
}

// watchersOf returns the entries of a zone that watch the platform.
func watchersOf(live []membership.Peer, zone string) []membership.Peer {
	var local []membership.Peer
	for _, peer := range live {
		if peer.AvailabilityZone == zone {
			local = append(local, peer)
		}
	}
	ranked := membership.Rank(local, watchRankKey)
	return ranked[:min(len(ranked), watchersPerZone)]
}

// followPeers follows one peer of the group at a time, and another one when it fails.
func (m *Manager) followPeers(ctx context.Context, group sourceGroup) {
	if m.options.Peers == nil {
		return
	}
	retry := m.jitter.backoff()
	for ctx.Err() == nil {
		source, ok := m.chooseSource(group)
		if !ok {
			_ = wait.For(ctx, m.jitter.spread(roleInterval))
			continue
		}
		if err := m.followOnce(ctx, source); err != nil {
			_ = wait.For(ctx, retry.next())
			continue
		}
		retry.reset()
	}
}

func (m *Manager) followOnce(ctx context.Context, source membership.Peer) error {
	update, err := m.options.Peers.Follow(ctx, source, m.store.positions(), m.jitter.spread(followWait))
	if err != nil {
		m.sources.noteFailure(source.Name, time.Now())
		m.observe(Event{Kind: EventSourceFailed, Source: source.Name, Err: err})
		return err
	}
	m.sources.noteAnswer(source.Name, time.Now())
	m.apply(source.Name, update.Deltas)
	return nil
}

// chooseSource returns the first usable peer: in the own zone a watcher, else any other; in the
// other zones a watcher of the zone that ranks first for this entry.
func (m *Manager) chooseSource(group sourceGroup) (membership.Peer, bool) {
	self := m.options.View.Self()
	now := time.Now()
	for _, peer := range candidates(m.options.View.Live(), self, group) {
		if peer.Name != self.Name && m.sources.usable(peer.Name, now) {
			return peer, true
		}
	}
	return membership.Peer{}, false
}

func candidates(live []membership.Peer, self membership.Peer, group sourceGroup) []membership.Peer {
	var watchers, others []membership.Peer
	zones := map[string]bool{}
	for _, peer := range live {
		if (peer.AvailabilityZone == self.AvailabilityZone) != (group == ownZone) {
			continue
		}
		others = append(others, peer)
		if !zones[peer.AvailabilityZone] {
			zones[peer.AvailabilityZone] = true
			watchers = append(watchers, watchersOf(live, peer.AvailabilityZone)...)
		}
	}
	// Ranking by the own name spreads the followers over the sources.
	chosen := membership.Rank(watchers, self.Name)
	return append(chosen, membership.Rank(others, self.Name)...)
}

// Follow answers a peer that knows what positions say: at once when this entry knows more, else
// after a change or wait.
func (m *Manager) Follow(ctx context.Context, positions []Position, wait time.Duration) Update {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		changed := m.store.change()
		deltas := m.store.since(positions)
		if hasContent(deltas) {
			return Update{Ready: m.Ready(), Deltas: deltas}
		}
		select {
		case <-changed:
		case <-timeout.C:
			return Update{Ready: m.Ready(), Deltas: m.store.since(positions)}
		case <-ctx.Done():
			return Update{Ready: m.Ready()}
		case <-m.stopped:
			return Update{Ready: m.Ready()}
		}
	}
}

// askPeers asks a few peers for all they know. The channel gets one value: whether a peer that
// has a configuration in force answered.
func (m *Manager) askPeers(ctx context.Context) <-chan bool {
	asked := make(chan bool, 1)
	go func() { asked <- m.questionPeers(ctx) }()
	return asked
}

// askPeersLater asks again after a pause: peers may not be known yet, or not be ready either.
func (m *Manager) askPeersLater(ctx context.Context) <-chan bool {
	asked := make(chan bool, 1)
	go func() {
		_ = wait.For(ctx, m.jitter.spread(roleInterval))
		asked <- m.questionPeers(ctx)
	}()
	return asked
}

func (m *Manager) questionPeers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, peerQuestionTimeout)
	defer cancel()
	answers := make(chan bool, questionedPeers)
	peers := m.questionedPeers()
	for _, peer := range peers {
		go func() { answers <- m.questionPeer(ctx, peer) }()
	}
	ready := false
	for range peers {
		if <-answers {
			ready = true
		}
	}
	return ready
}

// questionedPeers returns peers of all zones, the watchers first.
func (m *Manager) questionedPeers() []membership.Peer {
	if m.options.Peers == nil {
		return nil
	}
	self, live := m.options.View.Self(), m.options.View.Live()
	var chosen []membership.Peer
	seen := map[string]bool{self.Name: true}
	for group := range sourceGroups {
		for _, peer := range candidates(live, self, group) {
			if !seen[peer.Name] && len(chosen) < questionedPeers {
				seen[peer.Name] = true
				chosen = append(chosen, peer)
			}
		}
	}
	return chosen
}

func (m *Manager) questionPeer(ctx context.Context, peer membership.Peer) bool {
	nothing := []Position{}
	update, err := m.options.Peers.Follow(ctx, peer, nothing, 0)
	if err != nil {
		return false
	}
	m.apply(peer.Name, update.Deltas)
	return update.Ready
}

// hasContent tells whether deltas hold more than positions, for which nobody needs to be woken.
func hasContent(deltas []Delta) bool {
	for _, delta := range deltas {
		if delta.Full || len(delta.Items) > 0 {
			return true
		}
	}
	return false
}
