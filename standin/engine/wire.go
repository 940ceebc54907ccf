package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/standin/fault"
)

// typicalEventBytes is the typical size of one encoded event.
const typicalEventBytes = 128

// streamWriter writes the events of one stream to one connection.
type streamWriter struct {
	engine  *Engine
	stream  *stream
	reader  *reader
	w       http.ResponseWriter
	control *http.ResponseController
	// prefix is the encoded start of every event, up to the index.
	prefix []byte
	buffer []byte
	next   int
}

// sendResult says whether more events can be sent on the connection.
type sendResult int

const (
	connectionUsable sendResult = iota
	connectionEnded
)

// serveEvents sends the events of s from an index on, until the stream ends, a fault ends the
// connection, or the reader disconnects.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	reader := e.attachReader(s)
	defer e.detachReader(s, reader)
	requestID, _ := json.Marshal(s.key.requestID)
	out := &streamWriter{
		engine:  e,
		stream:  s,
		reader:  reader,
		w:       w,
		control: http.NewResponseController(w),
		prefix:  []byte(`data: {"requestId":` + string(requestID) + `,"attempt":` + strconv.Itoa(s.key.attempt) + `,"index":`),
		next:    from,
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = out.control.Flush()
	out.run(r.Context())
}

// run sends tokens as they are generated. A stream that was stopped before it finished ends with an
// aborted connection, without a finish event.
func (o *streamWriter) run(ctx context.Context) {
	for {
		tokens, state := o.pendingTokens()
		if !o.engine.faults.Empty() {
			if o.engine.faults.WaitWhile(ctx, fault.Pause) != nil {
				return
			}
		}
		if o.sendTokens(ctx, tokens) == connectionEnded {
			return
		}
		if state == streamFinished {
			o.sendEnd()
			return
		}
		if state == streamStopped {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-ctx.Done():
			return
		case <-o.reader.wake:
		}
	}
}

// pendingTokens returns the tokens not sent yet and the state of the stream. The slice may be read
// without the lock: the stream only appends to it.
func (o *streamWriter) pendingTokens() ([]string, streamState) {
	o.engine.mu.Lock()
	defer o.engine.mu.Unlock()
	from := min(o.next, len(o.stream.tokens))
	return o.stream.tokens[from:len(o.stream.tokens):len(o.stream.tokens)], o.stream.state
}

func (o *streamWriter) sendTokens(ctx context.Context, tokens []string) sendResult {
	if len(tokens) == 0 {
		return connectionUsable
	}
	o.buffer = o.buffer[:0]
	noFaults := o.engine.faults.Empty()
	for _, token := range tokens {
		if noFaults {
			o.appendToken(o.prefix, o.next, token)
		} else if o.appendTokenUnderFaults(ctx, token) == connectionEnded {
			return connectionEnded
		}
		o.next++
	}
	return o.flush()
}

func (o *streamWriter) flush() sendResult {
	if _, err := o.w.Write(o.buffer); err != nil {
		return connectionEnded
	}
	o.buffer = o.buffer[:0]
	if o.control.Flush() != nil {
		return connectionEnded
	}
	return connectionUsable
}

// appendTokenUnderFaults appends a token with the stream faults that apply to it. A fault that ends or
// delays the connection first sends the tokens before this one.
func (o *streamWriter) appendTokenUnderFaults(ctx context.Context, token string) sendResult {
	faults := o.engine.faults
	prompt := o.stream.request.Prompt
	if _, on := faults.ConsumeAt(fault.ResetStream, prompt, o.next); on {
		o.flush()
		fault.ResetConnection(o.w)
		return connectionEnded
	}
	if _, on := faults.ConsumeAt(fault.CloseStream, prompt, o.next); on {
		o.flush()
		return connectionEnded
	}
	if delayed, on := faults.ConsumeAt(fault.DelayedToken, prompt, o.next); on {
		o.flush()
		if wait.For(ctx, time.Duration(delayed.Delay)) != nil {
			return connectionEnded
		}
	}
	if _, on := faults.ConsumeAt(fault.ForeignToken, prompt, o.next); on {
		otherRequest := []byte(`data: {"requestId":"crossed-request","attempt":1,"index":`)
		o.appendToken(otherRequest, o.next, "crossed-token-x ")
	}
	if _, on := faults.ConsumeAt(fault.DuplicatedToken, prompt, o.next); on {
		o.appendToken(o.prefix, o.next, token)
	}
	if _, on := faults.ConsumeAt(fault.SkippedToken, prompt, o.next); on {
		return connectionUsable
	}
	o.appendToken(o.prefix, o.next, token)
	return connectionUsable
}

func (o *streamWriter) appendToken(prefix []byte, index int, token string) {
	if cap(o.buffer) == 0 {
		o.buffer = make([]byte, 0, typicalEventBytes)
	}
	o.buffer = append(o.buffer, prefix...)
	o.buffer = strconv.AppendInt(o.buffer, int64(index), 10)
	o.buffer = append(o.buffer, `,"token":`...)
	o.buffer = strconv.AppendQuote(o.buffer, token)
	o.buffer = append(o.buffer, "}\n\n"...)
}

func (o *streamWriter) sendEnd() {
	o.buffer = append(o.buffer[:0], o.prefix...)
	o.buffer = strconv.AppendInt(o.buffer, int64(len(o.stream.tokens)), 10)
	o.buffer = append(o.buffer, `,"finish":"`+o.stream.finish+"\"}\n\n"...)
	o.flush()
}
