package idempotency

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/defect"
	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"
)

// Ledger is an entry's client of the ledger, and the server of the shards that the entry owns.
type Ledger struct {
	options   Options
	self      Holder
	health    *health
	owners    []*shardOwner
	attempts  *attempts
	completer *completer
	draining  atomic.Bool // this entry hands its shards over and takes none again
}

// New returns a ledger; Run must be called for it to work.
func New(options Options) *Ledger {
	options = options.withDefaults()
	self := options.View.Self()
	ledger := &Ledger{
		options:  options,
		self:     Holder{Entry: self.Name, Incarnation: newIncarnation()},
		health:   newHealth(options),
		attempts: newAttempts(),
	}
	for number := range options.Shards {
		ledger.owners = append(ledger.owners, newShardOwner(options, ledger.health, ledger.self, number))
	}
	ledger.completer = newCompleter(ledger)
	return ledger
}

// newIncarnation returns a number that no other process has. Membership's incarnation is not used,
// since it is a counter: a process that took a former process's claims for its own would let their
// calls run again.
func newIncarnation() uint64 {
	var number [8]byte
	_, _ = rand.Read(number[:]) // never returns an error
	return binary.BigEndian.Uint64(number[:])
}

// Run serves the ledger until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, owner := range l.owners {
		group.Go(func() { owner.Run(ctx) })
	}
	for shard := range l.owners {
		group.Go(func() { l.completer.run(ctx, shard) })
	}
	group.Go(func() { l.probePlatform(ctx) })
	group.Wait()
}

