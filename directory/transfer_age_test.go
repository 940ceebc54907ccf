package directory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/membership"
)

// slowPeers answers from feed after a transfer.
type slowPeers struct {
	feed     *Feed
	transfer time.Duration
}

func (p slowPeers) Since(ctx context.Context, _ membership.Peer, query FeedQuery) ([]Part, error) {
	if query.OnlyChanges {
		return nil, nil
	}
	parts := p.feed.Since(ctx, query)
	return parts, wait.For(ctx, p.transfer)
}

// A part that was seconds on its way must not count as up to date: other entries would follow this feed.
func TestTransferTimeMakesPartLookFresh(t *testing.T) {
	const transfer = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		feed := newFeed()
		for _, kind := range kinds {
			feed.apply(Part{Kind: kind, Revision: 2, Full: true}, time.Now())
		}
		confirmed := time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		manager := NewManager(Options{
			Store: fakeStore{silent: true}, Decoder: jsonDecoder{}, View: newFleetView(), Peers: slowPeers{feed, transfer},
		})
		ended := make(chan struct{})
		go func() { defer close(ended); _ = manager.Run(ctx) }()
		for manager.Feed().Revision(KindTarget) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		age := manager.Feed().Age(time.Now())
		t.Logf("age %v, confirmed %v ago", age, time.Since(confirmed))
		is.True(age >= time.Since(confirmed)-peerWait)
		cancel()
		<-ended
	})
}
