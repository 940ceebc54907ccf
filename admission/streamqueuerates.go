package admission

import (
	"maps"
	"math"
	"math/bits"
	"time"
)

const (
	// rateWindow is the time over which the rate of room is measured, in rateBuckets parts.
	rateWindow  = 5 * time.Second
	rateBuckets = 50
)

// roomRates measures the rate at which room becomes free while streams wait. Room for which no stream waits isn't seen.
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

// customerUses counts the recent admissions of customers by priority. A customer's streams in progress don't show how many of them are
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
