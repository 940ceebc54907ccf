package passthrough

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/azurebarrow/azurebarrow/generation"
)

var (
	errEventTooLarge = errors.New("an event is larger than the bound")
	// errTruncatedEvent: the body ended inside an event. It does not wrap io.EOF, which means a complete
	// stream.
	errTruncatedEvent = errors.New("the stream ended inside an event")
)

// eventScanner splits the body of a stream into events, whose bytes it keeps unchanged.
type eventScanner struct{ reader *bufio.Reader }

func newEventScanner(body io.Reader) *eventScanner {
	return &eventScanner{reader: bufio.NewReader(body)}
}

// next returns the next complete event; io.EOF after the last one.
func (s *eventScanner) next() (generation.RelayEvent, error) {
	event := generation.RelayEvent{ID: -1}
	for {
		line, err := s.reader.ReadSlice('\n')
		event.Bytes = append(event.Bytes, line...)
		switch {
		case len(event.Bytes) > maxEventBytes:
			return generation.RelayEvent{}, errEventTooLarge
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(event.Bytes) > 0:
			return generation.RelayEvent{}, errTruncatedEvent
		case err != nil:
			return generation.RelayEvent{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 && len(event.Bytes) > len(line) {
			return event, nil
		}
		if id, ok := eventID(text); ok {
			event.ID = id
		}
	}
}

// eventID returns the ID in an "id:" line; false for other lines.
func eventID(line []byte) (int64, bool) {
	value, found := bytes.CutPrefix(line, []byte("id:"))
	if !found {
		return 0, false
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	return id, err == nil
}
