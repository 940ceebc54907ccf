package generation

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/health"
	"github.com/azurebarrow/azurebarrow/internal/wait"
)

// script is the behavior of a fake engine for one attempt.
type script struct {
	// refuse, when set, is returned by Open.
	refuse error
	// events are sent, each after pause; then end is returned, or the stream stays silent when end
	// is nil.
	events []int64
	pause  time.Duration
	end    error
}

// withoutID and scriptedComment are events of a script: one without an ID, and a comment.
const (
	withoutID       = -1
	scriptedComment = -2
)

// scriptedEngine follows the scripts of each target, in the order of the attempts.
type scriptedEngine struct {
	mu          sync.Mutex
	scripts     map[string][]script
	attempts    []RelayAttempt
	unreachable map[string]bool
	// dark targets answer nothing: probes of them time out.
	dark map[string]bool
	// refused targets have a host that refuses connections.
	refused map[string]bool
	// probeDelay is how long a target takes to answer a probe.
	probeDelay map[string]time.Duration
	// failProbes is the number of next probes that fail.
	failProbes int
	// outageFrom and outageUntil limit the time in which the entry itself is cut off: connections
	// time out, and events of open streams arrive after it. Zero for none.
	outageFrom, outageUntil time.Time
	// eventDelay is how long after the outage the events of open streams arrive.
	eventDelay time.Duration
	// breakDuringOutage has open streams report their end during the outage.
	breakDuringOutage bool
	// openDuringOutage is the number of attempts that reach their targets in spite of the outage.
	openDuringOutage int
	probes           int
	copies           int
	copyHolders      []*directory.Target
	closed           int
}

// fakeDialTimeout is the time after which an attempt ends whose connection is not accepted.
const fakeDialTimeout = 200 * time.Millisecond

// startOutage cuts the entry off from now on for a time.
func (e *scriptedEngine) startOutage(length time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outageFrom, e.outageUntil = time.Now(), time.Now().Add(length)
}

func (e *scriptedEngine) setDark(target string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dark[target] = true
}

// outageLeft returns how long the entry stays cut off; 0 when it is not.
func (e *scriptedEngine) outageLeft() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.outageFrom.IsZero() || time.Now().Before(e.outageFrom) {
		return 0
	}
	return max(0, time.Until(e.outageUntil))
}

func (e *scriptedEngine) Open(ctx context.Context, attempt RelayAttempt) (RelayStream, error) {
	e.mu.Lock()
	passes := e.openDuringOutage > 0
	e.openDuringOutage = max(0, e.openDuringOutage-1)
	e.mu.Unlock()
	if e.outageLeft() > 0 && !passes {
		return nil, e.timeOut(ctx, attempt)
	}
	return e.accept(ctx, attempt)
}

// timeOut is an attempt whose connection is not accepted.
func (e *scriptedEngine) timeOut(ctx context.Context, attempt RelayAttempt) error {
	e.mu.Lock()
	e.attempts = append(e.attempts, attempt)
	e.mu.Unlock()
	select {
	case <-time.After(fakeDialTimeout):
	case <-ctx.Done():
	}
	return &RelayRefusedError{Unreachable: ctx.Err() == nil, Cause: errors.New("i/o timeout")}
}

func (e *scriptedEngine) accept(ctx context.Context, attempt RelayAttempt) (RelayStream, error) {
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

func (e *scriptedEngine) CopyKVCache(_ context.Context, _ *directory.Target, _ string, to *directory.Target) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.copies++
	e.copyHolders = append(e.copyHolders, to)
	return "ordered", nil
}

func (e *scriptedEngine) FreeCopy(context.Context, *directory.Target, string) error { return nil }

