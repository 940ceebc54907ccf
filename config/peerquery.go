package config

import (
	"context"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/membership"
)

// maxQueriedPeers is the maximum number of peers that a starting entry queries.
const maxQueriedPeers = 6

// startPeerQuery queries a few peers for their whole configuration. The channel receives one value,
// which is true if a peer answered that has a configuration in force.
func (m *Manager) startPeerQuery(ctx context.Context) <-chan bool {
	peersReady := make(chan bool, 1)
	go func() { peersReady <- m.queryPeers(ctx) }()
	return peersReady
}

// startPeerQueryLater queries peers again after a pause: membership may not list any yet, or those queried
// may still be starting themselves.
func (m *Manager) startPeerQueryLater(ctx context.Context) <-chan bool {
	peersReady := make(chan bool, 1)
	go func() {
		_ = wait.For(ctx, m.jitter.spread(roleInterval))
		peersReady <- m.queryPeers(ctx)
	}()
	return peersReady
}

// queryPeers applies the configurations of a few peers and reports whether one of these is in force. The whole configuration comes
// from the first one that answers, since several copies at once fill a slow link; the others add what that one lacks.
func (m *Manager) queryPeers(ctx context.Context) bool {
	peers := m.peersToQuery()
	first := m.queryFirst(ctx, peers)
	if first < 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	answers := make(chan bool, len(peers))
	for i, peer := range peers {
		if i == first {
			answers <- true
			continue
		}
		go func() { answers <- m.queryPeer(ctx, peer) }()
	}
	for range peers {
		<-answers
	}
	return true
}

// queryFirst queries the peers one after the other until one has answered that has a configuration in force, and returns its index; -1
// if none has. A query that takes long is not cut, but after pauses that double the next peer is queried beside it.
func (m *Manager) queryFirst(ctx context.Context, peers []membership.Peer) int {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		index int
		ready bool
	}
	answers := make(chan answer, len(peers))
	patience := peerQueryTimeout
	next, pending := 0, 0
	for {
		var overdue <-chan time.Time
		if next < len(peers) {
			index := next
			go func() { answers <- answer{index, m.queryPeer(ctx, peers[index])} }()
			next++
			pending++
			overdue = time.After(patience)
		}
		if pending == 0 {
			return -1
		}
		select {
		case got := <-answers:
			pending--
			if got.ready {
				return got.index
			}
		case <-overdue:
			patience *= 2
		case <-ctx.Done():
			return -1
		}
	}
}

// peersToQuery returns the peers to query, from all availability zones: those of its own zone first, and
// of each group the preferred ones first.
func (m *Manager) peersToQuery() []membership.Peer {
	if m.options.Peers == nil {
		return nil
	}
	self, live := m.options.View.Self(), m.options.View.Live()
	var chosen []membership.Peer
	seen := map[string]bool{self.Name: true}
	for group := range sourceGroups {
		for _, peer := range rankedSources(live, self, group) {
			if !seen[peer.Name] && len(chosen) < maxQueriedPeers {
				seen[peer.Name] = true
				chosen = append(chosen, peer)
			}
		}
	}
	return chosen
}

// queryPeer applies what a peer knows and this entry lacks, and reports whether the peer has a configuration in force.
func (m *Manager) queryPeer(ctx context.Context, peer membership.Peer) bool {
	update, err := m.options.Peers.Follow(ctx, peer, m.store.acceptedPositions(), 0)
	if err != nil {
		m.observe(Event{Kind: EventSourceFailed, Source: peer.Name, Err: err})
		return false
	}
	m.apply(peer.Name, update.Deltas)
	return update.Ready
}
