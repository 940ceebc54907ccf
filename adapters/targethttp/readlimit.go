package targethttp

import (
	"errors"
	"io"
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
}

// Read implements io.Reader.
func (l *readLimiter) Read(p []byte) (int, error) {
	if l.exceeded == nil {
		return l.reader.Read(p)
	}
	if l.left <= 0 {
		return 0, l.exceeded
	}
	n, err := l.reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// limit lets that many bytes be read before exceeded is returned.
func (l *readLimiter) limit(bytes int, exceeded error) { l.left, l.exceeded = bytes, exceeded }

func (l *readLimiter) unlimit() { l.exceeded = nil }
