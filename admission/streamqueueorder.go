package admission

import (
	"slices"
	"time"
)

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

// maxNextTries bounds the streams that NextFitting tries: several times as many prompts as callers of long ones make wait, since all that
// wait behind them would get no room.
const maxNextTries = 64

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

// expectedLateWait returns the time until a stream behind all streams on time and so many late ones gets room.
func (q *StreamQueue) expectedLateWait(late int) time.Duration {
	ahead := streamCounts{equal: late}
	for level := range q.levels {
		ahead.urgent += q.levels[level].count
	}
	return q.expectedWait(ahead, lateLevel)
}
