package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
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

const (
	// watchWait is how long a watch waits for a change. When the store drops its history, it may not answer
	// the open watches. A change is then delayed by up to this time; deployments limit the delay of a change
	// to 2 s or more.
	watchWait = 700 * time.Millisecond
	// batchPause is the pause after the first part of an answer with changes, so that the next watch returns several of
	// them at once. Others collect while an answer is read that takes longer.
	batchPause = 250 * time.Millisecond
	// retryBase and retryLimit are the limits of the backoff after a failed call to the store; jitter shortens
	// a pause by up to a half.
	retryBase  = 50 * time.Millisecond
	retryLimit = 400 * time.Millisecond
	// firstListHedgeDelay is the time after which the first list of configurations is requested again, on
	// another connection: a store that was silent never answers the calls that it got before it recovered.
	// The client's timeout limits the concurrent calls to five.
	firstListHedgeDelay = 300 * time.Millisecond
	// rolePollInterval is the interval at which an entry that follows a peer checks whether it has to read
	// the store.
	rolePollInterval = 50 * time.Millisecond
	// peerWait is how long a peer's feed waits for a change. peerTimeout is how much longer a call may take.
	peerWait    = 400 * time.Millisecond
	peerTimeout = 250 * time.Millisecond
	// peerTransferTimeout is how much longer a call may take that asks for full lists: objects of a megabyte
	// take seconds on the slowest links, and a transfer that is cut starts again from the beginning.
	peerTransferTimeout = 5 * time.Second
	// otherPeers is the number of entries besides the watchers that an entry asks which the store does not
	// answer: the watchers may be cut off from the store too, or busy with other readers.
	otherPeers = 2
	// peerStaleAfter is the age from which the feed of a peer counts as stale. It allows the peer two watches
	// of the store.
	peerStaleAfter = 1300 * time.Millisecond
	// storeSilenceTimeout is the time without an answer of the store after which full lists are requested from
	// peers: a watch and a margin. Until then, peers are asked for changes only. A full list grows with the
	// number of targets, and hundreds of entries that start together would wait for the network links of
	// the few that read the store.
	storeSilenceTimeout = watchWait + 250*time.Millisecond
	// peerPollInterval is the interval at which an entry that reads the store itself checks its role and its
	// peers.
	peerPollInterval = 200 * time.Millisecond
)

const (
	// minWatchers is the minimum number of entries that read the store for the others.
	minWatchers = 2
	// followersPerWatcher is the maximum number of entries per entry that reads the store.
	followersPerWatcher = 30
)

// watchersOf returns the entries, other than self, that read the store for the others. They are in the
// order in which self follows them: those of its own availability zone first. isWatcher reports whether
// self reads the store for the others too.
func watchersOf(self membership.Peer, live []membership.Peer) (upstream []membership.Peer, isWatcher bool) {
	ranked := membership.Rank(live, "directory")
	count := max(minWatchers, (len(live)+followersPerWatcher-1)/followersPerWatcher)
	ranked = ranked[:min(count, len(ranked))]
	var near, far []membership.Peer
	for _, peer := range membership.Rank(ranked, self.Name) {
		switch {
		case peer.Name == self.Name:
			isWatcher = true
		case peer.AvailabilityZone == self.AvailabilityZone:
			near = append(near, peer)
		default:
			far = append(far, peer)
		}
	}
	return append(near, far...), isWatcher
}

// syncer keeps a feed up to date, from the store or from the entries that read it for the others.
type syncer struct {
	store   Store
	peers   Peers
	view    membership.View
	feed    *Feed
	deliver func(ctx context.Context, part Part)
	observe func(Event)
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
}

