package idempotency

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/objects"
	"github.com/azurebarrow/azurebarrow/objects/writelimit"
)

// processOperations loads the shard if necessary, decides on the operations, makes the decisions
// durable and sends the replies.
func (o *shardOwner) processOperations(ctx context.Context, operations []*pendingOperation) {
	if err := o.ensureLoaded(ctx); err != nil {
		o.replyAll(operations, o.loadErrorReply(err))
		return
	}
	o.maintenance.applyPrepared(o)
	batch, err := o.stageBatch(operations)
	if err != nil {
		o.replyAll(operations, Reply{Verdict: VerdictUnavailable})
		return
	}
	if batch.NeedsWrite {
		if err := o.writeBatch(ctx, batch, operations); err != nil {
			return
		}
	}
	for i, pending := range operations {
		decision := batch.Decisions[i]
		pending.sendReply(Reply{Verdict: decision.Verdict, Record: decision.Record})
	}
	o.maintenance.startIfNeeded(ctx, o)
}

func (o *shardOwner) stageBatch(operations []*pendingOperation) (Batch, error) {
	list := make([]Operation, len(operations))
	for i, pending := range operations {
		list[i] = pending.operation
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard.Stage(list, o.self, newNonce(), time.Now())
}

// loadErrorReply returns the reply to operations on a shard that could not be loaded.
func (o *shardOwner) loadErrorReply(err error) Reply {
	var content *ContentError
	if errors.As(err, &content) {
		o.options.Observe(Event{Kind: EventContentRefused, Shard: o.shardNumber, Err: err})
		return Reply{Verdict: VerdictCorrupt}
	}
	var elsewhere *ownedElsewhereError
	if errors.As(err, &elsewhere) {
		return Reply{Verdict: VerdictNotOwner, Owner: elsewhere.Owner}
	}
	return Reply{Verdict: VerdictUnavailable}
}

// errNotCommitted reports that a batch did not take effect at this entry; its operations were
// replied to or queued again.
var errNotCommitted = errors.New("ledger batch not committed")

// writeBatch writes a batch until it is known whether it took effect. Once the platform is known to
// be down, it replies to the waiting operations at once, and retries the write only if an earlier
// attempt may have taken effect.
func (o *shardOwner) writeBatch(ctx context.Context, batch Batch, operations []*pendingOperation) error {
	value, err := batch.Head.Encode()
	if err != nil {
		o.replyAll(operations, Reply{Verdict: VerdictUnavailable})
		o.maintenance.startIfNeeded(ctx, o)
		return errNotCommitted
	}
	ambiguous := false
	for attempt := 0; ; attempt++ {
		object, err := o.putHead(ctx, batch.Expected, value, attempt)
		if err == nil {
			o.applyBatch(batch, object.Revision)
			return nil
		}
		var conflict *objects.ConflictError
		if errors.As(err, &conflict) {
			return o.resolveConflict(ctx, batch, conflict.Present, operations)
		}
		ambiguous = ambiguous || !errors.Is(err, objects.ErrUnavailable)
		if o.health.Down() {
			o.replyAll(operations, Reply{Verdict: VerdictUnavailable})
			if !ambiguous {
				return errNotCommitted
			}
		}
		if !o.backOff(ctx, attempt) {
			return errNotCommitted
		}
	}
}

// putHead writes the head once. The timeout grows with the number of attempts, so that a write
// eventually succeeds if the platform is merely slow.
func (o *shardOwner) putHead(ctx context.Context, expected int64, value []byte, attempt int) (objects.Object, error) {
	timeout := min(o.options.WriteTimeout<<min(attempt, 4), maxWriteTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	object, err := o.options.Store.Put(ctx, KindHead, HeadName(o.shardNumber), expected, value)
	if objects.IsConflict(err) {
		object, err = o.putHeadAgain(ctx, expected, value, err)
	}
	if err == nil || objects.IsConflict(err) {
		o.health.Succeeded(time.Since(start))
	} else {
		o.health.Failed(time.Since(start), err)
	}
	return object, err
}

// backOff waits before the next attempt and takes a token of the write budget for it. It returns
// false if ctx ends first.
func (o *shardOwner) backOff(ctx context.Context, attempt int) bool {
	const (
		firstDelay   = 10 * time.Millisecond
		maxDoublings = 5
	)
	if wait.For(ctx, firstDelay<<min(attempt, maxDoublings)) != nil {
		return false
	}
	return o.options.Budget.Acquire(ctx, writelimit.Claims) == nil
}

// applyBatch applies a batch whose write has succeeded.
func (o *shardOwner) applyBatch(batch Batch, revision int64) {
	o.mu.Lock()
	takeover := o.shard.Head.Owner != o.self
	o.shard.Commit(batch, revision)
	o.lineage.add(batch.Head.Nonce)
	o.mu.Unlock()
	o.maintenance.headWritten()
	if takeover {
		o.options.Observe(Event{Kind: EventTakeover, Shard: o.shardNumber})
	}
}

// resolveConflict finds out after a conflict whether the batch itself changed the head and only the
// reply to its write was lost. If not, the operations are queued again and decided on the current
// head; an operation whose record is already there is recognised by its attempt ID.
func (o *shardOwner) resolveConflict(ctx context.Context, batch Batch, currentRevision int64, operations []*pendingOperation) error {
	head, revision, err := o.readCurrentHead(ctx, batch.Expected, currentRevision)
	if err == nil && head.Nonce == batch.Head.Nonce {
		o.applyBatch(batch, revision)
		return nil
	}
	o.options.Observe(Event{Kind: EventConflict, Shard: o.shardNumber, Err: err})
	o.unloadShard()
	if err != nil {
		o.replyAll(operations, o.loadErrorReply(err))
		return errNotCommitted
	}
	o.requeue(operations)
	return errNotCommitted
}

// readCurrentHead reads the head at the revision that a conflict reported, or at a later one.
func (o *shardOwner) readCurrentHead(ctx context.Context, expected, current int64) (Head, int64, error) {
	if current < expected {
		cause := fmt.Errorf("the head went back from revision %d to %d while it was in use", expected, current)
		o.wentBack = &ContentError{Kind: KindHead, Name: HeadName(o.shardNumber), Cause: cause}
		return Head{}, 0, o.wentBack
	}
	o.minRevision = current
	return o.readHead(ctx, current)
}

func (o *shardOwner) unloadShard() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.shard = nil
	o.lineage = lineage{}
	o.maintenance.reset()
}
