package targethttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/service"
)

// Request is one request to a target, sent as it is.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Framed tells that the caller sent a body, which may be empty.
	Framed bool
	// IDHeader names the header field that holds ID in the request and its answer.
	IDHeader string
	ID       string
}

// Answer is the head of an answer and its body. Close must be called; before the body's end it
// closes the connection, so that the target stops.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length, -1 if it is not known beforehand.
	Length int64
	Body   io.Reader

	exchange *exchange
}

// exchange is one request and its answer on a connection.
type exchange struct {
	pool     *Pool
	conn     *conn
	response *http.Response
	// stopWatch ends the watch over the context.
	stopWatch func() bool
	written   chan error
	closeOnce sync.Once
	reusable  bool
	idleFor   time.Duration
}

// errAnswerMismatch: the target sent answers to other requests only.
var errAnswerMismatch = errors.New("the answer belongs to another request")

// maxForeignAnswers is the number of answers to other requests that are skipped on a connection.
const maxForeignAnswers = 2

// Do sends a request and returns once the head of its answer has arrived. An error that wraps
// *service.NotSentError proves that nothing was sent; after any other the target may have run the request.
// The end of ctx closes the connection, also while the body is read.
func (p *Pool) Do(ctx context.Context, key, address string, request *Request) (*Answer, error) {
	c, err := p.get(ctx, key, address)
	if err != nil {
		return nil, &service.NotSentError{Cause: err}
	}
	if ctx.Err() != nil {
		_ = c.Close()
		return nil, &service.NotSentError{Cause: ctx.Err()}
	}
	e := &exchange{pool: p, conn: c, written: make(chan error, 1), idleFor: p.options.IdleTimeout}
	e.stopWatch = context.AfterFunc(ctx, func() { _ = c.Close() })
	go e.write(request)
	answer, err := e.receive(request)
	if err != nil {
		e.abandon()
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, err
	}
	return answer, nil
}

func (e *exchange) write(request *Request) {
	_, err := e.conn.Write(request.encode())
	e.written <- err
}

// encode returns the bytes of the request.
func (r *Request) encode() []byte {
	var buffer bytes.Buffer
	buffer.Grow(len(r.Body) + 1024)
	buffer.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&buffer) // a buffer takes everything
	if r.Framed || len(r.Body) > 0 {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(r.Body)
	return buffer.Bytes()
}

// receive reads the head of the answer that belongs to the request.
func (e *exchange) receive(request *Request) (*Answer, error) {
	for foreign := 0; ; {
		response, err := http.ReadResponse(e.conn.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusContinue && response.StatusCode < http.StatusOK {
			continue
		}
		id := response.Header.Get(request.IDHeader)
		if id == "" || id == request.ID {
			e.response = response
			e.reusable = foreign == 0 && !response.Close
			e.idleFor = idleTimeout(response.Header, e.idleFor)
			return &Answer{
				Status:   response.StatusCode,
				Header:   response.Header,
				Length:   response.ContentLength,
				Body:     response.Body,
				exchange: e,
			}, nil
		}
		foreign++
		if foreign > maxForeignAnswers {
			return nil, errAnswerMismatch
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
}

// idleMargin is the part of a target's idle time-out that is used, so that a request does not meet
// the target's close.
const idleMargin = 0.6

// idleTimeout returns how long the connection may stay idle by the target's word.
func idleTimeout(header http.Header, fallback time.Duration) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseFloat(value, 64)
		if err == nil {
			return min(fallback, time.Duration(idleMargin*seconds*float64(time.Second)))
		}
	}
	return fallback
}

// Close ends the exchange. The connection is kept if the answer was read to its end and nothing
// else came.
func (a *Answer) Close() {
	a.exchange.closeOnce.Do(a.exchange.finish)
}

func (e *exchange) finish() {
	if !e.reusable || !e.ended() || !e.requestWritten() || e.conn.reader.Buffered() > 0 || !e.stopWatch() {
		e.abandon()
		return
	}
	e.conn.expires = time.Now().Add(e.idleFor)
	e.pool.put(e.conn)
}

// ended tells whether the body was read to its end: net/http then returns io.EOF again. A body that
// goes on is not waited for.
func (e *exchange) ended() bool {
	_ = e.conn.SetReadDeadline(time.Now())
	defer func() { _ = e.conn.SetReadDeadline(time.Time{}) }()
	var one [1]byte
	n, err := e.response.Body.Read(one[:])
	return n == 0 && err == io.EOF
}

// writerPatience is the wait for the goroutine that writes, which may not have run since its last
// byte left.
const writerPatience = 5 * time.Millisecond

// requestWritten tells whether the whole request has left; a target may answer before.
func (e *exchange) requestWritten() bool {
	timer := time.NewTimer(writerPatience)
	defer timer.Stop()
	select {
	case err := <-e.written:
		return err == nil
	case <-timer.C:
		return false
	}
}

func (e *exchange) abandon() {
	e.stopWatch()
	_ = e.conn.Close()
}
