// Package control runs the controller of the engines and the writer of resource statuses on one
// entry at a time.
//
// That entry is elected by a lease object in the platform, without a consensus group: the object
// names the holder, and its revision at the acquisition is the fencing token of every command. A
// lease is not a lock: a holder that was paused may still act after its lease expired. Targets that
// check fencing tokens refuse its commands; the other targets are corrected by repeated
// reconciliation.
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
	// LeaseDuration is the default duration of a lease, counted from when its last renewal was sent.
	LeaseDuration = 15 * time.Second
	// MaxLeaseDuration limits the duration that is believed of another holder: any writer may leave a lease in the store.
	MaxLeaseDuration = 10 * time.Minute
	// renewalsPerLease is how many times per duration a holder renews a lease and others read it.
	renewalsPerLease = 3
)

// Store is the part of the platform's object API that Lease and StatusWriter use.
type Store interface {
	// Get reads one object; the result may be stale.
	Get(ctx context.Context, kind, name string) (objects.Object, error)
	// Put writes an object if its current revision is the expected one.
	Put(ctx context.Context, kind, name string, expected int64, value []byte) (objects.Object, error)
}

// leaseValue is the stored form of a lease.
type leaseValue struct {
	// Holder is empty after a release.
	Holder string `json:"holder"`
	// Nonce lets a holder recognize its own write when the response was lost.
	Nonce      string `json:"nonce"`
	DurationMs int64  `json:"durationMs"`
}

// unknownHolder stands for the holder of a lease that can't be read or hasn't been.
const unknownHolder = "unknown"

// Token is a fencing token: it increases with every acquisition of a lease, by any holder.
type Token int64

// Grant describes a lease that this entry holds.
type Grant struct {
	Token Token
	// AcquiredAt is when this entry learned that it had acquired the lease.
	AcquiredAt time.Time
	// FormerHolderMayAct is set when the former holder may not have released the lease: it may be paused, or
	// its last commands may still be in flight.
	FormerHolderMayAct bool
	// Remaining is the minimum time until the lease expires.
	Remaining time.Duration
}

// Lease is one entry's view of a lease object. It is safe for concurrent use.
type Lease struct {
	store    Store
	name     string
	holder   string
	duration time.Duration

	mu        sync.Mutex
	writes    int
	lostWrite unansweredWrite
	seen      observation
	held      heldLease
}

// unansweredWrite is a write whose response was lost.
type unansweredWrite struct {
	nonce  string
	sentAt time.Time
}

// observation is the newest known state of the lease object.
type observation struct {
	revision int64
	value    leaseValue
	// since is when the revision was first seen.
	since time.Time
}

// heldLease is the lease as held by this entry; token is 0 while it is not held.
type heldLease struct {
	token              Token
	revision           int64
	sentAt             time.Time
	acquiredAt         time.Time
	formerHolderMayAct bool
}

// NewLease returns the holder's view of the named lease, with LeaseDuration. The holder must be unique
// to one start of the process, so that a restarted process does not inherit the lease.
func NewLease(store Store, name, holder string) *Lease {
	return NewLeaseWithDuration(store, name, holder, LeaseDuration)
}

// NewLeaseWithDuration is like NewLease, with the given duration.
func NewLeaseWithDuration(store Store, name, holder string, duration time.Duration) *Lease {
	return &Lease{store: store, name: name, holder: holder, duration: duration}
}

// RenewInterval returns the interval at which Step must be called.
func (l *Lease) RenewInterval() time.Duration { return l.duration / renewalsPerLease }

// Held returns the grant if this entry holds the lease now. The age of the lease is counted from
// before its last renewal was sent, and is the maximum of the ages by the monotonic and by the wall
// clock: at least one of them advances during any pause of the process or its VM.
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
		Token:              l.held.token,
		AcquiredAt:         l.held.acquiredAt,
		FormerHolderMayAct: l.held.formerHolderMayAct,
		Remaining:          left,
	}, true
}

// elapsed returns the maximum of the times passed by the monotonic and by the wall clock.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

