package generation

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/health"
)

// script is what a fake engine does with one attempt.
type script struct {
	// refuse, when set, is returned by Open.
	refuse error
	// events are sent, each after its pause; then end, or silence when end is nil.
	events []int64
	pause  time.Duration
	end    error
}

// scriptedEngine plays scripts by target, in the order of the attempts.
type scriptedEngine struct {
	mu       sync.Mutex
	scripts  map[string][]script
	attempts []RelayAttempt
	dark     map[string]bool
	copies   int
	closed   int
}

func (e *scriptedEngine) Open(ctx context.Context, attempt RelayAttempt) (RelayStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts = append(e.attempts, attempt)
	left := e.scripts[attempt.Target.ID]
	if len(left) == 0 {
		return nil, &RelayRefusedError{Cause: errors.New("no script")}
	}
	e.scripts[attempt.Target.ID] = left[1:]
	if left[0].refuse != nil {
		return nil, left[0].refuse
	}
	return &scriptedStream{ctx: ctx, engine: e, script: left[0], target: attempt.Target.ID}, nil
}

func (e *scriptedEngine) Copy(_ context.Context, _ *directory.Target, _ string, _ *directory.Target) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.copies++
	return "ordered", nil
}

func (e *scriptedEngine) Free(context.Context, *directory.Target, string) error { return nil }

func (e *scriptedEngine) Reach(_ context.Context, target *directory.Target) error {
	if e.dark[target.ID] {
		return errors.New("no answer")
	}
	return nil
}

type scriptedStream struct {
	ctx    context.Context
	engine *scriptedEngine
	script script
	target string
}

func (s *scriptedStream) Head() any { return s.target }

func (s *scriptedStream) Next() (RelayEvent, error) {
	timer := time.NewTimer(s.script.pause)
	defer timer.Stop()
	if len(s.script.events) == 0 && s.script.end == nil {
		<-s.ctx.Done()
		return RelayEvent{}, s.ctx.Err()
	}
	select {
	case <-timer.C:
	case <-s.ctx.Done():
		return RelayEvent{}, s.ctx.Err()
	}
	if len(s.script.events) == 0 {
		return RelayEvent{}, s.script.end
	}
	id := s.script.events[0]
	s.script.events = s.script.events[1:]
	return RelayEvent{ID: id, Bytes: []byte{byte(id)}}, nil
}

func (s *scriptedStream) Close() {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.engine.closed++
}

// firstPlacer places at the first engine that is not excluded and keeps copies at the last one.
type firstPlacer struct{ lost, refused []string }

func (p *firstPlacer) Place(query RelayQuery) *directory.Target {
	for _, engine := range query.Engines {
		if !contains(query.Exclude, engine.ID) {
			return engine
		}
	}
	return nil
}

func (p *firstPlacer) Backup(query RelayQuery, engine *directory.Target) *directory.Target {
	last := query.Engines[len(query.Engines)-1]
	if last.ID == engine.ID {
		return nil
	}
	return last
}

func (p *firstPlacer) Begin(*directory.Target, StreamSize, int) Placed        { return nothingPlaced{} }
func (p *firstPlacer) AddCopy(*directory.Target, StreamSize) (release func()) { return func() {} }
func (p *firstPlacer) Lost(engine *directory.Target)                          { p.lost = append(p.lost, engine.ID) }
func (p *firstPlacer) Refused(engine *directory.Target)                       { p.refused = append(p.refused, engine.ID) }
func (p *firstPlacer) Alive(*directory.Target)                                {}

type nothingPlaced struct{}

func (nothingPlaced) Begun() {}
func (nothingPlaced) Ended() {}

func contains(names []string, name string) bool {
	for _, each := range names {
		if each == name {
			return true
		}
	}
	return false
}

// countedRetries is a budget of a fixed number of sends.
type countedRetries struct{ left, spent, refunded int }

func (b *countedRetries) Earn(string) {}
func (b *countedRetries) Spend(string, RetryUrgency) bool {
	if b.left == 0 {
		return false
	}
	b.left--
	b.spent++
	return true
}
func (b *countedRetries) Refund(string) { b.left++; b.refunded++ }

// recordingSink records what the caller gets.
type recordingSink struct {
	head   any
	events []int64
	at     []time.Time
}

func (s *recordingSink) Begin(head any) error { s.head = head; return nil }
func (s *recordingSink) Event(event RelayEvent) error {
	s.events = append(s.events, event.ID)
	s.at = append(s.at, time.Now())
	return nil
}

type relayFixture struct {
	engine *scriptedEngine
	placer *firstPlacer
	budget *countedRetries
	relay  *Relay

	mu   sync.Mutex
	open []*directory.Target
}

func (f *relayFixture) targets(string) []*directory.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open
}

