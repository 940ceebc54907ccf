// Package writelimit divides an entry's part of the platform's write rate among its writers.
//
// Writers wait in classes; a token goes to the waiting writer of the most important class. Status
// updates never starve claims.
package writelimit

import (
	"context"
	"sync"
	"time"
)

// Class is the priority class of a write; a lower class is served first.
type Class int

// Classes of writes, the most important first.
const (
	Claims Class = iota
	Outcomes
	Leases
	Status
	classCount
)

// Limiter is a token bucket whose waiters are served by class, then in order of arrival.
type Limiter struct {
	mu      sync.Mutex
	rate    float64 // tokens per second
	burst   float64
	tokens  float64
	updated time.Time
	waiting [classCount][]chan struct{}
	timer   *time.Timer
}

// NewLimiter returns a full bucket of burst tokens that fills at rate tokens per second.
func NewLimiter(rate float64, burst int) *Limiter {
	return &Limiter{rate: rate, burst: float64(burst), tokens: float64(burst), updated: time.Now()}
}

// SetRate changes the rate at which the bucket fills, in tokens per second.
func (l *Limiter) SetRate(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill()
	l.rate = rate
	l.grantTokens()
}

// Acquire waits for a token, or for the end of ctx.
func (l *Limiter) Acquire(ctx context.Context, class Class) error {
	ready := make(chan struct{})
	l.mu.Lock()
	l.waiting[class] = append(l.waiting[class], ready)
	l.grantTokens()
	l.mu.Unlock()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		l.removeWaiter(class, ready)
		return ctx.Err()
	}
}

// removeWaiter removes a waiter; a token that it was granted meanwhile is returned.
func (l *Limiter) removeWaiter(class Class, ready chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, waiter := range l.waiting[class] {
		if waiter == ready {
			l.waiting[class] = append(l.waiting[class][:i], l.waiting[class][i+1:]...)
			return
		}
	}
	l.tokens = min(l.tokens+1, l.burst)
	l.grantTokens()
}

func (l *Limiter) refill() {
	now := time.Now()
	l.tokens = min(l.tokens+now.Sub(l.updated).Seconds()*l.rate, l.burst)
	l.updated = now
}

// grantTokens grants the available tokens and sets the timer for the next one; l.mu must be held.
func (l *Limiter) grantTokens() {
	l.refill()
	for l.tokens >= 1 {
		ready, ok := l.popWaiter()
		if !ok {
			return
		}
		l.tokens--
		close(ready)
	}
	if l.hasNoWaiters() || l.rate <= 0 {
		return
	}
	wait := time.Duration((1-l.tokens)/l.rate*float64(time.Second)) + time.Microsecond
	if l.timer != nil {
		l.timer.Stop()
	}
	l.timer = time.AfterFunc(wait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.grantTokens()
	})
}

func (l *Limiter) popWaiter() (chan struct{}, bool) {
	for class := range l.waiting {
		if len(l.waiting[class]) > 0 {
			ready := l.waiting[class][0]
			l.waiting[class] = l.waiting[class][1:]
			return ready, true
		}
	}
	return nil, false
}

func (l *Limiter) hasNoWaiters() bool {
	for _, waiting := range l.waiting {
		if len(waiting) > 0 {
			return false
		}
	}
	return true
}

// ledgerShare is the fraction of the platform's write rate that is divided among the owners of ledger
// shards; the rest is divided evenly among all entries.
const ledgerShare = 0.95

// EntryRate returns an entry's part of the total write rate: the parts of the ledger shards that it
// owns, and its even part of the rest.
func EntryRate(total float64, liveEntries, ownedShards, shards int) float64 {
	ledger := total * ledgerShare * float64(ownedShards) / float64(max(shards, 1))
	rest := total * (1 - ledgerShare) / float64(max(liveEntries, 1))
	return ledger + rest
}
