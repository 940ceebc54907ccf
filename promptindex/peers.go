package promptindex

import (
	"context"
	"slices"
	"time"

	"github.com/azurebarrow/azurebarrow/membership"
)

// Peers is the port to the prompt locations that other entries keep.
type Peers interface {
	// Tell tells a peer the engine that prefills a prompt.
	Tell(ctx context.Context, peer membership.Peer, prompt, engine string) error
	// Find returns the engine that a peer was told for the prompt; empty if it was told none.
	Find(ctx context.Context, peer membership.Peer, prompt string) (engine string, err error)
}

// View is the port to the entries that exist.
type View interface {
	Self() membership.Peer
	Live() []membership.Peer
}

const (
	// toldPeers is the number of peers that are told where a prompt is prefilled, so that it is known when one of them is
	// lost together with this entry. It doesn't grow with the fleet.
	toldPeers = 2
	// askedPeers is one more: the entry that was lost ranks among the peers until it is known to be lost.
	askedPeers = toldPeers + 1
	// maxTells limits the messages to peers that are under way; further ones are left to the store.
	maxTells    = 256
	tellTimeout = 300 * time.Millisecond
	// peersHeadStart is the time after which the store is read too. A peer in the region answers in a few milliseconds.
	peersHeadStart = 30 * time.Millisecond
)

// keepers returns the first count of the other live entries by rendezvous hashing of the prompt: whoever is asked for a
// prompt finds those that were told of it.
func (m *Manager) keepers(prompt string, count int) []membership.Peer {
	self := m.options.View.Self()
	others := slices.DeleteFunc(slices.Clone(m.options.View.Live()), func(peer membership.Peer) bool { return peer.Name == self.Name })
	ranked := membership.Rank(others, prompt)
	return ranked[:min(count, len(ranked))]
}

// tellPeers tells the prompt's keepers of its engine. Streams don't wait for it.
func (m *Manager) tellPeers(prompt, engine string) {
	if m.options.Peers == nil {
		return
	}
	for _, peer := range m.keepers(prompt, toldPeers) {
		if m.tells.Add(1) > maxTells {
			m.tells.Add(-1)
			return
		}
		go func() {
			defer m.tells.Add(-1)
			ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
			defer cancel()
			_ = m.options.Peers.Tell(ctx, peer, prompt, engine) // the store has it too, some seconds later
		}()
	}
}

// askPeers asks the prompt's keepers for its engine. The channel delivers the first engine that is found, or an empty string
// once all have answered; it is nil if there are no peers to ask.
func (m *Manager) askPeers(ctx context.Context, prompt string) <-chan string {
	if m.options.Peers == nil {
		return nil
	}
	peers := m.keepers(prompt, askedPeers)
	if len(peers) == 0 {
		return nil
	}
	answers := make(chan string, len(peers))
	for _, peer := range peers {
		go func() {
			engine, err := m.options.Peers.Find(ctx, peer, prompt)
			if err == nil && engine != "" {
				m.options.Found(prompt, peer.Name, engine)
			}
			answers <- engine
		}()
	}
	first := make(chan string, 1)
	go func() {
		for range peers {
			if engine := <-answers; engine != "" {
				first <- engine
				return
			}
		}
		first <- ""
	}()
	return first
}

// RecordTold records what a peer tells of its prompt.
func (m *Manager) RecordTold(prompt, engine string) { m.index.recordTold(prompt, engine, time.Now()) }

// FindTold returns the engine that a peer told for the prompt, or that this entry's own stream uses.
func (m *Manager) FindTold(prompt string) string { return m.index.findKnown(prompt) }
