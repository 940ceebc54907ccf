package idempotency

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/objects/writelimit"
)

// pendingOperation is a queued operation and the channel for its reply.
type pendingOperation struct {
	ctx       context.Context
	operation Operation
	reply     chan Reply // has room for one reply
	queuedAt  time.Time
}

func (p *pendingOperation) sendReply(reply Reply) {
	select {
	case p.reply <- reply:
	default: // a reply was sent before
	}
}

// shardOwner processes the operations of one shard while this entry owns it.
type shardOwner struct {
	options     Options
	health      *health
	self        Holder
	shardNumber int
	wake        chan struct{}

	mu               sync.Mutex
	queue            []*pendingOperation
	shard            *Shard // nil when not loaded
	releasing        bool   // the shard is handed over once the queue is empty
	unreachableEntry string // an entry that a sender of operations could not reach
	released         chan struct{}

	// minRevision is a revision that the head is known to have reached. Only Run's goroutine uses it, lineage and
	// wentBack.
	minRevision int64
	lineage     lineage
	// wentBack is set once the head was found to lack what this entry told others. The shard isn't loaded any more.
	wentBack    *ContentError
	maintenance maintenance
}

func newShardOwner(options Options, health *health, self Holder, number int) *shardOwner {
	return &shardOwner{
		options:     options,
		health:      health,
		self:        self,
		shardNumber: number,
		wake:        make(chan struct{}, 1),
		maintenance: newMaintenance(),
	}
}

// Submit queues operations and waits for their replies or the end of ctx. While the platform is
// down it replies at once from memory.
func (o *shardOwner) Submit(ctx context.Context, operations ...Operation) []Reply {
	replies := make([]Reply, len(operations))
	if o.health.Down() {
		for i, operation := range operations {
			replies[i] = o.replyFromMemory(operation)
		}
		return replies
	}
	waiting := o.enqueue(ctx, operations)
	for i, pending := range waiting {
		select {
		case replies[i] = <-pending.reply:
		case <-ctx.Done():
			replies[i] = Reply{Verdict: VerdictUnavailable}
		}
	}
	return replies
}

func (o *shardOwner) enqueue(ctx context.Context, operations []Operation) []*pendingOperation {
	waiting := make([]*pendingOperation, len(operations))
	now := time.Now()
	for i, operation := range operations {
		waiting[i] = &pendingOperation{ctx: ctx, operation: operation, reply: make(chan Reply, 1), queuedAt: now}
	}
	o.mu.Lock()
	o.queue = append(o.queue, waiting...)
	o.mu.Unlock()
	o.signal()
	return waiting
}

// replyFromMemory returns a verdict that rests on an existing record, which is valid even while the
// platform is down. Any other verdict needs a write, so the reply is VerdictUnavailable.
func (o *shardOwner) replyFromMemory(operation Operation) Reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.shard == nil {
		return Reply{Verdict: VerdictUnavailable}
	}
	current, exists := o.shard.Lookup(operation.Key())
	decision := decide(current, exists, operation, time.Now())
	if decision.Append || decision.Verdict == VerdictAbsent {
		return Reply{Verdict: VerdictUnavailable}
	}
	return Reply{Verdict: decision.Verdict, Record: decision.Record}
}

// Owns reports whether this entry has loaded the shard.
func (o *shardOwner) Owns() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard != nil
}

// NoteUnreachable remembers an entry that a sender of operations could not reach.
func (o *shardOwner) NoteUnreachable(entry string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unreachableEntry = entry
}

func (o *shardOwner) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Run processes the shard's queue until ctx ends.
func (o *shardOwner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		due, wait, down := o.writeDue()
		if !due {
			o.waitForWork(ctx, wait, down)
			continue
		}
		o.processQueue(ctx)
	}
}

// writeDue reports whether the queue must be processed now. If not, it returns how long to wait for
// the next due outcome, and a channel that is closed when the platform is found to be down.
func (o *shardOwner) writeDue() (bool, time.Duration, <-chan struct{}) {
	down := o.health.BecameDown()
	isDown := o.health.Down()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.releasing {
		return true, 0, nil
	}
	if len(o.queue) == 0 {
		return false, time.Hour, nil
	}
	if isDown {
		return true, 0, nil // to reply that the platform is unavailable
	}
	for _, pending := range o.queue {
		if pending.operation.Claim != nil {
			return true, 0, nil
		}
	}
	age := time.Since(o.queue[0].queuedAt)
	return age >= o.options.OutcomeDelay, o.options.OutcomeDelay - age, down
}

