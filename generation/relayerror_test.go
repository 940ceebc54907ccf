package generation

import (
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/directory"
)

// Guards against the text of an error, and against an end, that a target puts in the place of the rest of a stream that another
// one began.
func TestErrorInPlaceOfTheRestOfAStreamDoesNotReachTheCaller(t *testing.T) {
	broke := errors.New("connection reset")
	begun := script{events: eventsUpTo(3), end: broke}
	rest := script{events: []int64{4, 5}, end: io.EOF}
	for _, each := range []struct {
		name   string
		second script
		third  []script
		events []int64
		broken bool
	}{
		{"an error answer, then the rest", script{refuse: &RelayTargetError{Status: 500}}, []script{rest}, eventsUpTo(5), false},
		{"an error answer, then nothing", script{refuse: &RelayTargetError{Status: 500}}, nil, eventsUpTo(3), true},
		{"an event without an ID, then the rest elsewhere", script{events: []int64{withoutID}, end: io.EOF}, []script{rest}, eventsUpTo(5), false},
		{"an event without an ID, then nothing", script{events: []int64{withoutID}, end: io.EOF}, nil, eventsUpTo(3), true},
		{"an event without an ID, then the events", script{events: []int64{withoutID, 4, 5}, end: io.EOF}, []script{rest}, eventsUpTo(5), false},
		{"comments before the rest", script{events: []int64{scriptedComment, 4, withoutID, 5}, end: io.EOF}, nil, []int64{1, 2, 3, -1, 4, -1, 5}, false},
	} {
		t.Run(each.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newRelayFixture(map[string][]script{"a": {begun}, "b": {each.second}, "c": each.third})
				sink := &recordingSink{}
				err := f.relay.Run(t.Context(), relayRequest(), sink)
				is.Equal(errors.Is(err, ErrRelayBroken), each.broken) // the caller's connection is aborted
				is.Equal(err != nil, each.broken)
				is.Equal(sink.events, each.events)
				is.Equal(sink.head, "a")
			})
		})
	}
}

// Guards against events that the caller gets twice: a stream that ends after an event without an ID can't be resumed.
func TestStreamIsNotResumedAfterAnEventWithoutAnID(t *testing.T) {
	for _, each := range []struct {
		name   string
		events []int64
		whole  bool
	}{
		{"no event has an ID", []int64{withoutID, withoutID}, false},
		{"the last event has none", []int64{1, withoutID}, false},
		{"the last event has one", []int64{withoutID, 1}, true},
		{"a comment is the last", []int64{1, scriptedComment}, true},
	} {
		t.Run(each.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rest := []script{{events: []int64{2, 3}, end: io.EOF}}
				f := newRelayFixture(map[string][]script{
					"a": {{events: each.events, end: errors.New("connection reset")}}, "b": rest, "c": rest,
				})
				sink := &recordingSink{}
				err := f.relay.Run(t.Context(), relayRequest(), sink)
				is.Equal(err == nil, each.whole)
				is.Equal(len(f.engine.attempts) > 1, each.whole)
				is.Equal(len(sink.events) == len(each.events)+2, each.whole)
			})
		})
	}
}

// Guards against the text of an error in the rest of a stream that a caller takes up with its last event: the caller has the
// beginning from an earlier connection.
func TestErrorInPlaceOfTheRestOfAStreamThatACallerTakesUp(t *testing.T) {
	for _, each := range []struct {
		name   string
		first  script
		events []int64
	}{
		{"an event without an ID", script{events: []int64{withoutID}, end: io.EOF}, []int64{4, 5}},
		{"an event without an ID, then a break", script{events: []int64{withoutID}, end: errors.New("connection reset")}, []int64{4, 5}},
		{"a comment", script{events: []int64{scriptedComment, 4, 5}, end: io.EOF}, []int64{-1, 4, 5}},
	} {
		t.Run(each.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rest := []script{{events: []int64{4, 5}, end: io.EOF}}
				f := newRelayFixture(map[string][]script{"a": {each.first}, "b": rest, "c": rest})
				sink := &recordingSink{}
				request := relayRequest()
				request.LastEvent = 3
				is.NoErr(f.relay.Run(t.Context(), request, sink))
				is.Equal(sink.events, each.events)
			})
		})
	}
}

// Guards against a stream without IDs that is cut off because it is slow: it can't be resumed, so that a move ends it.
func TestStalledStreamThatCannotBeResumedStaysAtItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rest := []script{{events: []int64{2, 3}, end: io.EOF}}
		f := newRelayFixture(map[string][]script{
			"a": {{events: []int64{withoutID, withoutID, withoutID}, pause: 1500 * time.Millisecond, end: io.EOF}}, "b": rest, "c": rest,
		})
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
		is.Equal(sink.events, []int64{withoutID, withoutID, withoutID})
		is.Equal(len(f.engine.attempts), 1)
	})
}

// limitedFor is TargetLimits that allow one request and then none for a while.
type limitedFor struct {
	unlimitedTargets
	pause time.Duration
	taken time.Time
}

func (l *limitedFor) Take(string) bool {
	if !l.taken.IsZero() && time.Since(l.taken) < l.pause {
		return false
	}
	l.taken = time.Now()
	return true
}

// Guards against a stream that waits for what can't come.
func TestBegunStreamWithoutATargetOfItsVersionEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newVersionFixture([]string{"v1", "v2", "v2"}, map[string][]script{"a": {{events: eventsUpTo(3), end: errors.New("connection reset")}}})
		open := f.relay.options.Targets
		f.relay.options.Targets = func(service string) []*directory.Target {
			if len(f.engine.attempts) == 0 {
				return open(service)[:1]
			}
			return open(service)[1:] // the only target of the stream's version has left
		}
		start := time.Now()
		is.Equal(f.relay.Run(t.Context(), relayRequest(), &recordingSink{}), ErrRelayBroken)
		is.True(time.Since(start) < targetPollInterval)
	})
}

// Guards against a begun stream that is cut off because no target takes it at once: limits and pauses of targets last for parts of a
// second, and a caller that has its beginning would wait for longer.
func TestBegunStreamWaitsForATargetWithinItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{events: eventsUpTo(3), end: errors.New("connection reset")}}, "b": {{events: []int64{4, 5}, end: io.EOF}},
		})
		f.relay.options.Limits = &limitedFor{pause: 500 * time.Millisecond}
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
		is.Equal(sink.events, eventsUpTo(5))
	})
}
