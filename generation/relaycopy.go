package generation

import (
	"context"
	"errors"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
)

// KVCacheCopy identifies a KV cache copy of a run.
type KVCacheCopy struct {
	// Holder is the target that has the copy.
	Holder *directory.Target
	// Source is the engine address under which the copy is named, Name its name there.
	Source, Name string
	// startedAt is when copying started.
	startedAt time.Time
}

// holder returns the copy holder, nil when there is no copy.
func (c *KVCacheCopy) holder() *directory.Target {
	if c == nil {
		return nil
	}
	return c.Holder
}

const (
	// copyCheckInterval is the time between checks that the holder of a stream's copy is still
	// available.
	copyCheckInterval = 200 * time.Millisecond
	// copyTimeout limits the making of a copy: a KV cache is transferred within some tens of
	// milliseconds, after other copies that are queued before it.
	copyTimeout = time.Second
	// copyRefreshInterval is the time after which a copy that was made on command is brought up to
	// date. Engines drop such a copy some seconds after the last command.
	copyRefreshInterval = 1200 * time.Millisecond
	// copyRetryDelay is the delay after a copy command that failed.
	copyRetryDelay = 600 * time.Millisecond
)

// kvCopier keeps a KV cache copy of one attempt at an available engine. The attempt is sent with a
// backup engine, to which the target copies by itself; once that engine is unavailable, the copier
// commands copies to others. Only the goroutine that forwards the attempt's stream uses it.
type kvCopier struct {
	attempt *activeAttempt
	// initialCopy is the copy at the backup that the attempt was sent with, commandedCopy the
	// latest one made on command.
	initialCopy, commandedCopy *KVCacheCopy
	// results receives the outcome of the pending command.
	results        chan copyResult
	commandPending bool
	nextCheck      time.Time
	// releaseCommanded stops counting the commanded copy at its holder.
	releaseCommanded func()
}

type copyResult struct {
	copy *KVCacheCopy
	err  error
}

func newCopier(a *activeAttempt, backup *KVCacheCopy) *kvCopier {
	return &kvCopier{attempt: a, initialCopy: backup, results: make(chan copyResult, 1), releaseCommanded: func() {}}
}

// canCopy reports whether the attempt's target can make copies on command.
func (c *kvCopier) canCopy() bool {
	spec := c.attempt.run.request.Spec
	return c.initialCopy != nil && spec != nil && spec.KVCopyOnCommand
}

// checkCopy commands a copy when the stream has none at an available engine, or when the last one
// is out of date.
func (c *kvCopier) checkCopy(ctx context.Context, now time.Time) {
	if !c.canCopy() || c.commandPending || c.attempt.eventCount == 0 || now.Before(c.nextCheck) {
		return
	}
	c.nextCheck = now.Add(copyCheckInterval)
	if destination := c.copyDestination(now); destination != nil {
		c.sendCopyCommand(ctx, destination)
	}
}

// copyDestination returns the engine to which a copy should be made now; nil for none.
func (c *kvCopier) copyDestination(now time.Time) *directory.Target {
	run := c.attempt.run
	switch {
	case c.commandedCopy == nil && run.copyHolder(c.initialCopy) != nil:
		return nil
	case c.commandedCopy != nil && now.Sub(c.commandedCopy.startedAt) < copyRefreshInterval:
		return nil
	}
	if holder := run.copyHolder(c.commandedCopy); holder != nil {
		return holder
	}
	return run.relay.options.Placer.Backup(run.backupQuery(c.attempt.target), c.attempt.target)
}

// sendCopyCommand has the target copy the run's KV cache, in a separate goroutine.
func (c *kvCopier) sendCopyCommand(ctx context.Context, destination *directory.Target) {
	c.commandPending = true
	a := c.attempt
	engine := a.run.relay.options.Engine
	startedAt := time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, copyTimeout)
		defer cancel()
		name, err := engine.CopyKVCache(ctx, a.target, a.run.request.ID, destination)
		kvCopy := &KVCacheCopy{Holder: destination, Source: a.target.Address, Name: name, startedAt: startedAt}
		c.results <- copyResult{copy: kvCopy, err: err}
	}()
}

