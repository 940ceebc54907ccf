package generation

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/journal"
)

// errNothingToContinue: the caller wants to continue a generation, but no entry holds a record of the key.
var errNothingToContinue = errors.New("generation: nothing to continue")

// errReplicasUnavailable: entries that may hold the record don't answer.
var errReplicasUnavailable = errors.New("generation: replicas don't answer")

// run is this entry's role in one generation: it produces the generation, follows the entry that does, or
// serves a completed log. The role may change until the generation ends.
type run struct {
	manager  *Manager
	request  Request
	bodyHash string
	// seenPositions is the number of positions that the caller which opened the run has received. If it is
	// not 0, the run must not start a new generation.
	seenPositions int

	mu  sync.Mutex
	log Log
	// ready is closed once the log is known or the run has failed.
	ready     chan struct{}
	readyOnce sync.Once
	// changed is closed and replaced at every change that readers wait for.
	changed chan struct{}
	// err is why the run ended before its log was complete.
	err error
	// producing is set while this entry holds the term, locating while it finds out which entry does.
	producing, locating bool
	// readers counts the callers and the entries that follow this one.
	readers int
	// detachedSince is when the last reader left, or when the run was opened.
	detachedSince time.Time
}

func newRun(m *Manager, request Request, bodyHash string, after *EventID) *run {
	r := &run{
		manager:       m,
		request:       request,
		bodyHash:      bodyHash,
		ready:         make(chan struct{}),
		changed:       make(chan struct{}),
		detachedSince: time.Now(), // the caller that opens it is about to read
	}
	if after != nil {
		r.seenPositions = after.Index + 1
	}
	return r
}

func (r *run) addReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
}

func (r *run) removeReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	r.detachedSince = time.Now()
}

// abandoned reports whether the run has had no reader for the grace period.
func (r *run) abandoned(grace time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0 && time.Since(r.detachedSince) >= grace
}

// awaitReady waits until the run has a log or has failed.
func (r *run) awaitReady(ctx context.Context) error {
	select {
	case <-r.ready:
	case <-ctx.Done():
		return ctx.Err()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil && r.log.Generation == "" {
		return r.err
	}
	return nil
}

func (r *run) generation() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.Generation
}

// checkSeen returns an error if a caller that has received the event seen can't be served from this log.
func (r *run) checkSeen(seen *EventID) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.checkSeenLocked(seen)
}

func (r *run) checkSeenLocked(seen *EventID) error {
	if seen == nil || r.log.Contains(*seen) {
		return nil
	}
	return &LineageLostError{Key: r.request.Key, After: *seen}
}

// awaitEvent waits for the event at a position.
func (r *run) awaitEvent(ctx context.Context, position int, seen *EventID) (Event, error) {
	for {
		event, changed, err := r.poll(position, seen)
		if err != nil || changed == nil {
			return event, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Event{}, ctx.Err()
		}
	}
}

// poll returns the event at a position, or a channel that is closed at the next change.
func (r *run) poll(position int, seen *EventID) (Event, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.checkSeenLocked(seen); err != nil {
		return Event{}, nil, err
	}
	if position < r.log.Visible() {
		return r.log.Event(position), nil, nil
	}
	if r.log.Done() {
		return Event{}, nil, io.EOF
	}
	if r.err != nil {
		return Event{}, nil, r.err
	}
	return Event{}, r.changed, nil
}

// update changes the run under its lock and wakes the readers.
func (r *run) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	r.wakeReaders()
}

// wakeReaders wakes the readers; the caller holds mu.
func (r *run) wakeReaders() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) markReady() {
	r.readyOnce.Do(func() { close(r.ready) })
}

// fail ends the run with an error that every reader gets.
func (r *run) fail(err error) {
	r.update(func() { r.err = err })
	r.markReady()
}

// outcome is the result of this entry's current role in a run.
type outcome int

const (
	// outcomeRelocate: another entry may hold the term; the producer must be located again.
	outcomeRelocate outcome = iota + 1
	// outcomeDone: the end is committed.
	outcomeDone
	// outcomeFailed: the run has failed and its error is set.
	outcomeFailed
)

// execute runs the generation until it ends.
func (r *run) execute() {
	result := r.locateAndRun()
	for relocations := 0; result == outcomeRelocate; relocations++ {
		result = r.relocate(relocations)
	}
	r.markReady()
	r.manager.finishRun(r, result == outcomeDone)
}

const (
	// relocateBackoff and relocateBackoffLimit bound the random delay before the producer is located
	// again, so that entries don't keep taking a generation over from each other.
	relocateBackoff      = 2 * time.Millisecond
	relocateBackoffLimit = 200 * time.Millisecond
)

// relocate locates the producer again after a delay, unless the run has no readers left.
func (r *run) relocate(relocations int) outcome {
	if r.abandoned(0) {
		r.fail(&GivenUpError{MayHaveRun: true, RetryAfter: retryAfter, Cause: ErrAbandoned})
		return outcomeFailed
	}
	limit := min(relocateBackoff<<min(relocations, maxBackoffShift), relocateBackoffLimit)
	_ = wait.For(r.manager.ctx, rand.N(limit))
	return r.locateAndRun()
}

