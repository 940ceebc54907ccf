package directory

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"
)

// fakeStore answers a list after latency, and a watch after its wait. If silent, it never answers.
type fakeStore struct {
	latency time.Duration
	silent  bool
}

func (s fakeStore) List(ctx context.Context, kind string) (objects.List, error) {
	return s.answer(ctx, s.latency)
}

func (s fakeStore) Watch(ctx context.Context, kind string, after int64, wait time.Duration) (objects.List, error) {
	return s.answer(ctx, wait)
}

func (s fakeStore) answer(ctx context.Context, takes time.Duration) (objects.List, error) {
	if s.silent {
		<-ctx.Done()
		return objects.List{}, ctx.Err()
	}
	_ = wait.For(ctx, takes)
	return objects.List{Revision: 1}, ctx.Err()
}

// fakePeers counts queries and records when the first one requested full lists. It returns no parts.
type fakePeers struct {
	mu             sync.Mutex
	started        time.Time
	queries        int
	firstFullQuery time.Duration
}

func (p *fakePeers) Since(_ context.Context, _ membership.Peer, query FeedQuery) ([]Part, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queries++
	if !query.OnlyChanges && p.firstFullQuery == 0 {
		p.firstFullQuery = time.Since(p.started)
	}
	return nil, nil
}

// fleetView is the view of an entry that does not read the store for the others.
type fleetView struct{ live []membership.Peer }

func (v fleetView) Live() []membership.Peer { return v.live }

func (v fleetView) Self() membership.Peer {
	for _, peer := range v.live {
		if _, isWatcher := watchersOf(peer, v.live); !isWatcher {
			return peer
		}
	}
	panic("every entry reads the store for the others")
}

func newFleetView() fleetView {
	var view fleetView
	for i := range 8 {
		view.live = append(view.live, peer(fmt.Sprintf("e%d", i), "a"))
	}
	return view
}

// An entry that starts must not request full lists from peers while the store answers: hundreds of entries
// that start together would request them from a few peers.
func TestFullListsAreRequestedFromPeersOnlyIfStoreIsSilent(t *testing.T) {
	const duration = 5 * time.Second
	run := func(store Store) *fakePeers {
		peers := &fakePeers{}
		synctest.Test(t, func(t *testing.T) {
			peers.started = time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), duration)
			defer cancel()
			manager := NewManager(Options{Store: store, Decoder: jsonDecoder{}, Peers: peers, View: newFleetView()})
			_ = manager.Run(ctx)
		})
		return peers
	}
	is := is.New(t)
	answering := run(fakeStore{latency: 4 * time.Millisecond})
	is.True(answering.queries > 0)
	is.Equal(answering.firstFullQuery, time.Duration(0)) // never
	silent := run(fakeStore{silent: true})
	is.True(silent.firstFullQuery > 0)
	is.True(silent.firstFullQuery <= storeSilenceTimeout-watchWait+peerPollInterval) // soon after the start
}

// silentUntilStore never answers the calls that it gets before the time answersFrom.
type silentUntilStore struct{ answersFrom time.Time }

func (s silentUntilStore) List(ctx context.Context, kind string) (objects.List, error) {
	if time.Now().Before(s.answersFrom) {
		ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond) // the client's timeout
		defer cancel()
		<-ctx.Done()
		return objects.List{}, ctx.Err()
	}
	_ = wait.For(ctx, 4*time.Millisecond)
	if kind == KindConfiguration {
		configuration := objects.Object{Kind: kind, Name: "main", Revision: 1, Value: []byte(`{"Version": 1}`)}
		return objects.List{Revision: 1, Items: []objects.Object{configuration}}, nil
	}
	return objects.List{Revision: 1}, nil
}

func (s silentUntilStore) Watch(ctx context.Context, _ string, _ int64, waiting time.Duration) (objects.List, error) {
	return objects.List{Revision: 1}, wait.For(ctx, waiting)
}

// All entries started 100 ms before the store recovered, and refused all requests for another 1.5 s, until
// their first calls timed out (found on balanza-serrana fresh-9a92).
func TestEntryIsReadySoonAfterSilentStoreRecovers(t *testing.T) {
	for _, silence := range []time.Duration{0, 100 * time.Millisecond, 1400 * time.Millisecond, 2 * time.Second, 7 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			start := time.Now()
			ctx, cancel := context.WithCancel(t.Context())
			manager := NewManager(Options{Store: silentUntilStore{answersFrom: start.Add(silence)}, Decoder: jsonDecoder{}})
			ended := make(chan struct{})
			go func() { defer close(ended); _ = manager.Run(ctx) }()
			manager.WaitReady(t.Context(), time.Minute)
			is.True(manager.Snapshot().Ready())
			is.True(time.Since(start) <= silence+firstListHedgeDelay+retryLimit)
			cancel()
			<-ended
		})
	}
}
