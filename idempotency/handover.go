package idempotency

import (
	"context"
	"time"
)

// Release requests the handover of the shard; the channel is closed once it is done.
func (o *shardOwner) Release() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.shard == nil && len(o.queue) == 0 {
		done := make(chan struct{})
		close(done)
		return done
	}
	if !o.releasing {
		o.releasing = true
		o.released = make(chan struct{})
	}
	o.signal()
	return o.released
}

// finishRelease hands the shard over if that was requested and the queue is empty.
func (o *shardOwner) finishRelease(ctx context.Context) {
	o.mu.Lock()
	releasing := o.releasing && len(o.queue) == 0
	owned := o.shard != nil && o.shard.Head.Owner == o.self
	o.mu.Unlock()
	if !releasing {
		return
	}
	if owned && !o.health.Down() {
		o.writeRelease(ctx)
	}
	o.unloadShard()
	o.mu.Lock()
	o.releasing = false
	close(o.released)
	o.mu.Unlock()
	o.options.Observe(Event{Kind: EventHandover, Shard: o.shardNumber})
}

// writeRelease writes the head without an owner, so that the next owner need not wait for the lease
// to expire. If the write fails, the next owner waits for one lease duration.
func (o *shardOwner) writeRelease(ctx context.Context) {
	batch, err := o.shard.Stage(nil, Holder{}, newNonce(), time.Now())
	if err != nil {
		return
	}
	value, err := batch.Head.Encode()
	if err != nil {
		return
	}
	_, _ = o.putHead(ctx, batch.Expected, value, 0)
}
