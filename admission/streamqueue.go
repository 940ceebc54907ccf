package admission

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxQueuedStreams bounds the queue's memory.
	maxQueuedStreams = 4096
	// maxStreamNameBytes bounds the request ID and the customer name of a queued stream.
	maxStreamNameBytes = 512
	// Retry-After is kept within these bounds.
	minStreamRetryAfter = 200 * time.Millisecond
	maxStreamRetryAfter = 8 * time.Second
)

// StreamQueueOptions configures a StreamQueue.
type StreamQueueOptions struct {
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Seed makes the random part of Retry-After reproducible.
	Seed uint64
}

// QueuedStream is a stream that waits for room at an engine.
type QueuedStream struct {
	// Request identifies the stream. Customer may be empty.
	Request, Customer string
	// Priority is the priority of the stream; 0 is the highest.
	Priority int
	Arrived  time.Time
	// Objective is the time after Arrived at which the first event is late.
	Objective time.Duration
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
}

// StreamQueue orders the streams of one service that wait for room. It is not safe for concurrent use.
type StreamQueue struct {
	options StreamQueueOptions
	random  *rand.Rand
	streams []QueuedStream
}

// NewStreamQueue returns an empty StreamQueue.
func NewStreamQueue(options StreamQueueOptions) *StreamQueue {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &StreamQueue{options: options, random: rand.New(rand.NewPCG(options.Seed, 2))}
}

// Add adds a stream to the queue, or refuses it at once with the time after which room is likely. A stream that is queued already
// keeps its place.
func (q *StreamQueue) Add(stream QueuedStream, _ func(customer string) int) (refused bool, retryAfter time.Duration) {
	if q.indexOf(stream.Request) >= 0 {
		return false, 0
	}
	if len(q.streams) >= maxQueuedStreams || len(stream.Request) > maxStreamNameBytes || len(stream.Customer) > maxStreamNameBytes {
		return true, q.retryAfter(time.Second)
	}
	q.streams = append(q.streams, stream)
	return false, 0
}

// Next returns the stream that gets the free room, without removing it; ok is false if no stream is waiting.
func (q *StreamQueue) Next(streamsOf func(customer string) int) (stream QueuedStream, ok bool) {
	if len(q.streams) == 0 {
		return QueuedStream{}, false
	}
	return slices.MinFunc(q.streams, func(a, b QueuedStream) int {
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
		if byTime := a.Arrived.Add(a.Objective).Compare(b.Arrived.Add(b.Objective)); byTime != 0 {
			return byTime
		}
		return streamsOf(a.Customer) - streamsOf(b.Customer)
	}), true
}

// Remove removes a stream: admitted if it got room, otherwise its caller is gone.
func (q *StreamQueue) Remove(request string, _ bool) {
	if i := q.indexOf(request); i >= 0 {
		q.streams = slices.Delete(q.streams, i, i+1)
	}
}

// Expired removes and returns the streams that can no longer be served.
func (q *StreamQueue) Expired() (expired []QueuedStream, retryAfter time.Duration) {
	now := q.options.Now()
	q.streams = slices.DeleteFunc(q.streams, func(s QueuedStream) bool {
		late := now.Sub(s.Arrived) > 3*s.Objective || !s.Deadline.IsZero() && s.Deadline.Sub(now) < 2*time.Second
		if late {
			expired = append(expired, s)
		}
		return late
	})
	if len(expired) == 0 {
		return nil, 0
	}
	return expired, q.retryAfter(time.Second)
}

// Len returns the number of streams that wait.
func (q *StreamQueue) Len() int { return len(q.streams) }

func (q *StreamQueue) indexOf(request string) int {
	return slices.IndexFunc(q.streams, func(s QueuedStream) bool { return s.Request == request })
}

// retryAfter spreads the returns of refused callers around the expected wait.
func (q *StreamQueue) retryAfter(wait time.Duration) time.Duration {
	wait = time.Duration((0.75 + 0.5*q.random.Float64()) * float64(wait))
	return min(max(wait, minStreamRetryAfter), maxStreamRetryAfter)
}
