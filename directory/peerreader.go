package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/membership"
)

const (
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
			if len(upstream) > 0 {
				s.occasion.Store(occasionElected)
			}
			s.readsStale.Store(false)
			s.switchToStore("elected", s.kinds, nil)
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
	withoutRollouts := errors.Is(err, errNoRollouts)
	if err != nil && !withoutRollouts {
		unread := s.kinds
		var withheld *withheldError
		if errors.As(err, &withheld) {
			unread = withheld.kinds
		}
		if !s.occasion.CompareAndSwap(occasionElected, occasionUnserved) && s.hasFollowed {
			s.occasion.Store(occasionUnserved)
		}
		s.switchToStore("no fresh peer", unread, err)
		return false
	}
	s.hasFollowed = true
	var fromStore []string
	if withoutRollouts {
		fromStore = []string{KindRollout}
	}
	if s.readsExactly(fromStore) && s.readsStale.Load() == withoutRollouts {
		return !withoutRollouts
	}
	if !s.readsAnyKind() {
		s.noteStoreAnswer() // the silence of the store counts from here
	}
	s.readsStale.Store(withoutRollouts)
	s.setReadsStore(fromStore)
	event := Event{Kind: EventFollowingPeer, Subject: fresh.Name}
	if withoutRollouts {
		event.Detail = "without rollouts"
	}
	s.observe(event)
	return !withoutRollouts
}

// readPeers queries the peers in turn and returns the first one whose feed is fresh, or else an error: that of the peer that withheld
// the fewest kinds, or the last one.
func (s *syncer) readPeers(ctx context.Context, peers []membership.Peer) (fresh membership.Peer, err error) {
	var least *withheldError
	for _, peer := range peers {
		if err = s.readPeer(ctx, peer); err == nil || errors.Is(err, errNoRollouts) {
			return peer, err
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

// errNoRollouts: the peer's feed is fresh but for the rollouts, which an entry of a former build doesn't have.
var errNoRollouts = errors.New("the peer's feed has no fresh rollouts")

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
	isIncomplete := errors.As(err, &withheld) && !withheld.contradicted || errors.Is(err, errNoRollouts)
	if isIncomplete && s.storeSilent() {
		err = s.queryPeer(ctx, peer, false, peerWait+peerTimeout+peerTransferTimeout)
	}
	return err
}

// queryPeer queries the feed of one peer and applies its parts; these are correct even if they are old. It
// returns an error if the feed is not fresh.
func (s *syncer) queryPeer(ctx context.Context, peer membership.Peer, onlyChanges bool, timeout time.Duration) error {
	query := FeedQuery{
		Revisions: make(map[string]int64, len(s.kinds)), Eras: make(map[string]int64, len(s.kinds)), Wait: peerWait, OnlyChanges: onlyChanges,
	}
	for _, kind := range s.kinds {
		known := s.feed.settledPosition(kind)
		query.Revisions[kind], query.Eras[kind] = known.revision, known.era
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	parts, err := s.peers.Since(ctx, peer, query)
	if err != nil {
		return err
	}
	transfer := max(0, time.Since(start)-query.Wait) // the peer took its ages at the start of the transfer
	fresh, contradicted, unread := true, false, slices.Clone(s.kinds)
	for _, part := range parts {
		if !slices.Contains(s.kinds, part.Kind) {
			continue
		}
		part.Age += transfer
		if !part.Full && part.Era != 0 && part.Era != query.Eras[part.Kind] && query.Revisions[part.Kind] > 0 {
			continue // the store was restored between the query and the answer
		}
		switch s.feed.judge(part, s.storeEra()) {
		case partStale:
			continue
		case partIncomplete:
			s.relist[part.Kind].Store(true)
			continue
		}
		if s.feed.contradicts(part, time.Now()) {
			s.relist[part.Kind].Store(true)
			contradicted = true
			continue
		}
		s.deliver(ctx, part)
		if part.Kind == KindRollout && part.Age >= peerStaleAfter {
			continue // another entry may read them later than the rest
		}
		fresh = fresh && part.Age < peerStaleAfter
		unread = slices.DeleteFunc(unread, func(kind string) bool { return kind == part.Kind })
	}
	switch {
	case fresh && slices.Equal(unread, []string{KindRollout}) && !contradicted:
		return errNoRollouts
	case len(unread) > 0 && !fresh:
		return &withheldError{s.kinds, contradicted}
	case len(unread) > 0:
		return &withheldError{unread, contradicted}
	case !fresh:
		return errStalePeer
	}
	return nil
}
