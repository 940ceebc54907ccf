package passthrough

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/internal/defect"
)

var (
	errEventTooLarge = errors.New("an event is larger than the bound")
	// errOnlyComments: comments that keep a connection open are a few bytes each, some seconds apart.
	errOnlyComments = errors.New("comments without events are larger than the bound")
	// errTruncatedEvent: the body ended inside an event. It does not wrap io.EOF, which means a complete
	// stream.
	errTruncatedEvent = errors.New("the stream ended inside an event")
	// errNotAnEvent: the body holds a line that no event has.
	errNotAnEvent = errors.New("a line is neither a field nor a comment of an event")
)

// retryField is the time after which a caller reconnects. It is no part of an event.
const retryField = "retry"

// eventScanner splits the body of a stream into events, whose bytes it keeps unchanged. It leaves out a byte order mark.
type eventScanner struct {
	reader *bufio.Reader
	// begun is true once a byte order mark, which may stand before the first event, has been looked for.
	begun bool
	// commentBytes counts the bytes of comments since the last event.
	commentBytes int
}

// maxCommentBytes limits the comments between two events.
const maxCommentBytes = 64 << 10

// byteOrderMark is no part of the first line, and none of a stream that another target began.
var byteOrderMark = []byte("\ufeff")

func newEventScanner(body io.Reader) *eventScanner {
	return &eventScanner{reader: bufio.NewReader(body)}
}

// next returns the next complete event; io.EOF after the last one.
func (s *eventScanner) next() (generation.RelayEvent, error) {
	if !s.begun {
		s.begun = true
		s.skipByteOrderMark()
	}
	event := generation.RelayEvent{ID: -1, Comment: true}
	for lineStart, onlyLineEnds := 0, true; ; {
		part, err := s.reader.ReadSlice('\n')
		event.Bytes = append(event.Bytes, part...)
		switch {
		case len(event.Bytes) > maxEventBytes:
			return generation.RelayEvent{}, errEventTooLarge
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(event.Bytes) > 0 && onlyLineEnds && isBlank(event.Bytes[lineStart:]):
			return event, nil // line ends after the last event
		case err == io.EOF && len(event.Bytes) > 0:
			return generation.RelayEvent{}, errTruncatedEvent
		case err != nil:
			return generation.RelayEvent{}, err
		}
		line := bytes.TrimRight(event.Bytes[lineStart:], "\r\n")
		if len(line) == 0 && !onlyLineEnds {
			return event, s.checkComments(event)
		}
		onlyLineEnds = onlyLineEnds && len(line) == 0
		lineStart = len(event.Bytes)
		name, isField := fieldName(line)
		switch {
		case len(line) == 0 || isField && (name == "" || name == retryField):
			continue
		case !isField && !defect.Enabled(defect.ErrorPassedOn):
			return generation.RelayEvent{}, errNotAnEvent
		}
		event.Comment = false
		if id, ok := eventID(line); ok {
			event.ID = id
		}
	}
}

// checkComments returns an error if too many comments have come without an event.
func (s *eventScanner) checkComments(event generation.RelayEvent) error {
	if !event.Comment {
		s.commentBytes = 0
		return nil
	}
	s.commentBytes += len(event.Bytes)
	if s.commentBytes > maxCommentBytes {
		return errOnlyComments
	}
	return nil
}

// skipByteOrderMark waits for no more bytes than it needs: a stream may begin with a single line end.
func (s *eventScanner) skipByteOrderMark() {
	for n := range len(byteOrderMark) {
		if start, err := s.reader.Peek(n + 1); err != nil || !bytes.HasPrefix(byteOrderMark, start) {
			return // the next read returns the error
		}
	}
	_, _ = s.reader.Discard(len(byteOrderMark))
}

// isBlank reports whether the text holds line ends only.
func isBlank(text []byte) bool { return len(bytes.TrimLeft(text, "\r\n")) == 0 }

// fieldName returns the name of the field in a line of an event; empty for a comment. isField is false for a line that is
// neither: names are in lower case, so that the head of an HTTP answer has none, nor has plain text.
func fieldName(line []byte) (name string, isField bool) {
	field, _, _ := bytes.Cut(line, []byte(":"))
	for _, c := range field {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return "", false
		}
	}
	return string(field), true
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
