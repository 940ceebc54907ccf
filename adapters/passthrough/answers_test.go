package passthrough

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/adapters/targethttp"
)

// readEndlessBodies reads bodies without end from a target, many at once, and returns the errors and the largest heap.
func readEndlessBodies(t *testing.T, read func(*targethttp.Answer) error) (failures int, largest uint64) {
	t.Helper()
	chunk := make([]byte, 64<<10)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	}))
	defer target.Close()
	address := target.Listener.Addr().(*net.TCPAddr).String()
	pool := targethttp.NewPool(targethttp.Options{})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	const calls = 40
	var group sync.WaitGroup
	var failed atomic.Int64
	for i := range calls {
		group.Go(func() {
			answer, err := pool.Do(ctx, fmt.Sprint(i), address, &targethttp.Request{Method: http.MethodGet, URI: "/", Host: "h"})
			if err == nil {
				err = read(answer)
			}
			if err != nil && ctx.Err() == nil {
				failed.Add(1)
			}
		})
	}
	done := make(chan struct{})
	go func() { group.Wait(); close(done) }()
	for {
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		largest = max(largest, memory.HeapAlloc)
		select {
		case <-done:
			return int(failed.Load()), largest
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// Guards against targets whose answers without end take more memory than an entry has.
func TestAnswersWithoutEndStayWithinTheMemoryOfAnEntry(t *testing.T) {
	const entryMemory = 184 << 20
	is := is.New(t)
	reader := &answerReader{}
	failures, largest := readEndlessBodies(t, func(answer *targethttp.Answer) error {
		_, err := reader.read(answer)
		return err
	})
	t.Logf("largest heap %d MB", largest>>20)
	is.Equal(failures, 40)
	is.True(largest < entryMemory)
	is.Equal(reader.reading.Load(), int64(0))
}

// readBody reads an answer with the body from a target of its own.
func readBody(t *testing.T, length string, body []byte) (*answer, error) {
	t.Helper()
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if length != "" {
			w.Header().Set("Content-Length", length)
		}
		_, _ = w.Write(body)
	}))
	defer target.Close()
	received, err := targethttp.NewPool(targethttp.Options{}).Do(t.Context(), "t", target.Listener.Addr().String(),
		&targethttp.Request{Method: http.MethodGet, URI: "/", Host: "h"})
	if err != nil {
		return nil, err
	}
	return new(answerReader).read(received)
}

// Guards against buffers that grow by copying: their garbage was several times the content and took the heap of an
// entry over its memory beside load.
func TestAnswerBeyondItsBoundLeavesLittleGarbage(t *testing.T) {
	is := is.New(t)
	body := make([]byte, maxUnknownAnswerBytes+answerStepBytes)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := readBody(t, "", body)
	runtime.ReadMemStats(&after)
	is.True(errors.Is(err, errTooLarge))
	allocated := after.TotalAlloc - before.TotalAlloc
	t.Logf("allocated %d KB", allocated>>10)
	is.True(allocated < 2*maxUnknownAnswerBytes)
}

func TestAnswersOfAllSizesAreReadUnchanged(t *testing.T) {
	for _, size := range []int{0, 1, answerStepBytes, smallAnswerBytes - 1, smallAnswerBytes, smallAnswerBytes + 1,
		answerChunkBytes, answerChunkBytes + smallAnswerBytes + 1, maxUnknownAnswerBytes} {
		for _, length := range []string{"", strconv.Itoa(size)} {
			t.Run(fmt.Sprintf("%d bytes, length %q", size, length), func(t *testing.T) {
				is := is.New(t)
				body := make([]byte, size)
				for i := range body {
					body[i] = byte(i ^ i>>8 ^ i>>16)
				}
				got, err := readBody(t, length, body)
				is.NoErr(err)
				is.True(bytes.Equal(got.body, body))
			})
		}
	}
}