func (e *scriptedEngine) Probe(ctx context.Context, target *directory.Target) error {
	e.mu.Lock()
	e.probes++
	unreachable, dark := e.unreachable[target.ID] || e.failProbes > 0, e.dark[target.ID]
	e.failProbes = max(0, e.failProbes-1)
	refused, delay := e.refused[target.ID], e.probeDelay[target.ID]
	e.mu.Unlock()
	// wait.For makes no timer of 0: goroutines of a synctest bubble that receive from these at once crash the race runtime (Go 1.26.8).
	if err := wait.For(ctx, delay); err != nil {
		return err
	}
	if refused {
		return ErrProbeRefused
	}
	if dark || e.outageLeft() > 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	if unreachable {
		return errors.New("no answer")
	}
	return nil
}

// probeCount returns the number of probes; some may be in progress.
func (e *scriptedEngine) probeCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.probes
}

type scriptedStream struct {
	ctx    context.Context
	engine *scriptedEngine
	script script
	target string
}

func (s *scriptedStream) Head() any { return s.target }

func (s *scriptedStream) Next() (RelayEvent, error) {
	if len(s.script.events) == 0 && s.script.end == nil {
		<-s.ctx.Done()
		return RelayEvent{}, s.ctx.Err()
	}
	if err := wait.For(s.ctx, s.script.pause); err != nil {
		return RelayEvent{}, err
	}
	var outage time.Duration
	if len(s.script.events) > 0 || !s.engine.breakDuringOutage {
		if outage = s.engine.outageLeft(); outage > 0 {
			outage += s.engine.eventDelay
		}
	}
	if err := wait.For(s.ctx, outage); err != nil {
		return RelayEvent{}, err
	}
	if len(s.script.events) == 0 {
		return RelayEvent{}, s.script.end
	}
	id := s.script.events[0]
	s.script.events = s.script.events[1:]
	if id == scriptedComment {
		return RelayEvent{ID: withoutID, Bytes: []byte(":"), Comment: true}, nil
	}
	return RelayEvent{ID: id, Bytes: []byte{byte(id)}}, nil
}

func (s *scriptedStream) Close() {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.engine.closed++
}

// firstPlacer chooses the first engine that is not excluded, and the last one as backup.
type firstPlacer struct{ lost, refused []string }

func (p *firstPlacer) PlaceStream(_ context.Context, query RelayQuery) (*directory.Target, error) {
	for _, engine := range query.Engines {
		if query.Allows(engine) {
			return engine, nil
		}
	}
	return nil, nil
}

func (p *firstPlacer) Backup(query RelayQuery, engine *directory.Target) *directory.Target {
	for _, last := range slices.Backward(query.Engines) {
		if query.Fits == nil || query.Fits(last) {
			if last.ID == engine.ID {
				return nil
			}
			return last
		}
	}
	return nil
}

func (p *firstPlacer) AddStream(*directory.Target, StreamSize, int) PlacedStream { return noopPlaced{} }
func (p *firstPlacer) AddCopy(*directory.Target, StreamSize) (release func())    { return func() {} }
func (p *firstPlacer) ReportLost(engine *directory.Target)                       { p.lost = append(p.lost, engine.ID) }
func (p *firstPlacer) ReportRefused(engine *directory.Target) {
	p.refused = append(p.refused, engine.ID)
}
func (p *firstPlacer) ReportAlive(*directory.Target) {}

type noopPlaced struct{}

func (noopPlaced) EventArrived() {}
func (noopPlaced) Ended()        {}

// countedRetries is a retry budget with a fixed number of retries.
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
	times  []time.Time
}

func (s *recordingSink) Begin(head any) error { s.head = head; return nil }
func (s *recordingSink) Event(event RelayEvent) error {
	s.events = append(s.events, event.ID)
	s.times = append(s.times, time.Now())
	return nil
}

type relayFixture struct {
	engine *scriptedEngine
	placer *firstPlacer
	budget *countedRetries
	relay  *Relay

	mu          sync.Mutex
	openTargets []*directory.Target
}

func (f *relayFixture) targets(string) []*directory.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.openTargets
}

