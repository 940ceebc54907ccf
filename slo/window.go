package slo

import "time"

// bucketLength is the time span of one bucket; every window is a multiple of it.
const bucketLength = 30 * time.Second

// longestWindow is the time span that a countRing covers.
const longestWindow = 6 * time.Hour

const bucketCount = int(longestWindow / bucketLength)

// Counts are the numbers of all events and of good events of one objective.
type Counts struct {
	Total int64 `json:"total"`
	Good  int64 `json:"good"`
}

// Add returns the sum of c and other.
func (c Counts) Add(other Counts) Counts {
	return Counts{Total: c.Total + other.Total, Good: c.Good + other.Good}
}

// countRing holds the counts of the last longestWindow in a ring of buckets. Buckets are numbered
// from the Unix epoch; bucket n is stored at index n modulo bucketCount.
type countRing struct {
	buckets [bucketCount]Counts
	// newest is the highest bucket number up to which the ring has been advanced.
	newest int64
}

func bucketNumber(at time.Time) int64 { return at.UnixNano() / int64(bucketLength) }

// advance makes number the newest bucket and clears the buckets after the previous newest one. It
// does nothing if number is not newer.
func (r *countRing) advance(number int64) {
	if number <= r.newest {
		return
	}
	first := max(r.newest+1, number-int64(bucketCount)+1)
	for n := first; n <= number; n++ {
		r.buckets[n%int64(bucketCount)] = Counts{}
	}
	r.newest = number
}

// add counts an event. An event older than the ring covers, which occurs when the clock was set back
// by more than longestWindow, is dropped.
func (r *countRing) add(at time.Time, good bool) {
	number := bucketNumber(at)
	r.advance(number)
	if number <= r.newest-int64(bucketCount) {
		return
	}
	bucket := &r.buckets[number%int64(bucketCount)]
	bucket.Total++
	if good {
		bucket.Good++
	}
}

// sum returns the counts of the window that ends at now. The current, incomplete bucket counts as one
// of the window's buckets.
func (r *countRing) sum(now time.Time, window time.Duration) Counts {
	r.advance(bucketNumber(now))
	var total Counts
	for back := range int64(window / bucketLength) {
		total = total.Add(r.buckets[(r.newest-back)%int64(bucketCount)])
	}
	return total
}
