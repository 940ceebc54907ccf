package targethttp

import (
	"errors"
	"io"
)

const (
	// maxHeadBytes limits the heads that are read for one answer, informational ones included.
	maxHeadBytes = 64 << 10
	// maxForeignBytes limits the body of an answer to another request that is skipped.
	maxForeignBytes = 1 << 20
)

var (
	// errHeadTooLarge: a target sent more than maxHeadBytes without the end of a head.
	errHeadTooLarge = errors.New("the head of the answer is larger than the bound")
	// errForeignTooLarge: the body of an answer to another request is larger than maxForeignBytes.
	errForeignTooLarge = errors.New("the answer to another request is larger than the bound")
)

// headLimiter limits the bytes that are read while a head is expected: the parser of net/http reads lines of any
// length. Only the goroutine that reads the connection uses it.
type headLimiter struct {
	reader io.Reader
	// left is the number of bytes that may still be read; it counts only while limited is set.
	left    int
	limited bool
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.reader.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

func (l *headLimiter) expectHead() { l.limited, l.left = true, maxHeadBytes }
func (l *headLimiter) endHead()    { l.limited = false }