// removeLastTarget removes the last target.
func (f *relayFixture) removeLastTarget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.openTargets = f.openTargets[:len(f.openTargets)-1]
}

func newRelayFixture(scripts map[string][]script) *relayFixture {
	f := &relayFixture{
		engine: &scriptedEngine{scripts: scripts, unreachable: map[string]bool{}, dark: map[string]bool{}},
		placer: &firstPlacer{},
		budget: &countedRetries{left: 10},
	}
	for _, id := range []string{"a", "b", "c"} {
		f.openTargets = append(f.openTargets, &directory.Target{ID: id, Address: id + ":1"})
	}
	f.relay = NewRelay(RelayOptions{
		Engine: f.engine, Placer: f.placer, Budget: f.budget,
		Targets: f.targets,
	})
	return f
}

// eventsUpTo returns the event IDs from 1 to last.
func eventsUpTo(last int64) []int64 {
	var events []int64
	for id := int64(1); id <= last; id++ {
		events = append(events, id)
	}
	return events
}

func relayRequest() *RelayRequest {
	return &RelayRequest{
		ID: "r", Fingerprint: "f", Service: "drafts", LastEvent: -1, Resumable: true, MaxAttempts: 5,
		Spec:         &directory.EngineSpec{ContinuousKVCopy: true, KVCopyOnCommand: true},
		GapObjective: 700 * time.Millisecond, FirstEventObjective: 4500 * time.Millisecond,
		Deadline: time.Now().Add(25 * time.Second),
	}
}

func TestBrokenStreamResumesFromItsCopy(t *testing.T) {
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

// Regression test for balanza-serrana inc-f08b: while the store was unavailable, engines of an
// availability zone had crashed and restarted before copies were sent to their addresses. The
// copies were discarded together with the IDs of the former engines.
func TestCopyIsUsedAtReplacementOfItsHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		mismatch := &RelayRefusedError{AddressMismatch: true, FoundID: "c2", Cause: errors.New("another target")}
		f := newRelayFixture(map[string][]script{
			"a":  {{events: []int64{1, 2}, pause: 100 * time.Millisecond, end: io.ErrUnexpectedEOF}},
			"c":  {{refuse: mismatch}},
			"c2": {{events: []int64{3}, end: io.EOF}},
		})
		// The directory identifies the replacement target some milliseconds after the address
		// mismatch.
		addressMismatch := func(target *directory.Target, found string) {
			time.AfterFunc(8*time.Millisecond, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				replacement := &directory.Target{ID: found, Address: target.Address, Provisional: true, FirstSeen: time.Now()}
				f.openTargets = []*directory.Target{f.openTargets[0], f.openTargets[1], replacement}
			})
		}
		f.relay = NewRelay(RelayOptions{Engine: f.engine, Placer: f.placer, Budget: f.budget, Targets: f.targets, AddressMismatch: addressMismatch})
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

// A replacement target without the copy refuses at once, and the stream is resumed elsewhere.
func TestReplacementWithoutTheCopyIsLeftAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const lastEvent = 20
		f := newRelayFixture(map[string][]script{
			"a":  {{events: eventsUpTo(lastEvent), pause: 100 * time.Millisecond, end: io.ErrUnexpectedEOF}},
			"c2": {{refuse: &RelayRefusedError{Cause: errors.New("no such copy")}}},
			"b":  {{events: []int64{lastEvent + 1}, end: io.EOF}},
		})
		time.AfterFunc(time.Second, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.openTargets = []*directory.Target{f.openTargets[0], f.openTargets[1], {ID: "c2", Address: "c:1", Provisional: true, FirstSeen: time.Now()}}
		})
		request := relayRequest()
		request.Spec.KVCopyOnCommand = false
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), request, sink))
		is.Equal(sink.events, eventsUpTo(lastEvent+1))
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

