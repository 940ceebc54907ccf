package directory

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/objects"
)

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
	// stalePollInterval is the time between two stale lists, each of which costs a tenth of a watch.
	stalePollInterval = watchWait
	// staleListAge is the age that a stale list counts as: it may lack the changes of the last seconds.
	staleListAge = 2 * time.Second
	// rolePollInterval is the interval at which an entry that follows a peer checks whether it has to read
	// the store.
	rolePollInterval = 50 * time.Millisecond
)

// followStore reads one kind of objects from the store whenever this entry has to read it.
func (s *syncer) followStore(ctx context.Context, kind string) error {
	if kind != KindConfiguration {
		select {
		case <-s.storeAnswered:
		case <-ctx.Done():
		}
	}
	backoff := retryBase
	var failingSince time.Time
	for ctx.Err() == nil {
		s.relistInLaterEra(kind)
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
		case errors.Is(err, errLaterEra):
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
		switch {
		case s.listsStale(kind):
			_ = wait.For(ctx, stalePollInterval)
		case len(part.Objects) > 0:
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
		known := s.feed.position(kind)
		list, err := s.list(announcing, kind)
		if err == nil && list.Era != 0 && list.Era < known.era {
			err = errEarlierEra
		}
		if err != nil {
			return Part{}, err
		}
		s.reportUnreadable(kind, list)
		s.relist[kind].Store(false)
		restored := showsRestore(list, known)
		if restored {
			s.observe(Event{Kind: EventStoreRestored, Subject: kind, Revision: list.Revision, Era: list.Era})
		}
		return Part{
			Kind: kind, Era: cmp.Or(list.Era, known.era), Revision: list.Revision, Full: true, Objects: list.Items, Restored: restored, Age: time.Since(start),
		}, nil
	}
	if s.listsStale(kind) {
		return s.listStale(announcing, kind)
	}
	s.calls[storeCall{kind, callWatch, s.occasion.Load().(occasion)}].Add(1)
	known := s.feed.position(kind)
	list, err := s.store.Watch(announcing, kind, known.revision, watchWait)
	switch {
	case err != nil:
	case list.Era > known.era:
		return Part{}, errLaterEra
	case list.Era != 0 && list.Era < known.era:
		return Part{}, errEarlierEra
	}
	s.reportUnreadable(kind, list)
	return Part{Kind: kind, Era: cmp.Or(list.Era, known.era), Revision: list.Revision, Objects: list.Items}, err
}

// staleLister is implemented by stores that offer stale lists.
type staleLister interface {
	// ListStale returns every object of a kind; it may lack the changes of the last seconds.
	ListStale(ctx context.Context, kind string) (objects.List, error)
}

// listsStale reports whether this entry reads the kind by stale lists.
func (s *syncer) listsStale(kind string) bool {
	_, offered := s.store.(staleLister)
	return kind == KindRollout && s.readsStale.Load() && offered
}

// listStale lists a kind by a stale list. One that is older than what is known changes nothing.
func (s *syncer) listStale(ctx context.Context, kind string) (Part, error) {
	s.calls[storeCall{kind, callStaleList, occasionUnserved}].Add(1)
	known := s.feed.position(kind)
	list, err := s.store.(staleLister).ListStale(ctx, kind)
	switch {
	case err != nil:
		return Part{}, err
	case list.Era > known.era:
		return Part{}, errLaterEra
	case list.Era != 0 && list.Era < known.era:
		return Part{}, errEarlierEra
	case list.Revision <= known.revision:
		return Part{Kind: kind, Era: known.era, Revision: known.revision, Age: staleListAge}, nil
	}
	s.reportUnreadable(kind, list)
	return Part{
		Kind: kind, Era: cmp.Or(list.Era, known.era), Revision: list.Revision, Full: true, Objects: list.Items, Age: staleListAge,
	}, nil
}

var (
	// errLaterEra: the store has been restored from an older copy, so that its changes after the known revision are not all changes.
	errLaterEra = errors.New("answer of the store: of a later era than the known revision")
	// errEarlierEra: an answer was given before the store was restored from an older copy.
	errEarlierEra = fmt.Errorf("%w: answer of the store: of an earlier era than the known revision", objects.ErrUnavailable)
)

// relistInLaterEra has this entry list a kind again if an answer of the store to any call named a later era than that of the feed.
func (s *syncer) relistInLaterEra(kind string) {
	if known := s.feed.position(kind); known.era != 0 && s.storeEra() > known.era {
		s.relist[kind].Store(true)
		s.readsStore[kind].Store(true)
	}
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
	if s.feed.Revision(kind) > 0 {
		s.calls[storeCall{kind, callList, occasionAgain}].Add(1)
		return s.store.List(ctx, kind)
	}
	if kind != KindConfiguration {
		s.calls[storeCall{kind, callList, occasionStart}].Add(1)
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
		s.calls[storeCall{kind, callList, occasionStart}].Add(1)
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
