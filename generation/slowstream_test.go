package generation

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/directory"
)

// slowEngine is a RelayEngine whose targets all make an event per pause. It counts the attempts.
type slowEngine struct {
	pause    time.Duration
	events   int64
	attempts int
}

func (e *slowEngine) Open(ctx context.Context, attempt RelayAttempt) (RelayStream, error) {
	e.attempts++
	return &slowStream{ctx: ctx, engine: e, last: max(0, attempt.LastEvent)}, nil
}
func (*slowEngine) CopyKVCache(context.Context, *directory.Target, string, *directory.Target) (string, error) {
	return "", io.ErrUnexpectedEOF
}
func (*slowEngine) FreeCopy(context.Context, *directory.Target, string) error { return nil }
func (*slowEngine) Probe(context.Context, *directory.Target) error            { return nil }

type slowStream struct {
	ctx    context.Context
	engine *slowEngine
	last   int64
}

func (*slowStream) Head() any { return nil }
func (*slowStream) Close()    {}
func (s *slowStream) Next() (RelayEvent, error) {
	if s.last == s.engine.events {
		return RelayEvent{}, io.EOF
	}
	select {
	case <-time.After(s.engine.pause):
	case <-s.ctx.Done():
		return RelayEvent{}, s.ctx.Err()
	}
	s.last++
	return RelayEvent{ID: s.last}, nil
}

// spentRetries is a retry budget with nothing left.
type spentRetries struct{ countedRetries }

func (*spentRetries) Spend(string, RetryUrgency) bool { return false }

// Guards against sound streams that are cut because all engines are slower than the pause objective: each move brings one event,
// until no further attempt is allowed or the retry budget is spent.
func TestSlowStreamsEndWholeWhereAllEnginesAreSlow(t *testing.T) {
	for _, each := range []struct {
		name        string
		pause       time.Duration
		resumable   bool
		budget      RetryBudget
		maxAttempts int
	}{
		{"below the objective", 600 * time.Millisecond, true, nil, 3},
		{"above it", 1500 * time.Millisecond, true, nil, 4},
		{"can't be resumed", 1500 * time.Millisecond, false, nil, 1},
		{"retry budget spent", 1500 * time.Millisecond, true, &spentRetries{}, 1},
	} {
		t.Run(each.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newRelayFixture(nil)
				engine := &slowEngine{pause: each.pause, events: 15}
				f.relay.options.Engine = engine
				if each.budget != nil {
					f.relay.options.Budget = each.budget
				}
				request := relayRequest()
				request.Deadline, request.Resumable = time.Now().Add(time.Minute), each.resumable
				sink := &recordingSink{}
				is.NoErr(f.relay.Run(t.Context(), request, sink))
				is.Equal(sink.events, eventsUpTo(15))
				is.True(engine.attempts <= each.maxAttempts)
			})
		})
	}
}

// Guards against a stalled stream that holds its caller beyond the deadline, where it can't be moved.
func TestStalledStreamEndsAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(nil)
		f.relay.options.Engine = &slowEngine{pause: time.Hour, events: 3}
		request := relayRequest()
		request.Resumable = false
		start := time.Now()
		is.Equal(f.relay.Run(t.Context(), request, &recordingSink{}), ErrRelayDeadline)
		is.Equal(time.Since(start), 25*time.Second)
	})
}

// Guards against a stream that goes back to the target at which it stalled, since the only other one refused to resume it from a copy
// that it doesn't have.
func TestStalledStreamGoesToTheTargetThatLacksItsCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{events: []int64{1, 2}, pause: 30 * time.Millisecond}, {events: []int64{3}, pause: time.Minute}},
			"b": {{refuse: &RelayRefusedError{Cause: errors.New("no such copy")}}, {events: []int64{3, 4}, end: io.EOF}},
		})
		f.openTargets = f.openTargets[:2]
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
		is.Equal(sink.events, []int64{1, 2, 3, 4})
		is.Equal(len(f.engine.attempts), 3)
	})
}
