package targethttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/internal/defect"
	"github.com/azurebarrow/azurebarrow/service"
)

// Request is one request to a target, sent unchanged.
type Request struct {
	Method string
	// URI is the path and query exactly as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody reports whether the caller sent a body, which may be empty.
	HasBody bool
	// IDHeader is the name of the header field that holds ID in the request and its answer. ID is empty for a call whose answer
	// can't be told from a second answer to another such call; its connection is not kept. Nor is that of an answer without
	// an ID, or to HEAD: the body's length that it names would be skipped after a second answer.
	IDHeader string
	ID       string
	// MaySend reports whether the request may still be sent. It is asked once a connection is there, which may take a while; nil for
	// always.
	MaySend func() bool
}

// ErrSendWithdrawn: Request.MaySend did not allow the request any more, so that nothing was sent.
var ErrSendWithdrawn = errors.New("the request may not be sent any more")

// Answer is the head of an answer and its body. Close must be called; if the body has not been read to
// its end, Close closes the connection, so that the target stops the run.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length, -1 if unknown.
	Length int64
	Body   io.Reader

	exchange *exchange
	// onClose is called once when the answer is closed; nil for nothing.
	onClose func()
}

// OnClose has a function called when the answer is closed, in place of an earlier one.
func (a *Answer) OnClose(closed func()) { a.onClose = closed }

// exchange is one request and its answer on a connection.
type exchange struct {
	pool *Pool
	conn *conn
	// body is that of the answer; nil before its head has arrived.
	body *answerBody
	// stopCloseOnCancel unregisters the function that closes the connection when the context ends; it returns
	// false if that function has already started.
	stopCloseOnCancel func() bool
	// writeEnded is closed once the write of the request has ended, with writeErr. written is set then too.
	writeEnded chan struct{}
	writeErr   error
	written    atomic.Bool
	// heldUp is set if GiveUpHeldUp ended the exchange.
	heldUp    atomic.Bool
	requestID string
	closeOnce sync.Once
	// abandonOnce guards the close of a connection whose exchange did not end in order.
	abandonOnce sync.Once
	reusable    bool
	idleFor     time.Duration
}

var (
	// errNotWritten: the target answered and ended the connection before the request was written.
	errNotWritten = errors.New("the request was not sent to its end")
	// errStatus: the status of an answer is outside minStatus to maxStatus.
	errStatus = errors.New("the answer has no valid status")
)

// minStatus and maxStatus bound the status of an answer. net/http takes any number of three digits.
const minStatus, maxStatus = 100, 599

// errAnswerMismatch: the connection carried only answers to other requests.
var errAnswerMismatch = errors.New("the answer belongs to another request")

// unnamedAnswerWait limits the wait for the answer to a request after one that names no request: the target may have meant
// that, and send no other.
const unnamedAnswerWait = time.Second

// maxForeignAnswers is the number of answers to other requests that one exchange skips.
const maxForeignAnswers = 2

// Do sends a request and returns when the head of its answer has arrived. An error that wraps
// *service.NotSentError proves that nothing was sent; after any other error the target may have run the
// request. The end of ctx closes the connection, also while the body is read.
func (p *Pool) Do(ctx context.Context, key, address string, request *Request) (*Answer, error) {
	c, err := p.getConn(ctx, key, address, func(c *conn) bool { return p.options.AcceptAnswersWithoutID || c.mayCarry(request) })
	if err != nil {
		return nil, &service.NotSentError{Cause: err}
	}
	if ctx.Err() != nil {
		_ = c.Close()
		return nil, &service.NotSentError{Cause: ctx.Err()}
	}
	if request.MaySend != nil && !request.MaySend() {
		if c.expires.IsZero() {
			c.expires = time.Now().Add(p.options.IdleTimeout)
		}
		p.putIdle(c)
		return nil, &service.NotSentError{Cause: ErrSendWithdrawn}
	}
	e := &exchange{pool: p, conn: c, requestID: request.ID, writeEnded: make(chan struct{}), idleFor: p.options.IdleTimeout}
	e.stopCloseOnCancel = context.AfterFunc(ctx, e.abandon)
	untrack := p.track(e)
	defer untrack()
	go e.write(request)
	answer, err := e.receive(request)
	if err != nil {
		e.closeConn()
		if e.heldUp.Load() {
			return nil, ErrHeldUp
		}
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, err
	}
	return answer, nil
}

