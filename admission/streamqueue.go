package admission

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxQueuedStreams bounds the queue's memory: with the longest names, 6 MB.
	maxQueuedStreams = 4096
	// maxExpiredStreams is the number of streams that Expired has not returned yet above which the queue takes no further ones.
	maxExpiredStreams = 512
	// maxStreamNameBytes bounds the request ID, the customer name and the prompt ID of a queued stream.
	maxStreamNameBytes = 512
	// streamPriorities is the number of priorities that are told apart; lower ones count as the lowest.
	streamPriorities = 10
	// maxFirstEventWait is the longest time from admission to the first event: an engine that needs more has no room.
	maxFirstEventWait = 2500 * time.Millisecond
	// maxFirstEventRatio is the part of its objective that a stream keeps for the time from admission to its first event.
	maxFirstEventRatio = 0.625
	// shortFirstEventWait is the time from admission to the first event of a usual prompt at an idle engine, minFirstEventRatio the part of the
	// objective if that is less. A stream with so much time left may be on time, though not at every engine that has room.
	shortFirstEventWait = 1300 * time.Millisecond
	minFirstEventRatio  = 0.325
	// defaultStreamObjective is the objective of streams that have none.
	defaultStreamObjective = 10 * time.Second
	// lateObjectives is how many times its objective a stream may take to its first event; it is not admitted after.
	lateObjectives = 3
	// maxWaitRatio is the part of the time to its deadline that a stream may wait. The rest is for its output: a stream that is admitted
	// 2 s before its deadline has its prompt prefilled and is cut off.
	maxWaitRatio = 0.5
	// raisedInterval is the number of admissions of which one goes to a less urgent stream that has waited for long, so that urgent
	// streams alone can't use all room however many there are.
	raisedInterval = 16
	// minSharedStreams is the number of streams in progress up to which customers count as equal.
	minSharedStreams = 4
	// Retry-After is kept within these bounds.
	minStreamRetryAfter = 200 * time.Millisecond
	maxStreamRetryAfter = 8 * time.Second
	// unknownRateWait is the expected wait while the rate of room isn't known.
	unknownRateWait = time.Second
	// maxRememberedRefusals bounds the memory of refused requests: 500 refusals a second for as long as they may be told to wait.
	maxRememberedRefusals = 4096
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
	// Prompt identifies the prompt, so that a further call of a refused caller is recognized under another request ID; empty when unknown.
	Prompt string
	// Priority is the priority of the stream; 0 is the highest.
	Priority int
	// Arrived is when the stream arrived, by the clock of the queue.
	Arrived time.Time
	// Objective is the time after Arrived at which the first event is late.
	Objective time.Duration
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
}

// StreamQueue orders the streams of one service that wait for room. Streams that can still be on time go first: by priority, then by
// their customer's share (streams in progress, then recent admissions), then by the time left. One admission in raisedInterval goes to a less urgent stream that has
// waited for half of its time. Streams that may only be on time at an idle engine come after the others of their
// priority, and late ones get the room that no other stream needs. It is not safe for concurrent use.
type StreamQueue struct {
	options   StreamQueueOptions
	random    *rand.Rand
	byRequest map[string]*waitingStream
	levels    [streamPriorities]streamLevel
	// late are the streams that may not or can't be on time any more, by priority, then by waitUntil.
	late []*waitingStream
	// expired are the streams that Expired returns next.
	expired []QueuedStream
	// nextChange is the earliest time at which a stream becomes late or may not wait any longer.
	nextChange time.Time
	// admittedSinceRaised counts the admissions for which a raised stream has been passed over.
	admittedSinceRaised int
	rates               roomRates
	refusals            refusedRequests
	uses                customerUses
	usesPruned          time.Time
	// nextReturns are the times until which the returns of refused streams are spread, by priority.
	nextReturns [streamPriorities]time.Time
}

