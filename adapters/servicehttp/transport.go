// Package servicehttp sends service calls to targets over HTTP.
//
// net/http must not retry an at-most-once request on its own. Its transport sends a request again
// on a new connection when a reused connection breaks and the request can be replayed: its method
// is idempotent by definition or it has an Idempotency-Key or X-Idempotency-Key header, and its
// body can be rewound. Therefore at-most-once requests have a body that can't be rewound, even when
// it is empty, no GetBody, and neither of these headers. The transport then retries them only if it
// has written nothing.
package servicehttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/azurebarrow/azurebarrow/idempotency"
	"github.com/azurebarrow/azurebarrow/service"
)

// RequestKeyHeader carries the idempotency key of the request to the target. Its name differs from
// the headers by which net/http considers a request idempotent.
const RequestKeyHeader = "Azurebarrow-Request-Key"

// Options are the settings of a Transport. Zero values take the defaults.
type Options struct {
	// DialTimeout limits the time to connect to a target.
	DialTimeout time.Duration
	// Dial opens the connections to targets; nil dials them from this host.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// IdleTimeout is how long an idle connection is kept; it should be shorter than the targets'
	// own idle timeout.
	IdleTimeout time.Duration
	// MaxAnswerBytes limits the size of the body of an answer.
	MaxAnswerBytes int64
	// MaxIdleConnsPerTarget is the maximum number of idle connections kept to a target.
	MaxIdleConnsPerTarget int
}

// Defaults of Options.
const (
	DefaultDialTimeout           = time.Second
	DefaultIdleTimeout           = 5 * time.Second
	DefaultMaxAnswerBytes        = 16 << 20
	DefaultMaxIdleConnsPerTarget = 64
)

// Transport sends service calls to targets. It implements service.Transport.
type Transport struct {
	options Options
	client  *http.Transport
}

// New returns a Transport. Options that are zero take their defaults.
func New(options Options) *Transport {
	if options.DialTimeout == 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	if options.MaxAnswerBytes == 0 {
		options.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if options.MaxIdleConnsPerTarget == 0 {
		options.MaxIdleConnsPerTarget = DefaultMaxIdleConnsPerTarget
	}
	return &Transport{options: options, client: newClient(options)}
}

func newClient(options Options) *http.Transport {
	dial := options.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, options.DialTimeout)
			defer cancel()
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		DisableCompression:  true, // bodies are forwarded unchanged
		IdleConnTimeout:     options.IdleTimeout,
		MaxIdleConnsPerHost: options.MaxIdleConnsPerTarget,
	}
}

// Close closes the idle connections.
func (t *Transport) Close() { t.client.CloseIdleConnections() }

// Do implements service.Transport. It uses the http.RoundTripper directly, so that redirects are
// not followed.
func (t *Transport) Do(ctx context.Context, target service.Target, request service.Request) (idempotency.Answer, error) {
	tracker := &sendTracker{}
	outgoing, err := newRequest(tracker.withTrace(ctx), target, request)
	if err != nil {
		return idempotency.Answer{}, &service.NotSentError{Cause: merry.Wrap(err)}
	}
	response, err := t.client.RoundTrip(outgoing)
	if err != nil {
		return idempotency.Answer{}, tracker.classify(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readBody(response.Body, t.options.MaxAnswerBytes)
	if err != nil {
		return idempotency.Answer{}, merry.Prepend(err, "answer of the target broke off")
	}
	return idempotency.Answer{Status: response.StatusCode, Header: endToEndFields(response.Header), Body: body}, nil
}

func newRequest(ctx context.Context, target service.Target, request service.Request) (*http.Request, error) {
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, "http://"+target.Address+request.Path, newBody(request))
	if err != nil {
		return nil, err
	}
	if request.Once {
		outgoing.GetBody = nil
	}
	outgoing.ContentLength = int64(len(request.Body))
	for _, field := range request.Header {
		if !isWithheld(field.Name) {
			outgoing.Header.Add(field.Name, field.Value)
		}
	}
	if request.RequestKey != "" {
		outgoing.Header.Set(RequestKeyHeader, request.RequestKey)
	}
	return outgoing, nil
}

// newBody returns the body of a request. The body of an at-most-once request can't be rewound.
func newBody(request service.Request) io.Reader {
	if request.Once {
		return &nonRewindableReader{reader: bytes.NewReader(request.Body)}
	}
	return bytes.NewReader(request.Body)
}

// nonRewindableReader hides the type of the underlying reader, so that net/http can't rewind it.
type nonRewindableReader struct{ reader io.Reader }

// Read implements io.Reader.
func (r *nonRewindableReader) Read(buffer []byte) (int, error) { return r.reader.Read(buffer) }

var errAnswerTooLarge = errors.New("answer is larger than the bound")

func readBody(body io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, errAnswerTooLarge
	}
	return content, nil
}

// sendTracker finds out whether any byte of a request was written to a connection. A connection
// carries one request at a time, so all bytes written to it while the request uses it belong to
// that request.
type sendTracker struct {
	mu       sync.Mutex
	connUses []connUse
}

// connUse is a connection that was assigned to a request, and the number of bytes written to it
// before. conn is nil when the bytes of the connection are not counted.
type connUse struct {
	conn          *countingConn
	writtenBefore int64
}

func (t *sendTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *sendTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		t.connUses = append(t.connUses, connUse{})
		return
	}
	t.connUses = append(t.connUses, connUse{conn: conn, writtenBefore: conn.written.Load()})
}

// classify wraps err in a NotSentError if no byte of the request was written to any connection. It
// stops further writes, so that this stays true.
func (t *sendTracker) classify(err error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, use := range t.connUses {
		if use.conn == nil || use.conn.stopWrites() > use.writtenBefore {
			return merry.Prepend(err, "target may have run the request")
		}
	}
	return &service.NotSentError{Cause: merry.Wrap(err)}
}
