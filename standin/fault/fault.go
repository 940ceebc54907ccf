// Package fault holds the fault switches of the stand-ins: what can go wrong, what is switched on
// now, and the HTTP calls that switch it.
package fault

import (
	"context"
	"strings"
	"sync"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
)

// Kind names one way to fail.
type Kind string

// Kinds of faults.
const (
	Die           Kind = "die"
	Pause         Kind = "pause"
	Slow          Kind = "slow"
	Overload      Kind = "overload"
	Leave         Kind = "leave"
	Reset         Kind = "reset"
	Close         Kind = "close"
	Late          Kind = "late"
	Crossed       Kind = "crossed"
	Duplicated    Kind = "duplicated"
	Skipped       Kind = "skipped"
	Crash         Kind = "crash"
	ResetBefore   Kind = "reset-before"
	ResetAfter    Kind = "reset-after"
	DieBefore     Kind = "die-before"
	DieAfter      Kind = "die-after"
	Outage        Kind = "outage"
	Hang          Kind = "hang"
	LostAnswer    Kind = "lost-answer"
	Remember      Kind = "remember"
	Stale         Kind = "stale"
	Gone          Kind = "gone"
	Hidden        Kind = "hidden"
	WronglyLeaves Kind = "wrongly-leaving"
)

// Fault switches one kind on.
type Fault struct {
	Kind Kind `json:"kind"`
	// For bounds how long the fault lasts; 0 is until it is cleared.
	For v1.Duration `json:"for,omitempty"`
	// After is the number of tokens that a stream gives before the fault.
	After int `json:"after,omitempty"`
	// Count bounds how often the fault occurs; 0 is no bound.
	Count int `json:"count,omitempty"`
	// Delay is what Slow and Late add, and how far ahead Leave announces the end.
	Delay v1.Duration `json:"delay,omitempty"`
	// Factor multiplies an engine's step time under Slow.
	Factor float64 `json:"factor,omitempty"`
	// Match restricts the fault to prompts, paths, kinds or addresses that contain it.
	Match string `json:"match,omitempty"`
}

type active struct {
	fault Fault
	until time.Time
	left  int
}

func (a *active) over(now time.Time) bool {
	expired := !a.until.IsZero() && !now.Before(a.until)
	return expired || (a.fault.Count > 0 && a.left == 0)
}

// Set holds the faults that are switched on. Its zero value is not ready; use NewSet.
type Set struct {
	mu     sync.Mutex
	active []*active
	// changed is closed and replaced whenever the faults change.
	changed chan struct{}
}

// NewSet returns a Set without faults.
func NewSet() *Set { return &Set{changed: make(chan struct{})} }

// Add switches a fault on.
func (s *Set) Add(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	added := &active{fault: fault, left: fault.Count}
	if fault.For > 0 {
		added.until = time.Now().Add(time.Duration(fault.For))
	}
	s.active = append(s.active, added)
	s.announce()
}

// Clear switches all faults off.
func (s *Set) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = nil
	s.announce()
}

// Remove switches all faults of one kind off.
func (s *Set) Remove(kind Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.active[:0]
	for _, a := range s.active {
		if a.fault.Kind != kind {
			kept = append(kept, a)
		}
	}
	s.active = kept
	s.announce()
}

func (s *Set) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// On returns the first fault of a kind that applies to subject, without counting an occurrence.
func (s *Set) On(kind Kind, subject string) (Fault, bool) {
	return s.find(kind, func(f Fault) bool { return strings.Contains(subject, f.Match) }, false)
}

// Take is On, and counts an occurrence.
func (s *Set) Take(kind Kind, subject string) (Fault, bool) {
	return s.find(kind, func(f Fault) bool { return strings.Contains(subject, f.Match) }, true)
}

// TakeAt is Take for a fault of a stream that has given index tokens.
func (s *Set) TakeAt(kind Kind, subject string, index int) (Fault, bool) {
	return s.find(kind, func(f Fault) bool { return index >= f.After && strings.Contains(subject, f.Match) }, true)
}

func (s *Set) find(kind Kind, applies func(Fault) bool, take bool) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.active) == 0 {
		return Fault{}, false
	}
	now := time.Now()
	for _, a := range s.active {
		if a.fault.Kind != kind || a.over(now) || !applies(a.fault) {
			continue
		}
		if take && a.left > 0 {
			a.left--
		}
		return a.fault, true
	}
	return Fault{}, false
}

// Empty tells whether no fault is switched on.
func (s *Set) Empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active) == 0
}

// pollInterval is how often a waiter looks whether a bounded fault is over.
const pollInterval = 5 * time.Millisecond

// WaitWhile blocks while a fault of the kind is on, or until ctx ends.
func (s *Set) WaitWhile(ctx context.Context, kind Kind) error {
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		if _, on := s.On(kind, ""); !on {
			return ctx.Err()
		}
		if err := waitForChange(ctx, changed); err != nil {
			return err
		}
	}
}

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
