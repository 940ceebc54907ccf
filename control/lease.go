// Package control gives one entry at a time the duty to steer the targets and to write status.
//
// There is no consensus group: a lease object in the platform names the holder, and its version
// is the fencing token of every order. A lease is no lock. A paused holder may act after its end,
// so that targets which check tokens refuse it, and the others are brought back by observing
// them again and again.
package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/objects"
)

const (
	// KindLease is the kind of the lease objects.
	KindLease = "Lease"
	// LeaseDuration is how long a lease usually lasts after its last renewal was sent.
	LeaseDuration = 15 * time.Second
	// renewalsPerLease is how often a lease is renewed, or another's looked at, in its duration.
	renewalsPerLease = 3
)

// Store is the part of the platform's object API that leases and the status writer use.
type Store interface {
	// Get reads one object; the answer may be stale.
	Get(ctx context.Context, kind, name string) (objects.Object, error)
	// Put writes an object if its present revision is the expected one.
	Put(ctx context.Context, kind, name string, expected int64, value []byte) (objects.Object, error)
}

// leaseValue is the stored form of a lease.
type leaseValue struct {
	// Holder is empty after a release.
	Holder string `json:"holder"`
	// Nonce tells a holder's own write after its answer was lost.
	Nonce      string `json:"nonce"`
	DurationMs int64  `json:"durationMs"`
}

// Token is a fencing token: it grows with every acquisition of a lease, by whomever.
type Token int64

// Grant is a lease that is held now.
type Grant struct {
	Token Token
	// AcquiredAt is when the acquisition was known.
	AcquiredAt time.Time
	// Contested tells that a former holder did not release the lease, and may be paused.
	Contested bool
	// Left is how much of the lease is left at the least.
	Left time.Duration
}

// Lease is one entry's view of a lease object. It is safe for concurrent use.
type Lease struct {
	store    Store
	name     string
	holder   string
	duration time.Duration

	mu      sync.Mutex
	writes  int
	pending pendingWrite
	seen    observation
	held    holding
}

// pendingWrite is a write whose answer was lost.
type pendingWrite struct {
	nonce  string
	sentAt time.Time
}

// observation is the newest known state of the object.
type observation struct {
	revision int64
	value    leaseValue
	// since is when the revision was first seen.
	since time.Time
}

// holding is this entry's tenure; token is 0 while it holds nothing.
type holding struct {
	token      Token
	revision   int64
	sentAt     time.Time
	acquiredAt time.Time
	contested  bool
}

// NewLease returns the view of the named lease by the holder. A holder must be unique to a start of
// a process: the next start does not inherit the lease.
func NewLease(store Store, name, holder string) *Lease {
	return NewLeaseOf(store, name, holder, LeaseDuration)
}

// NewLeaseOf is NewLease with another duration than LeaseDuration.
func NewLeaseOf(store Store, name, holder string, duration time.Duration) *Lease {
	return &Lease{store: store, name: name, holder: holder, duration: duration}
}

// RenewInterval returns how often Step must be called.
func (l *Lease) RenewInterval() time.Duration { return l.duration / renewalsPerLease }

// Held returns the grant if this entry holds the lease now. Time counts from before the last
// renewal was sent, by the monotonic and the wall clock, whichever went further: one of them shows
// any pause of the process or its VM.
func (l *Lease) Held() (Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held.token == 0 {
		return Grant{}, false
	}
	left := l.duration - elapsed(l.held.sentAt, time.Now())
	if left <= 0 {
		return Grant{}, false
	}
	return Grant{
		Token:      l.held.token,
		AcquiredAt: l.held.acquiredAt,
		Contested:  l.held.contested,
		Left:       left,
	}, true
}

func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

// Step renews the lease if it is held, else takes it if it is free or has lapsed. Call it every
// RenewInterval.
func (l *Lease) Step(ctx context.Context) error {
	if _, held := l.Held(); held {
		return l.renew(ctx)
	}
	l.drop()
	if err := l.look(ctx); err != nil {
		return err
	}
	if !l.mayTake() {
		return nil
	}
	return l.take(ctx)
}

