package service

import "time"

const (
	// breakerFailures is the number of consecutive failures that opens a breaker.
	breakerFailures = 3
	// breakerInitialOpenTime is how long a breaker stays open at first; each failed probe doubles the
	// time.
	breakerInitialOpenTime = 500 * time.Millisecond
	// breakerMaxOpenTime limits the time between probes.
	breakerMaxOpenTime = 10 * time.Second
	// breakerSuccessfulProbes is the number of consecutive successful probes that closes a breaker.
	breakerSuccessfulProbes = 2
)

// breaker is a circuit breaker: it keeps calls away from a target that fails or is far slower than
// its peers. Its methods take the current time. It is not safe for concurrent use.
type breaker struct {
	consecutiveFailures int
	open                bool
	openFor             time.Duration
	nextProbe           time.Time
	probing             bool
	successfulProbes    int
}

// Closed reports whether the target may receive calls other than probes.
func (b *breaker) Closed() bool { return !b.open }

// TryProbe reports whether a probe may be sent now, and if so marks it as running.
func (b *breaker) TryProbe(now time.Time) bool {
	if !b.open || b.probing || now.Before(b.nextProbe) {
		return false
	}
	b.probing = true
	return true
}

// RecordSuccess records a call that the target answered in time.
func (b *breaker) RecordSuccess(probe bool) {
	b.consecutiveFailures = 0
	if !probe || !b.open {
		return
	}
	b.probing = false
	b.successfulProbes++
	if b.successfulProbes >= breakerSuccessfulProbes {
		*b = breaker{}
	}
}

// RecordFailure records a call that failed or took far too long.
func (b *breaker) RecordFailure(probe bool, now time.Time) {
	b.consecutiveFailures++
	switch {
	case b.open && probe:
		b.openFor = min(2*b.openFor, breakerMaxOpenTime)
		b.startOpenPeriod(now)
	case !b.open && b.consecutiveFailures >= breakerFailures:
		b.open = true
		b.openFor = breakerInitialOpenTime
		b.startOpenPeriod(now)
	}
}

func (b *breaker) startOpenPeriod(now time.Time) {
	b.probing = false
	b.successfulProbes = 0
	b.nextProbe = now.Add(b.openFor)
}