// IsConnectionLost reports whether an exchange failed because the target's side of the connection ended, in order or
// by a reset. A crash of the target looks so; a silent target, or bytes that are no answer, does not.
func IsConnectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func (e *exchange) write(request *Request) {
	_, e.writeErr = e.conn.Write(request.Encode())
	e.written.Store(true)
	close(e.writeEnded)
}

// awaitWritten waits until the request was written, for lateWriteTimeout at most, and returns nil if that succeeded.
func (e *exchange) awaitWritten() error {
	timer := time.NewTimer(lateWriteTimeout)
	defer timer.Stop()
	select {
	case <-e.writeEnded:
		return e.writeErr
	case <-timer.C:
		return errNotWritten
	}
}

// Encode returns the bytes of the request.
func (r *Request) Encode() []byte {
	var buffer bytes.Buffer
	buffer.Grow(len(r.Body) + 1024)
	buffer.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&buffer) // writing to a buffer never fails
	if r.HasBody || len(r.Body) > 0 {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(r.Body)
	return buffer.Bytes()
}

// receive reads the head of the answer to the request. It skips informational answers, and answers that belong or may
// belong to other requests.
func (e *exchange) receive(request *Request) (*Answer, error) {
	e.conn.limiter.limit(maxHeadBytes, errHeadTooLarge)
	for foreign, unnamed := 0, false; ; {
		response, err := http.ReadResponse(e.conn.reader, &http.Request{Method: request.Method})
		if err != nil && unnamed {
			return nil, errAnswerMismatch // the target answered, if without an ID, so the end of its connection is no crash
		}
		if err != nil {
			return nil, e.conn.limiter.lossOr(err)
		}
		if response.StatusCode < minStatus || response.StatusCode > maxStatus {
			return nil, fmt.Errorf("%w: %q", errStatus, response.Status)
		}
		if response.StatusCode >= http.StatusContinue && response.StatusCode < http.StatusOK {
			continue
		}
		id := response.Header.Get(request.IDHeader)
		if id == request.ID || id == "" && (!e.conn.carriedAnswer || e.pool.options.AcceptAnswersWithoutID || defect.Enabled(defect.SecondAnswerBelieved)) {
			e.conn.limiter.unlimit()
			if unnamed {
				_ = e.conn.SetReadDeadline(time.Time{})
			}
			e.body = &answerBody{reader: response.Body, limiter: e.conn.limiter}
			if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
				e.body.confirmEnd = e.awaitWritten
			}
			e.reusable = foreign == 0 && !response.Close && request.ID != "" && request.Method != http.MethodHead && (id != "" || e.pool.options.AcceptAnswersWithoutID) &&
				e.conn.recordAnswer(request.ID, response.StatusCode)
			e.idleFor = idleTimeout(response.Header, e.idleFor)
			return &Answer{
				Status:   response.StatusCode,
				Header:   response.Header,
				Length:   response.ContentLength,
				Body:     e.body,
				exchange: e,
			}, nil
		}
		if id == "" && !unnamed {
			unnamed = true
			_ = e.conn.SetReadDeadline(time.Now().Add(unnamedAnswerWait)) // without it, the end of the context ends the wait
		}
		foreign++
		if foreign > maxForeignAnswers {
			return nil, errAnswerMismatch
		}
		switch err := e.skipBody(response.Body); {
		case err != nil && unnamed:
			return nil, errAnswerMismatch
		case err != nil:
			return nil, err
		}
	}
}

// skipBody reads the body of an answer to another request, after which the next head is expected.
func (e *exchange) skipBody(body io.Reader) error {
	e.conn.limiter.limit(maxForeignBytes, errForeignTooLarge)
	_, err := io.Copy(io.Discard, body)
	e.conn.limiter.limit(maxHeadBytes, errHeadTooLarge)
	return err
}