// Release gives the lease up, so that another entry may take it at once. The object stays: its
// version must not start anew.
func (l *Lease) Release(ctx context.Context) error {
	if _, held := l.Held(); !held {
		return nil
	}
	l.mu.Lock()
	revision := l.held.revision
	l.held = holding{}
	l.mu.Unlock()
	_, err := l.store.Put(ctx, KindLease, l.name, revision, encodeLease(leaseValue{Nonce: l.nextNonce()}))
	return err
}

func (l *Lease) renew(ctx context.Context) error {
	l.mu.Lock()
	revision := l.held.revision
	l.mu.Unlock()
	sentAt := time.Now()
	object, err := l.put(ctx, revision)
	if objects.IsConflict(err) {
		// Another holder, or this entry's earlier renewal of which the answer was lost.
		l.drop()
		return l.look(ctx)
	}
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held.revision, l.held.sentAt = object.Revision, sentAt
	return nil
}

func (l *Lease) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = holding{}
}

// look reads the object and notes since when its revision has stood.
func (l *Lease) look(ctx context.Context) error {
	now := time.Now()
	object, err := l.store.Get(ctx, KindLease, l.name)
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		return err
	}
	var value leaseValue
	if err == nil {
		if err := json.Unmarshal(object.Value, &value); err != nil {
			return fmt.Errorf("lease %s: %w", l.name, err)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.seen.since.IsZero() || object.Revision > l.seen.revision:
		l.seen = observation{revision: object.Revision, value: value, since: now}
	case object.Revision == l.seen.revision:
		l.seen.value = value
	}
	l.adoptPending()
	return nil
}

// adoptPending recognises the write whose answer was lost. The tenure counts from its sending.
func (l *Lease) adoptPending() {
	lost := l.pending
	if lost.nonce == "" || lost.nonce != l.seen.value.Nonce {
		return
	}
	l.pending = pendingWrite{}
	l.held = holding{
		token:      Token(l.seen.revision),
		revision:   l.seen.revision,
		sentAt:     lost.sentAt,
		acquiredAt: time.Now(),
		contested:  true,
	}
}

func (l *Lease) mayTake() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held.token != 0 {
		return false
	}
	if l.seen.value.Holder == "" {
		return true
	}
	lasts := max(l.duration, time.Duration(l.seen.value.DurationMs)*time.Millisecond)
	return time.Since(l.seen.since) > lasts
}

func (l *Lease) take(ctx context.Context) error {
	l.mu.Lock()
	expected, contested := l.seen.revision, l.seen.value.Holder != ""
	l.mu.Unlock()
	sentAt := time.Now()
	object, err := l.put(ctx, expected)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = holding{
		token:      Token(object.Revision),
		revision:   object.Revision,
		sentAt:     sentAt,
		acquiredAt: time.Now(),
		contested:  contested,
	}
	return nil
}

func (l *Lease) put(ctx context.Context, expected int64) (objects.Object, error) {
	value := leaseValue{Holder: l.holder, Nonce: l.nextNonce(), DurationMs: l.duration.Milliseconds()}
	sentAt := time.Now()
	object, err := l.store.Put(ctx, KindLease, l.name, expected, encodeLease(value))
	l.mu.Lock()
	defer l.mu.Unlock()
	var conflict *objects.ConflictError
	switch {
	case err == nil:
		l.seen = observation{revision: object.Revision, value: value, since: sentAt}
		l.pending = pendingWrite{}
	case errors.As(err, &conflict) && conflict.Present > l.seen.revision:
		// Somebody wrote meanwhile; the value is unknown, so that it counts as a holder's.
		l.seen = observation{revision: conflict.Present, value: leaseValue{Holder: "unknown"}, since: time.Now()}
	case errors.Is(err, objects.ErrUnknownOutcome):
		l.pending = pendingWrite{nonce: value.Nonce, sentAt: sentAt}
	}
	return object, err
}

func (l *Lease) nextNonce() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writes++
	return fmt.Sprintf("%s/%d", l.holder, l.writes)
}

func encodeLease(value leaseValue) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // cannot happen: the type holds only text and numbers
	}
	return text
}
