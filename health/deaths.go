package health

import (
	"slices"
	"sync"
	"time"
)

const (
	// isolatedFrom is the number of deaths from which a fingerprint runs isolated.
	isolatedFrom = 2
	// RefusedFrom is the number of distinct dead targets from which a fingerprint is refused.
	RefusedFrom = 3
	// massLossWindow and massLossTargets tell when deaths are a mass loss: a single request kills
	// one target at a time.
	massLossWindow  = 2 * time.Second
	massLossTargets = 3
	// chargeExpiry is how long a charge that led to no refusal is kept.
	chargeExpiry = 10 * time.Minute
	// refusalExpiry is how long a refusal is kept.
	refusalExpiry = 24 * time.Hour
)

// Standing tells how a fingerprint may run.
type Standing int

// Standings.
const (
	// StandingClear: like any other request.
	StandingClear Standing = iota
	// StandingIsolated: one at a time, on the target with the least other work.
	StandingIsolated
	// StandingRefused: not at all.
	StandingRefused
)

// Deaths charges the deaths of targets to the fingerprints of the requests that ran on them. It is
// safe for concurrent use.
type Deaths struct {
	mu      sync.Mutex
	charges map[string][]charge
	recent  []charge
}

// charge is one target's death.
type charge struct {
	target string
	at     time.Time
}

// NewDeaths returns a ledger without charges.
func NewDeaths() *Deaths { return &Deaths{charges: map[string][]charge{}} }

// Charge records that target died while it ran the fingerprint.
func (d *Deaths) Charge(fingerprint, target string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(fingerprint, now)
	died := charge{target: target, at: now}
	d.charges[fingerprint] = addTarget(d.charges[fingerprint], died)
	d.recent = slices.DeleteFunc(d.recent, func(c charge) bool { return now.Sub(c.at) > massLossWindow })
	d.recent = addTarget(d.recent, died)
	if len(d.recent) >= massLossTargets {
		d.forgive(now)
	}
}

// forgive drops the charges of a mass loss. A fingerprint that was charged for several targets is
// not forgiven: a mass loss hits each stream once.
func (d *Deaths) forgive(now time.Time) {
	for fingerprint, charges := range d.charges {
		if len(charges) == 1 && now.Sub(charges[0].at) <= massLossWindow {
			delete(d.charges, fingerprint)
		}
	}
}

func addTarget(charges []charge, added charge) []charge {
	if slices.ContainsFunc(charges, func(c charge) bool { return c.target == added.target }) {
		return charges
	}
	return append(charges, added)
}

// Clear records that the fingerprint finished on a target, which shows it harmless.
func (d *Deaths) Clear(fingerprint string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.charges, fingerprint)
}

// Count returns the number of distinct targets charged to the fingerprint.
func (d *Deaths) Count(fingerprint string, now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(fingerprint, now)
	return len(d.charges[fingerprint])
}

// Targets returns the targets charged to the fingerprint.
func (d *Deaths) Targets(fingerprint string, now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(fingerprint, now)
	var names []string
	for _, c := range d.charges[fingerprint] {
		names = append(names, c.target)
	}
	return names
}

// Sweep forgets the charges that have expired.
func (d *Deaths) Sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for fingerprint := range d.charges {
		d.expire(fingerprint, now)
	}
}

func (d *Deaths) expire(fingerprint string, now time.Time) {
	charges := d.charges[fingerprint]
	if len(charges) == 0 {
		return
	}
	expiry := chargeExpiry
	if len(charges) >= RefusedFrom {
		expiry = refusalExpiry
	}
	if now.Sub(charges[len(charges)-1].at) > expiry {
		delete(d.charges, fingerprint)
	}
}

// StandingOf returns how a fingerprint with that many deaths may run.
func StandingOf(deaths int) Standing {
	switch {
	case deaths >= RefusedFrom:
		return StandingRefused
	case deaths >= isolatedFrom:
		return StandingIsolated
	}
	return StandingClear
}
