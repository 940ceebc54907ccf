// Package fault implements fault injection for the stand-ins: the kinds of faults, the set of active
// faults, and the HTTP endpoint that changes the set.
package fault

import (
	"context"
	"strings"
	"sync"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
)

// Kind is a kind of fault; see Descriptions.
type Kind string

// Kinds of faults. Descriptions says what each one does.
const (
	Die               Kind = "die"
	Pause             Kind = "pause"
	Slow              Kind = "slow"
	Overload          Kind = "overload"
	Drain             Kind = "leave"
	ResetStream       Kind = "reset"
	CloseStream       Kind = "close"
	DelayedToken      Kind = "late"
	ForeignToken      Kind = "crossed"
	DuplicatedToken   Kind = "duplicated"
	SkippedToken      Kind = "skipped"
	Crash             Kind = "crash"
	ResetBefore       Kind = "reset-before"
	ResetAfter        Kind = "reset-after"
	DieBefore         Kind = "die-before"
	DieAfter          Kind = "die-after"
	Outage            Kind = "outage"
	Hang              Kind = "hang"
	LostWriteResponse Kind = "lost-answer"
	RememberState     Kind = "remember"
	StaleReads        Kind = "stale"
	RevisionTooOld    Kind = "gone"
	HiddenAddresses   Kind = "hidden"
	WronglyDraining   Kind = "wrongly-leaving"
	NamedLimit        Kind = "named-limit"
	AskedPause        Kind = "asked-pause"
	SaysLeaving       Kind = "says-leaving"
	Brittle           Kind = "brittle"
	OddObject         Kind = "odd-object"
)

// Fault is a fault to inject, the body of POST /faults.
type Fault struct {
	Kind Kind `json:"kind"`
	// Duration is how long the fault stays active; 0 is until it is cleared. With Die, DieBefore,
	// DieAfter and Crash it is also the time until the stand-in listens again; 0 is never.
	Duration v1.Duration `json:"for,omitempty"`
	// After is the number of tokens of a stream before the fault.
	After int `json:"after,omitempty"`
	// Count limits how often the fault occurs; 0 is no limit.
	Count int `json:"count,omitempty"`
	// Delay is the delay that Slow and DelayedToken add, and the time from Drain to the announced termination.
	Delay v1.Duration `json:"delay,omitempty"`
	// Factor is by how much Slow multiplies the step time of an engine, the requests a second that NamedLimit names, and
	// the seconds for which AskedPause wants no further request.
	Factor float64 `json:"factor,omitempty"`
	// Match restricts the fault to prompts, paths, object kinds or addresses that contain this text.
	Match string `json:"match,omitempty"`
}

type activeFault struct {
	fault           Fault
	expiresAt       time.Time
	occurrencesLeft int
}

// expired reports whether the time of the fault has passed or its occurrences are used up.
func (a *activeFault) expired(now time.Time) bool {
	timedOut := !a.expiresAt.IsZero() && !now.Before(a.expiresAt)
	return timedOut || (a.fault.Count > 0 && a.occurrencesLeft == 0)
}

// Set holds the active faults. Its zero value is not usable; use NewSet.
type Set struct {
	mu     sync.Mutex
	active []*activeFault
	// changed is closed and replaced whenever the faults change.
	changed chan struct{}
}

// NewSet returns a Set without faults.
func NewSet() *Set { return &Set{changed: make(chan struct{})} }

// Add activates a fault.
func (s *Set) Add(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	added := &activeFault{fault: fault, occurrencesLeft: fault.Count}
	if fault.Duration > 0 {
		added.expiresAt = time.Now().Add(time.Duration(fault.Duration))
	}
	s.active = append(s.active, added)
	s.notifyWaiters()
}

// Clear removes all faults.
func (s *Set) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = nil
	s.notifyWaiters()
}

// Remove removes all faults of one kind.
func (s *Set) Remove(kind Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := s.active[:0]
	for _, a := range s.active {
		if a.fault.Kind != kind {
			remaining = append(remaining, a)
		}
	}
	s.active = remaining
	s.notifyWaiters()
}

func (s *Set) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Active returns the first active fault of a kind whose Match is part of subject, without counting an
// occurrence.
func (s *Set) Active(kind Kind, subject string) (Fault, bool) {
	return s.findActive(kind, func(f Fault) bool { return strings.Contains(subject, f.Match) }, false)
}

// Consume is like Active, and counts an occurrence against Fault.Count.
func (s *Set) Consume(kind Kind, subject string) (Fault, bool) {
	return s.findActive(kind, func(f Fault) bool { return strings.Contains(subject, f.Match) }, true)
}

// ConsumeAt is like Consume for a stream at token index: it skips faults whose After is larger.
func (s *Set) ConsumeAt(kind Kind, subject string, index int) (Fault, bool) {
	return s.findActive(kind, func(f Fault) bool { return index >= f.After && strings.Contains(subject, f.Match) }, true)
}

func (s *Set) findActive(kind Kind, applies func(Fault) bool, consume bool) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.active) == 0 {
		return Fault{}, false
	}
	now := time.Now()
	for _, a := range s.active {
		if a.fault.Kind != kind || a.expired(now) || !applies(a.fault) {
			continue
		}
		if consume && a.occurrencesLeft > 0 {
			a.occurrencesLeft--
		}
		return a.fault, true
	}
	return Fault{}, false
}

// Empty reports whether the set holds no fault. Expired faults count until they are cleared.
func (s *Set) Empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active) == 0
}

// pollInterval is how often WaitWhile checks whether a fault has expired.
const pollInterval = 5 * time.Millisecond

// WaitWhile blocks while a fault of the kind is active, or until ctx ends.
func (s *Set) WaitWhile(ctx context.Context, kind Kind) error {
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		if _, on := s.Active(kind, ""); !on {
			return ctx.Err()
		}
		if err := waitForChange(ctx, changed); err != nil {
			return err
		}
	}
}

// waitForChange waits until the set changes, but at most pollInterval.
func waitForChange(ctx context.Context, changed <-chan struct{}) error {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-timer.C:
	}
	return nil
}
