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

// errNothingToContinue: the caller wants to continue, and no entry holds a record of the key.
var errNothingToContinue = errors.New("generation: nothing to continue")

// errUnanswered: entries that may hold the record don't answer.
var errUnanswered = errors.New("generation: replicas don't answer")

// run is this entry's part in one generation: it produces it, follows the entry that does, or serves
// a finished log. It changes between these until the generation is over.
type run struct {
	manager  *Manager
	request  Request
	bodyHash string
	// wanted is the number of positions that the caller which opened the run has seen. If there are
	// any, the run must not begin anew.
	wanted int

	mu  sync.Mutex
	log Log
	// ready is closed once the log is known or the run has failed.
	ready     chan struct{}
	readyOnce sync.Once
	// changed is closed and replaced at every change that readers wait for.
	changed chan struct{}
	// err is why the run ended before its log did.
	err error
	// producing tells that this entry holds the term, locating that it finds out who does.
	producing, locating bool
	// readers counts the callers, and the entries that follow.
	readers int
	// detached is when the last reader went, or the run began.
	detached time.Time
}

func newRun(m *Manager, request Request, bodyHash string, after *EventID) *run {
	r := &run{
		manager:  m,
		request:  request,
		bodyHash: bodyHash,
		ready:    make(chan struct{}),
		changed:  make(chan struct{}),
		detached: time.Now(), // the caller that opens it is about to attach
	}
	if after != nil {
		r.wanted = after.Index + 1
	}
	return r
}

func (r *run) attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
}

func (r *run) detach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	r.detached = time.Now()
}

// abandoned tells whether no caller has read for the grace.
func (r *run) abandoned(grace time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0 && time.Since(r.detached) >= grace
}

// awaitReady waits until the run has a log.
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

// check tells whether a caller that has seen an event can be served from this log.
func (r *run) check(seen *EventID) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.checkLocked(seen)
}

func (r *run) checkLocked(seen *EventID) error {
	if seen == nil || r.log.Contains(*seen) {
		return nil
	}
	return &LineageLostError{Key: r.request.Key, After: *seen}
}

// event waits for the event at a position.
func (r *run) event(ctx context.Context, position int, seen *EventID) (Event, error) {
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
	if err := r.checkLocked(seen); err != nil {
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
	r.wake()
}

// wake wakes the readers; the caller holds mu.
func (r *run) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) becomeReady() {
	r.readyOnce.Do(func() { close(r.ready) })
}

// fail ends the run with an error for every reader.
func (r *run) fail(err error) {
	r.update(func() { r.err = err })
	r.becomeReady()
}

// outcome tells why a phase of a run ended.
type outcome int

const (
	// outcomeRelocate: another entry may hold the term; look again.
	outcomeRelocate outcome = iota + 1
	// outcomeDone: the end is committed.
	outcomeDone
	// outcomeFailed: the run has failed, its error is set.
	outcomeFailed
)

// live runs the generation until it is over.
func (r *run) live() {
	result := r.phase()
	for relocations := 0; result == outcomeRelocate; relocations++ {
		result = r.relocate(relocations)
	}
	r.becomeReady()
	r.manager.over(r, result == outcomeDone)
}

const (
	// relocateBackoff and relocateBackoffLimit bound the random wait before another look, so that
	// entries don't keep taking a generation over from each other.
	relocateBackoff      = 2 * time.Millisecond
	relocateBackoffLimit = 200 * time.Millisecond
)

// relocate looks again who produces the generation, unless nobody here wants it.
func (r *run) relocate(relocations int) outcome {
	if r.abandoned(0) {
		r.fail(&GivenUpError{Started: true, RetryAfter: retryAfter, Cause: ErrAbandoned})
		return outcomeFailed
	}
	limit := min(relocateBackoff<<min(relocations, maximumShift), relocateBackoffLimit)
	_ = wait.For(r.manager.ctx, rand.N(limit))
	return r.phase()
}

