// Package targetcall is the http.RoundTripper for calls to targets of the native interface. Each call has an ID, which its answer
// repeats, so that no late second answer to another call is taken for its own; see package targethttp.
package targetcall

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/targethttp"
)

// IDHeader holds the ID of a call. A target copies it into the answer, whatever the status; connections to targets that don't carry
// one call each.
const IDHeader = "Azurebarrow-Call-Id"

// Dial opens a TCP connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Options are the settings of a Transport. Zero values take the defaults of targethttp.Options.
type Options struct {
	// DialTimeout limits the time to connect to a target.
	DialTimeout time.Duration
	// HeadTimeout limits the time from the start of a call to the head of its answer; 0 means no limit.
	HeadTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept, unless the target gives a shorter time.
	IdleTimeout time.Duration
	// MaxIdleConnsPerTarget is the maximum number of idle connections kept to a target.
	MaxIdleConnsPerTarget int
	// Dial opens connections to targets; nil dials from this host.
	Dial Dial
	// Send sends a request to the target at an address once, as targethttp.Pool.Do does; nil sends over connections of the
	// Transport's own, to which alone the other options but HeadTimeout apply.
	Send Send
}

// Send sends a request to the target at an address. An error that wraps *service.NotSentError proves that nothing was sent.
type Send func(ctx context.Context, address string, request *targethttp.Request) (*targethttp.Answer, error)

// Transport implements http.RoundTripper. It sends each call once. An error that wraps *service.NotSentError proves that nothing
// was sent; after any other error the target may have run the call.
type Transport struct {
	options Options
	pool    *targethttp.Pool
	// idPrefix makes the IDs differ from those of other transports.
	idPrefix string
	calls    atomic.Uint64

	// lastUse is when the last answer was closed, in Unix nanoseconds.
	lastUse        atomic.Int64
	sweepScheduled atomic.Bool
}

// New returns a Transport without connections.
func New(options Options) *Transport {
	if options.IdleTimeout == 0 {
		options.IdleTimeout = targethttp.DefaultIdleTimeout
	}
	t := &Transport{
		options: options,
		pool: targethttp.NewPool(targethttp.Options{
			DialTimeout:           options.DialTimeout,
			IdleTimeout:           options.IdleTimeout,
			MaxIdleConnsPerTarget: options.MaxIdleConnsPerTarget,
			Dial:                  options.Dial,
		}),
		idPrefix: rand.Text() + "-",
	}
	if t.options.Send == nil {
		t.options.Send = func(ctx context.Context, address string, request *targethttp.Request) (*targethttp.Answer, error) {
			return t.pool.Do(ctx, address, address, request)
		}
	}
	return t
}

// Settings of NewClient.
const (
	clientDialTimeout = time.Second
	clientIdleTimeout = 30 * time.Second
)

// NewClient returns an HTTP client with a Transport of its own, for short calls. Its connections are opened by dial; nil dials from this
// host.
func NewClient(dial Dial) *http.Client {
	return &http.Client{Transport: New(Options{DialTimeout: clientDialTimeout, IdleTimeout: clientIdleTimeout, Dial: dial})}
}

// CloseIdleConnections closes the idle connections; http.Client has a method of this name that calls it.
func (t *Transport) CloseIdleConnections() { t.pool.CloseIdle() }

var (
	errHeadTimeout = errors.New("no head of an answer in time")
	errScheme      = errors.New("targets speak plain HTTP")
)

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	outgoing, err := t.outgoing(request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(request.Context())
	if t.options.HeadTimeout > 0 {
		timer := time.AfterFunc(t.options.HeadTimeout, func() { cancel(errHeadTimeout) })
		defer timer.Stop()
	}
	answer, err := t.options.Send(ctx, request.URL.Host, outgoing)
	if err != nil {
		if errors.Is(context.Cause(ctx), errHeadTimeout) {
			err = fmt.Errorf("%w: %w", errHeadTimeout, err)
		}
		cancel(nil)
		return nil, err
	}
	return &http.Response{
		Status:        strconv.Itoa(answer.Status) + " " + http.StatusText(answer.Status),
		StatusCode:    answer.Status,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        answer.Header,
		Body:          &body{answer: answer, cancel: cancel, transport: t},
		ContentLength: answer.Length,
		Request:       request,
	}, nil
}

// connectionFields are the fields of a head that the framing of the request decides.
var connectionFields = []string{"Host", "Content-Length", "Transfer-Encoding", "Trailer", "Connection"}

// outgoing returns the request as it is sent, with an ID of its own.
func (t *Transport) outgoing(request *http.Request) (*targethttp.Request, error) {
	var content []byte
	if request.Body != nil {
		read, err := io.ReadAll(request.Body)
		_ = request.Body.Close()
		if err != nil {
			return nil, err
		}
		content = read
	}
	if request.URL.Scheme != "http" {
		return nil, errScheme
	}
	header := request.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	for _, name := range connectionFields {
		header.Del(name)
	}
	id := t.idPrefix + strconv.FormatUint(t.calls.Add(1), 10)
	header.Set(IDHeader, id)
	return &targethttp.Request{
		Method:   request.Method,
		URI:      request.URL.RequestURI(),
		Host:     request.URL.Host,
		Header:   header,
		Body:     content,
		HasBody:  request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch,
		IDHeader: IDHeader,
		ID:       id,
	}, nil
}

// body is the body of an answer. Its connection is kept if it was read to its end.
type body struct {
	answer *targethttp.Answer
	cancel context.CancelCauseFunc
	// transport kept the connection, or closed it.
	transport *Transport
}

// Read implements io.Reader.
func (b *body) Read(buffer []byte) (int, error) { return b.answer.Body.Read(buffer) }

// Close implements io.Closer.
func (b *body) Close() error {
	b.answer.Close()
	b.cancel(nil)
	b.transport.scheduleSweep()
	return nil
}

// scheduleSweep has idle connections closed after their time, also if no further call comes.
func (t *Transport) scheduleSweep() {
	t.lastUse.Store(time.Now().UnixNano())
	if t.sweepScheduled.CompareAndSwap(false, true) {
		time.AfterFunc(t.options.IdleTimeout, t.sweep)
	}
}

func (t *Transport) sweep() {
	t.pool.Sweep(func(string) bool { return true })
	t.sweepScheduled.Store(false)
	// A connection that became idle in the meantime expires later.
	if time.Since(time.Unix(0, t.lastUse.Load())) < t.options.IdleTimeout && t.sweepScheduled.CompareAndSwap(false, true) {
		time.AfterFunc(t.options.IdleTimeout, t.sweep)
	}
}
