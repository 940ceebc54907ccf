package directory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"
)

// partlyFrozenPeers answers from feed, except for the peers that have nothing and the one that never answers.
type partlyFrozenPeers struct {
	feed          *Feed
	frozen, empty string
}

func (p partlyFrozenPeers) Since(ctx context.Context, peer membership.Peer, query FeedQuery) ([]Part, error) {
	if peer.Name == p.frozen {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if peer.Name == p.empty {
		return nil, nil
	}
	return p.feed.Since(ctx, query), nil
}

// The process of one watcher is frozen: it accepts calls and never answers. The other watcher has no objects yet.
func TestFrozenPeerHoldsUpEntryWithoutStore(t *testing.T) {
	const maxReadyTime = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		feed := newFeed()
		feed.apply(Part{Kind: KindConfiguration, Revision: 2, Full: true, Objects: []objects.Object{
			{Kind: KindConfiguration, Name: "main", Revision: 2, Value: []byte(`{"Version":1}`)},
		}}, time.Now())
		feed.apply(Part{Kind: KindTarget, Revision: 2, Full: true}, time.Now())
		view := newFleetView()
		upstream, _ := watchersOf(view.Self(), view.live)
		ctx, cancel := context.WithCancel(t.Context())
		manager := NewManager(Options{
			Store: fakeStore{silent: true}, Decoder: jsonDecoder{}, View: view,
			Peers: partlyFrozenPeers{feed: feed, frozen: upstream[0].Name, empty: upstream[1].Name},
		})
		start := time.Now()
		ended := make(chan struct{})
		go func() { defer close(ended); _ = manager.Run(ctx) }()
		manager.WaitReady(ctx, time.Minute)
		t.Logf("ready after %v", time.Since(start))
		is.True(manager.Snapshot().Ready())
		is.True(time.Since(start) <= maxReadyTime)
		cancel()
		<-ended
	})
}
