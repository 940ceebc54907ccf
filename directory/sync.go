package directory

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"
)

// Store reads the platform's store.
type Store interface {
	// List returns every object of a kind.
	List(ctx context.Context, kind string) (objects.List, error)
	// Watch returns the objects of a kind that changed after a revision. It waits for the first change, at
	// most for wait. It returns objects.ErrTooOld if the store no longer has these changes, so that the
	// objects must be listed again.
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) (objects.List, error)
}

// Peers reads the feeds of other entries.
type Peers interface {
	// Since queries the feed of a peer; see Feed.Since.
	Since(ctx context.Context, peer membership.Peer, query FeedQuery) ([]Part, error)
}

// syncer keeps a feed up to date, from the store or from the entries that read it for the others.
type syncer struct {
	store Store
	peers Peers
	view  membership.View
	feed  *Feed
	// storeEra returns the latest era that the store has named to any caller of this process; 0 if it named none.
	storeEra func() int64
	deliver  func(ctx context.Context, part Part)
	observe  func(Event)
	// kinds are the kinds that this entry reads.
	kinds []string
	// readsStale is set while this entry reads the rollouts by stale lists, since the peers that it follows don't send them.
	readsStale atomic.Bool
	// readsStore is set, by kind, while this entry reads objects of the kind from the store itself.
	readsStore map[string]*atomic.Bool
	// lastAnswer is when the store last answered, in nanoseconds since timeBase.
	timeBase   time.Time
	lastAnswer atomic.Int64
	// storeAnswered is closed once the store has answered with configurations. The targets, a long list, are
	// only requested then.
	storeAnswered     chan struct{}
	storeAnsweredOnce sync.Once
	// relist is set, by kind, when the objects must be listed again.
	relist map[string]*atomic.Bool
	calls  callCounts
	// occasion is why this entry watches the store.
	occasion atomic.Value
	// hasFollowed is set once a peer was followed. Only followPeers uses it.
	hasFollowed bool
}

func newSyncer(options Options, feed *Feed, deliver func(context.Context, Part)) *syncer {
	s := &syncer{
		store: options.Store, peers: options.Peers, view: options.View, feed: feed, storeEra: options.StoreEra,
		deliver: deliver, observe: options.Observe, relist: map[string]*atomic.Bool{}, readsStore: map[string]*atomic.Bool{},
		storeAnswered: make(chan struct{}), calls: newCallCounts(feed.kindNames), kinds: feed.kindNames,
	}
	s.occasion.Store(occasionStart)
	for _, kind := range s.kinds {
		s.relist[kind], s.readsStore[kind] = &atomic.Bool{}, &atomic.Bool{}
		s.relist[kind].Store(true)
		s.readsStore[kind].Store(true)
	}
	// The first answer of the store doesn't wait for a change, so that it is expected earlier by the length
	// of a watch.
	s.timeBase = time.Now().Add(-watchWait)
	return s
}

// noteStoreAnswer records that the store has answered, or that this entry begins to read it.
func (s *syncer) noteStoreAnswer() { s.lastAnswer.Store(int64(time.Since(s.timeBase))) }

// storeSilent reports whether this entry reads the store and has not got an answer for storeSilenceTimeout. An
// entry that follows a peer does not know, and asks the store first.
func (s *syncer) storeSilent() bool {
	return s.readsAnyKind() && time.Since(s.timeBase)-time.Duration(s.lastAnswer.Load()) > storeSilenceTimeout
}

// readsAnyKind reports whether this entry reads objects of any kind from the store itself.
func (s *syncer) readsAnyKind() bool {
	return slices.ContainsFunc(s.kinds, func(kind string) bool { return s.readsStore[kind].Load() })
}

// readsExactly reports whether this entry reads the given kinds, and no others, from the store itself.
func (s *syncer) readsExactly(wanted []string) bool {
	return !slices.ContainsFunc(s.kinds, func(kind string) bool { return s.readsStore[kind].Load() != slices.Contains(wanted, kind) })
}

// setReadsStore has this entry read the kinds in wanted from the store, and no others. It reports whether it reads a kind now that it
// did not read before.
func (s *syncer) setReadsStore(wanted []string) (added bool) {
	for _, kind := range s.kinds {
		wants := slices.Contains(wanted, kind)
		if had := s.readsStore[kind].Swap(wants); wants && !had {
			added = true
		}
	}
	return added
}

// requestLists requests that this entry list all objects of the store again.
func (s *syncer) requestLists() {
	for _, wanted := range s.relist {
		wanted.Store(true)
	}
	s.noteStoreAnswer()
	s.readsStale.Store(false)
	s.setReadsStore(s.kinds)
}