// waitForWork waits until an operation arrives, the time is over, the channel down is closed, or
// ctx ends.
func (o *shardOwner) waitForWork(ctx context.Context, wait time.Duration, down <-chan struct{}) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-o.wake:
	case <-timer.C:
	case <-down:
	}
}

// processQueue processes queued operations in one batch. Operations that arrive while it waits for
// the write budget join the batch.
func (o *shardOwner) processQueue(ctx context.Context) {
	if o.health.Down() {
		o.replyAll(o.takeBatch(batchLimits{math.MaxInt, math.MaxInt}), Reply{Verdict: VerdictUnavailable})
		o.finishRelease(ctx)
		return
	}
	class := o.budgetClass()
	budgetCtx, cancel := o.contextUntilDown(ctx)
	err := o.options.Budget.Acquire(budgetCtx, class)
	cancel()
	if err != nil {
		return
	}
	operations := o.takeBatch(o.batchLimits())
	switch {
	case len(operations) > 0:
		o.processOperations(ctx, operations)
	case o.hasQueued():
		o.waitForArchive(ctx)
	}
	o.finishRelease(ctx)
}

// hasQueued reports whether operations are queued.
func (o *shardOwner) hasQueued() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.queue) > 0
}

// waitForArchive waits briefly for an archive that takes records out of the head.
func (o *shardOwner) waitForArchive(ctx context.Context) {
	const archivePollInterval = 20 * time.Millisecond
	o.maintenance.applyPrepared(o)
	o.maintenance.startIfNeeded(ctx, o)
	o.waitForWork(ctx, archivePollInterval, nil)
}

// budgetClass returns the write budget's class for the next batch.
func (o *shardOwner) budgetClass() writelimit.Class {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, pending := range o.queue {
		if pending.operation.Claim != nil {
			return writelimit.Claims
		}
	}
	return writelimit.Outcomes
}

// contextUntilDown returns a context that also ends when the platform is found to be down.
func (o *shardOwner) contextUntilDown(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	down := o.health.BecameDown()
	go func() {
		select {
		case <-down:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// batchLimits is how many bytes the claims and outcomes of the next write may add to the head.
type batchLimits struct{ claimBytes, outcomeBytes int }

// takeBatch returns the operations of the next batch, without those whose callers have given up.
// Claims come before outcomes; operations that would make the head too large stay queued.
func (o *shardOwner) takeBatch(limits batchLimits) []*pendingOperation {
	o.mu.Lock()
	defer o.mu.Unlock()
	var taken, remaining []*pendingOperation
	size := 0
	for _, claims := range []bool{true, false} {
		limit := limits.outcomeBytes
		if claims {
			limit = limits.claimBytes
		}
		for _, pending := range o.queue {
			if pending.ctx.Err() != nil || (pending.operation.Claim != nil) != claims {
				continue
			}
			size += pending.operation.sizeBytes()
			if limit <= 0 || size > limit && len(taken) > 0 {
				remaining = append(remaining, pending)
				continue
			}
			taken = append(taken, pending)
		}
	}
	o.queue = remaining
	return taken
}

// batchLimits returns how much the next write may add to the head.
func (o *shardOwner) batchLimits() batchLimits {
	o.mu.Lock()
	defer o.mu.Unlock()
	size := 0
	if o.shard != nil {
		size = o.shard.Head.RecordBytes()
	}
	return batchLimits{
		claimBytes:   min(maxBatchBytes, maxHeadBytes-size),
		outcomeBytes: min(maxBatchBytes, outcomeHeadBytes-size),
	}
}

func (o *shardOwner) requeue(operations []*pendingOperation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.queue = append(operations, o.queue...)
}

// replyAll sends the same reply to all the operations.
func (o *shardOwner) replyAll(operations []*pendingOperation, reply Reply) {
	for _, pending := range operations {
		pending.sendReply(reply)
	}
}
