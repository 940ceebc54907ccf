package journal

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/membership"
)

// LookupResult is the result of a look-up: what the entries that answered know about a key.
type LookupResult struct {
	// Record is the record to continue with, as NewestRecord chooses it; nil when no entry holds one.
	Record *Record
	// HighestTerm is the highest term that any of the entries has accepted, Holder the name of the entry
	// that holds it.
	HighestTerm int
	Holder      string
	// Unanswered counts the entries that timed out and may hold a record. An entry that refused the
	// connection does not count: its process has ended, and its memory is lost.
	Unanswered int
	// ranks is the number of ranks that were asked; a takeover asks the same number.
	ranks int
	// copies holds the records of all entries that answered.
	copies []*Record
}

// ErrContended: concurrent takeovers by other entries raised the term in every attempt.
var ErrContended = errors.New("journal: takeover contended")

// ErrNoRecord: no replica that answered a takeover holds the key.
var ErrNoRecord = errors.New("journal: no record to take over")

// takeoverAttempts is the maximum number of attempts of a takeover.
const takeoverAttempts = 5

// extendedRanks is the number of ranks that a look-up with a longer timeout asks: the producer may have
// known fewer entries and have chosen replicas at lower ranks.
const extendedRanks = 16

// LookUp looks a key up at the entries of its first ranks and at the replicas that their pointers name.
// It waits for Timeouts.Read, or for minTimeout if that is longer. With a minTimeout above 0 it asks
// extendedRanks entries instead of firstRanks.
func (j *Journal) LookUp(ctx context.Context, key string, minTimeout time.Duration) LookupResult {
	var found LookupResult
	ctx, cancel := context.WithTimeout(ctx, max(minTimeout, j.options.Timeouts.Read))
	defer cancel()
	found.ranks = firstRanks
	if minTimeout > 0 {
		found.ranks = extendedRanks
	}
	found.Unanswered = j.queryReplicas(ctx, key, found.ranks, func(ctx context.Context, peer membership.Peer) (Copy, error) {
		if peer.Name == j.options.View.Self().Name {
			return j.options.Store.Read(key), nil
		}
		return j.options.Transport.Read(ctx, peer, key)
	}, found.add)
	return found
}

func (r *LookupResult) add(copied Copy) {
	if copied.Promised > r.HighestTerm {
		r.HighestTerm = copied.Promised
		r.Holder = copied.Holder
	}
	if copied.Record == nil {
		return
	}
	r.copies = append(r.copies, copied.Record)
	r.Record = NewestRecord(r.copies)
}

// Takeover raises the key's term at every replica that answers, and returns the record to continue with
// under the new term. The caller must pass it to StartReplication before it produces tokens.
func (j *Journal) Takeover(ctx context.Context, key string, found LookupResult) (*Record, error) {
	self := j.options.View.Self().Name
	timeout := j.options.Timeouts.Read
	for range takeoverAttempts {
		request := TakeoverRequest{Key: key, Term: NextTerm(found.HighestTerm, self), Producer: self}
		call, cancel := context.WithTimeout(ctx, timeout)
		j.queryReplicas(call, key, found.ranks, func(ctx context.Context, peer membership.Peer) (Copy, error) {
			result, err := j.takeoverAt(ctx, peer, request)
			if err == nil && !result.Granted {
				return result.Copy, errRefused
			}
			return result.Copy, err
		}, found.add)
		cancel()
		record, err := found.takeoverRecord(request)
		if !errors.Is(err, errRefused) {
			j.stats.Takeovers.Add(1)
			return record, err
		}
	}
	return nil, ErrContended
}

// takeoverRecord returns the record to continue with after every replica has answered a takeover or
// failed. It returns errRefused when one of them knows a newer term.
func (r *LookupResult) takeoverRecord(request TakeoverRequest) (*Record, error) {
	if r.HighestTerm > request.Term {
		return nil, errRefused
	}
	if r.Record == nil {
		return nil, ErrNoRecord
	}
	return r.Record.WithTerm(request.Term, request.Producer), nil
}

var errRefused = errors.New("journal: takeover refused")

func (j *Journal) takeoverAt(ctx context.Context, peer membership.Peer, request TakeoverRequest) (TakeoverResult, error) {
	if peer.Name == j.options.View.Self().Name {
		return j.options.Store.Takeover(request), nil
	}
	return j.options.Transport.Takeover(ctx, peer, request)
}

// queryReplicas calls the entries of the first ranks concurrently, then those that their pointers name,
// and one of the next ranks for each entry that failed: a producer that knew of the failure chose its
// replicas from the next ranks too. It returns the number of entries that timed out.
func (j *Journal) queryReplicas(ctx context.Context, key string, ranks int, call func(context.Context, membership.Peer) (Copy, error), add func(Copy)) int {
	query := &keyQuery{journal: j, ranks: ranks, call: call, add: add, asked: map[string]bool{}}
	ranked := j.ranked(key)
	next := ranked[:min(ranks, len(ranked))]
	for len(next) > 0 {
		query.queryAll(ctx, next)
		next = query.nextPeers(ranked)
	}
	return query.unanswered
}

// keyQuery is the state of the calls to entries about one key.
type keyQuery struct {
	journal *Journal
	ranks   int
	call    func(context.Context, membership.Peer) (Copy, error)
	add     func(Copy)
	asked   map[string]bool

	mu         sync.Mutex
	answered   int
	unanswered int
	// pointedTo names the entries that received pointers name.
	pointedTo []string
}

// nextPeers returns the entries to call next.
func (q *keyQuery) nextPeers(ranked []membership.Peer) []membership.Peer {
	var next []membership.Peer
	wanted := q.ranks - q.answered
	for _, peer := range ranked {
		if q.asked[peer.Name] {
			continue
		}
		if slices.Contains(q.pointedTo, peer.Name) || wanted > 0 {
			next = append(next, peer)
			wanted--
		}
	}
	return next
}

func (q *keyQuery) queryAll(ctx context.Context, peers []membership.Peer) {
	var group sync.WaitGroup
	for _, peer := range peers {
		q.asked[peer.Name] = true
		group.Go(func() {
			copied, err := q.call(ctx, peer)
			q.handleAnswer(ctx, peer, copied, err)
		})
	}
	group.Wait()
}

func (q *keyQuery) handleAnswer(ctx context.Context, peer membership.Peer, copied Copy, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err == nil || errors.Is(err, errRefused) {
		q.answered++
		q.add(copied)
		q.pointedTo = append(q.pointedTo, copied.Pointers...)
		return
	}
	q.journal.recordFailure(ctx, peer)
	if ctx.Err() != nil {
		q.unanswered++
	}
}

// recordFailure records that a call to the peer failed, unless the call was canceled.
func (j *Journal) recordFailure(ctx context.Context, peer membership.Peer) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	j.markFailed(peer.Name)
}
