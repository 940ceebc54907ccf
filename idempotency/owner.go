package idempotency

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/objects/budget"
)

// pendingOperation is an operation and the way back to who asked for it.
type pendingOperation struct {
	ctx       context.Context
	operation Operation
	reply     chan Reply // takes one reply
	queuedAt  time.Time
}

func (p *pendingOperation) answer(reply Reply) {
	select {
	case p.reply <- reply:
	default: // it was answered before
	}
}

// owner serves the operations of one shard while this entry owns it.
type owner struct {
	options Options
	health  *health
	self    Holder
	number  int
	wake    chan struct{}

	mu          sync.Mutex
	queue       []*pendingOperation
	shard       *Shard // nil when not loaded
	releasing   bool   // hand the shard over when the queue is empty
	unreachable string // an entry that a caller of this shard could not reach
	released    chan struct{}

	// present is a revision that the head is known to have reached; only Run's goroutine uses it.
	present     int64
	maintenance maintenance
}

func newOwner(options Options, health *health, self Holder, number int) *owner {
	return &owner{
		options:     options,
		health:      health,
		self:        self,
		number:      number,
		wake:        make(chan struct{}, 1),
		maintenance: newMaintenance(),
	}
}

// Submit queues operations and waits for their replies or the end of ctx.
func (o *owner) Submit(ctx context.Context, operations ...Operation) []Reply {
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

func (o *owner) enqueue(ctx context.Context, operations []Operation) []*pendingOperation {
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

// replyFromMemory tells what holds whatever the platform says: records that exist. Nothing new
// can be recorded.
func (o *owner) replyFromMemory(operation Operation) Reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.shard == nil {
		return Reply{Verdict: VerdictUnavailable}
	}
	present, exists := o.shard.Lookup(operation.Key())
	decision := decide(present, exists, operation, time.Now())
	if decision.Append || decision.Verdict == VerdictAbsent {
		return Reply{Verdict: VerdictUnavailable}
	}
	return Reply{Verdict: decision.Verdict, Record: decision.Record}
}

// Owns tells whether this entry has loaded the shard.
func (o *owner) Owns() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard != nil
}

// NoteUnreachable remembers an entry that a caller could not reach.
func (o *owner) NoteUnreachable(entry string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unreachable = entry
}

func (o *owner) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Run serves the shard until ctx ends.
func (o *owner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		due, wait, down := o.due()
		if !due {
			o.sleep(ctx, wait, down)
			continue
		}
		o.round(ctx)
	}
}

// due tells whether something is to be written now, else how long until an outcome is due.
func (o *owner) due() (bool, time.Duration, <-chan struct{}) {
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
		return true, 0, nil // to be refused
	}
	for _, pending := range o.queue {
		if pending.operation.Claim != nil {
			return true, 0, nil
		}
	}
	age := time.Since(o.queue[0].queuedAt)
	return age >= o.options.OutcomeDelay, o.options.OutcomeDelay - age, down
}

func (o *owner) sleep(ctx context.Context, wait time.Duration, down <-chan struct{}) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-o.wake:
	case <-timer.C:
	case <-down:
	}
}

// round writes what waits, in one batch. While it waits for the write budget more may arrive.
func (o *owner) round(ctx context.Context) {
	if o.health.Down() {
		o.refuse(o.take(room{math.MaxInt, math.MaxInt}), Reply{Verdict: VerdictUnavailable})
		o.finishRelease(ctx)
		return
	}
	class := o.class()
	budgetCtx, cancel := o.untilDown(ctx)
	err := o.options.Budget.Acquire(budgetCtx, class)
	cancel()
	if err != nil {
		return
	}
	operations := o.take(o.room())
	switch {
	case len(operations) > 0:
		o.serve(ctx, operations)
	case o.waiting():
		o.makeRoom(ctx)
	}
	o.finishRelease(ctx)
}

// waiting tells whether operations are in the queue.
func (o *owner) waiting() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.queue) > 0
}

// makeRoom waits a little for an archive that takes records out of the head.
func (o *owner) makeRoom(ctx context.Context) {
	const roomPause = 20 * time.Millisecond
	o.maintenance.apply(o)
	o.maintenance.start(ctx, o)
	o.sleep(ctx, roomPause, nil)
}

func (o *owner) class() budget.Class {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, pending := range o.queue {
		if pending.operation.Claim != nil {
			return budget.Claims
		}
	}
	return budget.Outcomes
}

// untilDown returns a context that also ends when the platform is found to be down.
func (o *owner) untilDown(ctx context.Context) (context.Context, context.CancelFunc) {
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

// room is how much the next write may add to the head.
type room struct{ claimBytes, outcomeBytes int }

// take returns the operations of the next batch, without those whose callers have given up. Claims
// go before outcomes; what would make the head too large stays in the queue.
func (o *owner) take(room room) []*pendingOperation {
	o.mu.Lock()
	defer o.mu.Unlock()
	var taken, left []*pendingOperation
	size := 0
	for _, claims := range []bool{true, false} {
		limit := room.outcomeBytes
		if claims {
			limit = room.claimBytes
		}
		for _, pending := range o.queue {
			if pending.ctx.Err() != nil || (pending.operation.Claim != nil) != claims {
				continue
			}
			size += pending.operation.sizeBytes()
			if limit <= 0 || size > limit && len(taken) > 0 {
				left = append(left, pending)
				continue
			}
			taken = append(taken, pending)
		}
	}
	o.queue = left
	return taken
}

// room returns how much the next write may add to the head.
func (o *owner) room() room {
	o.mu.Lock()
	defer o.mu.Unlock()
	size := 0
	if o.shard != nil {
		size = o.shard.Head.Bytes()
	}
	return room{
		claimBytes:   min(maxBatchBytes, maxHeadBytes-size),
		outcomeBytes: min(maxBatchBytes, outcomeHeadBytes-size),
	}
}

func (o *owner) requeue(operations []*pendingOperation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.queue = append(operations, o.queue...)
}

func (o *owner) refuse(operations []*pendingOperation, reply Reply) {
	for _, pending := range operations {
		pending.answer(reply)
	}
}
