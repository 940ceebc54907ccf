package admission

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/defect"
	"github.com/azurebarrow/azurebarrow/membership"
)

const (
	// extraHolders and holdersPerLimit determine how many entries share a limit: each holder may send one request
	// at once, and all together must not exceed the limit by more than half and a few requests within 4 s. Two
	// requests are left for entries whose views of the fleet differ.
	extraHolders    = 3
	holdersPerLimit = 1.5
	// limitBurst is the time for which a holder's unused share accumulates, beside its first request.
	limitBurst = 250 * time.Millisecond
	// minTargetLimit is the lowest limit that is kept: some request must find out when a target takes more.
	minTargetLimit = 0.1
	// maxTargetLimit is far above what a target serves: a higher limit is none. Programs write the largest number of a
	// type for "no limit", and counts that follow from a limit must fit an integer.
	maxTargetLimit = 1e9
	// limitRaiseDelay is how long a target must have named no lower limit before a higher one, or none, is
	// believed: its answers may contradict each other or overtake each other.
	limitRaiseDelay = 500 * time.Millisecond
	// minLimitChange is the smallest relative change of a limit that the peers are told.
	minLimitChange = 0.05
	// minLimitRetryAfter and maxLimitRetryAfter limit the Retry-After of a request for which no target has room.
	minLimitRetryAfter = 100 * time.Millisecond
	maxLimitRetryAfter = 2 * time.Second
)

// TargetLimit is the number of requests a second that a target takes from all entries together.
type TargetLimit struct {
	Target string
	// PerSecond is the limit; 0 if the target names none any more.
	PerSecond float64
	// Version counts the changes of this target's limit.
	Version uint64
}

// TargetLimits divides the limits that targets name among the entries: the first ones by rendezvous hash of the
// target share it evenly, the others send nothing. It is safe for concurrent use.
type TargetLimits struct {
	options TargetLimitsOptions

	mu      sync.Mutex
	targets map[string]*limitedTarget
}

// TargetLimitsOptions are the dependencies of TargetLimits.
type TargetLimitsOptions struct {
	Members Members
	// Share tells the other entries a limit.
	Share func(TargetLimit)
	// Log is called with each change; source is "answer" or "peer".
	Log func(limit TargetLimit, source string)
}

// limitedTarget is the limit of one target and this entry's share of it, a token bucket.
type limitedTarget struct {
	limit float64
	// namedAt is when the limit was last named.
	namedAt time.Time
	version uint64

	tokens   float64
	refilled time.Time
	// holders is the number of entries that share the limit; 0 if this entry is not one of them. It holds for the
	// fleet live.
	holders int
	live    []membership.Peer
}

// NewTargetLimits returns TargetLimits that know of no limit.
func NewTargetLimits(options TargetLimitsOptions) *TargetLimits {
	return &TargetLimits{options: options, targets: map[string]*limitedTarget{}}
}

// Observe records what an answer of the target says: its limit, or that it names none. The request was sent at sent.
func (l *TargetLimits) Observe(target string, limit float64, named bool, sent, now time.Time) {
	limit = usableLimit(limit, named)
	l.mu.Lock()
	current := l.targets[target]
	if current == nil && limit == 0 {
		l.mu.Unlock()
		return
	}
	if current == nil {
		current = &limitedTarget{}
		l.targets[target] = current
	}
	former := current.limit
	if !current.observe(limit, sent, now) || !changedEnough(former, limit) {
		l.mu.Unlock()
		return
	}
	current.version++
	changed := TargetLimit{Target: target, PerSecond: limit, Version: current.version}
	l.mu.Unlock()
	l.options.Log(changed, "answer")
	l.options.Share(changed)
}

// usableLimit returns the limit to keep; 0 for none.
func usableLimit(limit float64, named bool) float64 {
	if !named || !(limit <= maxTargetLimit) || defect.Enabled(defect.LimitIgnored) {
		return 0
	}
	return max(limit, minTargetLimit)
}

