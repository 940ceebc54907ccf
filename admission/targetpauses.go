package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/defect"
)

const (
	// maxTargetPause limits a pause: some request must find out whether the target still wants none.
	maxTargetPause = 5 * time.Minute
	// pauseSpread is the share by which pauses are lengthened at random, so that entries which were turned away together
	// don't come back together.
	pauseSpread = 0.1
	// pauseRamp is the time after a pause in which requests come back, one more each pauseRampStep.
	pauseRamp     = time.Second
	pauseRampStep = 100 * time.Millisecond
)

// TargetPauses holds the times for which targets want no request of this entry. Pauses concern this entry only. It is
// safe for concurrent use.
type TargetPauses struct {
	log func(target string, pause time.Duration)

	mu      sync.Mutex
	targets map[string]*targetPause
	count   int64
}

// targetPause is the pause that one incarnation of a target has asked for.
type targetPause struct {
	startedMs int64
	until     time.Time
	// returned counts the requests since the end of the pause.
	returned int
}

// NewTargetPauses returns TargetPauses that know of none. log is called with each pause; nil for nothing.
func NewTargetPauses(log func(target string, pause time.Duration)) *TargetPauses {
	if log == nil {
		log = func(string, time.Duration) {}
	}
	return &TargetPauses{log: log, targets: map[string]*targetPause{}}
}

// Observe records that a target, which started at startedMs (0 if unknown), asked for a pause. Of several answers, the
// one that asks for the latest end counts: each of them is to be heeded.
func (p *TargetPauses) Observe(target string, startedMs int64, pause time.Duration, now time.Time) {
	if pause <= 0 || defect.Enabled(defect.PauseIgnored) {
		return
	}
	pause = min(pause, maxTargetPause)
	until := now.Add(pause + time.Duration(pauseSpread*rand.Float64()*float64(pause)))
	p.mu.Lock()
	current := p.targets[target]
	if current == nil || isRestart(current.startedMs, startedMs) {
		current = &targetPause{}
		p.targets[target] = current
	}
	if startedMs != 0 {
		current.startedMs = startedMs
	}
	isNew := !now.Before(current.until)
	if until.After(current.until) {
		current.until, current.returned = until, 0
	}
	if isNew {
		p.count++
	}
	p.mu.Unlock()
	if isNew {
		p.log(target, pause)
	}
}

// isRestart reports whether a target has started again, by the starts of two incarnations; 0 is unknown.
func isRestart(known, started int64) bool { return known != 0 && started != 0 && known != started }

// Left returns how long the target wants no request of this entry; 0 if it takes some.
func (p *TargetPauses) Left(target string, startedMs int64, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.targets[target]
	if current == nil || isRestart(current.startedMs, startedMs) {
		return 0
	}
	return current.left(now)
}

// left returns the rest of the pause or, after it, the time until the next request may come back.
func (t *targetPause) left(now time.Time) time.Duration {
	since := now.Sub(t.until)
	if since < 0 {
		return -since
	}
	if since >= pauseRamp {
		return 0
	}
	return max(0, time.Duration(t.returned)*pauseRampStep-since)
}

// Take reports whether a request may be sent to the target now, and counts it.
func (p *TargetPauses) Take(target string, startedMs int64, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.targets[target]
	switch {
	case current == nil || isRestart(current.startedMs, startedMs):
		return true
	case current.left(now) > 0:
		return false
	}
	current.returned++
	return true
}

// Count returns the number of pauses that targets have asked for.
func (p *TargetPauses) Count() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count
}

// PausedCount returns the number of targets that are paused now.
func (p *TargetPauses) PausedCount(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	paused := 0
	for _, target := range p.targets {
		if now.Before(target.until) {
			paused++
		}
	}
	return paused
}

// Sweep forgets pauses that are over.
func (p *TargetPauses) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, target := range p.targets {
		if now.Sub(target.until) >= pauseRamp {
			delete(p.targets, name)
		}
	}
}