func newSyncer(options Options, feed *Feed, deliver func(context.Context, Part)) *syncer {
	s := &syncer{
		store: options.Store, peers: options.Peers, view: options.View, feed: feed,
		deliver: deliver, observe: options.Observe, relist: map[string]*atomic.Bool{}, readsStore: map[string]*atomic.Bool{},
		storeAnswered: make(chan struct{}),
	}
	for _, kind := range kinds {
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
	return slices.ContainsFunc(kinds, func(kind string) bool { return s.readsStore[kind].Load() })
}

// setReadsStore has this entry read the kinds in wanted from the store, and no others. It reports whether it reads a kind now that it
// did not read before.
func (s *syncer) setReadsStore(wanted []string) (added bool) {
	for _, kind := range kinds {
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
	s.setReadsStore(kinds)
}

// followStore reads one kind of objects from the store whenever this entry has to read it.
func (s *syncer) followStore(ctx context.Context, kind string) error {
	if kind == KindTarget {
		select {
		case <-s.storeAnswered:
		case <-ctx.Done():
		}
	}
	backoff := retryBase
	var failingSince time.Time
	for ctx.Err() == nil {
		if !s.readsStore[kind].Load() {
			failingSince = time.Time{}
			_ = wait.For(ctx, rolePollInterval)
			continue
		}
		part, firstRead, err := s.readStore(ctx, kind)
		if err != nil {
			s.feed.setArriving(kind, false)
		}
		switch {
		case errors.Is(err, objects.ErrTooOld):
			s.observe(Event{Kind: EventHistoryLost, Subject: kind, Revision: s.feed.Revision(kind)})
			s.relist[kind].Store(true)
			continue
		case err != nil && ctx.Err() == nil:
			if failingSince.IsZero() {
				failingSince = time.Now()
				s.observe(Event{Kind: EventStoreLost, Subject: kind, Revision: s.feed.Revision(kind), Err: err})
			}
			_ = wait.For(ctx, backoff/2+rand.N(backoff/2))
			backoff = min(2*backoff, retryLimit)
			continue
		case err != nil:
			return nil
		}
		if !failingSince.IsZero() {
			s.observe(Event{Kind: EventStoreRegained, Subject: kind, Revision: part.Revision, Age: time.Since(failingSince)})
			failingSince = time.Time{}
		}
		backoff = retryBase
		s.noteStoreAnswer()
		if kind == KindConfiguration {
			s.storeAnsweredOnce.Do(func() { close(s.storeAnswered) })
		}
		s.deliver(ctx, part)
		s.feed.setArriving(kind, false)
		if len(part.Objects) > 0 {
			_ = wait.For(ctx, batchPause-time.Since(firstRead))
		}
	}
	return nil
}

// readStore makes one call to the store. firstRead is when a part of its answer was first read. While it reads a large answer,
// the feed lets other entries read the store too; the caller ends that when it has applied the part.
func (s *syncer) readStore(ctx context.Context, kind string) (part Part, firstRead time.Time, err error) {
	var progressAt sync.Once
	ctx = objects.WithReadProgress(ctx, func() {
		s.noteStoreAnswer() // an answer that arrives slowly is no silence
		progressAt.Do(func() { firstRead = time.Now() })
	})
	part, err = s.callStore(ctx, kind)
	progressAt.Do(func() { firstRead = time.Now() })
	return part, firstRead, err
}

// callStore lists the objects of a kind, or watches for their changes.
func (s *syncer) callStore(ctx context.Context, kind string) (Part, error) {
	announcing := objects.WithLargeAnswer(ctx, func() { s.feed.setArriving(kind, true) })
	start := time.Now()
	if s.relist[kind].Load() {
		known := s.feed.Revision(kind)
		list, err := s.list(announcing, kind)
		if err != nil {
			return Part{}, err
		}
		s.reportUnreadable(kind, list)
		s.relist[kind].Store(false)
		restored := showsRestore(list, known)
		if restored {
			s.observe(Event{Kind: EventStoreRestored, Subject: kind, Revision: list.Revision})
		}
		return Part{Kind: kind, Revision: list.Revision, Full: true, Objects: list.Items, Restored: restored, Age: time.Since(start)}, nil
	}
	list, err := s.store.Watch(announcing, kind, s.feed.Revision(kind), watchWait)
	s.reportUnreadable(kind, list)
	return Part{Kind: kind, Revision: list.Revision, Objects: list.Items}, err
}

// maxUnreadableReports limits the reports on one answer of the store.
const maxUnreadableReports = 5

// reportUnreadable reports the objects that an answer holds and that can't be read.
func (s *syncer) reportUnreadable(kind string, list objects.List) {
	for _, err := range list.Unreadable[:min(maxUnreadableReports, len(list.Unreadable))] {
		s.observe(Event{Kind: EventUnusable, Subject: kind, Detail: kind, Revision: list.Revision, Err: err})
	}
}

// list lists a kind. The first list of configurations is hedged.
func (s *syncer) list(ctx context.Context, kind string) (objects.List, error) {
	if kind != KindConfiguration || s.feed.Revision(kind) > 0 {
		return s.store.List(ctx, kind)
	}
	return s.hedgedList(ctx, kind)
}

// hedgedList lists a kind. It starts a further call after each firstListHedgeDelay in which no part of an answer
// arrived: calls that are being answered would share the link with it. It returns the result of the first call
// that ends, also if that failed: the earlier calls have waited for longer without an answer.
func (s *syncer) hedgedList(ctx context.Context, kind string) (objects.List, error) {
	type result struct {
		list objects.List
		err  error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result)
	ctx = objects.WithLargeAnswer(ctx, func() {}) // a call that lost could announce after the end
	var progress atomic.Bool
	ctx = objects.WithReadProgress(ctx, func() {
		progress.Store(true)
		s.noteStoreAnswer()
	})
	call := func() {
		list, err := s.store.List(ctx, kind)
		select {
		case results <- result{list, err}:
		case <-ctx.Done():
		}
	}
	go call()
	ticker := time.NewTicker(firstListHedgeDelay)
	defer ticker.Stop()
	for {
		select {
		case first := <-results:
			return first.list, first.err
		case <-ticker.C:
			if !progress.Swap(false) {
				go call()
			}
		case <-ctx.Done():
			return objects.List{}, ctx.Err()
		}
	}
}

// followPeers reads the feed of a peer while other entries read the store for this one.
func (s *syncer) followPeers(ctx context.Context) error {
	if s.peers == nil || s.view == nil {
		return nil
	}
	for ctx.Err() == nil {
		upstream, isWatcher := watchersOf(s.view.Self(), s.view.Live())
		if s.storeSilent() {
			upstream = s.withOtherPeers(upstream)
		}
		if isWatcher || len(upstream) == 0 {
			s.switchToStore("elected", kinds, nil)
			if s.storeSilent() {
				_, _ = s.readPeers(ctx, upstream) // a watcher reads the store also if it finds a fresh feed
			}
			_ = wait.For(ctx, peerPollInterval)
			continue
		}
		if !s.followAnyPeer(ctx, upstream) && ctx.Err() == nil {
			_ = wait.For(ctx, peerPollInterval)
		}
	}
	return nil
}

// withOtherPeers returns the peers followed by otherPeers further live entries, drawn at random.
func (s *syncer) withOtherPeers(peers []membership.Peer) []membership.Peer {
	asked := map[string]bool{s.view.Self().Name: true}
	for _, peer := range peers {
		asked[peer.Name] = true
	}
	live := s.view.Live()
	extended := slices.Clone(peers)
	for _, i := range rand.Perm(len(live)) {
		if len(extended) == len(peers)+otherPeers {
			break
		}
		if !asked[live[i].Name] {
			extended = append(extended, live[i])
		}
	}
	return extended
}

// followAnyPeer queries the peers in turn until the feed of one is fresh. If there is none, this entry reads
// the store itself and continues to query the peers, since the store may be unavailable.
func (s *syncer) followAnyPeer(ctx context.Context, peers []membership.Peer) bool {
	fresh, err := s.readPeers(ctx, peers)
	if err != nil {
		unread := kinds
		var withheld *withheldError
		if errors.As(err, &withheld) {
			unread = withheld.kinds
		}
		s.switchToStore("no fresh peer", unread, err)
		return false
	}
	if s.readsAnyKind() {
		s.setReadsStore(nil)
		s.observe(Event{Kind: EventFollowingPeer, Subject: fresh.Name})
	}
	return true
}

// readPeers queries the peers in turn and returns the first one whose feed is fresh, or else an error: that of the peer that withheld
// the fewest kinds, or the last one.
func (s *syncer) readPeers(ctx context.Context, peers []membership.Peer) (fresh membership.Peer, err error) {
	var least *withheldError
	for _, peer := range peers {
		if err = s.readPeer(ctx, peer); err == nil {
			return peer, nil
		}
		var withheld *withheldError
		if errors.As(err, &withheld) && withheld.contradicted {
			return membership.Peer{}, withheld // the others would say the same
		}
		if errors.As(err, &withheld) && (least == nil || len(withheld.kinds) < len(least.kinds)) {
			least = withheld
		}
	}
	if least != nil {
		return membership.Peer{}, least
	}
	return membership.Peer{}, err
}

// switchToStore lets this entry read objects of the kinds, and of no others, from the store itself.
func (s *syncer) switchToStore(reason string, wanted []string, err error) {
	if !s.readsAnyKind() {
		s.noteStoreAnswer() // the silence of the store counts from here
	}
	if s.setReadsStore(wanted) {
		s.observe(Event{Kind: EventReadingStore, Subject: reason, Detail: strings.Join(wanted, ","), Err: err})
	}
}

var errStalePeer = errors.New("the peer's feed is stale")

// withheldError: the peer does not send objects of the kinds, because it has none, or because they are too much for its link. All
// kinds are named if what it sends is stale.
type withheldError struct {
	kinds []string
	// contradicted is set if the peer is behind what it must know, so that only the store can tell.
	contradicted bool
}

// Error implements error.
func (e *withheldError) Error() string {
	return "the peer has less, or withholds large objects: " + strings.Join(e.kinds, ",")
}

// readPeer reads the feed of one peer. It requests large objects, with a timeout that fits their size, only from
// a peer that has just answered: one that is frozen would hold up the queries of the others.
func (s *syncer) readPeer(ctx context.Context, peer membership.Peer) error {
	err := s.queryPeer(ctx, peer, true, peerWait+peerTimeout)
	var withheld *withheldError
	if errors.As(err, &withheld) && !withheld.contradicted && s.storeSilent() {
		err = s.queryPeer(ctx, peer, false, peerWait+peerTimeout+peerTransferTimeout)
	}
	return err
}

// queryPeer queries the feed of one peer and applies its parts; these are correct even if they are old. It
// returns an error if the feed is not fresh.
func (s *syncer) queryPeer(ctx context.Context, peer membership.Peer, onlyChanges bool, timeout time.Duration) error {
	query := FeedQuery{Revisions: make(map[string]int64, len(kinds)), Wait: peerWait, OnlyChanges: onlyChanges}
	for _, kind := range kinds {
		query.Revisions[kind] = s.feed.Revision(kind)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	parts, err := s.peers.Since(ctx, peer, query)
	if err != nil {
		return err
	}
	transfer := max(0, time.Since(start)-query.Wait) // the peer took its ages at the start of the transfer
	fresh, contradicted, unread := true, false, slices.Clone(kinds)
	for _, part := range parts {
		part.Age += transfer
		if s.feed.contradicts(part, time.Now()) {
			s.relist[part.Kind].Store(true)
			contradicted = true
			continue
		}
		s.deliver(ctx, part)
		fresh = fresh && part.Age < peerStaleAfter
		unread = slices.DeleteFunc(unread, func(kind string) bool { return kind == part.Kind })
	}
	switch {
	case len(unread) > 0 && !fresh:
		return &withheldError{kinds, contradicted}
	case len(unread) > 0:
		return &withheldError{unread, contradicted}
	case !fresh:
		return errStalePeer
	}
	return nil
}
