package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"
)

// Store is the port to the platform's store.
type Store interface {
	// List returns every object of a kind.
	List(ctx context.Context, kind string) (objects.List, error)
	// Watch returns the objects of a kind that changed after a revision. It waits for the first
	// change, or until wait has passed. objects.ErrTooOld asks for a new list.
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) (objects.List, error)
}

// Peers is the port to the feeds of other entries.
type Peers interface {
	// Since asks a peer's feed; see Feed.Since.
	Since(ctx context.Context, peer membership.Peer, query FeedQuery) ([]Part, error)
}

const (
	// watchWait is how long a watch waits for a change. The store may say nothing to the watches that
	// are open when it drops its history, so that this is part of the delay of a change, which the
	// deployments bound at 2 s and more.
	watchWait = 700 * time.Millisecond
	// settlePause is the pause after changes, in which more of them gather for one answer.
	settlePause = 250 * time.Millisecond
	// retryBase and retryLimit bound the jittered pauses after a failed call to the store.
	retryBase  = 50 * time.Millisecond
	retryLimit = 400 * time.Millisecond
	// firstListPause is the time after which the first list of configurations is asked for again, on another
	// connection: a store that was silent does not answer calls that it got before it was back. The
	// list is one object, which takes milliseconds. The client's time-out bounds the calls under way to five.
	firstListPause = 300 * time.Millisecond
	// parkedPoll is the time between looks whether the store must be read.
	parkedPoll = 50 * time.Millisecond
	// peerWait is how long a peer's feed waits for a change; peerTimeout what a call may take beyond.
	peerWait    = 400 * time.Millisecond
	peerTimeout = 250 * time.Millisecond
	// staleAfter is the age from which a peer's word is no longer relied on: two watches of the peer.
	staleAfter = 1300 * time.Millisecond
	// storePatience is the time without an answer of the store from which whole lists of peers are asked for:
	// a watch and a margin. Before it, peers tell changes only. A whole list is the size of the fleet, and
	// hundreds of entries that start at once would wait for the links of a few.
	storePatience = watchWait + 250*time.Millisecond
	// peerPause is the pause between looks of an entry that reads the store itself.
	peerPause = 200 * time.Millisecond
)

const (
	// watchersAtLeast is the number of entries that read the store in any fleet.
	watchersAtLeast = 2
	// followersPerWatcher bounds the entries that follow one of them.
	followersPerWatcher = 30
)

// watchersOf returns the entries that read the store for the others, in the order in which the given
// entry follows them: those of its own availability zone first. mine tells that it is one of them.
func watchersOf(self membership.Peer, live []membership.Peer) (upstream []membership.Peer, mine bool) {
	ranked := membership.Rank(live, "directory")
	count := max(watchersAtLeast, (len(live)+followersPerWatcher-1)/followersPerWatcher)
	ranked = ranked[:min(count, len(ranked))]
	var near, far []membership.Peer
	for _, peer := range membership.Rank(ranked, self.Name) {
		switch {
		case peer.Name == self.Name:
			mine = true
		case peer.AvailabilityZone == self.AvailabilityZone:
			near = append(near, peer)
		default:
			far = append(far, peer)
		}
	}
	return append(near, far...), mine
}

// syncer keeps a feed up to date: from the store, or from the entries that read it for the others.
type syncer struct {
	store   Store
	peers   Peers
	view    membership.View
	feed    *Feed
	deliver func(ctx context.Context, part Part)
	observe func(Event)
	// direct tells that this entry reads the store itself.
	direct atomic.Bool
	// heard is when the store last answered, in nanoseconds since began.
	began time.Time
	heard atomic.Int64
	// answered is closed once the store has answered with configurations. Only then is it asked for the long
	// list of targets.
	answered     chan struct{}
	answeredOnce sync.Once
	// relist asks for new lists, by kind.
	relist map[string]*atomic.Bool
}

func newSyncer(options Options, feed *Feed, deliver func(context.Context, Part)) *syncer {
	s := &syncer{
		store: options.Store, peers: options.Peers, view: options.View, feed: feed,
		deliver: deliver, observe: options.Observe, relist: map[string]*atomic.Bool{},
		answered: make(chan struct{}),
	}
	for _, kind := range kinds {
		s.relist[kind] = &atomic.Bool{}
		s.relist[kind].Store(true)
	}
	s.direct.Store(true)
	// At the start the store has the length of one watch less to answer.
	s.began = time.Now().Add(-watchWait)
	return s
}

// storeHeard notes that the store has answered.
func (s *syncer) storeHeard() { s.heard.Store(int64(time.Since(s.began))) }

// storeSilent tells whether the store has not answered this entry for storePatience.
func (s *syncer) storeSilent() bool {
	return time.Since(s.began)-time.Duration(s.heard.Load()) > storePatience
}

// requestLists has the store listed anew.
func (s *syncer) requestLists() {
	for _, wanted := range s.relist {
		wanted.Store(true)
	}
	s.direct.Store(true)
}

