package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	firstLineBytes = 4 << 10
	maxLineBytes   = 1 << 20
)

// errNoEndMarker is returned for a stream that ended without its end marker.
var errNoEndMarker = errors.New("caller: the stream ended without [DONE]")

type chunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// sseEvent is one server-sent event.
type sseEvent struct {
	id   string
	name string
	data []byte
}

var (
	fieldID    = []byte("id: ")
	fieldEvent = []byte("event: ")
	fieldData  = []byte("data: ")
	doneData   = []byte("[DONE]")
)

// readEvents reads the events of one connection. It returns nil if the stream ended with its end marker
// or an error event.
func (a *answerState) readEvents(body io.Reader, idle *time.Timer) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, firstLineBytes), maxLineBytes)
	var event sseEvent
	for lines.Scan() {
		line := lines.Bytes()
		if len(line) > 0 {
			event.add(line)
			continue
		}
		idle.Reset(a.caller.options.IdleTimeout)
		if a.handleEvent(event) {
			return nil
		}
		event = sseEvent{}
	}
	if lines.Err() != nil {
		return lines.Err()
	}
	return errNoEndMarker
}

func (e *sseEvent) add(line []byte) {
	switch {
	case bytes.HasPrefix(line, fieldID):
		e.id = string(line[len(fieldID):])
	case bytes.HasPrefix(line, fieldEvent):
		e.name = string(line[len(fieldEvent):])
	case bytes.HasPrefix(line, fieldData):
		e.data = append(e.data, line[len(fieldData):]...)
	}
}

// handleEvent processes one event and reports whether it is the last one of the connection.
func (a *answerState) handleEvent(event sseEvent) (ended bool) {
	if len(event.data) == 0 {
		return false // a comment line
	}
	if bytes.Equal(event.data, doneData) {
		a.handleDone()
		return true
	}
	if event.name == "error" {
		a.handleStreamError(event.data)
		return true
	}
	var c chunk
	if json.Unmarshal(event.data, &c) != nil || len(c.Choices) != 1 {
		a.addViolation("not a chunk: %s", event.data)
		return false
	}
	id, ok := a.parseEventID(event.id)
	if !ok {
		return false
	}
	a.lastEvent = event.id
	a.recordReconnect()
	choice := c.Choices[0]
	if choice.FinishReason != nil {
		a.handleFinish(id.Index, *choice.FinishReason)
		return false
	}
	a.handleToken(id.Index, choice.Text+choice.Delta.Content)
	return false
}

func (a *answerState) recordReconnect() {
	if a.pendingReconnect == nil {
		return
	}
	a.pendingReconnect.Resumed = a.elapsed()
	a.result.Reconnects = append(a.result.Reconnects, *a.pendingReconnect)
	a.pendingReconnect = nil
}

func (a *answerState) handleToken(index int, text string) {
	want := len(a.result.Tokens)
	if index < want {
		a.result.Repeated++
	}
	if index != want {
		a.addViolation("token of index %d in place of %d", index, want)
	}
	if err := a.verifier.Next(text); err != nil && !a.mismatched {
		a.mismatched = true
		a.addViolation("%v", err)
	}
	a.result.Tokens = append(a.result.Tokens, text)
	a.result.Arrivals = append(a.result.Arrivals, a.elapsed())
	if a.caller.options.OnToken != nil {
		a.caller.options.OnToken(index, text)
	}
}

func (a *answerState) handleFinish(index int, reason string) {
	count := len(a.result.Tokens)
	if index != count {
		a.addViolation("end of index %d after %d tokens", index, count)
	}
	if wanted := a.result.Request.Length; wanted > 0 && wanted != count {
		a.addViolation("%d tokens in place of %d", count, wanted)
	}
	a.result.Finish = reason
}

func (a *answerState) handleDone() {
	if a.result.Finish == "" {
		a.addViolation("[DONE] without a finish reason after %d tokens", len(a.result.Tokens))
	}
	a.result.Status = Complete
}

// handleStreamError processes an error event within a stream like an error response.
func (a *answerState) handleStreamError(data []byte) {
	var answer ErrorAnswer
	if json.Unmarshal(data, &answer) != nil {
		a.addViolation("not an error: %s", data)
		return
	}
	status := http.StatusServiceUnavailable
	if answer.Error.Code == "earlier-output-lost" {
		status = http.StatusGone
	}
	a.handleError(status, answer, 0)
}