// maximumShift keeps the doubling of a backoff within its type.
const maximumShift = 16

// phase finds out who produces the generation and does this entry's part.
func (r *run) phase() outcome {
	ctx := r.manager.ctx
	r.update(func() { r.locating = true })
	found := r.locate()
	if ctx.Err() != nil {
		r.fail(&GivenUpError{Started: true, RetryAfter: retryAfter, Cause: ErrClosed})
		return outcomeFailed
	}
	if found.Record == nil {
		return r.begin(found)
	}
	if found.Record.BodyHash != r.bodyHash {
		r.fail(&RequestMismatchError{Key: r.request.Key})
		return outcomeFailed
	}
	r.pin(found.Record.Pin)
	if found.Record.Finish != "" {
		r.serve(found.Record)
		return outcomeDone
	}
	if found.Holder != r.manager.options.EntryName && r.manager.options.Peers != nil {
		if result, followed := r.follow(found.Holder); followed {
			return result
		}
	}
	return r.takeOver(found)
}

const (
	// locatePatience is the time for slow entries in the second look; it doubles with each more.
	locatePatience = 100 * time.Millisecond
	// maximumLooks bounds the looks for a record that slow entries may hold.
	maximumLooks = 4
)

// locate asks for the record. If what the caller has seen isn't found, it asks more entries, and again
// with more patience while some don't answer: what is only slow or elsewhere is not lost.
func (r *run) locate() journal.Found {
	ctx, key := r.manager.ctx, r.request.Key.String()
	found := r.manager.options.Journal.Locate(ctx, key, 0)
	for look := range maximumLooks {
		settled := look > 0 && found.Unanswered == 0
		if settled || r.satisfies(found.Record) || ctx.Err() != nil {
			break
		}
		found = r.manager.options.Journal.Locate(ctx, key, locatePatience<<look)
	}
	return found
}

// satisfies tells whether a record holds all that the caller has seen.
func (r *run) satisfies(record *journal.Record) bool {
	if record == nil {
		return r.wanted == 0
	}
	return record.Length() >= r.wanted
}

// pin makes every attempt use the version, adapter and seed that the generation began with.
func (r *run) pin(pin journal.Pin) {
	r.update(func() {
		r.request.Version = pin.Version
		r.request.Adapter = pin.Adapter
		r.request.Seed = pin.Seed
	})
}

// serve makes a finished log readable.
func (r *run) serve(record *journal.Record) {
	r.update(func() { r.log = NewLog(record) })
	r.becomeReady()
}

// begin starts a new generation, unless the caller wants to continue one.
func (r *run) begin(found journal.Found) outcome {
	if found.Unanswered > 0 && r.wanted > 0 {
		r.fail(&GivenUpError{Started: true, RetryAfter: retryAfter, Cause: errUnanswered})
		return outcomeFailed
	}
	if r.wanted > 0 || r.generation() != "" {
		r.fail(errNothingToContinue)
		return outcomeFailed
	}
	term := journal.NextTerm(found.Promised, r.manager.options.EntryName)
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

// takeOver continues a generation whose producer is gone.
func (r *run) takeOver(found journal.Found) outcome {
	record, err := r.manager.options.Journal.Takeover(r.manager.ctx, r.request.Key.String(), found)
	if errors.Is(err, journal.ErrContended) {
		return outcomeRelocate
	}
	if err != nil {
		r.fail(&GivenUpError{Started: true, RetryAfter: retryAfter, Cause: err})
		return outcomeFailed
	}
	if record.BodyHash != r.bodyHash {
		r.fail(&RequestMismatchError{Key: r.request.Key})
		return outcomeFailed
	}
	r.pin(record.Pin)
	r.manager.stats.Takeovers.Add(1)
	r.manager.options.Log("generation-taken-over", Field{"request", record.Key}, Field{"term", record.Term},
		Field{"index", record.Length()}, Field{"attempt", record.Attempt.Number})
	return r.produce(record)
}
