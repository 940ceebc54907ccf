package callerhttp

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/azurebarrow/azurebarrow/generation"
)

// initialEventBytes is the initial size of the buffer in which an event is encoded.
const initialEventBytes = 512

// eventWriter writes the server-sent events of one stream.
type eventWriter struct {
	writer        http.ResponseWriter
	controller    *http.ResponseController
	format        responseFormat
	generation    string
	model         string
	headerWritten bool
	buffer        []byte
}

func newEventWriter(w http.ResponseWriter, format responseFormat, generationID, model string) *eventWriter {
	return &eventWriter{
		writer:     w,
		controller: http.NewResponseController(w),
		format:     format,
		generation: generationID,
		model:      model,
		buffer:     make([]byte, 0, initialEventBytes),
	}
}

// writeHeader sends the header, once.
func (e *eventWriter) writeHeader() {
	if e.headerWritten {
		return
	}
	e.headerWritten = true
	header := e.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	e.writer.WriteHeader(http.StatusOK)
}

func (e *eventWriter) writeEvent(event generation.Event) error {
	e.writeHeader()
	chunk, err := json.Marshal(e.format.chunk(e.generation, e.model, event))
	if err != nil {
		return err
	}
	e.buffer = append(e.buffer[:0], "id: "...)
	e.buffer = append(e.buffer, event.ID.Generation...)
	e.buffer = append(e.buffer, '.')
	e.buffer = strconv.AppendInt(e.buffer, int64(event.ID.Term), 10)
	e.buffer = append(e.buffer, '.')
	e.buffer = strconv.AppendInt(e.buffer, int64(event.ID.Index), 10)
	e.buffer = append(e.buffer, "\ndata: "...)
	e.buffer = append(e.buffer, chunk...)
	e.buffer = append(e.buffer, "\n\n"...)
	if _, err := e.writer.Write(e.buffer); err != nil {
		return err
	}
	return e.controller.Flush()
}

// writeFailure ends the stream with an error event. Write errors are ignored: the caller may have
// disconnected.
func (e *eventWriter) writeFailure(failure *Error) {
	data, err := json.Marshal(errorBody{failure})
	if err != nil {
		return
	}
	_, _ = e.writer.Write([]byte("event: error\ndata: " + string(data) + "\n\n"))
	_ = e.controller.Flush()
}

// writeDone ends a complete stream.
func (e *eventWriter) writeDone() {
	_, _ = e.writer.Write([]byte("data: [DONE]\n\n"))
	_ = e.controller.Flush()
}
