package passthrough

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/azurebarrow/azurebarrow/adapters/callerlimit"
)

const (
	// smallBodyBytes is the size up to which a body needs no room among the larger ones. Its memory is charged to the connection as it
	// arrives: callers may stop in the middle.
	smallBodyBytes = 128 << 10
	// firstBodyBytes is the size of the first buffer for a small body.
	firstBodyBytes = 4 << 10
	// smallBodyCost is the resident memory for a byte of a small body's buffer: the heap grows to twice its live size before it is
	// collected.
	smallBodyCost = 2
	// growingBodyCost is the memory for a byte of a large body without a length: while its buffer grows, it is held twice.
	growingBodyCost = 1.5
	// bodyGrowth is the factor by which buffers grow.
	bodyGrowth = 4
	// maxBodiesBytes limits the larger bodies that are held together, each until its request ends. A body is copied once for each
	// attempt, and an entry has 144 MB in the smallest deployment.
	maxBodiesBytes = 16 << 20
	// maxBodiesShare is the share of the memory for callers' requests that large bodies may take together. Heads and small bodies find
	// room beside them.
	maxBodiesShare = 0.75
	// bodyRoomShare is the share of the time left to a request for which it waits for room. The rest is for serving it.
	bodyRoomShare = 0.25
)

// errNoBodyRoom: other requests take all of the memory for callers' requests.
var errNoBodyRoom = errors.New("other requests take all of the memory for requests")

// bodyMemory limits what the bodies of requests take together. It is safe for concurrent use.
type bodyMemory struct {
	room  *semaphore.Weighted
	bytes int64
}

func newBodyMemory(bytes int64) *bodyMemory {
	return &bodyMemory{room: semaphore.NewWeighted(bytes), bytes: bytes}
}

// reserve waits for room for a body, in the order of the calls. It returns the function that frees it.
func (m *bodyMemory) reserve(ctx context.Context, size int64, wait time.Duration) (release func(), err error) {
	size = min(size, m.bytes) // a larger one is held alone
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

// read reads a body of at most limit bytes; length is what the request says, -1 if nothing. A small body is charged to the connection of
// the request as it arrives, another one is read once there is room for it. The caller must call release once it doesn't need the body,
// unless it is nil.
func (m *bodyMemory) read(ctx context.Context, body io.Reader, length, limit int64, wait time.Duration) (read []byte, release func(), err error) {
	if length > limit {
		return nil, nil, &http.MaxBytesError{Limit: limit}
	}
	conn := callerlimit.FromContext(ctx)
	var start []byte
	if length <= smallBodyBytes {
		start, err = readSmall(conn, body, length)
		if err != nil || length >= 0 || len(start) <= smallBodyBytes {
			return start, nil, err
		}
	}
	most, known := limit+1, length >= 0
	if known {
		most = length + 1
	}
	if release, err = m.reserve(ctx, most-1, wait); err != nil {
		return nil, nil, err
	}
	cost := min(most-1, maxBodiesBytes)
	if !known {
		cost = int64(growingBodyCost * float64(cost))
	}
	if !conn.Charge(cost) {
		release()
		return nil, nil, errNoBodyRoom
	}
	capacity := min(most, maxBodiesBytes)
	if !known {
		capacity = min(most, 2*smallBodyBytes)
	}
	read, err = readUntilEnd(body, start, func(held int64) (int64, error) {
		return max(min(max(2*held, capacity), most), held+bytes.MinRead), nil
	})
	if err != nil {
		release()
		return nil, nil, err
	}
	return read, release, nil
}

// readSmall reads a body to its end, or its first smallBodyBytes and one more byte; length is what the request says, -1 if nothing. It
// charges its buffer to the connection before it allocates it.
func readSmall(conn *callerlimit.Conn, body io.Reader, length int64) ([]byte, error) {
	const most = smallBodyBytes + 1
	return readUntilEnd(body, nil, func(held int64) (int64, error) {
		capacity := min(max(bodyGrowth*held, firstBodyBytes), most)
		if length >= held {
			capacity = min(capacity, length+1) // room in which the end of the body is read
		}
		if capacity == held {
			return 0, io.EOF
		}
		if !conn.Charge(smallBodyCost * (capacity - held)) {
			return 0, errNoBodyRoom
		}
		return capacity, nil
	})
}

// readUntilEnd appends what it reads to the buffer. When that is full, it calls grow with its capacity, which returns a larger one, or an
// error: io.EOF if no more is to be read.
func readUntilEnd(body io.Reader, buffer []byte, grow func(held int64) (int64, error)) ([]byte, error) {
	for {
		if len(buffer) == cap(buffer) {
			capacity, err := grow(int64(cap(buffer)))
			if err == io.EOF {
				return buffer, nil
			}
			if err != nil {
				return nil, err
			}
			buffer = append(make([]byte, 0, capacity), buffer...)
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