func TestStreamLeavesUnreachableEngineWithinGapObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{events: []int64{1, 2, 3, 4, 5}, pause: 30 * time.Millisecond}},
			"c": {{events: []int64{6}, pause: 30 * time.Millisecond, end: io.EOF}},
		})
		f.engine.unreachable["a"] = true
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
		is.Equal(sink.events, []int64{1, 2, 3, 4, 5, 6})
		is.True(sink.times[5].Sub(sink.times[4]) < 700*time.Millisecond)
		is.Equal(f.placer.lost, []string{"a"})
	})
}

func TestSlowStreamStaysAtReachableEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		// Prefills of other requests stretch the gap to 400 ms; the engine accepts connections.
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
		is.True(sink.times[3].Sub(sink.times[2]) < 700*time.Millisecond)
	})
}

func TestCopyIsOrderedWhenItsHolderIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{events: eventsUpTo(20), pause: 50 * time.Millisecond, end: io.ErrUnexpectedEOF}},
			"b": {{events: []int64{21}, end: io.EOF}},
		})
		time.AfterFunc(300*time.Millisecond, f.removeLastTarget) // c was the copy holder
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

func TestNonResumableStreamRunsOnce(t *testing.T) {
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
		is.True(givenUp.MayHaveRun)                 // it may have run, so it is not reported as not run
		is.True(f.engine.attempts[1].Backup == nil) // a copy could not be used
		is.Equal(len(f.engine.attempts), 2)
	})
}

func TestRequestIsReportedNotRunOnlyIfNoTargetRanIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		full := &RelayRefusedError{Cause: errors.New("full")}
		f := newRelayFixture(map[string][]script{"a": {{refuse: full}}, "b": {{refuse: full}}, "c": {{refuse: full}}})
		f.budget.left = 2
		var givenUp *GivenUpError
		is.True(errors.As(f.relay.Run(t.Context(), relayRequest(), &recordingSink{}), &givenUp))
		is.True(!givenUp.MayHaveRun)
		is.True(givenUp.RetryAfter > 0)
	})
}

func TestUnreachableTargetRefundsRetryBudget(t *testing.T) {
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

func TestRequestThatCrashesThreeEnginesIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		crash := script{pause: 3 * time.Second, end: io.ErrUnexpectedEOF}
		f := newRelayFixture(map[string][]script{"a": {crash}, "b": {crash}, "c": {crash}})
		var poison *PoisonError
		is.True(errors.As(f.relay.Run(t.Context(), relayRequest(), &recordingSink{}), &poison))
		again := relayRequest()
		again.ID = "another"
		is.True(errors.As(f.relay.Run(t.Context(), again, &recordingSink{}), &poison))
		is.Equal(len(f.engine.attempts), 3)
	})
}

func TestCallerDisconnectEndsRunAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{"a": {{events: []int64{1}}}})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		start := time.Now()
		is.Equal(f.relay.Run(ctx, relayRequest(), &recordingSink{}), ErrCallerDisconnected)
		synctest.Wait()
		is.Equal(time.Since(start), 100*time.Millisecond)
		is.Equal(f.engine.closed, 1)
	})
}