// idleMargin is the fraction of a target's idle timeout for which a connection is kept, so that a request does
// not coincide with the target's close.
const idleMargin = 0.6

// idleTimeout returns how long the connection may stay idle according to the target's Keep-Alive field.
func idleTimeout(header http.Header, fallback time.Duration) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		// The comparison precedes the conversion, which overflows for large numbers.
		if seconds, err := strconv.ParseFloat(value, 64); err == nil && idleMargin*seconds < fallback.Seconds() {
			return time.Duration(max(0, idleMargin*seconds) * float64(time.Second))
		}
	}
	return fallback
}

// Close ends the exchange. The connection is kept if the answer was read to its end and the target sent
// nothing more.
func (a *Answer) Close() {
	a.exchange.closeOnce.Do(func() {
		a.exchange.release()
		if a.onClose != nil {
			a.onClose()
		}
	})
}

// Abort ends the exchange and closes the connection, for an answer that counts as a failure of its target whatever its status: a
// second one could be taken for the answer to a further attempt of the request.
func (a *Answer) Abort() {
	a.exchange.reusable = false
	a.Close()
}

// release keeps the connection, if it may carry further requests, once the whole request has been sent: a target may answer before
// that.
func (e *exchange) release() {
	if !e.reusable || !e.bodyAtEOF() || e.conn.reader.Buffered() > 0 || !e.stopCloseOnCancel() {
		e.closeConn()
		return
	}
	timer := time.NewTimer(writeResultTimeout)
	defer timer.Stop()
	select {
	case <-e.writeEnded:
		e.keepConn()
	case <-timer.C:
		_ = e.conn.SetWriteDeadline(time.Now().Add(lateWriteTimeout))
		go func() {
			<-e.writeEnded
			e.keepConn()
		}()
	}
}

const (
	// writeResultTimeout limits the wait for the goroutine that writes the request: it may not have been scheduled
	// since the last byte was sent.
	writeResultTimeout = 5 * time.Millisecond
	// lateWriteTimeout limits the time for the rest of a request that was answered before it was sent.
	lateWriteTimeout = 500 * time.Millisecond
)

// keepConn keeps the connection for a later request unless the request of this one could not be sent.
func (e *exchange) keepConn() {
	if e.writeErr != nil || e.conn.SetWriteDeadline(time.Time{}) != nil {
		e.abandon()
		return
	}
	e.conn.expires = time.Now().Add(e.idleFor)
	e.pool.putIdle(e.conn)
}

// bodyAtEOF reports whether the body was read to its end: net/http then returns io.EOF again. The read
// deadline keeps it from waiting for a body that continues.
func (e *exchange) bodyAtEOF() bool {
	_ = e.conn.SetReadDeadline(time.Now())
	defer func() { _ = e.conn.SetReadDeadline(time.Time{}) }()
	var one [1]byte
	n, err := e.body.Read(one[:])
	return n == 0 && err == io.EOF
}

func (e *exchange) closeConn() {
	e.stopCloseOnCancel()
	e.abandon()
}

// abandon closes the connection of an exchange that did not end in order, and has the kernel discard what the target's host
// has not acknowledged: the kernel retransmits it for many seconds after a close, and the target would run an abandoned request. A
// connection of which everything is acknowledged ends in order instead, since a reset is not retransmitted.
func (e *exchange) abandon() {
	e.abandonOnce.Do(func() {
		bytes, err := unacknowledgedBytes(e.conn.Conn)
		if bytes > 0 || err != nil || !e.written.Load() {
			discardOnClose(e.conn.Conn)
		}
		if bytes > 0 {
			e.pool.unacknowledged.Add(1)
			e.pool.options.Log("request-unacknowledged", generation.Field{Key: "request", Value: e.requestID},
				generation.Field{Key: "target", Value: e.conn.key}, generation.Field{Key: "bytes", Value: bytes})
		}
		_ = e.conn.Close()
	})
}
