package idempotency

import (
	"context"
	"errors"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/objects"
	"github.com/azurebarrow/azurebarrow/objects/budget"
)

// serve loads the shard if need be, decides on the operations and makes the decisions durable.
func (o *owner) serve(ctx context.Context, operations []*pendingOperation) {
	if err := o.ensureLoaded(ctx); err != nil {
		o.refuse(operations, o.refusal(err))
		return
	}
	o.maintenance.apply(o)
	batch, err := o.stage(operations)
	if err != nil {
		o.refuse(operations, Reply{Verdict: VerdictUnavailable})
		return
	}
	if batch.Changed {
		if err := o.commit(ctx, batch, operations); err != nil {
			return
		}
	}
	for i, pending := range operations {
		decision := batch.Decisions[i]
		pending.answer(Reply{Verdict: decision.Verdict, Record: decision.Record})
	}
	o.maintenance.start(ctx, o)
}

func (o *owner) stage(operations []*pendingOperation) (Batch, error) {
	list := make([]Operation, len(operations))
	for i, pending := range operations {
		list[i] = pending.operation
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard.Stage(list, o.self, newNonce(), time.Now())
}

// refusal returns the reply for a shard that could not be loaded.
func (o *owner) refusal(err error) Reply {
	var content *ContentError
	if errors.As(err, &content) {
		o.options.Observe(Event{Kind: EventRefused, Shard: o.number, Err: err})
		return Reply{Verdict: VerdictCorrupt}
	}
	var elsewhere *ownedElsewhereError
	if errors.As(err, &elsewhere) {
		return Reply{Verdict: VerdictNotOwner, Owner: elsewhere.Owner}
	}
	return Reply{Verdict: VerdictUnavailable}
}

// errNotCommitted tells that a batch did not take effect here; its operations were answered or
// queued again.
var errNotCommitted = errors.New("ledger batch not committed")

// commit writes a batch until it is known whether it took effect. Once the platform is known to be
// down, those who wait are told so at once; the write itself goes on if it may have taken effect.
func (o *owner) commit(ctx context.Context, batch Batch, operations []*pendingOperation) error {
	value, err := batch.Head.Encode()
	if err != nil {
		o.refuse(operations, Reply{Verdict: VerdictUnavailable})
		o.maintenance.start(ctx, o)
		return errNotCommitted
	}
	ambiguous := false
	for attempt := 0; ; attempt++ {
		object, err := o.put(ctx, batch.Expected, value, attempt)
		if err == nil {
			o.apply(batch, object.Revision)
			return nil
		}
		var conflict *objects.ConflictError
		if errors.As(err, &conflict) {
			return o.resolve(ctx, batch, conflict.Present, operations)
		}
		ambiguous = ambiguous || !errors.Is(err, objects.ErrUnavailable)
		if o.health.Down() {
			o.refuse(operations, Reply{Verdict: VerdictUnavailable})
			if !ambiguous {
				return errNotCommitted
			}
		}
		if !o.pause(ctx, attempt) {
			return errNotCommitted
		}
	}
}

// put writes the head once. The time-out grows with the attempts, so that a platform that is only
// slow gets through in the end.
func (o *owner) put(ctx context.Context, expected int64, value []byte, attempt int) (objects.Object, error) {
	timeout := min(o.options.WriteTimeout<<min(attempt, 4), maxWriteTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	object, err := o.options.Store.Put(ctx, KindHead, HeadName(o.number), expected, value)
	if err == nil || objects.IsConflict(err) {
		o.health.Succeeded(time.Since(start))
	} else {
		o.health.Failed(time.Since(start), err)
	}
	return object, err
}

// pause waits before the next attempt and takes a token of the write budget for it.
func (o *owner) pause(ctx context.Context, attempt int) bool {
	const (
		firstPause = 10 * time.Millisecond
		maxDoubles = 5
	)
	if wait.For(ctx, firstPause<<min(attempt, maxDoubles)) != nil {
		return false
	}
	return o.options.Budget.Acquire(ctx, budget.Claims) == nil
}

func (o *owner) apply(batch Batch, revision int64) {
	o.mu.Lock()
	takeover := o.shard.Head.Owner != o.self
	o.shard.Commit(batch, revision)
	o.mu.Unlock()
	o.maintenance.committed()
	if takeover {
		o.options.Observe(Event{Kind: EventTakeover, Shard: o.number})
	}
}

// resolve finds out after a conflict whether the batch itself was what changed the head: its
// answer may have been lost. If not, the operations are decided again on the present head; one
// whose record is there already is recognised by its attempt.
func (o *owner) resolve(ctx context.Context, batch Batch, present int64, operations []*pendingOperation) error {
	head, revision, err := o.readPresent(ctx, batch.Expected, present)
	if err == nil && head.Nonce == batch.Head.Nonce {
		o.apply(batch, revision)
		return nil
	}
	o.options.Observe(Event{Kind: EventConflict, Shard: o.number, Err: err})
	o.unload()
	if err != nil {
		o.refuse(operations, o.refusal(err))
		return errNotCommitted
	}
	o.requeue(operations)
	return errNotCommitted
}

// readPresent reads the head that a conflict has told of.
func (o *owner) readPresent(ctx context.Context, expected, present int64) (Head, int64, error) {
	if present == 0 && expected != objects.MustNotExist {
		cause := errors.New("the head was deleted while it was in use")
		return Head{}, 0, &ContentError{Kind: KindHead, Name: HeadName(o.number), Cause: cause}
	}
	o.present = present
	return o.readHead(ctx, present)
}

func (o *owner) unload() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.shard = nil
	o.maintenance.reset()
}