// closeLast takes the last target out.
func (f *relayFixture) closeLast() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open = f.open[:len(f.open)-1]
}

func newRelayFixture(scripts map[string][]script) *relayFixture {
	f := &relayFixture{
		engine: &scriptedEngine{scripts: scripts, dark: map[string]bool{}},
		placer: &firstPlacer{},
		budget: &countedRetries{left: 10},
	}
	for _, id := range []string{"a", "b", "c"} {
		f.open = append(f.open, &directory.Target{ID: id, Address: id + ":1"})
	}
	f.relay = NewRelay(RelayOptions{
		Engine: f.engine, Placer: f.placer, Budget: f.budget,
		Targets: f.targets,
	})
	return f
}

// upTo returns the events from 1 to last.
func upTo(last int64) []int64 {
	var events []int64
	for id := int64(1); id <= last; id++ {
		events = append(events, id)
	}
	return events
}

func relayRequest() *RelayRequest {
	return &RelayRequest{
		ID: "r", Fingerprint: "f", Service: "drafts", LastEvent: -1, Resumable: true, MaxAttempts: 5,
		Spec:         &directory.EngineSpec{Backups: true, Moves: true},
		GapObjective: 700 * time.Millisecond, FirstEventObjective: 4500 * time.Millisecond,
		Deadline: time.Now().Add(25 * time.Second),
	}
}

func TestBrokenStreamGoesOnFromItsCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{events: []int64{1, 2}, end: io.ErrUnexpectedEOF}},
			"c": {{events: []int64{3, 4}, end: io.EOF}},
		})
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
		is.Equal(sink.events, []int64{1, 2, 3, 4})
		is.Equal(sink.head, any("a")) // the head of the first engine
		resumed := f.engine.attempts[1]
		is.Equal(resumed.LastEvent, int64(2))
		is.Equal(resumed.Copy.Source, "c:1")
		is.Equal(resumed.Copy.Name, "r")
		is.Equal(f.placer.lost, []string{"a"})
		synctest.Wait()
		is.Equal(f.engine.closed, 2)
	})
}

// Found on balanza-serrana inc-f08b: while the store was away, engines of a zone had crashed and started again
// before copies were sent to their addresses. The copies were given up with the IDs of the former engines.
func TestCopyIsFollowedToTheSuccessorOfItsHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		misdirected := &RelayRefusedError{Misdirected: true, Found: "c2", Cause: errors.New("another target")}
		f := newRelayFixture(map[string][]script{
			"a":  {{events: []int64{1, 2}, pause: 100 * time.Millisecond, end: io.ErrUnexpectedEOF}},
			"c":  {{refuse: misdirected}},
			"c2": {{events: []int64{3}, end: io.EOF}},
		})
		// The directory identifies the successor some milliseconds after the dispute.
		dispute := func(target *directory.Target, found string) {
			time.AfterFunc(8*time.Millisecond, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				successor := &directory.Target{ID: found, Address: target.Address, Provisional: true, Seen: time.Now()}
				f.open = []*directory.Target{f.open[0], f.open[1], successor}
			})
		}
		f.relay = NewRelay(RelayOptions{Engine: f.engine, Placer: f.placer, Budget: f.budget, Targets: f.targets, Dispute: dispute})
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
		is.Equal(sink.events, []int64{1, 2, 3})
		resumed := f.engine.attempts[2]
		is.Equal(resumed.Target.ID, "c2")
		is.True(resumed.Copy != nil)
		is.Equal(resumed.Copy.Source, "c:1")
		is.Equal(resumed.Copy.Name, "r")
	})
}

// A successor without the copy refuses at once, and the stream goes on elsewhere.
func TestSuccessorWithoutTheCopyIsLeftAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const lastEvent = 20
		f := newRelayFixture(map[string][]script{
			"a":  {{events: upTo(lastEvent), pause: 100 * time.Millisecond, end: io.ErrUnexpectedEOF}},
			"c2": {{refuse: &RelayRefusedError{Cause: errors.New("no such copy")}}},
			"b":  {{events: []int64{lastEvent + 1}, end: io.EOF}},
		})
		time.AfterFunc(time.Second, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.open = []*directory.Target{f.open[0], f.open[1], {ID: "c2", Address: "c:1", Provisional: true, Seen: time.Now()}}
		})
		request := relayRequest()
		request.Spec.Moves = false
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), request, sink))
		is.Equal(sink.events, upTo(lastEvent+1))
		is.Equal(f.engine.attempts[1].Target.ID, "c2")
		is.Equal(f.engine.attempts[2].Target.ID, "b")
		is.True(f.engine.attempts[2].Copy == nil)
	})
}

func TestRunWithoutEventsHasNoCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{end: io.ErrUnexpectedEOF}},
			"b": {{events: []int64{1}, end: io.EOF}},
		})
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
		is.Equal(sink.head, any("b"))
		is.True(f.engine.attempts[1].Copy == nil)
	})
}

