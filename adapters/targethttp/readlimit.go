package targethttp

import (
	"errors"
	"fmt"
	"io"
	"sync"
)

const (
	// maxHeadBytes limits the heads that are read for one answer, informational ones included.
	maxHeadBytes = 64 << 10
	// maxForeignBytes limits what is read of the body of an answer to another request, with its framing.
	maxForeignBytes = 1 << 20
)

var (
	// errHeadTooLarge: a target sent more than maxHeadBytes without the end of a head.
	errHeadTooLarge = errors.New("the head of the answer is larger than the bound")
	// errForeignTooLarge: the body of an answer to another request takes more than maxForeignBytes.
	errForeignTooLarge = errors.New("the answer to another request is larger than the bound")
)

// readLimiter limits the bytes that are read from a connection while a head is expected or a body is skipped: the
// parser of net/http reads lines of any length, and a body in chunks may take many times its own size. Only the
// goroutine that reads the connection uses it.
type readLimiter struct {
	reader io.Reader
	// left is the number of bytes that may still be read before exceeded is returned; without exceeded, any number.
	left     int
	exceeded error
	// ended is set once the connection was read to its end, in order or by an error.
	ended bool
}

// Read implements io.Reader.
func (l *readLimiter) Read(p []byte) (int, error) {
	if l.exceeded != nil && l.left <= 0 {
		return 0, l.exceeded
	}
	if l.exceeded != nil {
		p = p[:min(len(p), l.left)]
	}
	n, err := l.reader.Read(p)
	l.left -= n
	l.ended = l.ended || IsConnectionLost(err)
	return n, err
}

// limit lets that many bytes be read before exceeded is returned.
func (l *readLimiter) limit(bytes int, exceeded error) { l.left, l.exceeded = bytes, exceeded }

func (l *readLimiter) unlimit() { l.exceeded = nil }

// lossOr returns the error of a parser, as that of a lost connection if the connection has ended: the parsers of net/http take the
// beginning of a line for a malformed one.
func (l *readLimiter) lossOr(err error) error {
	if err == io.EOF || !l.ended || IsConnectionLost(err) {
		return err
	}
	return fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, err)
}

// answerBody is the body of an answer. Its error is final: after a body that broke off, that of net/http returns io.EOF.
type answerBody struct {
	reader  io.Reader
	limiter *readLimiter
	// confirmEnd returns an error if the end of the connection may not be the end of the body; nil if the framing of the
	// body determines its end. A reset is reported once only: if the write of the request got it, the connection seems to end in order.
	confirmEnd func() error

	mu  sync.Mutex
	err error
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.reader.Read(p)
	if err == io.EOF && b.confirmEnd != nil {
		if unsent := b.confirmEnd(); unsent != nil {
			err = fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, unsent)
		}
	}
	if err != nil {
		b.err = b.limiter.lossOr(err)
	}
	return n, b.err
}
