package passthrough

import (
	"bytes"
	"context"
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
	// growingBodyCost is the memory for a byte of a large body without a length: its earlier buffers are held until they are collected.
	growingBodyCost = 2
	// bodyGrowth is the factor by which such a buffer grows.
	bodyGrowth = 4
	// maxBodiesBytes limits the larger bodies that are held together, each until its request ends. A body is copied once for each
	// attempt, and an entry has 144 MB in the smallest deployment.
	maxBodiesBytes = 16 << 20
	// maxBodiesShare is the share of the memory for callers' requests that large bodies may have together. Those without a length are
	// charged twice their size, and would have each other evicted if together they could exceed that memory.
	maxBodiesShare = 0.5
	// bodyRoomShare is the share of the time left to a request for which it waits for room. The rest is for serving it.
	bodyRoomShare = 0.25
)

// errNoBodyRoom: other requests take all of the memory for callers' requests.
var errNoBodyRoom = callerlimit.ErrNoMemory

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
	defer callerlimit.FromContext(ctx).OnEviction(cancel)()
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
		start, err = conn.ReadBody(body, length, smallBodyBytes)
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
	read, err = callerlimit.ReadGrowing(body, start, func(held int64) (int64, error) {
		capacity, cost := min(most, maxBodiesBytes), int64(1)
		if !known || held > 0 {
			capacity, cost = min(bodyGrowth*held, most), growingBodyCost
		}
		capacity = max(capacity, held+bytes.MinRead)
		if !conn.Charge(cost * (capacity - held)) {
			return 0, errNoBodyRoom
		}
		return capacity, nil
	})
	if err != nil {
		release()
		return nil, nil, err
	}
	return read, release, nil
}
