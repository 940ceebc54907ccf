package idempotency

import (
	"flag"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The exhaustive test is a model checker: it explores every reachable state of a small model, with
// entries that may each act as the shard owner, a store whose writes arrive late, twice or with
// their replies lost, and requests for one key. The model's transitions are those of Shard.Stage
// and Shard.Commit.

// phase is the state of a modelled request at its entry.
type phase int

const (
	phaseClaiming  phase = iota
	phaseRunning         // granted; a target may have received the call
	phaseUnsent          // granted; no target could be reached
	phaseEnded           // the outcome is not yet in the ledger
	phaseAbandoned       // given up before it was dispatched
	phaseClosed          // its caller was told an outcome, or the outcome is recorded
	phaseCrashed
)

type modelRequest struct {
	entry      int
	attempt    AttemptID
	supersedes AttemptID
	phase      phase
	state      State
}

// modelOwner is the state of one entry as the shard owner.
type modelOwner struct {
	shard     *Shard
	batch     *Batch
	request   int // the request that the batch concerns
	completes bool
	crashed   bool
}

// modelWrite is a write in flight to the store.
type modelWrite struct {
	owner int
	batch Batch
}

// modelState is one state of the model.
type modelState struct {
	revision int64
	head     Head
	previous Head // the head that a stale read returns
	stale    int64
	owners   []modelOwner
	requests []modelRequest
	network  []modelWrite
	ran      int
	notRun   bool
	writes   int // bounded, as are crashes
	crashes  int
	nonces   int
	// wrongRule lets a retry supersede an attempt whose holder crashed, to show that the check detects
	// it.
	wrongRule bool
}

var (
	modelKey = NewKey("customer", "key")
	modelNow = time.UnixMilli(1)
)

const modelMaxCrashes = 1

// Sizes of the explored model: larger ones take minutes and are run manually.
var (
	modelMaxWrites = flag.Int("model.writes", 3, "number of writes sent in the explored world")
	modelEntries   = flag.Int("model.entries", 2, "number of entries in the explored world")
)

func newModelState(entries, requests int) modelState {
	s := modelState{head: EmptyHead(0, 1), previous: EmptyHead(0, 1)}
	s.owners = make([]modelOwner, entries)
	for i := range requests {
		s.requests = append(s.requests, modelRequest{entry: i % entries, attempt: AttemptID(fmt.Sprint("a", i))})
	}
	return s
}

func (s modelState) clone() modelState {
	s.owners = append([]modelOwner(nil), s.owners...)
	s.requests = append([]modelRequest(nil), s.requests...)
	s.network = append([]modelWrite(nil), s.network...)
	return s
}

// appendHeadID appends an identifier of a head's content. A nonce is used once in a history, but
// two histories may use the same one for different records, so the records are part of the
// identifier.
func appendHeadID(id []byte, h Head) []byte {
	id = append(id, h.Nonce...)
	for _, record := range h.Records {
		id = append(id, record.Attempt...)
		id = append(id, record.State[:2]...)
	}
	return append(id, ' ')
}

// id identifies a state; states with the same id have the same futures.
func (s modelState) id() string {
	id := appendNumbers(nil, s.revision, s.stale, int64(s.ran), int64(s.crashes), int64(s.writes), int64(s.nonces), boolNumber(s.notRun))
	id = appendHeadID(id, s.head)
	id = appendHeadID(id, s.previous)
	for _, o := range s.owners {
		id = appendNumbers(id, boolNumber(o.crashed), int64(o.request), boolNumber(o.completes), boolNumber(o.shard != nil), boolNumber(o.batch != nil))
		if o.shard != nil {
			id = appendHeadID(appendNumbers(id, o.shard.Revision), o.shard.Head)
		}
		if o.batch != nil {
			id = appendHeadID(appendNumbers(id, o.batch.Expected), o.batch.Head)
		}
	}
	for _, r := range s.requests {
		id = appendNumbers(id, int64(r.phase))
		id = append(append(id, r.supersedes...), r.state...)
	}
	for _, write := range s.network {
		id = appendHeadID(appendNumbers(id, int64(write.owner), write.batch.Expected), write.batch.Head)
	}
	return string(id)
}

func appendNumbers(id []byte, values ...int64) []byte {
	for _, value := range values {
		id = append(strconv.AppendInt(id, value, 36), ',')
	}
	return id
}

func boolNumber(on bool) int64 {
	if on {
		return 1
	}
	return 0
}

func (s modelState) check() error {
	if s.ran > 1 {
		return fmt.Errorf("the call ran %d times", s.ran)
	}
	if s.notRun && s.ran > 0 {
		return fmt.Errorf("a caller was told not-run and the call ran")
	}
	return nil
}

// successors returns every state that one step leads to.
func (s modelState) successors() []modelState {
	var states []modelState
	add := func(step func(*modelState)) {
		after := s.clone()
		step(&after)
		states = append(states, after)
	}
	for o := range s.owners {
		s.ownerSteps(o, add)
	}
	for i := range s.network {
		add(func(s *modelState) { s.deliver(i, replyArrives, true) })
		add(func(s *modelState) { s.deliver(i, replyArrives, false) })
		add(func(s *modelState) { s.deliver(i, replyLost, false) })
	}
	for r := range s.requests {
		s.requestSteps(r, add)
	}
	return states
}

func (s modelState) ownerSteps(o int, add func(func(*modelState))) {
	owner := s.owners[o]
	switch {
	case owner.crashed:
		return
	case owner.shard == nil:
		add(func(s *modelState) { s.owners[o].shard = NewShard(s.revision, s.head, nil) })
		if s.stale < s.revision {
			add(func(s *modelState) { s.owners[o].shard = NewShard(s.stale, s.previous, nil) })
		}
	case owner.batch == nil:
		if owner.shard.Head.Owner.Entry != entryName(o) {
			add(func(s *modelState) { s.takeOver(o) })
		}
		for r, request := range s.requests {
			if request.phase == phaseClaiming || request.phase == phaseAbandoned { // its claim may arrive late
				add(func(s *modelState) { s.stage(o, r, false) })
			}
			if request.phase == phaseEnded {
				add(func(s *modelState) { s.stage(o, r, true) })
			}
		}
	case s.writes < *modelMaxWrites:
		add(func(s *modelState) { // first write, or a retry after a lost reply
			s.writes++
			s.network = append(s.network, modelWrite{o, *s.owners[o].batch})
		})
	}
	if s.crashes < modelMaxCrashes {
		add(func(s *modelState) { s.crash(o) })
	}
}

func entryName(i int) string { return fmt.Sprint("e", i) }

// otherKey marks a batch that concerns none of the modelled requests.
const otherKey = -1

// takeOver lets an owner write the head for a request with some other key.
func (s *modelState) takeOver(o int) {
	batch, err := s.owners[o].shard.Stage(nil, Holder{Entry: entryName(o), Incarnation: 1}, fmt.Sprint("n", s.nonces), modelNow)
	if err != nil {
		panic(err)
	}
	s.nonces++
	s.owners[o].batch = &batch
	s.owners[o].request = otherKey
	s.owners[o].completes = false
}

// stage lets an owner decide on a request's claim or outcome.
func (s *modelState) stage(o, r int, completes bool) {
	request := &s.requests[r]
	operation := Operation{Claim: &ClaimRequest{
		Key: modelKey, Holder: Holder{Entry: entryName(request.entry), Incarnation: 1},
		Attempt: request.attempt, Supersedes: request.supersedes,
	}}
	if completes {
		operation = Operation{Complete: &CompleteRequest{Key: modelKey, Attempt: request.attempt, State: request.state}}
		if request.state == StateAnswered {
			operation.Complete.Answer = &Answer{Status: 200}
		}
	}
	nonce := fmt.Sprint("n", s.nonces)
	batch, err := s.owners[o].shard.Stage([]Operation{operation}, Holder{Entry: entryName(o), Incarnation: 1}, nonce, modelNow)
	if err != nil {
		panic(err)
	}
	if !batch.NeedsWrite {
		s.reply(r, batch.Decisions[0], completes)
		return
	}
	s.nonces++
	s.owners[o].batch = &batch
	s.owners[o].request = r
	s.owners[o].completes = completes
}

// replyLost and replyArrives say what happens to the store's reply to a write.
const (
	replyLost    = false
	replyArrives = true
)

// deliver lets a write reach the store; the store's reply may be lost, and so may the owner's reply
// to the request.
func (s *modelState) deliver(i int, storeReplied, ownerReplied bool) {
	write := s.network[i]
	s.network = append(s.network[:i:i], s.network[i+1:]...)
	conflict := write.batch.Expected != s.revision
	if !conflict {
		s.previous = s.head
		s.stale = s.revision
		s.revision++
		s.head = write.batch.Head
	}
	owner := &s.owners[write.owner]
	current := owner.batch != nil && owner.batch.Head.Nonce == write.batch.Head.Nonce
	if !storeReplied || !current || owner.crashed {
		return
	}
	batch := *owner.batch
	owner.batch = nil
	if conflict && s.head.Nonce != batch.Head.Nonce {
		owner.shard = nil // the owner loads the shard and decides again
		return
	}
	owner.shard = NewShard(owner.shard.Revision, owner.shard.Head, nil) // other states share the previous one
	owner.shard.Commit(batch, s.revision)
	if !ownerReplied || owner.request == otherKey {
		return
	}
	s.reply(owner.request, batch.Decisions[0], owner.completes)
}

// reply delivers the owner's decision to a request's entry.
func (s *modelState) reply(r int, decision Decision, completes bool) {
	request := &s.requests[r]
	if completes {
		if request.phase == phaseEnded {
			request.phase = phaseClosed
			s.notRun = s.notRun || request.state == StateNotRun && decision.Verdict == VerdictFinished
		}
		return
	}
	if request.phase != phaseClaiming {
		return // abandoned in the meantime
	}
	switch decision.Verdict {
	case VerdictGranted:
		request.phase = phaseRunning
	case VerdictFinished:
		request.phase = phaseClosed
		s.notRun = s.notRun || decision.Record.State == StateNotRun
	case VerdictHeld:
		s.await(r, decision.Record.Attempt)
	}
}

// await asks the holder of a claim, as Ledger.Await does.
func (s *modelState) await(r int, held AttemptID) {
	for i := range s.requests {
		if s.requests[i].attempt != held {
			continue
		}
		switch s.requests[i].phase {
		case phaseAbandoned:
			s.requests[r].supersedes = held
		case phaseCrashed:
			s.requests[r].phase = phaseClosed // its caller is told that the outcome is unknown
			if s.wrongRule {
				s.requests[r].phase = phaseClaiming
				s.requests[r].supersedes = held
			}
		}
	}
}

func (s modelState) requestSteps(r int, add func(func(*modelState))) {
	switch s.requests[r].phase {
	case phaseClaiming:
		add(func(s *modelState) { s.requests[r].phase = phaseAbandoned })
	case phaseRunning:
		add(func(s *modelState) { // a target runs the call, and its answer arrives or is lost
			s.ran++
			s.requests[r].phase = phaseEnded
			s.requests[r].state = StateAnswered
		})
		add(func(s *modelState) { // no target can be reached
			s.requests[r].phase = phaseEnded
			s.requests[r].state = StateNotRun
		})
	}
}

func (s *modelState) crash(entry int) {
	s.crashes++
	s.owners[entry] = modelOwner{crashed: true}
	for i := range s.requests {
		request := &s.requests[i]
		if request.entry == entry && request.phase != phaseClosed {
			request.phase = phaseCrashed
		}
	}
}

// explore visits every reachable state. It returns their number, or the first violation.
func explore(start modelState) (int, error) {
	seen := map[uint64]bool{xxhash.Sum64String(start.id()): true}
	queue := []modelState{start}
	for len(queue) > 0 {
		s := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if err := s.check(); err != nil {
			return len(seen), fmt.Errorf("%w in %s", err, s.id())
		}
		for _, after := range s.successors() {
			if id := xxhash.Sum64String(after.id()); !seen[id] {
				seen[id] = true
				queue = append(queue, after)
			}
		}
	}
	return len(seen), nil
}

func TestLedgerRunsACallAtMostOnceInEveryOrderOfSteps(t *testing.T) {
	states, err := explore(newModelState(*modelEntries, 2))
	t.Logf("%d entries, 2 requests, %d writes, %d crash: %d states", *modelEntries, *modelMaxWrites, modelMaxCrashes, states)
	if err != nil {
		t.Fatal(err)
	}
}

func TestExhaustiveCheckDetectsAWrongRule(t *testing.T) {
	start := newModelState(*modelEntries, 2)
	start.wrongRule = true
	if _, err := explore(start); err == nil {
		t.Fatal("the check did not detect a retry that supersedes a crashed holder's attempt")
	}
}