// maxBackoffShift keeps a doubled backoff from overflowing.
const maxBackoffShift = 16

// locateAndRun finds out which entry produces the generation and plays this entry's role.
func (r *run) locateAndRun() outcome {
	ctx := r.manager.ctx
	r.update(func() { r.locating = true })
	found := r.locate()
	if ctx.Err() != nil {
		r.fail(&GivenUpError{MayHaveRun: true, RetryAfter: retryAfter, Cause: ErrClosed})
		return outcomeFailed
	}
	if found.Record == nil {
		return r.startNew(found)
	}
	if found.Record.BodyHash != r.bodyHash {
		r.fail(&RequestMismatchError{Key: r.request.Key})
		return outcomeFailed
	}
	r.applyPin(found.Record.Pin)
	if found.Record.Finish != "" {
		r.serveFinished(found.Record)
		return outcomeDone
	}
	if found.Holder != r.manager.options.EntryName && r.manager.options.Peers != nil {
		if result, followed := r.follow(found.Holder); followed {
			return result
		}
	}
	if !r.coversSeen(found.Record) && found.Unanswered > 0 {
		// An entry that doesn't answer now may hold what the caller has received. Under a new term it would be lost.
		r.fail(&GivenUpError{MayHaveRun: true, RetryAfter: retryAfter, Cause: errReplicasUnavailable})
		return outcomeFailed
	}
	return r.takeOver(found)
}

const (
	// locateTimeout is the time that slow entries get in the first extra lookup; it doubles with each
	// further one.
	locateTimeout = 100 * time.Millisecond
	// maxExtraLookups bounds the repeated lookups of a record that slow entries may hold.
	maxExtraLookups = 4
)

// locate looks the record up. If the record does not hold all that the caller has received, locate asks
// more entries, and asks again with a longer timeout while some don't answer: output that only slow or
// other entries hold is not lost.
func (r *run) locate() journal.LookupResult {
	ctx, key := r.manager.ctx, r.request.Key.String()
	found := r.manager.options.Journal.LookUp(ctx, key, 0)
	for lookup := range maxExtraLookups {
		allAnswered := lookup > 0 && found.Unanswered == 0
		if allAnswered || r.coversSeen(found.Record) || ctx.Err() != nil {
			break
		}
		found = r.manager.options.Journal.LookUp(ctx, key, locateTimeout<<lookup)
	}
	return found
}

// coversSeen reports whether a record holds all that the caller has received.
func (r *run) coversSeen(record *journal.Record) bool {
	if record == nil {
		return r.seenPositions == 0
	}
	return record.Length() >= r.seenPositions
}

// applyPin makes every attempt use the version, adapter and seed with which the generation started.
func (r *run) applyPin(pin journal.Pin) {
	r.update(func() {
		r.request.Version = pin.Version
		r.request.Adapter = pin.Adapter
		r.request.Seed = pin.Seed
	})
}

// serveFinished makes a completed log readable.
func (r *run) serveFinished(record *journal.Record) {
	r.update(func() { r.log = NewLog(record) })
	r.markReady()
}

// startNew starts a new generation, unless the caller wants to continue an existing one.
func (r *run) startNew(found journal.LookupResult) outcome {
	if found.Unanswered > 0 && r.seenPositions > 0 {
		r.fail(&GivenUpError{MayHaveRun: true, RetryAfter: retryAfter, Cause: errReplicasUnavailable})
		return outcomeFailed
	}
	if r.seenPositions > 0 || r.generation() != "" {
		r.fail(errNothingToContinue)
		return outcomeFailed
	}
	term := journal.NextTerm(found.HighestTerm, r.manager.options.EntryName)
	record := &journal.Record{
		Key:        r.request.Key.String(),
		Generation: newGenerationID(),
		BodyHash:   r.bodyHash,
		Pin:        journal.Pin{Version: r.request.Version, Adapter: r.request.Adapter, Seed: r.request.Seed},
		Term:       term,
		Producer:   r.manager.options.EntryName,
		Lineage:    journal.Lineage{{Term: term, Index: 0}},
	}
	return r.produce(record)
}

// takeOver continues a generation whose producer is unreachable.
func (r *run) takeOver(found journal.LookupResult) outcome {
	record, err := r.manager.options.Journal.Takeover(r.manager.ctx, r.request.Key.String(), found)
	if errors.Is(err, journal.ErrContended) {
		return outcomeRelocate
	}
	if err != nil {
		r.fail(&GivenUpError{MayHaveRun: true, RetryAfter: retryAfter, Cause: err})
		return outcomeFailed
	}
	if record.BodyHash != r.bodyHash {
		r.fail(&RequestMismatchError{Key: r.request.Key})
		return outcomeFailed
	}
	r.applyPin(record.Pin)
	r.manager.stats.Takeovers.Add(1)
	r.manager.options.Log("generation-taken-over", Field{"request", record.Key}, Field{"term", record.Term},
		Field{"index", record.Length()}, Field{"attempt", record.Attempt.Number})
	return r.produce(record)
}
