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

// eventBytes is the usual size of one encoded event.
const eventBytes = 128

// writer sends one stream to one connection.
type writer struct {
	engine  *Engine
	stream  *stream
	reader  *reader
	w       http.ResponseWriter
	control *http.ResponseController
	prefix  []byte
	buffer  []byte
	next    int
}

// verdict tells what becomes of a connection after an event.
type verdict int

const (
	goOn verdict = iota
	endConnection
)

// follow sends the events of s from an index on, until the end, a fault or the reader's leaving.
func (e *Engine) follow(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	reader := e.attach(s)
	defer e.detach(s, reader)
	identity, _ := json.Marshal(s.key.requestID)
	out := &writer{
		engine:  e,
		stream:  s,
		reader:  reader,
		w:       w,
		control: http.NewResponseController(w),
		prefix:  []byte(`data: {"requestId":` + string(identity) + `,"attempt":` + strconv.Itoa(s.key.attempt) + `,"index":`),
		next:    from,
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = out.control.Flush()
	out.run(r.Context())
}

func (o *writer) run(ctx context.Context) {
	for {
		tokens, state := o.pending()
		if !o.engine.faults.Empty() {
			if o.engine.faults.WaitWhile(ctx, fault.Pause) != nil {
				return
			}
		}
		if o.send(ctx, tokens) == endConnection {
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

// pending returns the tokens not sent yet; the slice is only ever appended to.
func (o *writer) pending() ([]string, streamState) {
	o.engine.mu.Lock()
	defer o.engine.mu.Unlock()
	from := min(o.next, len(o.stream.tokens))
	return o.stream.tokens[from:len(o.stream.tokens):len(o.stream.tokens)], o.stream.state
}

func (o *writer) send(ctx context.Context, tokens []string) verdict {
	if len(tokens) == 0 {
		return goOn
	}
	o.buffer = o.buffer[:0]
	calm := o.engine.faults.Empty()
	for _, token := range tokens {
		if calm {
			o.appendToken(o.prefix, o.next, token)
		} else if o.sendUnderFaults(ctx, token) == endConnection {
			return endConnection
		}
		o.next++
	}
	return o.flush()
}

func (o *writer) flush() verdict {
	if _, err := o.w.Write(o.buffer); err != nil {
		return endConnection
	}
	o.buffer = o.buffer[:0]
	if o.control.Flush() != nil {
		return endConnection
	}
	return goOn
}

func (o *writer) sendUnderFaults(ctx context.Context, token string) verdict {
	faults := o.engine.faults
	prompt := o.stream.request.Prompt
	if _, on := faults.TakeAt(fault.Reset, prompt, o.next); on {
		o.flush()
		fault.ResetConnection(o.w)
		return endConnection
	}
	if _, on := faults.TakeAt(fault.Close, prompt, o.next); on {
		o.flush()
		return endConnection
	}
	if late, on := faults.TakeAt(fault.Late, prompt, o.next); on {
		o.flush()
		if wait.For(ctx, time.Duration(late.Delay)) != nil {
			return endConnection
		}
	}
	if _, on := faults.TakeAt(fault.Crossed, prompt, o.next); on {
		foreign := []byte(`data: {"requestId":"crossed-request","attempt":1,"index":`)
		o.appendToken(foreign, o.next, "crossed-token-x ")
	}
	if _, on := faults.TakeAt(fault.Duplicated, prompt, o.next); on {
		o.appendToken(o.prefix, o.next, token)
	}
	if _, on := faults.TakeAt(fault.Skipped, prompt, o.next); on {
		return goOn
	}
	o.appendToken(o.prefix, o.next, token)
	return goOn
}

func (o *writer) appendToken(prefix []byte, index int, token string) {
	if cap(o.buffer) == 0 {
		o.buffer = make([]byte, 0, eventBytes)
	}
	o.buffer = append(o.buffer, prefix...)
	o.buffer = strconv.AppendInt(o.buffer, int64(index), 10)
	o.buffer = append(o.buffer, `,"token":`...)
	o.buffer = strconv.AppendQuote(o.buffer, token)
	o.buffer = append(o.buffer, "}\n\n"...)
}

func (o *writer) sendEnd() {
	o.buffer = append(o.buffer[:0], o.prefix...)
	o.buffer = strconv.AppendInt(o.buffer, int64(len(o.stream.tokens)), 10)
	o.buffer = append(o.buffer, `,"finish":"`+o.stream.finish+"\"}\n\n"...)
	o.flush()
}
