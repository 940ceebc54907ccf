package enginehttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/azurebarrow/azurebarrow/generation"
)

// maxLineBytes limits the size of one line of a stream, and so of one event.
const maxLineBytes = 64 << 10

// initialLineBytes is the initial size of the line buffer of a stream; it grows up to maxLineBytes.
const initialLineBytes = 2 << 10

var dataPrefix = []byte("data:")

// stream reads the server-sent events of one run. It implements generation.Stream.
type stream struct {
	body     io.ReadCloser
	cancel   context.CancelFunc
	lines    *bufio.Scanner
	finished bool
}

func newStream(body io.ReadCloser, cancel context.CancelFunc) *stream {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, initialLineBytes), maxLineBytes)
	return &stream{body: body, cancel: cancel, lines: lines}
}

type eventBody struct {
	RequestID string `json:"requestId"`
	Attempt   int    `json:"attempt"`
	Index     int    `json:"index"`
	Token     string `json:"token"`
	Finish    string `json:"finish"`
}

// Recv implements generation.Stream.
func (s *stream) Recv() (generation.StreamEvent, error) {
	if s.finished {
		return generation.StreamEvent{}, io.EOF
	}
	for s.lines.Scan() {
		line := s.lines.Bytes()
		if !bytes.HasPrefix(line, dataPrefix) {
			continue
		}
		var event eventBody
		if err := json.Unmarshal(line[len(dataPrefix):], &event); err != nil {
			return generation.StreamEvent{}, fmt.Errorf("%w: malformed event: %w", generation.ErrStreamBroken, err)
		}
		s.finished = event.Finish != ""
		return event.toDomain(), nil
	}
	if err := s.lines.Err(); err != nil {
		return generation.StreamEvent{}, fmt.Errorf("%w: %w", generation.ErrStreamBroken, err)
	}
	return generation.StreamEvent{}, fmt.Errorf("%w: closed before its end", generation.ErrStreamBroken)
}

// Close implements generation.Stream.
func (s *stream) Close() {
	s.cancel()
	s.body.Close()
}

func (l eventBody) toDomain() generation.StreamEvent {
	return generation.StreamEvent{
		ID:     generation.StreamID{Generation: l.RequestID, Attempt: l.Attempt},
		Token:  generation.Token{Index: l.Index, Text: l.Token},
		Finish: generation.FinishReason(l.Finish),
	}
}
