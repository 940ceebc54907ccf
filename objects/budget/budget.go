// Package budget shares an entry's part of the platform's write rate among those who write.
//
// Writers wait in classes; a token goes to the waiting writer of the most important class. Status
// never starves a claim.
package budget

import (
	"context"
	"sync"
	"time"
)

// Class orders writers; a lower class goes first.
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
	l.serve()
}

// Acquire waits for a token, or for the end of ctx.
func (l *Limiter) Acquire(ctx context.Context, class Class) error {
	ready := make(chan struct{})
	l.mu.Lock()
	l.waiting[class] = append(l.waiting[class], ready)
	l.serve()
	l.mu.Unlock()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		l.leave(class, ready)
		return ctx.Err()
	}
}

// leave removes a waiter; a token that it was given meanwhile goes back.
func (l *Limiter) leave(class Class, ready chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, waiter := range l.waiting[class] {
		if waiter == ready {
			l.waiting[class] = append(l.waiting[class][:i], l.waiting[class][i+1:]...)
			return
		}
	}
	l.tokens = min(l.tokens+1, l.burst)
	l.serve()
}

func (l *Limiter) refill() {
	now := time.Now()
	l.tokens = min(l.tokens+now.Sub(l.updated).Seconds()*l.rate, l.burst)
	l.updated = now
}

// serve hands the tokens out and sets the timer for the next one; l.mu is held.
func (l *Limiter) serve() {
	l.refill()
	for l.tokens >= 1 {
		ready, ok := l.pop()
		if !ok {
			return
		}
		l.tokens--
		close(ready)
	}
	if l.empty() || l.rate <= 0 {
		return
	}
	wait := time.Duration((1-l.tokens)/l.rate*float64(time.Second)) + time.Microsecond
	if l.timer != nil {
		l.timer.Stop()
	}
	l.timer = time.AfterFunc(wait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.serve()
	})
}

func (l *Limiter) pop() (chan struct{}, bool) {
	for class := range l.waiting {
		if len(l.waiting[class]) > 0 {
			ready := l.waiting[class][0]
			l.waiting[class] = l.waiting[class][1:]
			return ready, true
		}
	}
	return nil, false
}

func (l *Limiter) empty() bool {
	for _, waiting := range l.waiting {
		if len(waiting) > 0 {
			return false
		}
	}
	return true
}

// ledgerShare is the part of the platform's write rate that the owners of ledger shards divide;
// all entries divide the rest evenly.
const ledgerShare = 0.95

// EntryRate returns an entry's part of the total write rate: the shares of the ledger shards that
// it owns, and its even part of the rest.
func EntryRate(total float64, liveEntries, ownedShards, shards int) float64 {
	ledger := total * ledgerShare * float64(ownedShards) / float64(max(shards, 1))
	rest := total * (1 - ledgerShare) / float64(max(liveEntries, 1))
	return ledger + rest
}
