package passthrough

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// smallBodyBytes is the size up to which a body is read without regard to others: those of ordinary requests are smaller.
	smallBodyBytes = 128 << 10
	// maxBodiesBytes limits the larger bodies that are held together, each until its request ends. A body is copied once for each
	// attempt, and an entry has 184 MB in the smallest deployment.
	maxBodiesBytes = 16 << 20
	// bodyRoomShare is the share of the time left to a request for which it waits for room. The rest is for serving it.
	bodyRoomShare = 0.25
)

// errNoBodyRoom: the bodies of other requests take all of the memory for bodies.
var errNoBodyRoom = errors.New("large bodies take all of the memory for bodies")

// bodyMemory limits what the bodies of requests take together. It is safe for concurrent use.
type bodyMemory struct{ room *semaphore.Weighted }

func newBodyMemory() *bodyMemory { return &bodyMemory{room: semaphore.NewWeighted(maxBodiesBytes)} }

// reserve waits for room for a body, in the order of the calls. It returns the function that frees it.
func (m *bodyMemory) reserve(ctx context.Context, size int64, wait time.Duration) (release func(), err error) {
	size = min(size, maxBodiesBytes) // a larger one is held alone
	release = func() { m.room.Release(size) }
	if m.room.TryAcquire(size) {
		return release, nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if m.room.Acquire(ctx, size) != nil {
		return nil, errNoBodyRoom
	}
	return release, nil
}

// read reads a body of at most limit bytes; length is what the request says, -1 if nothing. A body that isn't small is read once there
// is room for it. The caller must call release once it doesn't need the body, unless it is nil.
func (m *bodyMemory) read(ctx context.Context, body io.Reader, length, limit int64, wait time.Duration) (read []byte, release func(), err error) {
	if length > limit {
		return nil, nil, &http.MaxBytesError{Limit: limit}
	}
	var start bytes.Buffer
	capacity := min(length, maxBodiesBytes)
	if length < 0 {
		if _, err := io.CopyN(&start, body, smallBodyBytes); err == io.EOF {
			return start.Bytes(), nil, nil
		} else if err != nil {
			return nil, nil, err
		}
		length, capacity = limit, 2*smallBodyBytes
	}
	if length > smallBodyBytes {
		if release, err = m.reserve(ctx, length, wait); err != nil {
			return nil, nil, err
		}
	}
	buffer := bytes.NewBuffer(make([]byte, 0, capacity+bytes.MinRead)) // with less, the buffer would grow at the end
	_, _ = buffer.Write(start.Bytes())                                 // never fails
	if _, err := buffer.ReadFrom(body); err != nil {
		if release != nil {
			release()
		}
		return nil, nil, err
	}
	return buffer.Bytes(), release, nil
}
