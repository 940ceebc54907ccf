package journal

import (
	"context"
	"errors"
	"slices"
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
	// Unanswered counts the entries that timed out or that there was no time left to ask, and may hold a
	// record. An entry that refused the connection does not count: its process has ended, and its memory is
	// lost.
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
	found.ranks = firstRanks
	if minTimeout > 0 {
		found.ranks = extendedRanks
	}
	timeout := max(minTimeout, j.options.Timeouts.Read)
	found.Unanswered = j.queryReplicas(ctx, key, found.ranks, timeout, func(ctx context.Context, peer membership.Peer) (Copy, error) {
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
	for range takeoverAttempts {
		request := TakeoverRequest{Key: key, Term: NextTerm(found.HighestTerm, self), Producer: self}
		j.queryReplicas(ctx, key, found.ranks, j.options.Timeouts.Read, func(ctx context.Context, peer membership.Peer) (Copy, error) {
			result, err := j.takeoverAt(ctx, peer, request)
			if err == nil && !result.Granted {
				return result.Copy, errRefused
			}
			return result.Copy, err
		}, found.add)
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

// hedgeFraction of the timeout is how long an entry may take to answer before the next rank is asked as well.
const hedgeFraction = 1.0 / 3

// replicaCall asks one entry about a key.
type replicaCall func(context.Context, membership.Peer) (Copy, error)

// queryReplicas calls the entries of the first ranks concurrently, those that their pointers name, and one of the
// next ranks for each entry that failed: a producer that knew of the failure chose its replicas from the next ranks
// too. Entries that are slow get such a substitute once, after hedgeFraction of the timeout, so that it can still
// answer. queryReplicas returns the number of entries that timed out.
func (j *Journal) queryReplicas(ctx context.Context, key string, ranks int, timeout time.Duration, call replicaCall, add func(Copy)) int {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ranked := j.ranked(key)
	query := &keyQuery{
		journal:  j,
		ranks:    ranks,
		call:     call,
		add:      add,
		asked:    map[string]bool{},
		expected: map[string]bool{},
		answers:  make(chan replicaAnswer, len(ranked)),
	}
	hedge := time.NewTimer(time.Duration(hedgeFraction * float64(timeout)))
	defer hedge.Stop()
	query.askNext(ctx, ranked)
	for query.pending > 0 {
		select {
		case answer := <-query.answers:
			query.handleAnswer(ctx, answer)
		case <-hedge.C:
			query.hedged = true
			clear(query.expected)
		}
		query.askNext(ctx, ranked)
	}
	return query.unanswered
}

// replicaAnswer is the outcome of a replicaCall.
type replicaAnswer struct {
	peer   membership.Peer
	copied Copy
	err    error
	// hedge is set if the entry was asked late, in place of a slow one, and had less than the whole timeout.
	hedge bool
	// pointedTo is set if a pointer named the entry.
	pointedTo bool
}

// keyQuery is the state of the calls to entries about one key. Only the goroutine of queryReplicas uses it.
type keyQuery struct {
	journal *Journal
	ranks   int
	call    replicaCall
	add     func(Copy)
	asked   map[string]bool
	answers chan replicaAnswer
	// pending counts the calls that have not ended.
	pending int
	// expected names the entries asked by their rank that neither answered nor are slow.
	expected map[string]bool
	// hedged is set once slow entries have got substitutes.
	hedged bool

	// answered counts the entries asked by their rank that answered, unanswered all that timed out.
	answered   int
	unanswered int
	// pointedTo names the entries that received pointers name.
	pointedTo []string
}

// nextPeers returns the entries to call next.
func (q *keyQuery) nextPeers(ranked []membership.Peer) []membership.Peer {
	var next []membership.Peer
	wanted := q.ranks - q.answered - len(q.expected)
	for _, peer := range ranked {
		if q.asked[peer.Name] {
			continue
		}
		switch {
		case slices.Contains(q.pointedTo, peer.Name):
			next = append(next, peer)
		case wanted > 0:
			next = append(next, peer)
			wanted--
		}
	}
	return next
}

// askNext calls the entries to call next. After the deadline it only counts them: a call that has no time left says
// nothing about the entry.
func (q *keyQuery) askNext(ctx context.Context, ranked []membership.Peer) {
	peers := q.nextPeers(ranked)
	if ctx.Err() != nil {
		for _, peer := range peers {
			q.asked[peer.Name] = true
		}
		q.unanswered += len(peers)
		return
	}
	for _, peer := range peers {
		answer := replicaAnswer{peer: peer, hedge: q.hedged, pointedTo: slices.Contains(q.pointedTo, peer.Name)}
		q.asked[peer.Name] = true
		if !answer.pointedTo {
			q.expected[peer.Name] = true
		}
		q.pending++
		go func() {
			answer.copied, answer.err = q.call(ctx, peer)
			q.answers <- answer
		}()
	}
}

func (q *keyQuery) handleAnswer(ctx context.Context, answer replicaAnswer) {
	q.pending--
	delete(q.expected, answer.peer.Name)
	if answer.err == nil || errors.Is(answer.err, errRefused) {
		if !answer.pointedTo {
			q.answered++
		}
		q.add(answer.copied)
		q.pointedTo = append(q.pointedTo, answer.copied.Pointers...)
		return
	}
	timedOut := ctx.Err() != nil
	if timedOut {
		q.unanswered++
	}
	if !timedOut || !answer.hedge {
		q.journal.recordFailure(ctx, answer.peer)
	}
}

// recordFailure records that a call to the peer failed, unless the call was canceled.
func (j *Journal) recordFailure(ctx context.Context, peer membership.Peer) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	j.markFailed(peer.Name)
}