// Drain waits until the outcome of every call of this process is in the ledger, then hands the
// shards over. Call it when no new calls arrive, and before Run's context ends.
func (l *Ledger) Drain(ctx context.Context) error {
	const pollInterval = 20 * time.Millisecond
	for l.attempts.count() > 0 {
		if err := wait.For(ctx, pollInterval); err != nil {
			return err
		}
	}
	l.draining.Store(true)
	for _, owner := range l.owners {
		select {
		case <-owner.Release():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// PlatformDown reports whether the platform is known to be down.
func (l *Ledger) PlatformDown() bool { return l.health.Down() }

// OwnedShards returns the number of shards that this entry owns, for writelimit.EntryRate.
func (l *Ledger) OwnedShards() int {
	owned := 0
	for _, owner := range l.owners {
		if owner.Owns() {
			owned++
		}
	}
	return owned
}

// Shards returns the number of shards.
func (l *Ledger) Shards() int { return l.options.Shards }

// Begin returns a new attempt to run a call, and true; or the attempt that this process already
// makes for the same key, and false.
func (l *Ledger) Begin(key Key, fingerprint Fingerprint) (*Attempt, bool) {
	return l.attempts.begin(key, fingerprint)
}

// Claim asks the shard owner for the right to run the call of an attempt. The argument supersedes
// names an attempt whose holder replied AwaitAbsent; empty if there is none.
func (l *Ledger) Claim(ctx context.Context, attempt *Attempt, supersedes AttemptID) Reply {
	request := ClaimRequest{
		Key:         attempt.Key,
		Fingerprint: attempt.Fingerprint,
		Holder:      l.self,
		Attempt:     attempt.ID,
		Supersedes:  supersedes,
	}
	if defect.Enabled(defect.DeduplicatePerEntry) {
		return Reply{Verdict: VerdictGranted, Record: newClaimRecord(request, time.Now())}
	}
	reply := l.routeClaim(ctx, request, true)
	switch reply.Verdict {
	case VerdictHeld, VerdictFinished, VerdictMismatch, VerdictCorrupt:
		attempt.unclaimed = true
	}
	return reply
}

// Finish records the outcome of a claimed call. Callers that wait for it, here or at other entries,
// learn it at once; it reaches the ledger with one of the next writes, once the platform accepts
// them.
func (l *Ledger) Finish(attempt *Attempt, state State, answer *Answer) {
	l.attempts.finish(attempt, l.finalRecord(attempt, state, answer))
	l.completer.add(attempt, newCompleteRequest(attempt, state, answer, l.options.AnswerBytes))
}

// FinishNotRun records that no target received the call, and waits until that is durable, the
// platform is down or ctx ends. The caller may be told that the call was not run only if it returns
// true.
func (l *Ledger) FinishNotRun(ctx context.Context, attempt *Attempt) bool {
	l.completer.add(attempt, newCompleteRequest(attempt, StateNotRun, nil, 0))
	durable := false
	select {
	case <-attempt.decided:
		durable = attempt.recorded
	case <-ctx.Done():
	case <-l.health.BecameDown():
	}
	state := StateNotRun
	if !durable {
		state = StateUnknown
	}
	l.attempts.finish(attempt, l.finalRecord(attempt, state, nil))
	return durable
}

// Abandon ends an attempt that was never dispatched and never will be.
func (l *Ledger) Abandon(attempt *Attempt) { l.attempts.abandon(attempt) }

func (l *Ledger) finalRecord(attempt *Attempt, state State, answer *Answer) Record {
	return Record{
		Key:         attempt.Key,
		Fingerprint: attempt.Fingerprint,
		State:       state,
		Holder:      l.self,
		Attempt:     attempt.ID,
		Answer:      answer,
	}
}

func newCompleteRequest(attempt *Attempt, state State, answer *Answer, limit int) CompleteRequest {
	request := CompleteRequest{Key: attempt.Key, Attempt: attempt.ID, State: state}
	if answer != nil {
		bounded := answer.Bounded(limit)
		request.Answer = &bounded
	}
	return request
}

// Await asks the holder of a claim for the outcome and waits for it until ctx ends or the holder is
// no longer alive.
func (l *Ledger) Await(ctx context.Context, claim Record) (AwaitReply, error) {
	call := AwaitCall{Key: claim.Key, Attempt: claim.Attempt, Incarnation: claim.Holder.Incarnation}
	if claim.Holder.Entry == l.self.Entry {
		return l.HandleAwait(ctx, call)
	}
	peer, ok := l.livePeer(claim.Holder.Entry)
	if !ok {
		return AwaitReply{Verdict: AwaitLost}, nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go l.watchHolder(ctx, peer.Name, cancel)
	reply, err := l.options.Peers.Await(ctx, peer, call)
	if err != nil && errors.Is(context.Cause(ctx), errHolderDead) {
		return AwaitReply{Verdict: AwaitLost}, nil
	}
	return reply, err
}

var errHolderDead = errors.New("the holder is no longer alive")

// watchHolder cancels ctx when membership no longer reports the holder as alive: a paused holder
// would not reply.
func (l *Ledger) watchHolder(ctx context.Context, entry string, cancel context.CancelCauseFunc) {
	const pollInterval = 100 * time.Millisecond
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if _, alive := l.livePeer(entry); !alive {
			cancel(errHolderDead)
			return
		}
	}
}

// HandleAwait replies to another entry's Await.
func (l *Ledger) HandleAwait(ctx context.Context, call AwaitCall) (AwaitReply, error) {
	if call.Incarnation != l.self.Incarnation {
		return AwaitReply{Verdict: AwaitLost}, nil
	}
	return l.attempts.await(ctx, call.Attempt)
}

// probePlatform probes the platform while it is down, until it responds.
func (l *Ledger) probePlatform(ctx context.Context) {
	ticker := time.NewTicker(l.options.ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if l.health.Down() {
			l.probePlatformOnce(ctx)
		}
	}
}

func (l *Ledger) probePlatformOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.options.WriteTimeout)
	defer cancel()
	start := time.Now()
	_, err := l.options.Store.Get(ctx, KindHead, HeadName(0))
	if err == nil || errors.Is(err, objects.ErrNotFound) {
		l.health.Succeeded(time.Since(start))
	}
}

func (l *Ledger) livePeer(name string) (membership.Peer, bool) {
	for _, peer := range l.options.View.Live() {
		if peer.Name == name {
			return peer, true
		}
	}
	return membership.Peer{}, false
}
