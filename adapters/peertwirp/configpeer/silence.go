package configpeer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

var errSilent = errors.New("the peer was silent")

// silenceLimiter is an HTTP client that ends a call when no data arrives. It does not limit the whole call: a long
// answer that is cut would be sent again from the start. It implements HTTPClient.
type silenceLimiter struct {
	http *http.Client
	// firstData is the time until the answer's body must begin, silence the time until each further part of it.
	firstData, silence time.Duration
}

// Do implements HTTPClient.
func (l silenceLimiter) Do(request *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(request.Context())
	timer := time.AfterFunc(l.firstData, func() { cancel(errSilent) })
	response, err := l.http.Do(request.WithContext(ctx))
	if err != nil {
		timer.Stop()
		cancel(nil)
		return nil, err
	}
	response.Body = &limitedBody{ReadCloser: response.Body, timer: timer, silence: l.silence, cancel: cancel}
	return response, nil
}

// limitedBody is the body of an answer; each read that returns data postpones the end of the call.
type limitedBody struct {
	io.ReadCloser
	timer   *time.Timer
	silence time.Duration
	cancel  context.CancelCauseFunc
}

// Read implements io.Reader.
func (b *limitedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if n > 0 {
		b.timer.Reset(b.silence)
	}
	return n, err
}

// Close implements io.Closer.
func (b *limitedBody) Close() error {
	b.timer.Stop()
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
