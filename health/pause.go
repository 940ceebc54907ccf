package health

import (
	"sync"
	"time"
)

// PauseDetector measures the time in which this process did not run, by the delay of its own ticks: the
// process was paused, or the machine was overloaded. Silence measured across such a time says nothing
// about the other side of a connection. It is safe for concurrent use.
type PauseDetector struct {
	mu       sync.Mutex
	interval time.Duration
	lastTick time.Time
	lost     time.Duration
}

// tickTolerance is the delay of a tick that counts as normal, in intervals.
const tickTolerance = 1

// NewPauseDetector returns a detector for ticks at the given interval.
func NewPauseDetector(interval time.Duration) *PauseDetector {
	return &PauseDetector{interval: interval}
}

// Tick records that the process runs at now, and returns the time lost since the last tick.
func (p *PauseDetector) Tick(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := p.lateness(now)
	p.lost += late
	p.lastTick = now
	return late
}

// Lost returns the time lost since the start. It includes the delay of an overdue tick, because a timer
// may fire before the ticker after a pause.
func (p *PauseDetector) Lost(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost + p.lateness(now)
}

func (p *PauseDetector) lateness(now time.Time) time.Duration {
	if p.lastTick.IsZero() {
		return 0
	}
	late := now.Sub(p.lastTick) - p.interval
	if late <= tickTolerance*p.interval {
		return 0
	}
	return late
}
