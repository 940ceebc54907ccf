package entry

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"github.com/azurebarrow/azurebarrow/generation"
)

const (
	// maintainInterval is the time between looks at the clocks.
	maintainInterval = 100 * time.Millisecond
	// sweepEvery is the number of looks between sweeps of idle connections.
	sweepEvery = 10
	// longPause is the pause of the process after which what it believes is read anew.
	longPause = 500 * time.Millisecond
)

// maintain notices pauses of the process, closes idle connections and applies the limits of new
// configurations.
func (e *Entry) maintain(ctx context.Context) error {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	last := bootTime()
	for count := 1; ; count++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := bootTime()
		if paused := now - last - maintainInterval; paused >= longPause {
			e.log("entry-was-paused", generation.Field{Key: "paused", Value: paused})
			e.directory.Refresh()
		}
		last = now
		if configuration := e.directory.Snapshot().Configuration; configuration != nil {
			e.front.apply(configuration.Limits)
		}
		if count%sweepEvery == 0 {
			e.sweep()
		}
	}
}

// sweep forgets what belongs to targets that are gone, and closes idle connections to them.
func (e *Entry) sweep() {
	e.placement.Sweep()
	e.forwarder.Sweep()
	e.suspects.deaths.Sweep(time.Now())
	known := map[string]bool{}
	for _, targets := range e.directory.Snapshot().Targets {
		for _, target := range targets {
			known[target.Key()] = true
		}
	}
	e.pool.Sweep(func(key string) bool { return known[key] })
}

// bootTime is the time since the machine started, also while it was suspended: the steady clock of
// the runtime does not count that.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