// followStore reads one kind of objects from the store while the entry is to do so.
func (s *syncer) followStore(ctx context.Context, kind string) error {
	if kind == KindTarget {
		select {
		case <-s.answered:
		case <-ctx.Done():
		}
	}
	backoff := retryBase
	var failing time.Time
	for ctx.Err() == nil {
		if !s.direct.Load() {
			failing = time.Time{}
			_ = wait.For(ctx, parkedPoll)
			continue
		}
		part, err := s.readStore(ctx, kind)
		switch {
		case errors.Is(err, objects.ErrTooOld):
			s.observe(Event{Kind: EventHistoryLost, Subject: kind, Revision: s.feed.Revision(kind)})
			s.relist[kind].Store(true)
			continue
		case err != nil && ctx.Err() == nil:
			if failing.IsZero() {
				failing = time.Now()
				s.observe(Event{Kind: EventStoreLost, Subject: kind, Revision: s.feed.Revision(kind), Err: err})
			}
			_ = wait.For(ctx, backoff/2+rand.N(backoff/2))
			backoff = min(2*backoff, retryLimit)
			continue
		case err != nil:
			return nil
		}
		if !failing.IsZero() {
			s.observe(Event{Kind: EventStoreRegained, Subject: kind, Revision: part.Revision, Age: time.Since(failing)})
			failing = time.Time{}
		}
		backoff = retryBase
		s.storeHeard()
		if kind == KindConfiguration {
			s.answeredOnce.Do(func() { close(s.answered) })
		}
		s.deliver(ctx, part)
		if len(part.Objects) > 0 {
			_ = wait.For(ctx, settlePause)
		}
	}
	return nil
}

// readStore makes one call to the store.
func (s *syncer) readStore(ctx context.Context, kind string) (Part, error) {
	asked := time.Now()
	if s.relist[kind].Load() {
		list, err := s.list(ctx, kind)
		if err != nil {
			return Part{}, err
		}
		s.relist[kind].Store(false)
		return Part{Kind: kind, Revision: list.Revision, Full: true, Objects: list.Items, Age: time.Since(asked)}, nil
	}
	list, err := s.store.Watch(ctx, kind, s.feed.Revision(kind), watchWait)
	return Part{Kind: kind, Revision: list.Revision, Objects: list.Items}, err
}

// list lists a kind. The first list of configurations is asked for again and again until a call is answered.
func (s *syncer) list(ctx context.Context, kind string) (objects.List, error) {
	if kind != KindConfiguration || s.feed.Revision(kind) > 0 {
		return s.store.List(ctx, kind)
	}
	return s.hedgedList(ctx, kind)
}

// hedgedList lists a kind, and starts another call whenever the latest one stays silent. The first call that ends
// decides: those that began before it got no answer for longer.
func (s *syncer) hedgedList(ctx context.Context, kind string) (objects.List, error) {
	type result struct {
		list objects.List
		err  error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result)
	call := func() {
		list, err := s.store.List(ctx, kind)
		select {
		case results <- result{list, err}:
		case <-ctx.Done():
		}
	}
	go call()
	ticker := time.NewTicker(firstListPause)
	defer ticker.Stop()
	for {
		select {
		case first := <-results:
			return first.list, first.err
		case <-ticker.C:
			go call()
		case <-ctx.Done():
			return objects.List{}, ctx.Err()
		}
	}
}

// followPeers reads the feed of a peer while others read the store for this entry.
func (s *syncer) followPeers(ctx context.Context) error {
	if s.peers == nil || s.view == nil {
		return nil
	}
	for ctx.Err() == nil {
		upstream, mine := watchersOf(s.view.Self(), s.view.Live())
		if mine || len(upstream) == 0 {
			s.readDirectly("elected", nil)
			_ = wait.For(ctx, peerPause)
			continue
		}
		if !s.readFromAny(ctx, upstream) && ctx.Err() == nil {
			_ = wait.For(ctx, peerPause)
		}
	}
	return nil
}

// readFromAny asks the peers in turn until one has a fresh word. Without one the entry reads the
// store itself, and goes on asking: the store may be away.
func (s *syncer) readFromAny(ctx context.Context, upstream []membership.Peer) bool {
	var last error
	for _, peer := range upstream {
		fresh, err := s.readPeer(ctx, peer)
		if fresh {
			if s.direct.CompareAndSwap(true, false) {
				s.observe(Event{Kind: EventFollowing, Subject: peer.Name})
			}
			return true
		}
		last = err
	}
	s.readDirectly("no fresh peer", last)
	return false
}

func (s *syncer) readDirectly(reason string, err error) {
	if s.direct.CompareAndSwap(false, true) {
		s.observe(Event{Kind: EventDirect, Subject: reason, Err: err})
	}
}

var errStalePeer = errors.New("the peer has not heard from the store for too long")

// readPeer asks one peer and takes in what it tells, which is right though it may be old.
func (s *syncer) readPeer(ctx context.Context, peer membership.Peer) (fresh bool, err error) {
	query := FeedQuery{Revisions: make(map[string]int64, len(kinds)), Wait: peerWait, OnlyChanges: !s.storeSilent()}
	for _, kind := range kinds {
		query.Revisions[kind] = s.feed.Revision(kind)
	}
	ctx, cancel := context.WithTimeout(ctx, peerWait+peerTimeout)
	defer cancel()
	parts, err := s.peers.Since(ctx, peer, query)
	if err != nil {
		return false, err
	}
	fresh = len(parts) == len(kinds)
	for _, part := range parts {
		s.deliver(ctx, part)
		fresh = fresh && part.Age < staleAfter
	}
	if !fresh {
		return false, errStalePeer
	}
	return true, nil
}
