package admission

import (
	"time"
)

const (
	// agingStep is the waiting time that raises a request's priority by one, up to just below
	// urgentPriority. It is short, so that few queued requests are overtaken until they time out.
	agingStep = 100 * time.Millisecond
	// urgentPriority is the lowest priority for which slots are kept free.
	urgentPriority = 7
	// urgentReserveRatio is the fraction of slots that less urgent requests leave free.
	urgentReserveRatio = 0.05
	// lowestPriorityInterval is the number of admissions of which one goes to the lowest queued
	// priority, so that it makes progress however many urgent requests there are.
	lowestPriorityInterval = 20
	// maxCustomerQueueRatio is the fraction of a queue that one customer may occupy.
	maxCustomerQueueRatio = 0.5
)

// waiter is a request in a queue.
type waiter struct {
	request   Request
	arrivedAt time.Time
	// admitted is closed once the request is admitted.
	admitted chan struct{}
	// admittedAt is when the request was admitted; zero while it is queued.
	admittedAt time.Time
}

// effectivePriority returns the request's priority, raised by its waiting time.
func (w *waiter) effectivePriority(now time.Time) int {
	if w.request.Priority >= urgentPriority {
		return w.request.Priority
	}
	return min(w.request.Priority+int(now.Sub(w.arrivedAt)/agingStep), urgentPriority-1)
}

// precedes reports whether w is admitted before other: by effective priority, then by deadline, then
// by arrival.
func (w *waiter) precedes(other *waiter, now time.Time) bool {
	if a, b := w.effectivePriority(now), other.effectivePriority(now); a != b {
		return a > b
	}
	if a, b := w.request.Deadline, other.request.Deadline; !a.Equal(b) {
		return b.IsZero() || (!a.IsZero() && a.Before(b))
	}
	return w.arrivedAt.Before(other.arrivedAt)
}

// queue holds one deployment's running and queued requests at this entry. Its methods are
// deterministic.
type queue struct {
	slots   int
	running int
	waiting []*waiter
	bytes   int
	// admittedCount counts the requests that were admitted from the queue.
	admittedCount int
	// holdTime is the moving average of the time for which a request occupies its slot.
	holdTime time.Duration
}

const initialHoldTime = 5 * time.Second

func newQueue() *queue { return &queue{holdTime: initialHoldTime} }

// slotsFor returns how many slots requests of the priority may occupy.
func (q *queue) slotsFor(priority int) int {
	if priority >= urgentPriority {
		return q.slots
	}
	reserved := int(float64(q.slots) * urgentReserveRatio)
	return max(1, q.slots-reserved)
}

// hasFreeSlot reports whether a request of the priority may run now.
func (q *queue) hasFreeSlot(priority int) bool {
	return q.slots == 0 || q.running < q.slotsFor(priority)
}

// countAhead counts the queued requests that precede one that arrives now.
func (q *queue) countAhead(arrival *waiter, now time.Time) int {
	count := 0
	for _, w := range q.waiting {
		if w.precedes(arrival, now) {
			count++
		}
	}
	return count
}

// expectedWait estimates how long a request that arrives now waits: for its turn by precedence or for
// its turn as the lowest priority, whichever comes first.
func (q *queue) expectedWait(arrival *waiter, now time.Time) time.Duration {
	if q.slots == 0 {
		return 0
	}
	turns := q.countAhead(arrival, now) + 1
	lowerTurns := 1
	for _, w := range q.waiting {
		if w.lowerPriorityThan(arrival) {
			lowerTurns++
		}
	}
	turns = min(turns, lowerTurns*lowestPriorityInterval)
	return time.Duration(float64(turns) / float64(q.slots) * float64(q.holdTime))
}

// lowerPriorityThan orders requests by ascending priority, and within a priority by arrival.
func (w *waiter) lowerPriorityThan(other *waiter) bool {
	if a, b := w.request.Priority, other.request.Priority; a != b {
		return a < b
	}
	return w.arrivedAt.Before(other.arrivedAt)
}

// takeNext removes the first request that may run from the queue and returns it, or nil if there is
// none.
func (q *queue) takeNext(now time.Time) *waiter {
	lowestFirst := q.admittedCount%lowestPriorityInterval == lowestPriorityInterval-1
	best := -1
	for i, w := range q.waiting {
		if !q.hasFreeSlot(w.request.Priority) {
			continue
		}
		if best < 0 || (lowestFirst && w.lowerPriorityThan(q.waiting[best])) || (!lowestFirst && w.precedes(q.waiting[best], now)) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	q.admittedCount++
	w := q.waiting[best]
	q.removeAt(best)
	return w
}

func (q *queue) add(w *waiter) {
	q.waiting = append(q.waiting, w)
	q.bytes += w.request.Bytes
}

func (q *queue) remove(w *waiter) {
	for i := range q.waiting {
		if q.waiting[i] == w {
			q.removeAt(i)
			return
		}
	}
}

func (q *queue) removeAt(i int) {
	q.bytes -= q.waiting[i].request.Bytes
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
}

func (q *queue) countWaiting(customer string) int {
	count := 0
	for _, w := range q.waiting {
		if w.request.Customer == customer {
			count++
		}
	}
	return count
}

// recordHoldTime adds the time for which a request occupied its slot to the moving average.
func (q *queue) recordHoldTime(d time.Duration) {
	const weight = 0.05
	q.holdTime += time.Duration(weight * float64(d-q.holdTime))
}