// Step renews the lease if it is held, else acquires it if it is free or expired. It must be called
// at every RenewInterval.
func (l *Lease) Step(ctx context.Context) error {
	if _, held := l.Held(); held {
		return l.renew(ctx)
	}
	l.clearHeld()
	if err := l.refresh(ctx); err != nil {
		return err
	}
	if !l.canAcquire() {
		return nil
	}
	return l.acquire(ctx)
}

// Release releases the lease, so that another entry may acquire it immediately. The object is kept,
// since its revision must not restart: the fencing tokens are its revisions.
func (l *Lease) Release(ctx context.Context) error {
	if _, held := l.Held(); !held {
		return nil
	}
	l.mu.Lock()
	revision := l.held.revision
	l.held = heldLease{}
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
		// Another entry holds it, or an earlier renewal of this entry succeeded without a response.
		l.clearHeld()
		return l.refresh(ctx)
	}
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held.revision, l.held.sentAt = object.Revision, sentAt
	return nil
}

func (l *Lease) clearHeld() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = heldLease{}
}

// refresh reads the lease object and records when its current revision was first seen.
func (l *Lease) refresh(ctx context.Context) error {
	now := time.Now()
	object, err := l.store.Get(ctx, KindLease, l.name)
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		return err
	}
	var value leaseValue
	if err == nil && json.Unmarshal(object.Value, &value) != nil {
		// Another writer may have left anything. It expires like a lease that isn't renewed.
		value = leaseValue{Holder: unknownHolder}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.seen.since.IsZero() || object.Revision > l.seen.revision:
		l.seen = observation{revision: object.Revision, value: value, since: now}
	case object.Revision == l.seen.revision:
		l.seen.value = value
	}
	l.adoptLostWrite()
	return nil
}

// adoptLostWrite checks whether the write whose response was lost took effect, and if so records the
// lease as held since the write was sent.
func (l *Lease) adoptLostWrite() {
	lost := l.lostWrite
	if lost.nonce == "" || lost.nonce != l.seen.value.Nonce {
		return
	}
	l.lostWrite = unansweredWrite{}
	l.held = heldLease{
		token:              Token(l.seen.revision),
		revision:           l.seen.revision,
		sentAt:             lost.sentAt,
		acquiredAt:         time.Now(),
		formerHolderMayAct: true,
	}
}

// canAcquire reports whether the lease is free, or its revision has not changed for its duration.
func (l *Lease) canAcquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held.token != 0 {
		return false
	}
	if l.seen.value.Holder == "" {
		return true
	}
	named := min(max(0, l.seen.value.DurationMs), MaxLeaseDuration.Milliseconds())
	duration := max(l.duration, time.Duration(named)*time.Millisecond)
	return time.Since(l.seen.since) > duration
}

func (l *Lease) acquire(ctx context.Context) error {
	l.mu.Lock()
	expected, formerHolderMayAct := l.seen.revision, l.seen.value.Holder != ""
	l.mu.Unlock()
	sentAt := time.Now()
	object, err := l.put(ctx, expected)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = heldLease{
		token:              Token(object.Revision),
		revision:           object.Revision,
		sentAt:             sentAt,
		acquiredAt:         time.Now(),
		formerHolderMayAct: formerHolderMayAct,
	}
	return nil
}

// put writes the lease for this holder if the object has the expected revision, and records what the
// result shows of the object.
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
		l.lostWrite = unansweredWrite{}
	case errors.As(err, &conflict) && conflict.Present > l.seen.revision:
		// Another entry wrote the object; its value is unknown, so the lease is assumed to be held.
		l.seen = observation{revision: conflict.Present, value: leaseValue{Holder: unknownHolder}, since: time.Now()}
	case errors.Is(err, objects.ErrUnknownOutcome):
		l.lostWrite = unansweredWrite{nonce: value.Nonce, sentAt: sentAt}
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
		panic(err) // unreachable: the type has only strings and numbers
	}
	return text
}
