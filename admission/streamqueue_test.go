package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func noStreams(string) int { return 0 }

// Guards against an order of arrival: an urgent stream waits behind less urgent ones that came before it.
func TestStreamQueueServesUrgentStreamsFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	queue := NewStreamQueue(StreamQueueOptions{Now: func() time.Time { return now }})
	for _, stream := range []QueuedStream{
		{Request: "bulk", Priority: 2, Arrived: now, Objective: 10 * time.Second},
		{Request: "urgent", Arrived: now, Objective: 4 * time.Second},
	} {
		refused, _ := queue.Add(stream, noStreams)
		is.True(!refused)
	}
	next, ok := queue.Next(noStreams)
	is.True(ok)
	is.Equal(next.Request, "urgent")
	queue.Remove("urgent", true)
	next, _ = queue.Next(noStreams)
	is.Equal(next.Request, "bulk")
	is.Equal(queue.Len(), 1)
}
