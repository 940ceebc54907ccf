package generation

import (
	"context"
	"errors"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
)

// RelayCopy names a copy of a run's memory.
type RelayCopy struct {
	// Holder keeps the copy.
	Holder *directory.Target
	// Source is the address under which the copy is named, Name its name there.
	Source, Name string
	// since is when the copy was begun.
	since time.Time
}

// holder returns the copy's holder, nil when there is no copy.
func (c *RelayCopy) holder() *directory.Target {
	if c == nil {
		return nil
	}
	return c.Holder
}

const (
	// copyCheck is the time between looks whether the holder of a stream's copy is still there.
	copyCheck = 200 * time.Millisecond
	// copyTimeout bounds the making of a copy: a run's memory crosses within some tens of
	// milliseconds, behind other copies.
	copyTimeout = time.Second
	// copyRefresh is the time after which a copy that was ordered is brought up to date. Engines drop
	// such a copy some seconds after the last order.
	copyRefresh = 1200 * time.Millisecond
	// copyRetry is the pause after an order that failed.
	copyRetry = 600 * time.Millisecond
)

// copier keeps a copy of one attempt's memory at an engine that lives. The backup that the attempt
// was sent with ends with its holder; from then on copies are ordered. The goroutine that follows the
// attempt owns it.
type copier struct {
	attempt *relayAttempt
	// backup is what the attempt was sent with, ordered the latest copy that was ordered.
	backup, ordered *RelayCopy
	// results carries the outcome of the order that is under way.
	results  chan copyResult
	ordering bool
	// next is the time of the next look.
	next time.Time
	// free stops counting the ordered copy at its holder.
	free func()
}

type copyResult struct {
	copy *RelayCopy
	err  error
}

func newCopier(a *relayAttempt, backup *RelayCopy) *copier {
	return &copier{attempt: a, backup: backup, results: make(chan copyResult, 1), free: func() {}}
}

// enabled tells whether copies can be ordered for the attempt.
func (c *copier) enabled() bool {
	spec := c.attempt.run.request.Spec
	return c.backup != nil && spec != nil && spec.Moves
}

// check orders a copy when the stream has none at a live engine, or when the last one grows old.
func (c *copier) check(ctx context.Context, now time.Time) {
	if !c.enabled() || c.ordering || c.attempt.events == 0 || now.Before(c.next) {
		return
	}
	c.next = now.Add(copyCheck)
	if to := c.due(now); to != nil {
		c.order(ctx, to)
	}
}

// due returns the engine to which a copy should be ordered now; nil for none.
func (c *copier) due(now time.Time) *directory.Target {
	run := c.attempt.run
	switch {
	case c.ordered == nil && run.find(c.backup) != nil:
		return nil
	case c.ordered != nil && now.Sub(c.ordered.since) < copyRefresh:
		return nil
	}
	if holder := run.find(c.ordered); holder != nil {
		return holder
	}
	return run.relay.options.Placer.Backup(run.query(), c.attempt.target)
}

// order has the engine copy the run's memory, apart from the goroutine that follows the attempt.
func (c *copier) order(ctx context.Context, to *directory.Target) {
	c.ordering = true
	a := c.attempt
	engine := a.run.relay.options.Engine
	began := time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, copyTimeout)
		defer cancel()
		name, err := engine.Copy(ctx, a.target, a.run.request.ID, to)
		made := &RelayCopy{Holder: to, Source: a.target.Address, Name: name, since: began}
		c.results <- copyResult{copy: made, err: err}
	}()
}

// take takes the outcome of an order in.
func (c *copier) take(result copyResult, now time.Time) {
	c.ordering = false
	run := c.attempt.run
	if result.err != nil {
		c.next = now.Add(copyRetry)
		run.log("copy-failed", Field{"target", c.attempt.target.ID}, Field{"holder", result.copy.Holder.ID}, Field{"error", result.err})
		return
	}
	if c.ordered == nil {
		run.log("copy-ordered", Field{"target", c.attempt.target.ID}, Field{"holder", result.copy.Holder.ID})
	}
	c.free()
	c.free = run.relay.options.Placer.AddCopy(result.copy.Holder, run.size())
	c.ordered = result.copy
}

// latest returns the copy from which the stream would go on; nil if there is none.
func (c *copier) latest() *RelayCopy {
	if c.ordered != nil {
		return c.ordered
	}
	return c.backup
}

// end frees what was ordered if the stream is complete; else the copy is about to be used.
func (c *copier) end(complete bool) {
	c.free()
	if !complete || c.ordered == nil {
		return
	}
	a, name := c.attempt, c.ordered.Name
	engine := a.run.relay.options.Engine
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
		defer cancel()
		if err := engine.Free(ctx, a.target, name); err != nil {
			a.run.log("copy-not-freed", Field{"target", a.target.ID}, Field{"error", err})
		}
	}()
}

// unseenFor is how long an engine that started again may be unknown to this entry.
const unseenFor = 700 * time.Millisecond

// find returns the open target that has the copy: engines are named by their addresses in this, so
// that one which started there before the copy began has got it. It returns nil if there is none.
func (run *relayRun) find(copied *RelayCopy) *directory.Target {
	if copied == nil {
		return nil
	}
	for _, target := range run.relay.options.Targets(run.request.Service) {
		if target.SameIncarnation(copied.Holder) {
			return target
		}
		if target.Address == copied.Holder.Address && target.Seen.Before(copied.since.Add(unseenFor)) {
			return target
		}
	}
	return nil
}

const (
	// successorWait is how long a stream waits until the directory has identified the successor of its
	// copy's holder, which takes a few round trips. Without the copy, the prompt is read for a second.
	successorWait = 50 * time.Millisecond
	successorPoll = 2 * time.Millisecond
)

// followHolder keeps the copy of an attempt that met another incarnation at its holder's address: an engine
// that started there before the copy began has got it. While the store is away only the directory's own
// question tells which engine that is.
func (run *relayRun) followHolder(ctx context.Context, copied *RelayCopy, err error) {
	var refused *RelayRefusedError
	if copied == nil || !errors.As(err, &refused) || refused.Found == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, successorWait)
	defer cancel()
	ticker := time.NewTicker(successorPoll)
	defer ticker.Stop()
	for {
		successor := run.openAt(copied.Holder.Address, func(t *directory.Target) bool { return t.ID == refused.Found })
		if successor != nil {
			run.copied = copied.heldBy(successor)
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// heldBy returns the same copy at another incarnation of its holder.
func (c *RelayCopy) heldBy(holder *directory.Target) *RelayCopy {
	moved := *c
	moved.Holder = holder
	return &moved
}

// openAt returns an open target at the address for which fits holds; nil if there is none.
func (run *relayRun) openAt(address string, fits func(*directory.Target) bool) *directory.Target {
	for _, target := range run.relay.options.Targets(run.request.Service) {
		if target.Address == address && fits(target) {
			return target
		}
	}
	return nil
}

// possibleHolder returns the target to ask for the copy: the one that has it, or a successor at its address
// whose start is not known. An engine without the copy refuses at once.
func (run *relayRun) possibleHolder(copied *RelayCopy) *directory.Target {
	if target := run.find(copied); target != nil {
		return target
	}
	return run.openAt(copied.Holder.Address, func(t *directory.Target) bool { return t.Provisional })
}
