package eventlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/generation"
)

// safeBuffer is an output that may be read and written concurrently.
type safeBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
	// stuck, if set, blocks writes until it is closed.
	stuck chan struct{}
}

func (b *safeBuffer) Write(line []byte) (int, error) {
	if b.stuck != nil {
		<-b.stuck
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(line)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

func TestEventIsOneLineOfKeyValuePairs(t *testing.T) {
	is := is.New(t)
	out := &safeBuffer{}
	log := New(out, "info")
	log.Event("attempt-sent", generation.Field{Key: "request", Value: "r1"}, generation.Field{Key: "backup", Value: ""},
		generation.Field{Key: "error", Value: nil}, generation.Field{Key: "reason", Value: "two words"})
	log.Flush(time.Second)
	time.Sleep(10 * time.Millisecond)
	line := out.String()
	is.Equal(strings.Count(line, "\n"), 1)
	is.True(strings.Contains(line, "msg=attempt-sent"))
	is.True(strings.Contains(line, "request=r1"))
	is.True(strings.Contains(line, `reason="two words"`))
	is.True(!strings.Contains(line, "backup"))
}

func TestRateIsLimitedAndDroppedLinesAreCounted(t *testing.T) {
	is := is.New(t)
	out := &safeBuffer{}
	log := New(out, "info")
	now := time.Unix(1000, 0)
	passed := 0
	for range 10_000 {
		if log.allow("storm", now) {
			passed++
		}
	}
	is.Equal(passed, eventBurst)
	is.True(log.allow("other", now)) // kinds of events are limited separately
	log.reportDropped()
	log.Flush(time.Second)
	time.Sleep(10 * time.Millisecond)
	is.True(strings.Contains(out.String(), "msg=log-lines-dropped count=9700 event=storm"))
}

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	is := is.New(t)
	out := &safeBuffer{stuck: make(chan struct{})}
	log := New(out, "info")
	done := make(chan struct{})
	go func() {
		for i := range 20 * queuedLines {
			log.Event(string(rune('a'+i%20)) + "-event")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("the log blocked")
	}
	is.True(len(log.lines) <= queuedLines)
	close(out.stuck)
}