// waitingStream is a stream in a StreamQueue.
type waitingStream struct {
	QueuedStream
	level   int
	late    bool
	addedAt time.Time
	// raisedAt is when the stream may get room ahead of more urgent ones, onTimeUntil when it must be admitted to be on time.
	// Until maybeUntil it may be on time at an idle engine; lateChecked is set once that has passed.
	raisedAt, onTimeUntil, maybeUntil, waitUntil time.Time
	lateChecked                                  bool
}

// streamLevel holds the streams of one priority that can be on time.
type streamLevel struct {
	count     int
	customers []*customerStreams
}

// customerStreams are the streams of one customer and priority, by onTimeUntil.
type customerStreams struct {
	customer string
	use      *customerUse
	streams  []*waitingStream
}

// NewStreamQueue returns an empty StreamQueue.
func NewStreamQueue(options StreamQueueOptions) *StreamQueue {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &StreamQueue{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 2)), byRequest: map[string]*waitingStream{},
		refusals: refusedRequests{notBefore: map[uint64]time.Time{}}, uses: customerUses{},
	}
}

// newWaitingStream returns the stream with the times that limit its wait.
func newWaitingStream(stream QueuedStream) *waitingStream {
	objective := stream.Objective
	if objective <= 0 {
		objective = defaultStreamObjective
	}
	firstEvent := min(maxFirstEventWait, time.Duration(maxFirstEventRatio*float64(objective)))
	w := &waitingStream{
		QueuedStream: stream,
		level:        streamLevelOf(stream.Priority),
		onTimeUntil:  stream.Arrived.Add(objective - firstEvent),
		maybeUntil:   stream.Arrived.Add(objective - min(shortFirstEventWait, time.Duration(minFirstEventRatio*float64(objective)))),
		waitUntil:    stream.Arrived.Add(lateObjectives*objective - firstEvent),
	}
	if !stream.Deadline.IsZero() {
		latest := stream.Arrived.Add(time.Duration(maxWaitRatio * float64(stream.Deadline.Sub(stream.Arrived))))
		if latest.Before(w.waitUntil) {
			w.waitUntil = latest
		}
		if latest.Before(w.maybeUntil) {
			w.maybeUntil = latest
		}
		if latest.Before(w.onTimeUntil) {
			w.onTimeUntil = latest
		}
	}
	w.raisedAt = stream.Arrived.Add(w.onTimeUntil.Sub(stream.Arrived) / 2)
	return w
}

func streamLevelOf(priority int) int { return min(max(priority, 0), streamPriorities-1) }

// Add adds a stream to the queue, or refuses it at once with the time after which room is likely. A stream that is queued already
// keeps its place.
func (q *StreamQueue) Add(stream QueuedStream, streamsOf func(customer string) int) (refused bool, retryAfter time.Duration) {
	now := q.advance()
	if _, queued := q.byRequest[stream.Request]; queued {
		return false, 0
	}
	w := newWaitingStream(stream)
	if max(len(stream.Request), len(stream.Customer), len(stream.Prompt)) > maxStreamNameBytes {
		return true, q.nextRetryAfter(w.level, now, minStreamRetryAfter)
	}
	ahead := q.streamsAhead(w, now, streamsOf)
	if len(q.byRequest) > 0 {
		if left, early := q.refusals.timeLeft(stream, now); early {
			return true, min(max(left, minStreamRetryAfter), maxStreamRetryAfter)
		}
	}
	wait := q.expectedWait(ahead, w.level)
	tooLong := now.Add(wait).After(w.onTimeUntil) && ahead.urgent+ahead.equal > 0
	if tooLong || now.After(w.waitUntil) || !q.makeRoomFor(w) {
		retryAfter = q.nextRetryAfter(w.level, now, wait)
		q.refusals.add(stream, now.Add(retryAfter))
		return true, retryAfter
	}
	w.addedAt = now
	q.byRequest[stream.Request] = w
	if now.After(w.onTimeUntil) {
		q.addLate(w)
	} else {
		q.addOnTime(w)
	}
	return false, 0
}

