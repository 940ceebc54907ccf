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
	verdict  AwaitVerdict
	record   Record
}

// Finished returns a channel that is closed when the attempt ends.
func (a *Attempt) Finished() <-chan struct{} { return a.finished }

// Outcome returns how the attempt ended; it is valid after Finished is closed.
func (a *Attempt) Outcome() AwaitReply { return AwaitReply{Verdict: a.verdict, Record: a.record} }

// attempts holds the attempts of this process, from before their claim until their outcome is in
// the ledger. An attempt that it doesn't hold was never dispatched and never will be, or its
// outcome is in the ledger.
type attempts struct {
	mu    sync.Mutex
	byID  map[AttemptID]*Attempt
	byKey map[Key]*Attempt
}

func newAttempts() *attempts {
	return &attempts{byID: map[AttemptID]*Attempt{}, byKey: map[Key]*Attempt{}}
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
	attempt.verdict = AwaitAbsent
	close(attempt.finished)
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
	a.mu.Unlock()
	if !ok {
		return AwaitReply{Verdict: AwaitAbsent}, nil
	}
	select {
	case <-attempt.finished:
		return attempt.Outcome(), nil
	case <-ctx.Done():
		return AwaitReply{}, ctx.Err()
	}
}
