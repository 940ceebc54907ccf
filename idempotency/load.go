package idempotency

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/objects"
)

// ownedElsewhereError tells that another entry owns the shard.
type ownedElsewhereError struct{ Owner string }

// Error implements error.
func (e *ownedElsewhereError) Error() string { return "shard is owned by " + e.Owner }

const (
	// loadConcurrency is the number of archives read at once.
	loadConcurrency = 8
	// loadAttempts is how often a head and its archives are read before missing archives count as
	// lost: a read may be stale, and a compaction may have replaced them meanwhile.
	loadAttempts = 5
	// loadPause is the time between these attempts.
	loadPause = 100 * time.Millisecond
	// readAttempts is how often a head is read until the platform shows the revision wanted.
	readAttempts = 10
	// readTimeout bounds one read.
	readTimeout = 2 * time.Second
)

// ensureLoaded reads head and archives unless the shard is loaded. The first write of the head
// makes this entry the owner; until it succeeds nothing counts.
func (o *owner) ensureLoaded(ctx context.Context) error {
	if o.Owns() {
		return nil
	}
	for attempt := range loadAttempts {
		shard, err := o.load(ctx)
		if err == nil {
			o.mu.Lock()
			o.shard = shard
			o.mu.Unlock()
			return nil
		}
		if !errors.Is(err, errArchiveMissing) {
			return err
		}
		if attempt == loadAttempts-1 {
			return &ContentError{Kind: KindHead, Name: HeadName(o.number), Cause: err}
		}
		time.Sleep(loadPause)
	}
	return nil
}

var errArchiveMissing = errors.New("an archive is missing")

func (o *owner) load(ctx context.Context) (*Shard, error) {
	head, revision, err := o.readHead(ctx, o.present)
	if errors.Is(err, objects.ErrNotFound) {
		return o.create(ctx)
	}
	if err != nil {
		return nil, err
	}
	if err := o.checkLease(ctx, head, revision); err != nil {
		return nil, err
	}
	archived, err := o.readArchives(ctx, head.Archives)
	if err != nil {
		return nil, err
	}
	return NewShard(revision, head, archived), nil
}

// create returns the view of a shard that was never written. A shard with archives was: its head
// is lost, and to begin afresh would forget keys.
func (o *owner) create(ctx context.Context) (*Shard, error) {
	list, err := o.options.Store.List(ctx, KindArchive)
	if err != nil {
		return nil, err
	}
	for _, object := range list.Items {
		if strings.HasPrefix(object.Name, HeadName(o.number)) {
			cause := fmt.Errorf("the head is missing but archive %s exists", object.Name)
			return nil, &ContentError{Kind: KindHead, Name: HeadName(o.number), Cause: cause}
		}
	}
	if err := o.confirmShards(ctx); err != nil {
		return nil, err
	}
	return NewShard(objects.MustNotExist, EmptyHead(o.number, o.options.Shards), nil), nil
}

// firstShard is the shard whose head must exist before any other one's.
const firstShard = 0

// confirmShards makes sure, before another shard comes to be, that the ledger is divided into as
// many shards as this entry thinks: entries that divide it differently would look for one key in
// two places. The head of the first shard says so.
func (o *owner) confirmShards(ctx context.Context) error {
	if o.number == firstShard {
		return nil
	}
	object, err := o.get(ctx, KindHead, HeadName(firstShard))
	if errors.Is(err, objects.ErrNotFound) {
		object, err = o.createFirst(ctx)
	}
	if err != nil {
		return err
	}
	_, err = DecodeHead(object.Value, firstShard, o.options.Shards)
	return err
}

// createFirst writes the empty head of the first shard. A conflict means that another entry was
// first; the operations that wait are tried again by their callers.
func (o *owner) createFirst(ctx context.Context) (objects.Object, error) {
	value, err := EmptyHead(firstShard, o.options.Shards).Encode()
	if err != nil {
		return objects.Object{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	object, err := o.options.Store.Put(ctx, KindHead, HeadName(firstShard), objects.MustNotExist, value)
	if objects.IsConflict(err) {
		return o.get(ctx, KindHead, HeadName(firstShard))
	}
	return object, err
}

// checkLease returns an error while another entry writes the head. It only avoids contention. An
// owner that is live and can be reached is left alone; of any other the head must have stood still
// for the lease duration, since views differ while entries start.
func (o *owner) checkLease(ctx context.Context, head Head, revision int64) error {
	if head.Owner.Entry == "" || head.Owner.Entry == o.self.Entry {
		return nil
	}
	o.mu.Lock()
	unreachable := o.unreachable == head.Owner.Entry
	o.mu.Unlock()
	if o.isLive(head.Owner) && !unreachable {
		return &ownedElsewhereError{Owner: head.Owner.Entry}
	}
	if err := wait.For(ctx, o.options.LeaseDuration); err != nil {
		return err
	}
	_, later, err := o.readHead(ctx, revision)
	if err != nil {
		return err
	}
	if later != revision {
		return &ownedElsewhereError{Owner: head.Owner.Entry}
	}
	return nil
}

func (o *owner) isLive(holder Holder) bool {
	for _, peer := range o.options.View.Live() {
		if peer.Name == holder.Entry {
			return true
		}
	}
	return false
}

// readHead reads the head until its revision is at least minimum: reads may be stale.
func (o *owner) readHead(ctx context.Context, minimum int64) (Head, int64, error) {
	for attempt := range readAttempts {
		object, err := o.get(ctx, KindHead, HeadName(o.number))
		if err == nil && object.Revision >= minimum {
			head, err := DecodeHead(object.Value, o.number, o.options.Shards)
			return head, object.Revision, err
		}
		if err != nil && (minimum == 0 || o.health.Down()) {
			return Head{}, 0, err
		}
		if !o.pause(ctx, attempt) {
			return Head{}, 0, ctx.Err()
		}
	}
	return Head{}, 0, fmt.Errorf("%w: the platform shows no revision as new as %d", objects.ErrUnavailable, minimum)
}

func (o *owner) get(ctx context.Context, kind, name string) (objects.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	start := time.Now()
	object, err := o.options.Store.Get(ctx, kind, name)
	if err == nil || errors.Is(err, objects.ErrNotFound) {
		return object, err
	}
	o.health.Failed(time.Since(start), err)
	return object, err
}

func (o *owner) readArchives(ctx context.Context, refs []ArchiveRef) ([][]Record, error) {
	archived := make([][]Record, len(refs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(loadConcurrency)
	for i, ref := range refs {
		group.Go(func() error {
			object, err := o.get(ctx, KindArchive, ref.Name)
			if errors.Is(err, objects.ErrNotFound) {
				return fmt.Errorf("%w: %s", errArchiveMissing, ref.Name)
			}
			if err != nil {
				return err
			}
			archived[i], err = DecodeArchive(object.Value, ref, o.number, o.options.Shards)
			return err
		})
	}
	return archived, group.Wait()
}
