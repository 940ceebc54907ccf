package admission

import (
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/generation"
)

// SharedRetryLimits limit the retries of all entries together. A retry is an attempt beyond the first
// of a request.
type SharedRetryLimits struct {
	// Ratio is the maximum ratio of retries to requests of a service within a window.
	Ratio float64
	// Slack is the number of retries that is always allowed within a window, beyond the ratio.
	Slack float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration
}

const (
	// retryBuckets is the number of buckets in a window; the oldest one still counts as a whole.
	retryBuckets = 10
	// ratioMargin is the fraction of the ratio that an entry uses: requests and retries fall into
	// different windows, and some retries are seen by the target only.
	ratioMargin = 0.9
	// slackMargin is the fraction of the slack that an entry uses, for the same reasons.
	slackMargin = 0.8
)

// SharedRetryBudget is this entry's part of the retry budget of each service: a ratio of its own
// requests, its even part of the slack, and, as far as it is known, some of what all entries together
// have left. The last part serves the loss of many targets at once, which affects entries unevenly.
// SharedRetryBudget is safe for concurrent use.
type SharedRetryBudget struct {
	limits  SharedRetryLimits
	entries func() int
	now     func() time.Time

	mu       sync.Mutex
	services map[string]*retryWindow
}

// NewSharedRetryBudget returns an unused budget. entries returns the number of entries that share the
// slack, or an upper limit of it; now is the clock, nil means time.Now.
func NewSharedRetryBudget(limits SharedRetryLimits, entries func() int, now func() time.Time) *SharedRetryBudget {
	if now == nil {
		now = time.Now
	}
	return &SharedRetryBudget{limits: limits, entries: entries, now: now, services: map[string]*retryWindow{}}
}

// Earn credits the budget for a request to a service.
func (s *SharedRetryBudget) Earn(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window(service).advance(s.now()).requests++
}

// urgencyRatios are the fractions of the budget that retries of each urgency may use up.
var urgencyRatios = map[generation.RetryUrgency]float64{
	generation.RetryResume:  1,
	generation.RetryRestart: 0.85,
	generation.RetryPrefill: 0.7,
}

// Spend takes one retry from the budget. It returns false if none is left for the urgency.
func (s *SharedRetryBudget) Spend(service string, urgency generation.RetryUrgency) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	window := s.window(service)
	bucket := window.advance(s.now())
	requests, retries := window.sums()
	part := s.ownPart(requests)
	if left, known := s.remaining(window); known {
		if left < 1 {
			return false
		}
		part += maxSharedRatio * left
	}
	if float64(retries+1) > max(1, urgencyRatios[urgency]*part) {
		return false
	}
	bucket.retries++
	window.retriesSinceTotal++
	return true
}

// Refund returns a retry that has not left this process to the budget.
func (s *SharedRetryBudget) Refund(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	bucket := s.window(service).advance(s.now())
	bucket.retries = max(0, bucket.retries-1)
	s.window(service).retriesSinceTotal--
}

// ownPart returns how many retries the entry may make whatever the others do.
func (s *SharedRetryBudget) ownPart(requests int) float64 {
	slack := s.limits.Slack * slackMargin / float64(max(1, s.entries()))
	return ratioMargin*s.limits.Ratio*float64(requests) + max(1, slack)
}

const (
	// maxTotalAge is the age up to which the totals of all entries are used.
	maxTotalAge = 2 * time.Second
	// maxSharedRatio is the fraction of what all entries have left that one entry may take between two
	// totals.
	maxSharedRatio = 0.25
	// sharedMargin is the fraction of the whole budget that entries may take in this way.
	sharedMargin = 0.9
)

// remaining returns how many retries all entries together have left, as far as this entry knows.
func (s *SharedRetryBudget) remaining(window *retryWindow) (retries float64, known bool) {
	if window.totalAt.IsZero() || s.now().Sub(window.totalAt) > maxTotalAge {
		return 0, false
	}
	whole := s.limits.Ratio*float64(window.total.Requests) + s.limits.Slack
	return sharedMargin*whole - float64(window.total.Retries+window.retriesSinceTotal), true
}

func (s *SharedRetryBudget) window(service string) *retryWindow {
	window := s.services[service]
	if window == nil {
		window = &retryWindow{step: s.limits.Window / retryBuckets}
		s.services[service] = window
	}
	return window
}

// retryWindow counts requests and retries in a ring of buckets.
type retryWindow struct {
	step    time.Duration
	buckets [retryBuckets + 1]retryBucket
	current int64
	// total is the use of all entries as of totalAt.
	total   RetryUse
	totalAt time.Time
	// retriesSinceTotal counts this entry's own retries since then.
	retriesSinceTotal int
}

type retryBucket struct{ requests, retries int }

// advance moves the ring forward to now and returns the current bucket.
func (w *retryWindow) advance(now time.Time) *retryBucket {
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

func (w *retryWindow) sums() (requests, retries int) {
	for _, bucket := range w.buckets {
		requests += bucket.requests
		retries += bucket.retries
	}
	return requests, retries
}
