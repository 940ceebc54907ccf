package membership

import (
	"context"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
)

// readDirectory has the list read now and then, apart from the owner's
// goroutine because the platform may be slow or down.
func (o *owner) readDirectory(ctx context.Context) {
	if o.options.Directory == nil {
		return
	}
	go o.manager.followDirectory(ctx)
}

func (m *Manager) followDirectory(ctx context.Context) {
	for ctx.Err() == nil {
		interval := listWait(m.options.ListInterval, len(m.Live()))
		if err := m.readDirectoryOnce(ctx); err != nil {
			interval = directoryRetryInterval
			if m.options.OnDirectoryError != nil {
				m.options.OnDirectoryError(err)
			}
		}
		_ = wait.For(ctx, interval)
	}
}

// listWait returns the time between two readings of the directory. It grows with the fleet, so that all
// entries together read the list a constant number of times, and each entry a constant number of
// bytes; entries that join are made known by the peers' word long before.
func listWait(least time.Duration, live int) time.Duration {
	return max(least, time.Duration(live)*listSpacing)
}

func (m *Manager) readDirectoryOnce(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	peers, err := m.options.Directory.List(call)
	if err != nil {
		return err
	}
	m.post(func(o *owner) {
		now := time.Now()
		o.table.list(append(o.seeds(), peers...), now)
		o.greet(ctx, now, joiningProbes)
		o.dirty = true
	})
	return nil
}

// cleanUp forgets peers that are gone. Of those that are still listed, the entry that the
// rendezvous hash prefers removes the directory's object.
func (o *owner) cleanUp(ctx context.Context, now time.Time) {
	forgotten, removable := o.table.forget(now, o.options.ForgetAfter)
	o.dirty = o.dirty || forgotten > 0
	if o.options.Directory == nil {
		return
	}
	for _, peer := range removable {
		if Rank(o.table.live(), peer.Name)[0].Name == o.table.self.Name {
			o.remove(ctx, peer, now)
		}
	}
}

func (o *owner) remove(ctx context.Context, peer Peer, now time.Time) {
	if m, ok := o.table.members[peer.Name]; ok {
		m.listed = false
	}
	directory := o.options.Directory
	go func() {
		ctx, cancel := context.WithTimeout(ctx, removalTimeout)
		defer cancel()
		// A failed removal is tried again after the next reading of the list.
		_ = directory.Remove(ctx, peer)
	}()
}

// leave tells a few peers that this entry left, so that nobody has to find out by probing.
func (o *owner) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), o.options.ProbeTimeout)
	defer cancel()
	left := Delta{Peer: o.table.self, State: StateLeft}
	message := Message{Protocol: ProtocolVersion, From: o.table.self, Deltas: []Delta{left}}
	done := make(chan struct{})
	peers := o.table.helpers(o.table.self, farewells, o.random)
	for _, peer := range peers {
		go func() {
			_, _ = o.options.Prober.Probe(ctx, peer, message)
			done <- struct{}{}
		}()
	}
	for range peers {
		<-done
	}
	if o.options.Directory != nil {
		_ = o.options.Directory.Remove(ctx, o.table.self)
	}
}