func TestDarkEngineIsLeftWithinTheGapObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{events: []int64{1, 2, 3, 4, 5}, pause: 30 * time.Millisecond}},
			"c": {{events: []int64{6}, pause: 30 * time.Millisecond, end: io.EOF}},
		})
		f.engine.dark["a"] = true
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
		is.Equal(sink.events, []int64{1, 2, 3, 4, 5, 6})
		is.True(sink.at[5].Sub(sink.at[4]) < 700*time.Millisecond)
		is.Equal(f.placer.lost, []string{"a"})
	})
}

func TestEngineThatAnswersIsGivenTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		// Prompts of other requests stretch the gap to 400 ms; the engine accepts connections.
		f := newRelayFixture(map[string][]script{"a": {{events: []int64{1, 2, 3}, pause: 400 * time.Millisecond, end: io.EOF}}})
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
		is.Equal(len(f.engine.attempts), 1)
	})
}

func TestStreamIsMovedWhenItsEngineStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{events: []int64{1, 2, 3}, pause: 30 * time.Millisecond}},
			"c": {{events: []int64{4}, end: io.EOF}},
		})
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
		is.Equal(sink.events, []int64{1, 2, 3, 4})
		is.True(sink.at[3].Sub(sink.at[2]) < 700*time.Millisecond)
	})
}

func TestCopyIsOrderedWhenItsHolderGoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{events: upTo(20), pause: 50 * time.Millisecond, end: io.ErrUnexpectedEOF}},
			"b": {{events: []int64{21}, end: io.EOF}},
		})
		time.AfterFunc(300*time.Millisecond, f.closeLast) // c held the copy
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
		is.True(f.engine.copies > 0)
		is.Equal(f.engine.attempts[1].Copy.Name, "ordered")
		is.Equal(f.engine.attempts[1].Copy.Source, "a:1")
		is.Equal(f.engine.attempts[1].Target.ID, "b")
	})
}

func TestRepeatedEventsAreDroppedAndGapsEndTheAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{events: []int64{1, 2}, end: io.ErrUnexpectedEOF}},
			"c": {{events: []int64{2, 3, 5}, end: io.EOF}},
			"b": {{events: []int64{4, 5}, end: io.EOF}},
		})
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
		is.Equal(sink.events, []int64{1, 2, 3, 4, 5})
	})
}

func TestStreamThatMayNotBeResumedRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{refuse: &RelayRefusedError{Cause: errors.New("full")}}},
			"b": {{end: io.ErrUnexpectedEOF}},
		})
		request := relayRequest()
		request.Resumable = false
		err := f.relay.Run(t.Context(), request, &recordingSink{})
		var givenUp *GivenUpError
		is.True(errors.As(err, &givenUp))
		is.True(givenUp.Started)                    // it may have run: no promise that it did not
		is.True(f.engine.attempts[1].Backup == nil) // a copy would be of no use
		is.Equal(len(f.engine.attempts), 2)
	})
}

func TestRefusalIsOnlyCalledNotRunWhenNothingRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		full := &RelayRefusedError{Cause: errors.New("full")}
		f := newRelayFixture(map[string][]script{"a": {{refuse: full}}, "b": {{refuse: full}}, "c": {{refuse: full}}})
		f.budget.left = 2
		var givenUp *GivenUpError
		is.True(errors.As(f.relay.Run(t.Context(), relayRequest(), &recordingSink{}), &givenUp))
		is.True(!givenUp.Started)
		is.True(givenUp.RetryAfter > 0)
	})
}

func TestSendThatDidNotLeaveIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{end: io.ErrUnexpectedEOF}},
			"b": {{refuse: &RelayRefusedError{Unreachable: true, Cause: errors.New("refused")}}},
			"c": {{events: []int64{1}, end: io.EOF}},
		})
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), &recordingSink{}))
		is.Equal(f.budget.spent-f.budget.refunded, 1)
	})
}

func TestRequestThatKillsThreeEnginesIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		killed := script{pause: 3 * time.Second, end: io.ErrUnexpectedEOF}
		f := newRelayFixture(map[string][]script{"a": {killed}, "b": {killed}, "c": {killed}})
		var poison *PoisonError
		is.True(errors.As(f.relay.Run(t.Context(), relayRequest(), &recordingSink{}), &poison))
		again := relayRequest()
		again.ID = "another"
		is.True(errors.As(f.relay.Run(t.Context(), again, &recordingSink{}), &poison))
		is.Equal(len(f.engine.attempts), 3)
	})
}

func TestCallerThatLeavesEndsTheRunAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{"a": {{events: []int64{1}}}})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		start := time.Now()
		is.Equal(f.relay.Run(ctx, relayRequest(), &recordingSink{}), ErrCallerGone)
		synctest.Wait()
		is.Equal(time.Since(start), 100*time.Millisecond)
		is.Equal(f.engine.closed, 1)
	})
}

func TestNextStep(t *testing.T) {
	base := relaySituation{resumable: true, maxAttempts: 3, left: time.Second}
	for _, each := range []struct {
		name   string
		change func(*relaySituation)
		want   relayStep
	}{
		{"complete", func(s *relaySituation) { s.ending = endingComplete }, stepFinish},
		{"broken", func(s *relaySituation) { s.ending = endingBroken }, stepRetry},
		{"broken, not resumable", func(s *relaySituation) { s.ending, s.resumable = endingBroken, false }, stepFinish},
		{"refused, not resumable", func(s *relaySituation) { s.ending, s.resumable = endingRefused, false }, stepRetry},
		{"attempts used up", func(s *relaySituation) { s.ending, s.ran = endingStalled, 3 }, stepFinish},
		{"refused with attempts used up", func(s *relaySituation) { s.ending, s.ran = endingRefused, 3 }, stepRetry},
		{"no time left", func(s *relaySituation) { s.ending, s.left = endingBroken, shortestAttempt/2 }, stepFinish},
		{"too many sends", func(s *relaySituation) { s.ending, s.sends = endingRefused, maxSends }, stepFinish},
		{"deadline", func(s *relaySituation) { s.ending = endingDeadline }, stepFinish},
		{"caller gone", func(s *relaySituation) { s.ending = endingCallerGone }, stepFinish},
	} {
		t.Run(each.name, func(t *testing.T) {
			situation := base
			each.change(&situation)
			is.New(t).Equal(nextStep(situation), each.want)
		})
	}
}

// TestLooksAtATargetThatReadsThePromptAreFew: a look costs a connection, and a prompt takes a second to read.
func TestLooksAtATargetThatReadsThePromptAreFew(t *testing.T) {
	is := is.New(t)
	looksWithin := func(p patience, span time.Duration) int {
		if span < p.look {
			return 0
		}
		return 1 + int((span-p.look)/p.nextLook)
	}
	request := &RelayRequest{FirstEventObjective: 4500 * time.Millisecond, GapObjective: 700 * time.Millisecond}
	reading := relayPatience(request, false, &health.Gaps{})
	is.True(looksWithin(reading, 1200*time.Millisecond) <= 2)
	is.True(reading.look <= request.FirstEventObjective/8) // the rest is for another target
	hurried := &RelayRequest{FirstEventObjective: time.Second}
	is.Equal(relayPatience(hurried, false, &health.Gaps{}).look, firstLook)
}

// promptsAt locates every prompt at one engine, and notes what it is told.
type promptsAt struct {
	engine string
	// known is what is found without asking.
	known            string
	recalled, placed []string
	complete         bool
}

func (p *promptsAt) Placed(_, engine string)        { p.placed = append(p.placed, engine) }
func (p *promptsAt) Closed(_ string, complete bool) { p.complete = complete }
func (p *promptsAt) Find(string) string             { return p.known }
func (p *promptsAt) Recall(_ context.Context, prompt string) string {
	p.recalled = append(p.recalled, prompt)
	return p.engine
}

// cachedPlacer is a firstPlacer that goes to the engine with the cached prompt.
type cachedPlacer struct{ firstPlacer }

func (p *cachedPlacer) Place(query RelayQuery) *directory.Target {
	for _, engine := range query.Engines {
		if engine.ID == query.CachedAt {
			return engine
		}
	}
	return p.firstPlacer.Place(query)
}

func TestStreamThatItsCallerResumesGoesToItsPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{events: []int64{1}, end: io.EOF}},
			"b": {{events: []int64{8}, end: io.EOF}},
		})
		located := &promptsAt{engine: "b"}
		f.relay = NewRelay(RelayOptions{Engine: f.engine, Placer: &cachedPlacer{}, Budget: f.budget, Targets: f.targets, Prompts: located})
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), &recordingSink{}))
		is.Equal(len(located.recalled), 0) // a new stream asks nobody
		is.Equal(located.placed, []string{"a"})
		is.True(located.complete)

		f.engine.scripts["c"] = []script{{events: []int64{1}, end: io.EOF}}
		located.known = "c"
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), &recordingSink{}))
		is.Equal(located.placed, []string{"a", "c"}) // a caller that comes back before its first event

		resumed := relayRequest()
		resumed.LastEvent = 7
		resumed.Affinity = "prompt"
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), resumed, sink))
		is.Equal(located.recalled, []string{"prompt"})
		is.Equal(located.placed, []string{"a", "c", "b"})
		is.Equal(sink.events, []int64{8})
	})
}
