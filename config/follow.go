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
	// followersPerEntry is the number of entries of its availability zone that follow one entry. Each sends a change that many times,
	// and once more to another zone.
	followersPerEntry = 2
	// followWait is how long one call to a peer waits for a change.
	followWait = 10 * time.Second
	// peerSilenceTimeout is how long after the end of followWait an entry waits for an answer of any
	// peer before it watches the platform itself.
	peerSilenceTimeout = 2 * time.Second
	// failedPeerBackoff is how long a peer is not followed after it failed to answer.
	failedPeerBackoff = 2 * time.Second

	// watchRankKey is the key by which the entries of an availability zone are ranked as watchers.
	watchRankKey = "configuration-watch"
)

// sourceGroup selects the peers from which one loop chooses the peer to follow.
type sourceGroup int

const (
	ownZone sourceGroup = iota
	otherZones
	sourceGroups // the number of groups
)

// sourceHealth records which peers failed, and when any peer last answered.
type sourceHealth struct {
	mu sync.Mutex
	// failed holds the time of the last failure by peer name.
	failed     map[string]time.Time
	lastAnswer time.Time
}

func (h *sourceHealth) recordFailure(name string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failed == nil {
		h.failed = map[string]time.Time{}
	}
	h.failed[name] = now
}

func (h *sourceHealth) recordAnswer(name string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.failed, name)
	h.lastAnswer = now
}

// usable reports whether the last failure of the peer, if any, is at least failedPeerBackoff ago.
func (h *sourceHealth) usable(name string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.failed[name]
	return !ok || now.Sub(at) >= failedPeerBackoff
}

// silent reports whether no peer has answered for peerSilenceTimeout beyond the wait of a call. A peer
// without changes answers only after followWait, so that a pending call counts as silence only once it
// is overdue.
func (h *sourceHealth) silent(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.lastAnswer) > followWait+peerSilenceTimeout
}

// mustWatch reports whether this entry has to watch the platform: it is one of the watchers of its
// availability zone, or no peer answers it.
func (m *Manager) mustWatch() bool {
	self := m.options.View.Self()
	for _, watcher := range watchersOf(m.options.View.Live(), self.AvailabilityZone) {
		if watcher.Name == self.Name {
			return true
		}
	}
	return m.options.Peers == nil || m.sources.silent(time.Now())
}

// watchersOf returns the entries of an availability zone that watch the platform for the others.
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

// followPeers follows one peer of the group at a time. When that peer fails, it follows another one.
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
		m.sources.recordFailure(source.Name, time.Now())
		m.observe(Event{Kind: EventSourceFailed, Source: source.Name, Err: err})
		return err
	}
	m.sources.recordAnswer(source.Name, time.Now())
	m.apply(source.Name, update.Deltas)
	return nil
}

// Follow returns the changes that a peer at the given positions lacks. It returns at once if there are
// any, else after the next change, at the latest after wait.
func (m *Manager) Follow(ctx context.Context, positions []Position, wait time.Duration) Update {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		changed := m.store.nextChange()
		deltas := limitDeltas(m.store.changesSince(positions), positions, m.options.MaxUpdateBytes)
		if hasContent(deltas) {
			return Update{Ready: m.Ready(), Deltas: deltas}
		}
		select {
		case <-changed:
		case <-timeout.C:
			return Update{Ready: m.Ready(), Deltas: m.store.changesSince(positions)}
		case <-ctx.Done():
			return Update{Ready: m.Ready()}
		case <-m.stopped:
			return Update{Ready: m.Ready()}
		}
	}
}

// hasContent reports whether deltas contain objects, or full lists. Deltas that only advance revisions
// are no reason to answer a waiting peer.
func hasContent(deltas []Delta) bool {
	for _, delta := range deltas {
		if delta.Full || len(delta.Items) > 0 {
			return true
		}
	}
	return false
}
