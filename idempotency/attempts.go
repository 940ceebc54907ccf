package idempotency

import (
	"context"
	"sync"
)

// Attempt is one attempt of this process to claim and run a call.
type Attempt struct {
	Key         Key
	Fingerprint Fingerprint
	ID          AttemptID

	finished chan struct{} // closed once the outcome is known to this process
	decided  chan struct{} // closed once the ledger has decided on the outcome
	recorded bool          // the ledger has the outcome; valid after decided is closed
	// unclaimed: the ledger has replied that it records no claim of the attempt. Claim sets it, and Abandon reads it.
	unclaimed bool
	verdict   AwaitVerdict
	record    Record
}

// Finished returns a channel that is closed when the attempt ends.
func (a *Attempt) Finished() <-chan struct{} { return a.finished }

// Outcome returns how the attempt ended; it is valid after Finished is closed.
func (a *Attempt) Outcome() AwaitReply { return AwaitReply{Verdict: a.verdict, Record: a.record} }

// maxAbandoned limits the abandoned attempts that are remembered, in about 3 MB. The calls of older ones count as ones that may have
// run.
const maxAbandoned = 1 << 15

// attempts holds the attempts of this process, from before their claim until their outcome is in
// the ledger, and the IDs of those that it abandoned. The outcome of any other attempt was in the
// ledger; that the ledger has it no more doesn't prove that the call was never dispatched.
type attempts struct {
	mu    sync.Mutex
	byID  map[AttemptID]*Attempt
	byKey map[Key]*Attempt
	// abandoned are the IDs of abandoned attempts whose claims the ledger may hold, abandonedOrder these IDs from the oldest on.
	abandoned      map[AttemptID]bool
	abandonedOrder []AttemptID
}

func newAttempts() *attempts {
	return &attempts{byID: map[AttemptID]*Attempt{}, byKey: map[Key]*Attempt{}, abandoned: map[AttemptID]bool{}}
}

// begin returns a new attempt and true, or the attempt that this process already has for the key
// and false.
func (a *attempts) begin(key Key, fingerprint Fingerprint) (*Attempt, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if existing, ok := a.byKey[key]; ok {
		return existing, false
	}
	attempt := &Attempt{
		Key:         key,
		Fingerprint: fingerprint,
		ID:          NewAttemptID(),
		finished:    make(chan struct{}),
		decided:     make(chan struct{}),
	}
	a.byID[attempt.ID] = attempt
	a.byKey[key] = attempt
	return attempt, true
}

// finish sets the outcome of an attempt and wakes those who wait for it.
func (a *attempts) finish(attempt *Attempt, record Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	attempt.verdict = AwaitFinished
	attempt.record = record
	close(attempt.finished)
}

// removeDecided removes an attempt on whose outcome the ledger has decided.
func (a *attempts) removeDecided(attempt *Attempt, recorded bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.remove(attempt)
	attempt.recorded = recorded
	close(attempt.decided)
}

// abandon removes an attempt that was never dispatched and never will be.
func (a *attempts) abandon(attempt *Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.remove(attempt)
	if !attempt.unclaimed {
		a.rememberAbandoned(attempt.ID)
	}
	attempt.verdict = AwaitAbsent
	close(attempt.finished)
}

// rememberAbandoned remembers an abandoned attempt, and forgets the oldest one beyond maxAbandoned.
func (a *attempts) rememberAbandoned(id AttemptID) {
	a.abandoned[id] = true
	a.abandonedOrder = append(a.abandonedOrder, id)
	if len(a.abandonedOrder) > maxAbandoned {
		delete(a.abandoned, a.abandonedOrder[0])
		a.abandonedOrder = a.abandonedOrder[1:]
	}
}

func (a *attempts) remove(attempt *Attempt) {
	delete(a.byID, attempt.ID)
	if a.byKey[attempt.Key] == attempt {
		delete(a.byKey, attempt.Key)
	}
}

func (a *attempts) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.byID)
}

// await waits for the end of an attempt.
func (a *attempts) await(ctx context.Context, id AttemptID) (AwaitReply, error) {
	a.mu.Lock()
	attempt, ok := a.byID[id]
	abandoned := a.abandoned[id]
	a.mu.Unlock()
	switch {
	case abandoned:
		return AwaitReply{Verdict: AwaitAbsent}, nil
	case !ok:
		return AwaitReply{Verdict: AwaitRecorded}, nil
	}
	select {
	case <-attempt.finished:
		return attempt.Outcome(), nil
	case <-ctx.Done():
		return AwaitReply{}, ctx.Err()
	}
}