func TestNextStep(t *testing.T) {
	base := retryInput{resumable: true, maxAttempts: 3, remaining: time.Second}
	for _, each := range []struct {
		name   string
		change func(*retryInput)
		want   relayStep
	}{
		{"complete", func(in *retryInput) { in.ending = endingComplete }, stepFinish},
		{"broken", func(in *retryInput) { in.ending = endingBroken }, stepRetry},
		{"broken, not resumable", func(in *retryInput) { in.ending, in.resumable = endingBroken, false }, stepFinish},
		{"refused, not resumable", func(in *retryInput) { in.ending, in.resumable = endingRefused, false }, stepRetry},
		{"attempts used up", func(in *retryInput) { in.ending, in.attemptsRun = endingStalled, 3 }, stepFinish},
		{"refused with attempts used up", func(in *retryInput) { in.ending, in.attemptsRun = endingRefused, 3 }, stepRetry},
		{"no time left", func(in *retryInput) { in.ending, in.remaining = endingBroken, minAttemptTime/2 }, stepFinish},
		{"too many attempts", func(in *retryInput) { in.ending, in.attempts = endingRefused, maxTotalAttempts }, stepFinish},
		{"unsent with attempts used up", func(in *retryInput) { in.ending, in.attempts = endingUnsent, maxTotalAttempts }, stepRetry},
		{"unsent, no time left", func(in *retryInput) { in.ending, in.remaining = endingUnsent, minAttemptTime/2 }, stepFinish},
		{"deadline", func(in *retryInput) { in.ending = endingDeadline }, stepFinish},
		{"caller disconnected", func(in *retryInput) { in.ending = endingCallerDisconnected }, stepFinish},
	} {
		t.Run(each.name, func(t *testing.T) {
			input := base
			each.change(&input)
			is.New(t).Equal(nextStep(input), each.want)
		})
	}
}

// TestFewProbesDuringPrefill: a probe costs a connection, and a prefill takes a second.
func TestFewProbesDuringPrefill(t *testing.T) {
	is := is.New(t)
	probesWithin := func(limits silenceLimits, span time.Duration) int {
		if span < limits.probeAfter {
			return 0
		}
		return 1 + int((span-limits.probeAfter)/limits.probeInterval)
	}
	request := &RelayRequest{FirstEventObjective: 4500 * time.Millisecond, GapObjective: 700 * time.Millisecond}
	prefilling := silenceLimitsFor(request, false, &health.Gaps{}, 0)
	is.True(probesWithin(prefilling, 1200*time.Millisecond) <= 2)
	is.True(prefilling.probeAfter <= request.FirstEventObjective/8) // the rest is for a retry at another target
	shortObjective := &RelayRequest{FirstEventObjective: time.Second}
	is.Equal(silenceLimitsFor(shortObjective, false, &health.Gaps{}, 0).probeAfter, minFirstProbeDelay)
}

// fakePrompts locates every prompt at one engine, and records the calls.
type fakePrompts struct {
	engine string
	// local is the engine that FindLocal returns.
	local            string
	recalled, placed []string
	complete         bool
}

func (p *fakePrompts) RecordPlacement(_, engine string)  { p.placed = append(p.placed, engine) }
func (p *fakePrompts) RecordEnd(_ string, complete bool) { p.complete = complete }
func (p *fakePrompts) FindLocal(string) string           { return p.local }
func (p *fakePrompts) FindShared(_ context.Context, prompt string) string {
	p.recalled = append(p.recalled, prompt)
	return p.engine
}

// cachedPlacer is a firstPlacer that prefers the engine with the cached prompt.
type cachedPlacer struct{ firstPlacer }

func (p *cachedPlacer) PlaceStream(ctx context.Context, query RelayQuery) (*directory.Target, error) {
	for _, engine := range query.Engines {
		if engine.ID == query.CachedAt {
			return engine, nil
		}
	}
	return p.firstPlacer.PlaceStream(ctx, query)
}

func TestResumedStreamIsPlacedAtItsCachedPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{events: []int64{1}, end: io.EOF}},
			"b": {{events: []int64{8}, end: io.EOF}},
		})
		located := &fakePrompts{engine: "b"}
		f.relay = NewRelay(RelayOptions{Engine: f.engine, Placer: &cachedPlacer{}, Budget: f.budget, Targets: f.targets, Prompts: located})
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), &recordingSink{}))
		is.Equal(len(located.recalled), 0) // a new stream doesn't read other entries' records
		is.Equal(located.placed, []string{"a"})
		is.True(located.complete)

		f.engine.scripts["c"] = []script{{events: []int64{1}, end: io.EOF}}
		located.local = "c"
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), &recordingSink{}))
		is.Equal(located.placed, []string{"a", "c"}) // a caller that reconnects before its first event

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

