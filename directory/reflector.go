package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// ErrTooOld: the store has forgotten the revision that a watch starts from; list again.
var ErrTooOld = errors.New("directory: revision too old")

// Change is one change of an object.
type Change[T any] struct {
	// Name identifies the object.
	Name string
	// Value is nil if the object was removed or can't be read.
	Value *T
}

// Source is the port to one kind of objects in the platform's store.
type Source[T any] interface {
	// List returns every object and the revision that they reflect.
	List(ctx context.Context) (map[string]*T, int64, error)
	// Watch returns the changes after a revision and the revision that they lead to. It waits for the
	// first one, or until wait has passed. An error that wraps ErrTooOld asks for a new list.
	Watch(ctx context.Context, revision int64, wait time.Duration) ([]Change[T], int64, error)
}

const (
	// watchWait is how long a watch waits for a change. The store may say nothing to the watches that
	// are open when it drops its history, so that this is part of the delay of a change, which the
	// deployments bound at 2 s and more.
	watchWait = 1200 * time.Millisecond
	// settlePause is the pause after changes, in which more of them gather for one answer. It is part
	// of the delay of a change, which the deployments bound at 2 s and more.
	settlePause = 400 * time.Millisecond
	// retryBase and retryLimit bound the jittered pauses after a failed call.
	retryBase  = 50 * time.Millisecond
	retryLimit = 400 * time.Millisecond
)

// update is what a reflector learned. With full set the changes are all objects there are.
type update[T any] struct {
	full     bool
	changes  []Change[T]
	revision int64
	// lost tells how long the store did not answer before this update.
	lost time.Duration
}

// reflector follows one kind of objects: it lists them, then watches for changes.
type reflector[T any] struct {
	kind    string
	source  Source[T]
	deliver func(context.Context, update[T])
	observe func(Event)
	// relist asks for a new list when it has a value.
	relist chan struct{}
}

// run follows the objects until ctx ends.
func (r *reflector[T]) run(ctx context.Context) error {
	var revision int64
	listed := false
	backoff := retryBase
	var failing time.Time
	for ctx.Err() == nil {
		found, err := r.step(ctx, listed, revision)
		if err != nil {
			if errors.Is(err, ErrTooOld) {
				r.observe(Event{Kind: EventHistoryLost, Subject: r.kind, Revision: revision})
				listed = false
				continue
			}
			if errors.Is(err, context.Canceled) {
				continue // a new list was asked for, or ctx ended
			}
			if failing.IsZero() && ctx.Err() == nil {
				failing = time.Now()
				r.observe(Event{Kind: EventStoreLost, Subject: r.kind, Revision: revision, Err: err})
			}
			pause(ctx, backoff/2+rand.N(backoff/2))
			backoff = min(2*backoff, retryLimit)
			continue
		}
		if !failing.IsZero() {
			found.lost = time.Since(failing)
			r.observe(Event{Kind: EventStoreRegained, Subject: r.kind, Revision: found.revision, Age: found.lost})
			failing = time.Time{}
		}
		backoff = retryBase
		listed, revision = true, found.revision
		if found.full || len(found.changes) > 0 || found.lost > 0 {
			r.deliver(ctx, found)
			pause(ctx, settlePause)
		}
	}
	return nil
}

// step makes one call.
func (r *reflector[T]) step(ctx context.Context, listed bool, revision int64) (update[T], error) {
	select {
	case <-r.relist:
		listed = false
	default:
	}
	if !listed {
		return r.list(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopped := make(chan struct{})
	defer close(stopped)
	go func() {
		select {
		case <-r.relist:
			// The token goes back for the next step, which lists.
			r.requestList()
			cancel()
		case <-stopped:
		}
	}()
	changes, next, err := r.source.Watch(ctx, revision, watchWait)
	return update[T]{changes: changes, revision: next}, err
}

func (r *reflector[T]) list(ctx context.Context) (update[T], error) {
	all, revision, err := r.source.List(ctx)
	if err != nil {
		return update[T]{}, err
	}
	found := update[T]{full: true, revision: revision}
	for name, value := range all {
		found.changes = append(found.changes, Change[T]{Name: name, Value: value})
	}
	return found, nil
}

// requestList makes the next call a list, and ends a watch that waits.
func (r *reflector[T]) requestList() {
	select {
	case r.relist <- struct{}{}:
	default:
	}
}

// pause waits, or returns early when ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
