package admission

import (
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/generation"
)

// SharedRetryLimits bound the sends beyond the first of all entries together.
type SharedRetryLimits struct {
	// Ratio is the part of a service's requests that may be sent again within a window.
	Ratio float64
	// Slack is the number of such sends that is always allowed within a window.
	Slack float64
	// Window is the span over which both count.
	Window time.Duration
}

const (
	// retryBuckets divide a window; the oldest one still counts as a whole.
	retryBuckets = 10
	// ratioMargin is the part of the ratio that an entry uses: requests and sends fall into
	// different windows, and some retries are seen by the target only.
	ratioMargin = 0.9
	// slackMargin is the same for the slack.
	slackMargin = 0.8
)

// SharedRetries keeps this entry's part of the retry budget of each service: a share of its own
// requests, its even part of the slack, and some of what all entries together have left, as far as
// that is known. It answers the loss of many targets at once, which hits entries unevenly. It is safe
// for concurrent use.
type SharedRetries struct {
	limits  SharedRetryLimits
	entries func() int
	now     func() time.Time

	mu       sync.Mutex
	services map[string]*retryWindow
}

// NewSharedRetries returns an unused budget. entries returns the number of entries that share the
// slack, or a bound above it; now is the clock, nil means time.Now.
func NewSharedRetries(limits SharedRetryLimits, entries func() int, now func() time.Time) *SharedRetries {
	if now == nil {
		now = time.Now
	}
	return &SharedRetries{limits: limits, entries: entries, now: now, services: map[string]*retryWindow{}}
}

// Earn counts a request for a service.
func (s *SharedRetries) Earn(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window(service).at(s.now()).requests++
}

// urgencyShares are the parts of the budget that sends of an urgency may use up.
var urgencyShares = map[generation.RetryUrgency]float64{
	generation.RetryResume:  1,
	generation.RetryRestart: 0.85,
	generation.RetryReread:  0.7,
}

// Spend takes a send beyond the first; false when there is none left for its urgency.
func (s *SharedRetries) Spend(service string, urgency generation.RetryUrgency) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	window := s.window(service)
	bucket := window.at(s.now())
	requests, sends := window.sums()
	part := s.evenPart(requests)
	if left, known := s.left(window); known {
		if left < 1 {
			return false
		}
		part += commonShare * left
	}
	if float64(sends+1) > max(1, urgencyShares[urgency]*part) {
		return false
	}
	bucket.sends++
	window.sinceTotal++
	return true
}

// Refund gives a send back that has not left this process.
func (s *SharedRetries) Refund(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	bucket := s.window(service).at(s.now())
	bucket.sends = max(0, bucket.sends-1)
	s.window(service).sinceTotal--
}

// evenPart is what the entry may send again whatever the others do.
func (s *SharedRetries) evenPart(requests int) float64 {
	slack := s.limits.Slack * slackMargin / float64(max(1, s.entries()))
	return ratioMargin*s.limits.Ratio*float64(requests) + max(1, slack)
}

const (
	// totalAge is how old the totals of all entries may be.
	totalAge = 2 * time.Second
	// commonShare is the part of what all have left that one entry may take between two totals.
	commonShare = 0.25
	// commonMargin is the part of the whole budget that is given out in common.
	commonMargin = 0.9
)

// left is what all entries together have left, as far as this one knows.
func (s *SharedRetries) left(window *retryWindow) (sends float64, known bool) {
	if window.totalAt.IsZero() || s.now().Sub(window.totalAt) > totalAge {
		return 0, false
	}
	whole := s.limits.Ratio*float64(window.total.Requests) + s.limits.Slack
	return commonMargin*whole - float64(window.total.Sends+window.sinceTotal), true
}

func (s *SharedRetries) window(service string) *retryWindow {
	window := s.services[service]
	if window == nil {
		window = &retryWindow{step: s.limits.Window / retryBuckets}
		s.services[service] = window
	}
	return window
}

// retryWindow counts requests and sends in a ring of buckets.
type retryWindow struct {
	step    time.Duration
	buckets [retryBuckets + 1]retryBucket
	current int64
	// total is the use of all entries as of totalAt.
	total   RetryUse
	totalAt time.Time
	// sinceTotal counts the entry's own sends since then.
	sinceTotal int
}

type retryBucket struct{ requests, sends int }

// at advances the ring and returns the bucket of now.
func (w *retryWindow) at(now time.Time) *retryBucket {
	step := now.UnixNano() / int64(max(1, w.step))
	for w.current < step {
		if step-w.current > int64(len(w.buckets)) {
			w.buckets = [retryBuckets + 1]retryBucket{}
			w.current = step
			break
		}
		w.current++
		w.buckets[w.current%int64(len(w.buckets))] = retryBucket{}
	}
	return &w.buckets[w.current%int64(len(w.buckets))]
}

func (w *retryWindow) sums() (requests, sends int) {
	for _, bucket := range w.buckets {
		requests += bucket.requests
		sends += bucket.sends
	}
	return requests, sends
}
