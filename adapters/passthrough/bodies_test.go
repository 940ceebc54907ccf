package passthrough

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against many large bodies at once that exceed the memory of the entry, so that all requests in progress there end.
func TestLargeBodiesShareABoundOfMemory(t *testing.T) {
	const (
		callers  = 42
		size     = 4 << 20
		callTime = 60 * time.Millisecond
		wait     = 375 * time.Millisecond // a quarter of the time that callers have
	)
	for _, length := range []int64{size, -1} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			memory := newBodyMemory(maxBodiesBytes)
			var held, most, refused, read atomic.Int64
			ended := make(chan struct{})
			for range callers {
				go func() {
					defer func() { ended <- struct{}{} }()
					body, release, err := memory.read(t.Context(), io.LimitReader(zeros{}, size), length, size, wait)
					if err != nil {
						is.Equal(err, errNoBodyRoom)
						refused.Add(1)
						return
					}
					is.Equal(len(body), size)
					most.Store(max(most.Load(), held.Add(size)))
					time.Sleep(callTime)
					held.Add(-size)
					release()
					read.Add(1)
				}()
			}
			start := time.Now()
			for range callers {
				<-ended
			}
			t.Logf("%d read, %d refused, %d MB at most", read.Load(), refused.Load(), most.Load()>>20)
			is.True(most.Load() <= maxBodiesBytes)
			is.True(time.Since(start) <= wait+callTime) // no caller waits until its deadline
			is.True(read.Load() >= maxBodiesBytes/size*int64(wait/callTime))
		})
	}
}

// Guards against ordinary requests that wait for large bodies, and against room that is lost with a body that breaks off.
func TestSmallBodiesNeedNoRoom(t *testing.T) {
	is := is.New(t)
	memory := newBodyMemory(maxBodiesBytes)
	ctx := t.Context()
	release, err := memory.reserve(ctx, maxBodiesBytes+1, time.Second) // larger than all of the room: held alone
	is.NoErr(err)
	for _, length := range []int64{0, 5 << 10, smallBodyBytes, -1} {
		text := make([]byte, max(length, 100))
		body, none, err := memory.read(ctx, bytes.NewReader(text), length, 4<<20, 0)
		is.NoErr(err)
		is.Equal(len(body), len(text))
		is.True(none == nil)
	}
	_, _, err = memory.read(ctx, io.LimitReader(zeros{}, 1<<20), 1<<20, 4<<20, time.Millisecond)
	is.Equal(err, errNoBodyRoom)
	release()
	for range 100 {
		broken := io.MultiReader(io.LimitReader(zeros{}, 1<<20), failingReader{})
		_, _, err = memory.read(ctx, broken, 2<<20, 4<<20, time.Millisecond)
		is.Equal(err, io.ErrUnexpectedEOF)
	}
	release, err = memory.reserve(context.Background(), maxBodiesBytes, time.Millisecond)
	is.NoErr(err)
	release()
	_, _, err = memory.read(ctx, zeros{}, 5<<20, 4<<20, time.Second)
	is.Equal(err.(*http.MaxBytesError).Limit, int64(4<<20))
}

// zeros are bytes without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
