package generation

import (
	"context"
	"io"
	"sync"

	"github.com/azurebarrow/azurebarrow/invariant"
)

// Reader delivers the events of an answer to one caller, each once and in order. Only one goroutine at a
// time may use it.
type Reader struct {
	run *run
	// last is the last event that the caller has received; nil before the first.
	last     *EventID
	position int
	ended    bool
	close    sync.Once
}

// newReader returns a reader that starts after the given event. The run has already counted it.
func newReader(r *run, after *EventID) (*Reader, error) {
	reader := &Reader{run: r}
	if after != nil {
		seen := *after
		reader.last = &seen
		reader.position = seen.Index + 1
	}
	if err := r.checkSeen(reader.last); err != nil {
		r.removeReader()
		return nil, err
	}
	return reader, nil
}

// Generation returns the generation's ID.
func (r *Reader) Generation() string { return r.run.generation() }

// Next returns the next event. After the event with Finish it returns io.EOF.
func (r *Reader) Next(ctx context.Context) (Event, error) {
	if r.ended {
		return Event{}, io.EOF
	}
	event, err := r.run.awaitEvent(ctx, r.position, r.last)
	if err != nil {
		return Event{}, err
	}
	if err := r.verify(event); err != nil {
		return Event{}, err
	}
	id := event.ID
	r.last = &id
	r.position++
	r.ended = event.Finish != ""
	return event, nil
}

func (r *Reader) verify(event Event) error {
	err := invariant.Check(event.ID.Index == r.position, invariant.NextIndexContiguous,
		"%s: index %d, want %d", r.run.request.Key, event.ID.Index, r.position)
	if err != nil || r.last == nil {
		return err
	}
	return invariant.Check(event.ID.Generation == r.last.Generation, invariant.OneGenerationPerAnswer,
		"%s: generation %s after %s", r.run.request.Key, event.ID.Generation, r.last.Generation)
}

// Close ends the reading when the caller has disconnected or has the whole answer. The generation
// continues for the detached grace.
func (r *Reader) Close() {
	r.close.Do(r.run.removeReader)
}