// countedLimits has a number of requests left for each target.
type countedLimits map[string]int

func (l countedLimits) Take(target string) bool {
	if l[target] == 0 {
		return false
	}
	l[target]--
	return true
}

func (countedLimits) RetryAfter(string) time.Duration { return 1500 * time.Millisecond }

// Guards against streams, and their resumption, that are sent beyond the limits that targets name.
func TestStreamsKeepToTheLimitsThatTargetsName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"b": {{events: eventsUpTo(2), end: io.ErrUnexpectedEOF}},
			"c": {{events: []int64{3}, end: io.EOF}},
		})
		f.relay.options.Limits = countedLimits{"b": 1, "c": 1}
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
		is.Equal(sink.events, eventsUpTo(3))
		var givenUp *GivenUpError
		is.True(errors.As(f.relay.Run(t.Context(), relayRequest(), &recordingSink{}), &givenUp))
		is.True(!givenUp.MayHaveRun)
		is.Equal(givenUp.RetryAfter, 1500*time.Millisecond)
		is.Equal(len(f.engine.attempts), 2)
	})
}

// Guards against attempts that go on to crash their engine although the verdict has fallen.
func TestAttemptWithoutAnEventEndsWhenItsPromptIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{"a": {{}}})
		records := &changingRecords{relayLocalRecords: relayLocalRecords{health.NewCrashes()}, changed: make(chan struct{})}
		f.relay.options.CrashRecords = records
		request := relayRequest()
		request.SharedParts = []string{"bad"}
		time.AfterFunc(time.Second, func() {
			records.crashes.RefuseParts([]string{"bad"}, 3, time.Now())
			close(records.changed)
		})
		start := time.Now()
		var poison *PoisonError
		is.True(errors.As(f.relay.Run(t.Context(), request, &recordingSink{}), &poison))
		is.Equal(time.Since(start), time.Second)
		is.Equal(poison.Parts, []string{"bad"})
	})
}

// waitingPlacer lets streams wait for their engine.
type waitingPlacer struct {
	firstPlacer
	wait time.Duration
}

func (p *waitingPlacer) PlaceStream(ctx context.Context, query RelayQuery) (*directory.Target, error) {
	time.Sleep(p.wait)
	return p.firstPlacer.PlaceStream(ctx, query)
}

// Guards against requests that are sent to crash an engine although the verdict fell while they waited for room.
func TestStreamIsNotSentWhenItsPromptIsRefusedWhileItWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{"a": {{}}})
		f.relay.options.Placer = &waitingPlacer{wait: 5 * time.Second}
		records := &changingRecords{relayLocalRecords: relayLocalRecords{health.NewCrashes()}, changed: make(chan struct{})}
		f.relay.options.CrashRecords = records
		request := relayRequest()
		request.SharedParts = []string{"bad"}
		time.AfterFunc(time.Second, func() {
			records.crashes.RefuseParts([]string{"bad"}, 3, time.Now())
			close(records.changed)
		})
		ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
		defer cancel()
		var poison *PoisonError
		is.True(errors.As(f.relay.Run(ctx, request, &recordingSink{}), &poison))
		is.Equal(len(f.engine.attempts), 0)
	})
}

// latestPlacer chooses the first engine that is allowed after a wait.
type latestPlacer struct {
	firstPlacer
	wait func()
}

func (p *latestPlacer) PlaceStream(ctx context.Context, query RelayQuery) (*directory.Target, error) {
	p.wait()
	query.Engines, query.Fits = query.Latest()
	return p.firstPlacer.PlaceStream(ctx, query)
}

// refusedVersions allows the versions that are not refused.
type refusedVersions map[string]bool

func (v refusedVersions) Allows(version string) bool { return !v[version] }
func (v refusedVersions) FallBack() bool             { return false }