// makeRoomFor reports whether the queue can hold one stream more, for which a full queue gives up a late or less urgent one.
func (q *StreamQueue) makeRoomFor(stream *waitingStream) bool {
	if len(q.expired) >= maxExpiredStreams {
		return false
	}
	if len(q.byRequest) < maxQueuedStreams {
		return true
	}
	var last *waitingStream
	if len(q.late) > 0 {
		last = q.late[len(q.late)-1]
	} else {
		for level := streamPriorities - 1; level > stream.level && last == nil; level-- {
			for _, customer := range q.levels[level].customers {
				if s := customer.streams[len(customer.streams)-1]; last == nil || s.onTimeUntil.After(last.onTimeUntil) {
					last = s
				}
			}
		}
	}
	if last == nil {
		return false
	}
	q.remove(last)
	q.expired = append(q.expired, last.QueuedStream)
	return true
}

func (q *StreamQueue) addOnTime(stream *waitingStream) {
	level := &q.levels[stream.level]
	i := slices.IndexFunc(level.customers, func(c *customerStreams) bool { return c.customer == stream.Customer })
	if i < 0 {
		i = len(level.customers)
		level.customers = append(level.customers, &customerStreams{
			customer: stream.Customer, use: q.useOf(stream.level, stream.Customer, stream.addedAt),
		})
	}
	customer := level.customers[i]
	at, _ := slices.BinarySearchFunc(customer.streams, stream.onTimeUntil, func(s *waitingStream, until time.Time) int {
		if s.onTimeUntil.After(until) {
			return 1
		}
		return -1
	})
	customer.streams = slices.Insert(customer.streams, at, stream)
	level.count++
	q.noteChange(stream.onTimeUntil)
}

func (q *StreamQueue) addLate(stream *waitingStream) {
	stream.late = true
	at, _ := slices.BinarySearchFunc(q.late, stream, func(s, added *waitingStream) int {
		if order := cmp.Or(cmp.Compare(s.level, added.level), s.waitUntil.Compare(added.waitUntil)); order != 0 {
			return order
		}
		return -1
	})
	q.late = slices.Insert(q.late, at, stream)
	q.noteChange(stream.nextLateChange())
}

// nextLateChange returns when a late stream is given up, or may be.
func (w *waitingStream) nextLateChange() time.Time {
	if w.lateChecked {
		return w.waitUntil
	}
	return w.maybeUntil
}

func (q *StreamQueue) noteChange(at time.Time) {
	if q.nextChange.IsZero() || at.Before(q.nextChange) {
		q.nextChange = at
	}
}

// remove takes the stream out of the queue.
func (q *StreamQueue) remove(stream *waitingStream) {
	delete(q.byRequest, stream.Request)
	if stream.late {
		i := slices.Index(q.late, stream)
		q.late = slices.Delete(q.late, i, i+1)
		return
	}
	q.removeOnTime(stream)
}

func (q *StreamQueue) removeOnTime(stream *waitingStream) {
	level := &q.levels[stream.level]
	i := slices.IndexFunc(level.customers, func(c *customerStreams) bool { return c.customer == stream.Customer })
	customer := level.customers[i]
	at := slices.Index(customer.streams, stream)
	customer.streams = slices.Delete(customer.streams, at, at+1)
	level.count--
	if len(customer.streams) == 0 {
		level.customers = slices.Delete(level.customers, i, i+1)
	}
}

// streamCounts are numbers of waiting streams: more urgent ones, and those of one priority.
type streamCounts struct{ urgent, equal int }

