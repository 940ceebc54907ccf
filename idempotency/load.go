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

// ownedElsewhereError reports that another entry owns the shard.
type ownedElsewhereError struct{ Owner string }

// Error implements error.
func (e *ownedElsewhereError) Error() string { return "shard is owned by " + e.Owner }

const (
	// loadConcurrency is the number of archives that are read in parallel. They share the entry's link with
	// callers' traffic: two of maxArchiveBytes take 1.3 s of 1.25 MB/s, a sixth of archiveTimeout.
	loadConcurrency = 2
	// loadAttempts is how often a head and its archives are read before missing archives count as
	// lost: a read may be stale, and a compaction may have replaced the archives in the meantime.
	loadAttempts = 5
	// loadPause is the pause between these attempts.
	loadPause = 100 * time.Millisecond
	// readAttempts is how often a head is read until the platform returns the wanted revision.
	readAttempts = 10
	// readTimeout is the timeout of one read, except of an archive, which has archiveTimeout.
	readTimeout = 2 * time.Second
)

// ensureLoaded reads the head and its archives unless the shard is loaded. Only its first
// successful write of the head makes this entry the owner; until then no decision is valid.
func (o *shardOwner) ensureLoaded(ctx context.Context) error {
	if o.Owns() {
		return nil
	}
	if o.wentBack != nil {
		return o.wentBack
	}
	for attempt := range loadAttempts {
		shard, err := o.loadShard(ctx)
		if err == nil {
			o.mu.Lock()
			o.shard = shard
			o.lineage.add(shard.Head.Nonce)
			o.mu.Unlock()
			return nil
		}
		if !errors.Is(err, errArchiveMissing) {
			return err
		}
		if attempt == loadAttempts-1 {
			return &ContentError{Kind: KindHead, Name: HeadName(o.shardNumber), Cause: err}
		}
		time.Sleep(loadPause)
	}
	return nil
}

var errArchiveMissing = errors.New("an archive is missing")

// loadShard reads the shard from the platform; a shard that was never written is created empty.
func (o *shardOwner) loadShard(ctx context.Context) (*Shard, error) {
	head, revision, err := o.readHead(ctx, o.minRevision)
	if errors.Is(err, objects.ErrNotFound) {
		return o.newEmptyShard(ctx)
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

// newEmptyShard returns a shard that was never written. If it has archives, it was written and its
// head is lost: starting with an empty shard would forget keys.
func (o *shardOwner) newEmptyShard(ctx context.Context) (*Shard, error) {
	list, err := o.options.Store.List(ctx, KindArchive)
	if err != nil {
		return nil, err
	}
	for _, object := range list.Items {
		if strings.HasPrefix(object.Name, HeadName(o.shardNumber)) {
			cause := fmt.Errorf("the head is missing but archive %s exists", object.Name)
			return nil, &ContentError{Kind: KindHead, Name: HeadName(o.shardNumber), Cause: cause}
		}
	}
	if err := o.verifyShardCount(ctx); err != nil {
		return nil, err
	}
	return NewShard(objects.MustNotExist, EmptyHead(o.shardNumber, o.options.Shards), nil), nil
}

// firstShard is the shard whose head must exist before that of any other shard.
const firstShard = 0

// verifyShardCount verifies, before another shard is created, that the ledger has as many shards as
// this entry is configured with: entries with different numbers would look for the same key in two
// places. The head of the first shard holds the number.
func (o *shardOwner) verifyShardCount(ctx context.Context) error {
	if o.shardNumber == firstShard {
		return nil
	}
	object, err := o.getObject(ctx, KindHead, HeadName(firstShard))
	if errors.Is(err, objects.ErrNotFound) {
		object, err = o.createFirstHead(ctx)
	}
	if err != nil {
		return err
	}
	_, err = DecodeHead(object.Value, firstShard, o.options.Shards)
	return err
}

// createFirstHead writes the empty head of the first shard. A conflict means that another entry
// wrote it first; that head is returned. After a failure the callers retry the waiting operations.
func (o *shardOwner) createFirstHead(ctx context.Context) (objects.Object, error) {
	value, err := EmptyHead(firstShard, o.options.Shards).Encode()
	if err != nil {
		return objects.Object{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	object, err := o.options.Store.Put(ctx, KindHead, HeadName(firstShard), objects.MustNotExist, value)
	if objects.IsConflict(err) {
		return o.getObject(ctx, KindHead, HeadName(firstShard))
	}
	return object, err
}

// checkLease returns an error while another entry writes the head. It only avoids contention. An
// owner that is alive and reachable keeps the shard. From any other owner the shard is taken over
// only after its head has not changed for the lease duration, since membership views differ while
// entries start.
func (o *shardOwner) checkLease(ctx context.Context, head Head, revision int64) error {
	if head.Owner.Entry == "" || head.Owner.Entry == o.self.Entry {
		return nil
	}
	o.mu.Lock()
	unreachable := o.unreachableEntry == head.Owner.Entry
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

func (o *shardOwner) isLive(holder Holder) bool {
	for _, peer := range o.options.View.Live() {
		if peer.Name == holder.Entry {
			return true
		}
	}
	return false
}

// readHead reads the head until its revision is at least minimum, since reads may be stale.
func (o *shardOwner) readHead(ctx context.Context, minimum int64) (Head, int64, error) {
	for attempt := range readAttempts {
		object, err := o.getObject(ctx, KindHead, HeadName(o.shardNumber))
		if err == nil && object.Revision >= minimum {
			head, err := DecodeHead(object.Value, o.shardNumber, o.options.Shards)
			return head, object.Revision, err
		}
		if err != nil && (minimum == 0 || o.health.Down()) {
			return Head{}, 0, err
		}
		if !o.backOff(ctx, attempt) {
			return Head{}, 0, ctx.Err()
		}
	}
	return Head{}, 0, fmt.Errorf("%w: the platform shows no revision as new as %d", objects.ErrUnavailable, minimum)
}

// getObject reads an object and records a failure of the platform.
func (o *shardOwner) getObject(ctx context.Context, kind, name string) (objects.Object, error) {
	timeout := readTimeout
	if kind == KindArchive {
		timeout = archiveTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	object, err := o.options.Store.Get(ctx, kind, name)
	if err == nil || errors.Is(err, objects.ErrNotFound) {
		return object, err
	}
	o.health.Failed(time.Since(start), err)
	return object, err
}

func (o *shardOwner) readArchives(ctx context.Context, refs []ArchiveRef) ([][]Record, error) {
	archived := make([][]Record, len(refs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(loadConcurrency)
	for i, ref := range refs {
		group.Go(func() error {
			object, err := o.getObject(ctx, KindArchive, ref.Name)
			if errors.Is(err, objects.ErrNotFound) {
				return fmt.Errorf("%w: %s", errArchiveMissing, ref.Name)
			}
			if err != nil {
				return err
			}
			archived[i], err = DecodeArchive(object.Value, ref, o.shardNumber, o.options.Shards)
			return err
		})
	}
	return archived, group.Wait()
}
