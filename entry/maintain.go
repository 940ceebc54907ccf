package entry

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
)

const (
	// maintainInterval is the time between maintenance rounds.
	maintainInterval = 100 * time.Millisecond
	// sweepEvery is the number of maintenance rounds between removals of unused state.
	sweepEvery = 10
	// pauseThreshold is the shortest pause of the process after which the directory is refreshed,
	// since its state may be out of date.
	pauseThreshold = 500 * time.Millisecond
)

// maintain detects pauses of the process, closes idle connections to targets, gives up requests that are held up on the link to a
// target that leaves, and applies the limits of new configurations.
func (e *Entry) maintain(ctx context.Context) error {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	last := bootTime()
	var observed *directory.Snapshot
	var available map[string]bool
	for count := 1; ; count++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := bootTime()
		if paused := now - last - maintainInterval; paused >= pauseThreshold {
			e.log("entry-was-paused", generation.Field{Key: "paused", Value: paused})
			e.directory.RelistAll()
		}
		last = now
		if configuration := e.directory.Snapshot().Configuration; configuration != nil {
			e.callers.apply(configuration.Limits)
		}
		if snapshot := e.directory.Snapshot(); snapshot != observed || count%sweepEvery == 0 {
			observed = snapshot
			e.observeServing(snapshot)
			available = e.availableKeys()
		}
		e.pool.GiveUpHeldUp(func(key string) bool { return available[key] }, time.Now())
		if count%sweepEvery == 0 {
			e.sweep()
		}
	}
}

// availableKeys returns the keys of the targets that may get new work.
func (e *Entry) availableKeys() map[string]bool {
	keys := map[string]bool{}
	for _, target := range e.allTargets() {
		keys[target.Key()] = true
	}
	return keys
}

// sweep removes state of targets that are no longer registered, drops expired crash records and closes
// idle connections.
func (e *Entry) sweep() {
	e.placement.Sweep()
	e.forwarder.Sweep()
	e.crashRecords.crashes.Sweep(time.Now())
	e.versions.Sweep(time.Now())
	known, ids := map[string]bool{}, map[string]bool{}
	for _, targets := range e.directory.Snapshot().Targets {
		for _, target := range targets {
			known[target.Key()], ids[target.ID] = true, true
		}
	}
	e.limits.Sweep(func(target string) bool { return ids[target] })
	e.limits.brittle.Sweep(func(target string) bool { return ids[target] })
	e.exchanges.Sweep()
	e.limits.pauses.Sweep(time.Now())
	e.pool.Sweep(func(key string) bool { return known[key] })
}

// bootTime returns the time since the machine booted, including the time while it was suspended, which
// the monotonic clock of the Go runtime leaves out.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
