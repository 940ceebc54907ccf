package streamversion

import (
	"context"
	"slices"
	"time"
)

// Confirm reports whether peers, or else the store, know of no other version of the service than the one that IsOnlyVersion
// reports. What this entry knows itself may be old: it may have been cut off, or paused, while engines of another version joined.
// Peers are asked for each stream, since the steady clock leaves out the time for which a VM was suspended.
func (m *Manager) Confirm(ctx context.Context, service, stream, version string) bool {
	others, confirmed := m.askServing(ctx, service, stream, version)
	switch {
	case others:
		return false
	case confirmed:
		return true
	case m.options.Store == nil:
		return len(m.ranked(stream, 1)) == 0
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	m.readStore(ctx)
	m.mu.Lock()
	readAt := m.readAt
	m.mu.Unlock()
	return readAt.After(began.Add(-minReadInterval)) && m.IsOnlyVersion(service, version)
}

// askServing asks peers for the versions of a service that have served lately. It reports whether one knows of another version, and
// whether one knows all that served and all of these know of no other.
func (m *Manager) askServing(ctx context.Context, service, stream, version string) (others, confirmed bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	type answer struct {
		versions []string
		known    bool
	}
	peers := m.ranked(stream, askedForServing)
	answers := make(chan answer, len(peers))
	for _, peer := range peers {
		go func() {
			serving, known, err := m.options.Transport.Serving(ctx, peer)
			answers <- answer{serving[service], known && err == nil}
		}()
	}
	for range peers {
		got := <-answers
		if slices.ContainsFunc(got.versions, func(other string) bool { return other != version }) {
			return true, false
		}
		confirmed = confirmed || got.known
	}
	return false, confirmed
}
