package health

import (
	"slices"
	"sync"
	"time"
)

const (
	// minCrashesToIsolate is the number of recorded crashes from which a fingerprint runs isolated.
	minCrashesToIsolate = 2
	// RefusedFrom is the number of distinct crashed targets from which a fingerprint is refused.
	MinCrashesToRefuse = 3
	// Crashes of massFailureTargets targets within massFailureWindow are a mass failure: a single poison
	// request crashes one target at a time.
	massFailureWindow  = 2 * time.Second
	massFailureTargets = 3
	// crashTTL is how long crashes that led to no refusal are kept.
	crashTTL = 10 * time.Minute
	// refusalTTL is how long a refusal is kept.
	refusalTTL = 24 * time.Hour
)

// Standing is how requests with a fingerprint may run.
type Restriction int

// Values of Standing.
const (
	// StandingClear: without restriction.
	RestrictionNone Restriction = iota
	// StandingIsolated: one at a time, on the target with the least other work.
	RestrictionIsolated
	// StandingRefused: not at all.
	RestrictionRefused
)

// Deaths records the crashes of targets against the fingerprints of the requests that ran on them, to find
// poison requests. It is safe for concurrent use.
type Crashes struct {
	mu            sync.Mutex
	crashes       map[string][]crash
	recentCrashes []crash
}

// crash is the crash of one target.
type crash struct {
	target string
	at     time.Time
}

// NewDeaths returns a Deaths without crashes.
func NewCrashes() *Crashes { return &Crashes{crashes: map[string][]crash{}} }

// Charge records a crash against the fingerprint: the target crashed while it ran a request with it.
func (d *Crashes) Record(fingerprint, target string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeIfExpired(fingerprint, now)
	added := crash{target: target, at: now}
	d.crashes[fingerprint] = addCrash(d.crashes[fingerprint], added)
	d.recentCrashes = slices.DeleteFunc(d.recentCrashes, func(c crash) bool {
		return now.Sub(c.at) > massFailureWindow
	})
	d.recentCrashes = addCrash(d.recentCrashes, added)
	if len(d.recentCrashes) >= massFailureTargets {
		d.discardMassFailure(now)
	}
}

// discardMassFailure discards the crashes of a mass failure. A fingerprint with crashes of several targets
// keeps them: a mass failure hits each stream once.
func (d *Crashes) discardMassFailure(now time.Time) {
	for fingerprint, crashes := range d.crashes {
		if len(crashes) == 1 && now.Sub(crashes[0].at) <= massFailureWindow {
			delete(d.crashes, fingerprint)
		}
	}
}

func addCrash(crashes []crash, added crash) []crash {
	if slices.ContainsFunc(crashes, func(c crash) bool { return c.target == added.target }) {
		return crashes
	}
	return append(crashes, added)
}

// Clear discards the crashes recorded against the fingerprint, because a request with it completed on a
// target, which shows that it is harmless.
func (d *Crashes) Discard(fingerprint string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.crashes, fingerprint)
}

// Count returns the number of distinct targets whose crashes are recorded against the fingerprint.
func (d *Crashes) Count(fingerprint string, now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeIfExpired(fingerprint, now)
	return len(d.crashes[fingerprint])
}

// Targets returns the targets whose crashes are recorded against the fingerprint.
func (d *Crashes) Targets(fingerprint string, now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeIfExpired(fingerprint, now)
	var names []string
	for _, c := range d.crashes[fingerprint] {
		names = append(names, c.target)
	}
	return names
}

// Sweep removes the crashes that have expired.
func (d *Crashes) Sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for fingerprint := range d.crashes {
		d.removeIfExpired(fingerprint, now)
	}
}

func (d *Crashes) removeIfExpired(fingerprint string, now time.Time) {
	crashes := d.crashes[fingerprint]
	if len(crashes) == 0 {
		return
	}
	expiry := crashTTL
	if len(crashes) >= MinCrashesToRefuse {
		expiry = refusalTTL
	}
	if now.Sub(crashes[len(crashes)-1].at) > expiry {
		delete(d.crashes, fingerprint)
	}
}

// StandingOf returns how requests with a fingerprint may run, given its number of crashed targets.
func RestrictionFor(crashes int) Restriction {
	switch {
	case crashes >= MinCrashesToRefuse:
		return RestrictionRefused
	case crashes >= minCrashesToIsolate:
		return RestrictionIsolated
	}
	return RestrictionNone
}
