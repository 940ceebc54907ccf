// Package servicehttp sends service calls to targets over HTTP. A call is sent once: at-most-once requests must not be repeated
// by a transport, as that of net/http does when a reused connection breaks.
package servicehttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/azurebarrow/azurebarrow/adapters/targetcall"
	"github.com/azurebarrow/azurebarrow/idempotency"
	"github.com/azurebarrow/azurebarrow/service"
)

// RequestKeyHeader carries the idempotency key of the request to the target.
const RequestKeyHeader = "Azurebarrow-Request-Key"

// Options are the settings of a Transport. Zero values take the defaults.
type Options struct {
	// DialTimeout limits the time to connect to a target.
	DialTimeout time.Duration
	// Send sends requests to targets; nil sends them over connections of the adapter's own.
	Send targetcall.Send
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
	calls   *targetcall.Transport
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
	return &Transport{options: options, calls: targetcall.New(targetcall.Options{
		DialTimeout:           options.DialTimeout,
		IdleTimeout:           options.IdleTimeout,
		MaxIdleConnsPerTarget: options.MaxIdleConnsPerTarget,
		Send:                  options.Send,
	})}
}

// Close closes the idle connections.
func (t *Transport) Close() { t.calls.CloseIdleConnections() }

// Do implements service.Transport. It uses the http.RoundTripper directly, so that redirects are
// not followed.
func (t *Transport) Do(ctx context.Context, target service.Target, request service.Request) (idempotency.Answer, error) {
	outgoing, err := newRequest(ctx, target, request)
	if err != nil {
		return idempotency.Answer{}, &service.NotSentError{Cause: merry.Wrap(err)}
	}
	response, err := t.calls.RoundTrip(outgoing)
	var notSent *service.NotSentError
	if errors.As(err, &notSent) {
		return idempotency.Answer{}, err
	}
	if err != nil {
		return idempotency.Answer{}, merry.Prepend(err, "target may have run the request")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readBody(response.Body, t.options.MaxAnswerBytes)
	if err != nil {
		return idempotency.Answer{}, merry.Prepend(err, "answer of the target broke off")
	}
	return idempotency.Answer{Status: response.StatusCode, Header: endToEndFields(response.Header), Body: body}, nil
}

func newRequest(ctx context.Context, target service.Target, request service.Request) (*http.Request, error) {
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, "http://"+target.Address+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, err
	}
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
