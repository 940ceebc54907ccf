package admission

import (
	"cmp"
	"maps"
	"math"
	"math/bits"
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

// streamsAhead counts the streams that are admitted before the stream.
func (q *StreamQueue) streamsAhead(stream *waitingStream, now time.Time, streamsOf func(customer string) int) streamCounts {
	var ahead streamCounts
	for level := range stream.level {
		ahead.urgent += q.levels[level].count
	}
	own := share(q.useOf(stream.level, stream.Customer, now), streamsOf(stream.Customer), now)
	for _, customer := range q.levels[stream.level].customers {
		switch other := share(customer.use, streamsOf(customer.customer), now); {
		case other < own:
			ahead.equal += len(customer.streams)
		case other == own:
			earlier, _ := slices.BinarySearchFunc(customer.streams, stream.onTimeUntil, func(s *waitingStream, until time.Time) int {
				if s.onTimeUntil.After(until) {
					return 1
				}
				return -1
			})
			ahead.equal += earlier
		}
	}
	return ahead
}

// expectedWait returns the time until a stream behind the others gets room, by the rate at which room became free.
func (q *StreamQueue) expectedWait(ahead streamCounts, level int) time.Duration {
	rate, left := q.rates.perSecond(level)
	if rate == 0 || ahead.urgent+ahead.equal == 0 {
		return 0
	}
	if level < lateLevel {
		left = max(left, rate/raisedInterval)
	}
	seconds := float64(ahead.urgent)/rate + float64(ahead.equal)/left
	return time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
}

// RetryAfter returns the time after which a stream that Expired returned may find room. It differs from call to call, so that the
// callers of several expired streams don't return at once.
func (q *StreamQueue) RetryAfter(stream QueuedStream) time.Duration {
	now := q.advance()
	level := streamLevelOf(stream.Priority)
	var ahead streamCounts
	for i := range level {
		ahead.urgent += q.levels[i].count
	}
	ahead.equal = q.levels[level].count
	after := q.nextRetryAfter(level, now, q.expectedWait(ahead, level))
	q.refusals.add(stream, now.Add(after))
	return after
}

// nextRetryAfter spreads the returns of refused streams: they follow each other at the rate at which streams of the priority get room,
// and those that would return after maxStreamRetryAfter are spread over all of it.
func (q *StreamQueue) nextRetryAfter(level int, now time.Time, wait time.Duration) time.Duration {
	const jitter = 0.25
	rate, left := q.rates.perSecond(level)
	if rate == 0 {
		wait = max(wait, unknownRateWait)
	}
	next := now.Add(wait)
	if q.nextReturns[level].After(next) {
		next = q.nextReturns[level]
	}
	after := next.Sub(now)
	if (1+jitter)*after.Seconds() > maxStreamRetryAfter.Seconds() {
		after = min(wait, maxStreamRetryAfter/2)
		return max(after+time.Duration(q.random.Float64()*float64(maxStreamRetryAfter-after)), minStreamRetryAfter)
	}
	if rate > 0 {
		q.nextReturns[level] = next.Add(time.Duration(float64(time.Second) / max(left, rate/raisedInterval)))
	}
	return max(time.Duration((1-jitter+2*jitter*q.random.Float64())*float64(after)), minStreamRetryAfter)
}

// Next returns the stream that gets the free room, without removing it; ok is false if no stream is waiting.
func (q *StreamQueue) Next(streamsOf func(customer string) int) (stream QueuedStream, ok bool) {
	return q.NextFitting(streamsOf, nil)
}

// maxNextTries bounds the streams that NextFitting tries.
const maxNextTries = 8

// NextFitting returns the first stream in order, out of a few, for which fits is true; nil accepts all. A prompt that is too long for the
// free room doesn't hold up shorter ones.
func (q *StreamQueue) NextFitting(
	streamsOf func(customer string) int, fits func(stream QueuedStream) bool,
) (stream QueuedStream, ok bool) {
	now := q.advance()
	var tried []*waitingStream
	for len(tried) < maxNextTries {
		next := q.next(now, streamsOf, tried)
		if next == nil {
			break
		}
		if fits == nil || fits(next.QueuedStream) {
			return next.QueuedStream, true
		}
		tried = append(tried, next)
	}
	return QueuedStream{}, false
}

// next returns the first stream in order that isn't excluded, nil for none.
func (q *StreamQueue) next(now time.Time, streamsOf func(customer string) int, exclude []*waitingStream) *waitingStream {
	if q.admittedSinceRaised >= raisedInterval-1 {
		if raised := q.raisedStream(now, streamsOf, exclude); raised != nil {
			return raised
		}
	}
	for level := range q.levels {
		if first := q.first(level, now, streamsOf, exclude, false); first != nil {
			return first
		}
		if maybe := q.maybeOnTime(level, now, exclude); maybe != nil {
			return maybe
		}
	}
	for _, stream := range q.late {
		if !slices.Contains(exclude, stream) {
			return stream
		}
	}
	return nil
}

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

// first returns the stream of the level, or of its raised streams, that is admitted first; nil for none.
func (q *StreamQueue) first(
	level int, now time.Time, streamsOf func(customer string) int, exclude []*waitingStream, onlyRaised bool,
) *waitingStream {
	var best *waitingStream
	lowest := 0
	for _, customer := range q.levels[level].customers {
		taken := share(customer.use, streamsOf(customer.customer), now)
		if best != nil && taken > lowest {
			continue
		}
		for _, stream := range customer.streams {
			if slices.Contains(exclude, stream) || onlyRaised && now.Before(stream.raisedAt) {
				continue
			}
			if best == nil || taken < lowest || stream.onTimeUntil.Before(best.onTimeUntil) {
				best, lowest = stream, taken
			}
			break
		}
	}
	return best
}

// raisedStream returns the raised stream with the least time left; nil if the most urgent streams are all that wait.
func (q *StreamQueue) raisedStream(now time.Time, streamsOf func(customer string) int, exclude []*waitingStream) *waitingStream {
	var best *waitingStream
	for level := q.mostUrgent(now) + 1; level < streamPriorities; level++ {
		first := q.first(level, now, streamsOf, exclude, true)
		if first != nil && (best == nil || first.onTimeUntil.Before(best.onTimeUntil)) {
			best = first
		}
	}
	return best
}

// RecordPlaced counts a stream that got room without being added to the queue, so that the rate of room is known when streams begin to
// wait.
func (q *StreamQueue) RecordPlaced(priority int, customer string) {
	now := q.advance()
	level := streamLevelOf(priority)
	q.rates.add(level, false)
	q.useOf(level, customer, now).count(now)
}

// Remove removes a stream: admitted if it got room, otherwise its caller is gone.
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

// countAdmission counts the admissions for which a raised stream is passed over.
func (q *StreamQueue) countAdmission(admitted *waitingStream, now time.Time) {
	none := func(string) int { return 0 }
	switch raised := q.raisedStream(now, none, nil); {
	case raised == nil:
	case admitted.level == q.mostUrgent(now):
		q.admittedSinceRaised++
	default:
		q.admittedSinceRaised = 0
	}
}

// mostUrgent returns the highest priority of the streams that can or may be on time.
func (q *StreamQueue) mostUrgent(now time.Time) int {
	for level := range q.levels {
		if q.levels[level].count > 0 || q.maybeOnTime(level, now, nil) != nil {
			return level
		}
	}
	return streamPriorities
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

// expectedLateWait returns the time until a stream behind all streams on time and so many late ones gets room.
func (q *StreamQueue) expectedLateWait(late int) time.Duration {
	ahead := streamCounts{equal: late}
	for level := range q.levels {
		ahead.urgent += q.levels[level].count
	}
	return q.expectedWait(ahead, lateLevel)
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

const (
	// rateWindow is the time over which the rate of room is measured, in rateBuckets parts.
	rateWindow  = 5 * time.Second
	rateBuckets = 50
)

// roomRates measures the rate at which room becomes free while streams wait. Room that nobody waits for isn't seen.
type roomRates struct {
	buckets [rateBuckets]rateBucket
	current int
	updated time.Time
	total   rateBucket
}

// lateLevel is the place of late streams, behind those of all priorities.
const lateLevel = streamPriorities

type rateBucket struct {
	// busy is the time for which streams waited.
	busy time.Duration
	// admitted are all streams that got room, by priority, with late streams at lateLevel; contested are those of them that had waited.
	admitted  [streamPriorities + 1]int
	contested int
}

// advance moves the window to now; busy is set if streams have been waiting since the last call.
func (r *roomRates) advance(now time.Time, busy bool) {
	const width = rateWindow / rateBuckets
	if r.updated.IsZero() || now.Sub(r.updated) > rateWindow {
		known := !r.updated.IsZero()
		*r = roomRates{updated: now}
		if !known || !busy {
			return
		}
		r.updated = now.Add(-rateWindow + rateWindow/rateBuckets)
	}
	for r.updated.Before(now) {
		end := r.updated.Truncate(width).Add(width)
		until := end
		if now.Before(end) {
			until = now
		}
		if busy {
			r.buckets[r.current].busy += until.Sub(r.updated)
			r.total.busy += until.Sub(r.updated)
		}
		r.updated = until
		if !until.Before(end) {
			r.current = (r.current + 1) % rateBuckets
			old := &r.buckets[r.current]
			r.total.busy -= old.busy
			r.total.contested -= old.contested
			for level, count := range old.admitted {
				r.total.admitted[level] -= count
			}
			*old = rateBucket{}
		}
	}
}

func (r *roomRates) add(level int, waited bool) {
	for _, bucket := range []*rateBucket{&r.buckets[r.current], &r.total} {
		bucket.admitted[level]++
		if waited {
			bucket.contested++
		}
	}
}

// perSecond returns the rate at which room becomes free, and the part of it that more urgent streams leave; 0 if it isn't known. Streams
// that got room without waiting show that there was at least so much of it. One admission more is assumed than was seen, so that
// the rate isn't 0 after a short time without room.
func (r *roomRates) perSecond(level int) (rate, left float64) {
	if r.total.busy <= 0 {
		return 0, 0
	}
	admitted, urgent := 0, 0
	for l, count := range r.total.admitted {
		admitted += count
		if l < level {
			urgent += count
		}
	}
	rate = max(float64(r.total.contested+1)/r.total.busy.Seconds(), float64(admitted)/rateWindow.Seconds())
	return rate, rate * float64(admitted-urgent+1) / float64(admitted+1)
}

// refusedRequests remembers until when refused requests were told to wait, so that a request that returns before gains nothing.
type refusedRequests struct {
	notBefore map[uint64]time.Time
	// order are the keys of notBefore, the oldest at position next.
	order []uint64
	next  int
}

// refusalKey identifies the work of a stream over several calls.
func refusalKey(stream QueuedStream) uint64 {
	if stream.Prompt == "" {
		return xxhash.Sum64String(stream.Request)
	}
	return xxhash.Sum64String(stream.Customer + "\x00" + stream.Prompt)
}

func (r *refusedRequests) add(stream QueuedStream, notBefore time.Time) {
	key := refusalKey(stream)
	if _, known := r.notBefore[key]; !known {
		if len(r.order) < maxRememberedRefusals {
			r.order = append(r.order, key)
		} else {
			delete(r.notBefore, r.order[r.next])
			r.order[r.next] = key
			r.next = (r.next + 1) % maxRememberedRefusals
		}
	}
	r.notBefore[key] = notBefore
}

// timeLeft returns for how much longer the stream's caller was told to wait; early is false if it may return.
func (r *refusedRequests) timeLeft(stream QueuedStream, now time.Time) (left time.Duration, early bool) {
	notBefore, known := r.notBefore[refusalKey(stream)]
	return notBefore.Sub(now), known && now.Before(notBefore)
}

const (
	// useDecay is the time in which admissions of a customer lose their weight: several times as long as a caller stays away after a
	// refusal, so that its customer catches up.
	useDecay = 30 * time.Second
	// maxCustomerUses bounds the customers and priorities whose admissions are counted.
	maxCustomerUses = 4096
	// useStep is the ratio of admissions between two steps of the order among customers; within a step the time left decides.
	useStep = 1.05
)

// customerUses counts the recent admissions of customers by priority. A customer's streams in progress don't tell how many of them are
// of the priority for which customers compete.
type customerUses map[customerLevel]*customerUse

type customerLevel struct {
	customer string
	level    int
}

type customerUse struct {
	admitted float64
	at       time.Time
	// step is the use in steps, as of steppedAt.
	step      int
	steppedAt time.Time
}

// decayed returns the weight of the admissions at now.
func (u *customerUse) decayed(now time.Time) float64 {
	return u.admitted * math.Exp(-now.Sub(u.at).Seconds()/useDecay.Seconds())
}

func (u *customerUse) count(now time.Time) {
	u.admitted, u.at = u.decayed(now)+1, now
	u.steppedAt = time.Time{}
}

// steps returns the use in steps of useStep. It is calculated again after an admission, or when it may have changed by decay.
func (u *customerUse) steps(now time.Time) int {
	if now.Sub(u.steppedAt) > useDecay/100 {
		u.step, u.steppedAt = int(math.Log1p(u.decayed(now)/minSharedStreams)/math.Log(useStep)), now
	}
	return u.step
}

// useOf returns the use of the customer and priority.
func (q *StreamQueue) useOf(level int, customer string, now time.Time) *customerUse {
	key := customerLevel{customer, level}
	if use, known := q.uses[key]; known {
		return use
	}
	if len(q.uses) >= maxCustomerUses && now.Sub(q.usesPruned) >= time.Second {
		q.usesPruned = now
		maps.DeleteFunc(q.uses, func(_ customerLevel, use *customerUse) bool { return use.decayed(now) < 0.1 })
	}
	use := &customerUse{at: now}
	if len(q.uses) < maxCustomerUses && len(customer) <= maxStreamNameBytes {
		q.uses[key] = use
	}
	return use
}

// share returns the customer's share of the room: the customer with less of it goes first. The streams in progress count in powers of
// two, since they are those of all priorities and change while streams wait.
func share(use *customerUse, streams int, now time.Time) int {
	return bits.Len(uint(max(streams, 0)/minSharedStreams))<<16 + use.steps(now)
}