// observe takes over a lower limit at once, and a higher one or none once it is believed.
func (t *limitedTarget) observe(limit float64, sent, now time.Time) bool {
	lower := limit > 0 && (t.limit == 0 || limit <= t.limit)
	if !lower && (now.Sub(t.namedAt) < limitRaiseDelay || sent.Before(t.namedAt)) {
		return false
	}
	t.set(limit, now)
	return true
}

// set sets the limit. A target that was not limited before starts with an empty bucket.
func (t *limitedTarget) set(limit float64, now time.Time) {
	if t.limit == 0 {
		t.tokens, t.refilled = 0, now
	}
	if limit != t.limit {
		t.live = nil
	}
	t.limit, t.namedAt = limit, now
}

func changedEnough(former, limit float64) bool {
	return math.Abs(limit-former) > minLimitChange*max(limit, former)
}

// Receive takes over a limit that another entry has seen. The entry may run a build that knows other bounds, so that the
// limit is checked here too.
func (l *TargetLimits) Receive(limit TargetLimit, now time.Time) {
	limit.PerSecond = usableLimit(limit.PerSecond, limit.PerSecond != 0)
	l.mu.Lock()
	current := l.targets[limit.Target]
	if current == nil {
		current = &limitedTarget{}
		l.targets[limit.Target] = current
	}
	if limit.Version <= current.version {
		l.mu.Unlock()
		return
	}
	current.version = limit.Version
	current.set(limit.PerSecond, now)
	l.mu.Unlock()
	l.options.Log(limit, "peer")
}

// Available reports whether this entry may send a request to the target now.
func (l *TargetLimits) Available(target string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.targets[target]
	return current == nil || current.limit == 0 || l.refill(target, current, now) >= 1
}

// Take takes one request from this entry's share. It returns false if none is left.
func (l *TargetLimits) Take(target string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.targets[target]
	if current == nil || current.limit == 0 {
		return true
	}
	if l.refill(target, current, now) < 1 {
		return false
	}
	current.tokens--
	return true
}

// refill refills the token bucket and returns its tokens.
func (l *TargetLimits) refill(target string, t *limitedTarget, now time.Time) float64 {
	l.updateHolders(target, t)
	elapsed := max(0, now.Sub(t.refilled).Seconds())
	t.refilled = now
	if t.holders == 0 {
		t.tokens = 0
		return 0
	}
	share := t.limit / float64(t.holders)
	t.tokens = min(1+share*limitBurst.Seconds(), t.tokens+share*elapsed)
	return t.tokens
}

// updateHolders divides the limit anew when the fleet has changed.
func (l *TargetLimits) updateHolders(target string, t *limitedTarget) {
	live := l.options.Members.Live()
	if t.live != nil && len(t.live) == len(live) && &t.live[0] == &live[0] {
		return
	}
	count := min(len(live), int(holdersPerLimit*t.limit)+extraHolders)
	holders := membership.Rank(live, target)[:count]
	t.holders = 0
	self := l.options.Members.Self().Name
	if slices.ContainsFunc(holders, func(p membership.Peer) bool { return p.Name == self }) {
		t.holders = count
	}
	t.live = live
}

// RetryAfter returns when a request may find room at one of the targets: the time that they need on average for one
// request of any entry.
func (l *TargetLimits) RetryAfter(targets []string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0.0
	for _, target := range targets {
		if current := l.targets[target]; current != nil {
			sum += current.limit
		}
	}
	if sum == 0 {
		return minLimitRetryAfter
	}
	return min(max(minLimitRetryAfter, time.Duration(float64(time.Second)/sum)), maxLimitRetryAfter)
}

// LimitedCount returns the number of targets with a limit.
func (l *TargetLimits) LimitedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, target := range l.targets {
		if target.limit > 0 {
			count++
		}
	}
	return count
}

// Sweep forgets the targets for which keep returns false.
func (l *TargetLimits) Sweep(keep func(target string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for target := range l.targets {
		if !keep(target) {
			delete(l.targets, target)
		}
	}
}
