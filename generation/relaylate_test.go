package generation

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// socketStream is a stream whose events arrive at fixed times and wait, however late they are read.
type socketStream struct {
	RelayStream
	begin    time.Time
	interval time.Duration
	next     int64
	count    int64
}

func (s *socketStream) Next() (RelayEvent, error) {
	if s.next > s.count {
		return RelayEvent{}, io.EOF
	}
	time.Sleep(time.Until(s.begin.Add(time.Duration(s.next) * s.interval)))
	event := RelayEvent{ID: s.next}
	s.next++
	return event, nil
}

// socketEngine is a scriptedEngine whose streams at target "a" are socketStreams, but those of the request "silent".
type socketEngine struct{ *scriptedEngine }

func (e socketEngine) Open(ctx context.Context, attempt RelayAttempt) (RelayStream, error) {
	stream, err := e.scriptedEngine.Open(ctx, attempt)
	if err != nil || attempt.Request.ID == "silent" || attempt.Target.ID != "a" {
		return stream, err
	}
	return &socketStream{stream, time.Now(), 40 * time.Millisecond, 1, 40}, nil
}

// delayingSink takes long for one event.
type delayingSink struct {
	recordingSink
	late  int
	delay time.Duration
}

func (s *delayingSink) Event(event RelayEvent) error {
	if len(s.events) == s.late {
		time.Sleep(s.delay)
	}
	return s.recordingSink.Event(event)
}

// Guards against a stream that is moved although its target continues: its goroutine is late by several events, of which those after the
// first still wait at the socket as another stream's probe gets no answer.
func TestStreamThatIsLateBySeveralEventsStaysAtItsTarget(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newRelayFixture(map[string][]script{
				"a": {{events: eventsUpTo(40), pause: 40 * time.Millisecond, end: io.EOF}, {events: []int64{1}, pause: 10 * time.Millisecond}},
				"c": {{events: eventsUpTo(40), end: io.EOF}, {events: eventsUpTo(40), end: io.EOF}},
			})
			f.engine.setDark("a")
			f.relay.options.Engine = socketEngine{f.engine}
			active, silent := &delayingSink{late: 4, delay: 400 * time.Millisecond}, &recordingSink{}
			done := make(chan error, 1)
			go func() { done <- f.relay.Run(t.Context(), relayRequest(), active) }()
			synctest.Wait()
			request := relayRequest()
			request.ID = "silent"
			is.NoErr(f.relay.Run(t.Context(), request, silent))
			is.NoErr(<-done)
			is.Equal(active.events, eventsUpTo(40))
			is.Equal(len(f.engine.attempts), 3) // the silent stream has moved, the active one has not
		})
	}
}
