package membership

import (
	"context"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
)

// startDirectoryPolling starts a goroutine that reads the directory periodically. The event loop does not
// read it itself, because the platform may be slow or unavailable.
func (l *eventLoop) startDirectoryPolling(ctx context.Context) {
	if l.options.Directory == nil {
		return
	}
	go l.manager.pollDirectory(ctx)
}

func (m *Manager) pollDirectory(ctx context.Context) {
	for ctx.Err() == nil {
		interval := directoryInterval(m.options.ListInterval, len(m.Live()))
		if err := m.readDirectoryOnce(ctx); err != nil {
			interval = directoryRetryInterval
			if m.options.OnDirectoryError != nil {
				m.options.OnDirectoryError(err)
			}
		}
		_ = wait.For(ctx, interval)
	}
}

// directoryInterval returns the time between two readings of the directory, at least minInterval. It grows
// with the number of live entries, so that all entries together read the list at a constant rate, and
// each entry reads a constant number of bytes per second. Gossip makes joining entries known long before.
func directoryInterval(minInterval time.Duration, live int) time.Duration {
	return max(minInterval, time.Duration(live)*listIntervalPerPeer)
}

func (m *Manager) readDirectoryOnce(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	peers, err := m.options.Directory.List(call)
	if err != nil {
		return err
	}
	m.post(func(l *eventLoop) {
		now := time.Now()
		l.table.setListed(append(l.seeds(), peers...), now)
		l.probeUnknownPeers(ctx, now, joinProbes)
		l.dirty = true
	})
	return nil
}

// removeGonePeers removes peers that died or left from the table. If such a peer is still listed, the
// entry that Rank prefers for its name removes its object from the directory.
func (l *eventLoop) removeGonePeers(ctx context.Context, now time.Time) {
	forgotten, removable := l.table.forgetGone(now, l.options.ForgetAfter)
	l.dirty = l.dirty || forgotten > 0
	if l.options.Directory == nil {
		return
	}
	for _, peer := range removable {
		if Rank(l.table.live(), peer.Name)[0].Name == l.table.self.Name {
			l.removeFromDirectory(ctx, peer, now)
		}
	}
}

func (l *eventLoop) removeFromDirectory(ctx context.Context, peer Peer, now time.Time) {
	if m, ok := l.table.members[peer.Name]; ok {
		m.listed = false
	}
	directory := l.options.Directory
	go func() {
		ctx, cancel := context.WithTimeout(ctx, removalTimeout)
		defer cancel()
		// A failed removal is retried after the next reading of the directory.
		_ = directory.Remove(ctx, peer)
	}()
}

// announceLeave announces to a few peers that this entry leaves, so that they need not detect it by probes,
// and removes its object from the directory.
func (l *eventLoop) announceLeave() {
	ctx, cancel := context.WithTimeout(context.Background(), l.options.ProbeTimeout)
	defer cancel()
	left := Delta{Peer: l.table.self, State: StateLeft}
	message := Message{Protocol: ProtocolVersion, From: l.table.self, Deltas: []Delta{left}}
	done := make(chan struct{})
	peers := l.table.helpers(l.table.self, leaveMessages, l.random)
	for _, peer := range peers {
		go func() {
			_, _ = l.options.Prober.Probe(ctx, peer, message)
			done <- struct{}{}
		}()
	}
	for range peers {
		<-done
	}
	if l.options.Directory != nil {
		_ = l.options.Directory.Remove(ctx, l.table.self)
	}
}