// Guards against a stream that is sent to a version which was refused, or not to an engine that has registered, while it waited for room.
func TestPlacementOfAStreamThatWaitedFollowsTheDirectory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{"d": {{events: []int64{1}, end: io.EOF}}})
		for _, target := range f.openTargets {
			target.Version = "new"
		}
		refused := refusedVersions{}
		f.relay.options.Placer = &latestPlacer{wait: func() {
			refused["new"] = true
			f.openTargets = append(slices.Clone(f.openTargets), &directory.Target{ID: "d", Address: "d:1", Version: "old"})
		}}
		request := relayRequest()
		request.Versions = refused
		is.NoErr(f.relay.Run(t.Context(), request, &recordingSink{}))
		is.Equal(len(f.engine.attempts), 1)
		is.Equal(f.engine.attempts[0].Target.ID, "d")
	})
}

// Guards against a stream that is moved since its own goroutine ran late, while its next event waited. The goroutine sees the event
// and the end of a probe at once, in any order.
func TestOwnDelayIsNotTakenForTheTargetsSilence(t *testing.T) {
	for name, probe := range map[string]struct {
		delay time.Duration
		dark  bool
	}{
		"answered":   {delay: 90 * time.Millisecond},
		"unanswered": {dark: true}, // the goroutine of the probe ran late as well
	} {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newRelayFixture(map[string][]script{
						"a": {{events: eventsUpTo(4), pause: 300 * time.Millisecond, end: io.EOF}},
						"b": {{events: []int64{2, 3, 4}, end: io.EOF}},
					})
					f.engine.probeDelay = map[string]time.Duration{"a": probe.delay}
					f.engine.dark["a"] = probe.dark
					records := &changingRecords{relayLocalRecords{health.NewCrashes()}, make(chan struct{}), 5 * time.Second}
					f.relay.options.CrashRecords = records
					time.AfterFunc(560*time.Millisecond, func() { close(records.changed) }) // during a probe, before the second event
					sink := &recordingSink{}
					is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
					is.Equal(sink.events, eventsUpTo(4))
					is.Equal(len(f.engine.attempts), 1)
				})
			}
		})
	}
}

// Guards against a probe without an answer that moves a stream whose target has sent an event since, and against such a stream
// that stays when its target is silent later. The silent stream beside it leaves at once.
func TestUnansweredProbeMovesOnlyStreamsWithoutAnEventSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{events: eventsUpTo(2), pause: 300 * time.Millisecond}, {events: []int64{1}, pause: 10 * time.Millisecond}},
			"c": {{events: []int64{2}, end: io.EOF}, {events: []int64{3}, end: io.EOF}},
		})
		f.engine.setDark("a")
		active, silent := &recordingSink{}, &recordingSink{}
		start := time.Now()
		done := make(chan error, 1)
		go func() { done <- f.relay.Run(t.Context(), relayRequest(), active) }()
		synctest.Wait() // the first script is the active stream's
		request := relayRequest()
		request.ID = "silent"
		is.NoErr(f.relay.Run(t.Context(), request, silent))
		is.NoErr(<-done)
		is.Equal(silent.events, eventsUpTo(2))
		// Its probe ends at 360 ms, after the active stream's first event.
		is.Equal(silent.times[1].Sub(start), 10*time.Millisecond+probeSensitivity.InitialLimit+targetProbeTimeout)
		is.Equal(active.events, eventsUpTo(3))
		is.Equal(active.times[2].Sub(start), 600*time.Millisecond+probeSensitivity.InitialLimit+targetProbeTimeout)
		is.Equal(len(f.engine.attempts), 4)
	})
}

// changingRecords are RelayCrashRecords that change once.
type changingRecords struct {
	relayLocalRecords
	changed chan struct{}
	// late is how long the goroutine that hears of the change doesn't run.
	late time.Duration
}

func (r *changingRecords) Changed() <-chan struct{} {
	select {
	case <-r.changed:
		time.Sleep(r.late)
		return nil
	default:
		return r.changed
	}
}