// handleResult processes the outcome of a copy command.
func (c *kvCopier) handleResult(result copyResult, now time.Time) {
	c.commandPending = false
	run := c.attempt.run
	if result.err != nil {
		c.nextCheck = now.Add(copyRetryDelay)
		run.log("copy-failed", Field{"target", c.attempt.target.ID}, Field{"holder", result.copy.Holder.ID}, Field{"error", result.err})
		return
	}
	if c.commandedCopy == nil {
		run.log("copy-ordered", Field{"target", c.attempt.target.ID}, Field{"holder", result.copy.Holder.ID})
	}
	c.releaseCommanded()
	c.releaseCommanded = run.relay.options.Placer.AddCopy(result.copy.Holder, run.streamSize())
	c.commandedCopy = result.copy
}

// latest returns the copy from which the stream would be resumed; nil if there is none.
func (c *kvCopier) latest() *KVCacheCopy {
	if c.commandedCopy != nil {
		return c.commandedCopy
	}
	return c.initialCopy
}

// finish frees the commanded copy if the stream is complete; otherwise the next attempt is about to
// use it.
func (c *kvCopier) finish(complete bool) {
	c.releaseCommanded()
	if !complete || c.commandedCopy == nil {
		return
	}
	a, name := c.attempt, c.commandedCopy.Name
	engine := a.run.relay.options.Engine
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
		defer cancel()
		if err := engine.FreeCopy(ctx, a.target, name); err != nil {
			a.run.log("copy-not-freed", Field{"target", a.target.ID}, Field{"error", err})
		}
	}()
}

// maxDiscoveryDelay is the maximum time until this entry learns of an engine that restarted.
const maxDiscoveryDelay = 700 * time.Millisecond

// copyHolder returns the available target that has the copy; nil if there is none. Copies are sent
// to an address, so an engine that started there before copying started has the copy.
func (run *relayRun) copyHolder(kvCopy *KVCacheCopy) *directory.Target {
	if kvCopy == nil {
		return nil
	}
	for _, target := range run.targets() {
		if target.SameIncarnation(kvCopy.Holder) {
			return target
		}
		if target.Address == kvCopy.Holder.Address && target.FirstSeen.Before(kvCopy.startedAt.Add(maxDiscoveryDelay)) {
			return target
		}
	}
	return nil
}

const (
	// replacementWait is how long a stream waits until the directory has identified the replacement
	// target at its copy holder's address, which takes a few round trips. Without the copy, the
	// prompt is prefilled again, which takes a second.
	replacementWait         = 50 * time.Millisecond
	replacementPollInterval = 2 * time.Millisecond
)

// awaitReplacementHolder keeps the copy of an attempt that found another incarnation at the copy
// holder's address: an engine that started there before copying started has the copy. While the
// store is unavailable, only the directory's own query to that address tells which engine it is.
func (run *relayRun) awaitReplacementHolder(ctx context.Context, kvCopy *KVCacheCopy, err error) {
	var refused *RelayRefusedError
	if kvCopy == nil || !errors.As(err, &refused) || refused.FoundID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, replacementWait)
	defer cancel()
	ticker := time.NewTicker(replacementPollInterval)
	defer ticker.Stop()
	for {
		replacement := run.targetAt(kvCopy.Holder.Address, func(t *directory.Target) bool { return t.ID == refused.FoundID })
		if replacement != nil {
			run.kvCopy = kvCopy.withHolder(replacement)
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// withHolder returns the same copy at another incarnation of its holder.
func (c *KVCacheCopy) withHolder(holder *directory.Target) *KVCacheCopy {
	updated := *c
	updated.Holder = holder
	return &updated
}

// targetAt returns an available target at the address that satisfies matches; nil if there is none.
func (run *relayRun) targetAt(address string, matches func(*directory.Target) bool) *directory.Target {
	for _, target := range run.targets() {
		if target.Address == address && matches(target) {
			return target
		}
	}
	return nil
}

// copyHolderCandidate returns the target to ask for the copy: the copy holder, or a replacement
// target at its address whose start time is unknown. An engine without the copy refuses at once.
func (run *relayRun) copyHolderCandidate(kvCopy *KVCacheCopy) *directory.Target {
	if target := run.copyHolder(kvCopy); target != nil {
		return target
	}
	return run.targetAt(kvCopy.Holder.Address, func(t *directory.Target) bool { return t.Provisional })
}