// maybeOnTime returns the first stream of the level that may be on time at an idle engine, nil for none.
func (q *StreamQueue) maybeOnTime(level int, now time.Time, exclude []*waitingStream) *waitingStream {
	for _, stream := range q.late {
		if stream.level > level {
			break
		}
		if stream.level == level && !now.After(stream.maybeUntil) && !slices.Contains(exclude, stream) {
			return stream
		}
	}
	return nil
}

// RecordPlaced counts a stream that got room without being added to the queue, so that the rate of room is known when streams begin to
// wait.
func (q *StreamQueue) RecordPlaced(priority int, customer string) {
	now := q.advance()
	level := streamLevelOf(priority)
	q.rates.add(level, false)
	q.useOf(level, customer, now).count(now)
}

// Remove removes a stream: admitted if it got room, otherwise its caller has disconnected.
func (q *StreamQueue) Remove(request string, admitted bool) {
	now := q.advance()
	stream, queued := q.byRequest[request]
	if !queued {
		return
	}
	if admitted {
		level := stream.level
		if stream.late {
			level = lateLevel
		}
		q.rates.add(level, now.After(stream.addedAt))
		q.useOf(stream.level, stream.Customer, now).count(now)
		q.countAdmission(stream, now)
	}
	q.remove(stream)
}

// Expired removes and returns the streams that can no longer be served.
func (q *StreamQueue) Expired() (expired []QueuedStream, retryAfter time.Duration) {
	q.advance()
	if len(q.expired) == 0 {
		return nil, 0
	}
	expired, q.expired = q.expired, nil
	retryAfter = q.RetryAfter(expired[0])
	for _, stream := range expired[1:] {
		q.refusals.add(stream, q.options.Now().Add(retryAfter))
	}
	return expired, retryAfter
}

// moveLate moves the streams that can no longer be on time behind the others, and those that may not wait any longer out of the queue.
func (q *StreamQueue) moveLate(now time.Time) {
	if q.nextChange.IsZero() || !now.After(q.nextChange) {
		return
	}
	for level := range q.levels {
		var moved []*waitingStream
		for _, customer := range q.levels[level].customers {
			for _, stream := range customer.streams {
				if !now.After(stream.onTimeUntil) {
					break
				}
				moved = append(moved, stream)
			}
		}
		for _, stream := range moved {
			q.removeOnTime(stream)
			q.addLate(stream)
		}
	}
	keptLate := 0
	q.late = slices.DeleteFunc(q.late, func(stream *waitingStream) bool {
		ended := now.After(stream.waitUntil)
		if !stream.lateChecked && now.After(stream.maybeUntil) {
			stream.lateChecked = true
			ended = ended || now.Add(q.expectedLateWait(keptLate)).After(stream.waitUntil)
		}
		if ended {
			q.expire(stream)
		} else {
			keptLate++
		}
		return ended
	})
	q.findNextChange()
}

// expire makes Expired return the stream.
func (q *StreamQueue) expire(stream *waitingStream) {
	q.expired = append(q.expired, stream.QueuedStream)
	delete(q.byRequest, stream.Request)
}

func (q *StreamQueue) findNextChange() {
	q.nextChange = time.Time{}
	for level := range q.levels {
		for _, customer := range q.levels[level].customers {
			q.noteChange(customer.streams[0].onTimeUntil)
		}
	}
	for _, stream := range q.late {
		q.noteChange(stream.nextLateChange())
	}
}

// advance moves the clock of the estimates and returns the time.
func (q *StreamQueue) advance() time.Time {
	now := q.options.Now()
	q.rates.advance(now, len(q.byRequest) > 0)
	q.moveLate(now)
	return now
}

// Len returns the number of streams that wait.
func (q *StreamQueue) Len() int { return len(q.byRequest) }

// refusalKey identifies the work of a stream over several calls.
func refusalKey(stream QueuedStream) uint64 {
	if stream.Prompt == "" {
		return xxhash.Sum64String(stream.Request)
	}
	return xxhash.Sum64String(stream.Customer + "\x00" + stream.Prompt)
}
