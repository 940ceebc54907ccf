// Package pace limits the rate at which large answers are read.
package pace

import (
	"context"
	"io"

	"golang.org/x/time/rate"
)

// MaxReadBytes limits one read, so that the sender sees an even rate. It is also the least useful burst of a
// limiter.
const MaxReadBytes = 4 << 10

// Reader reads the first bytes of a stream at once and the rest at a limited rate. TCP's flow control passes
// the limit on to the sender: what is not read fills the receive buffer.
type Reader struct {
	ctx     context.Context
	reader  io.Reader
	limiter *rate.Limiter
	// free is the number of bytes that are still read at once.
	free int
	// onPaced is called at the first byte beyond free, and then nil.
	onPaced func()
}

// NewReader returns a Reader that takes what exceeds free bytes from the limiter, whose burst must be at least
// one byte. Its reads end with the error of ctx once that is done. It calls onPaced when the stream proves
// to be longer than free bytes.
func NewReader(ctx context.Context, reader io.Reader, limiter *rate.Limiter, free int, onPaced func()) *Reader {
	return &Reader{ctx: ctx, reader: reader, limiter: limiter, free: free, onPaced: onPaced}
}

// Read implements io.Reader.
func (r *Reader) Read(buffer []byte) (int, error) {
	if r.free > 0 {
		n, err := r.reader.Read(buffer[:min(len(buffer), r.free)])
		r.free -= n
		return n, err
	}
	n, err := r.reader.Read(buffer[:min(len(buffer), MaxReadBytes, r.limiter.Burst())])
	if n > 0 {
		if r.onPaced != nil {
			r.onPaced()
			r.onPaced = nil
		}
		if waitErr := r.limiter.WaitN(r.ctx, n); waitErr != nil {
			return n, waitErr
		}
	}
	return n, err
}
