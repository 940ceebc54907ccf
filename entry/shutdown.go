package entry

import (
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/internal/defect"
)

// Phases of the shutdown, as shares of the time between SIGTERM and SIGKILL.
const (
	// acceptCallsShare is the share during which calls without a stream are still accepted if they are expected to
	// finish in time: callers keep using their open connections until a response tells them to close.
	acceptCallsShare = 0.85
	// abortShare is the share after which the remaining requests are aborted, so that their callers
	// learn of it before the process is killed.
	abortShare = 0.94
	// minRunShare is the share for which the process keeps running even without requests: the platform
	// takes two seconds to route new connections to other entries.
	minRunShare = 0.35
	// drainPollInterval is the time between checks whether the process should exit.
	drainPollInterval = 50 * time.Millisecond
)

// shutdown decides which requests a draining entry still accepts. In a rolling restart under load, new
// requests are accepted as long as they are expected to finish in time: both a rejected request and a
// broken stream would cost the caller a retry. It is safe for concurrent use.
type shutdown struct {
	grace time.Duration

	mu sync.Mutex
	// beganAt is the start of the shutdown; zero before.
	beganAt time.Time
	// meanStreamTime is the moving mean of the duration of completed streams.
	meanStreamTime time.Duration
	// callTimes are the longest recent durations of calls, by route.
	callTimes map[string]time.Duration
}

const (
	// initialStreamTime is the initial value of the mean, before any stream has completed.
	initialStreamTime = 6 * time.Second
	// streamTimeWeight is the weight of the newest duration in the moving mean.
	streamTimeWeight = 0.1
	// streamTimeMargin is the multiple of the mean that is taken as the maximum duration of a stream.
	streamTimeMargin = 1.2
	// unknownCallTime is the expected duration of calls on a route that has no latency objective and none so far.
	unknownCallTime = time.Second
	// callTimeDecay is the share by which a shorter call lowers the expected duration.
	callTimeDecay = 0.02
	// callTimeMargin is the multiple of the expected duration within which calls end.
	callTimeMargin = 1.2
	// maxCallRoutes limits the routes whose calls are observed.
	maxCallRoutes = 4096
)

func newShutdown(grace time.Duration) *shutdown {
	return &shutdown{grace: grace, meanStreamTime: initialStreamTime, callTimes: map[string]time.Duration{}}
}

// begin starts the shutdown; further calls change nothing.
func (s *shutdown) begin(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.beganAt.IsZero() {
		s.beganAt = now
	}
}

// stopping reports whether the shutdown has begun.
func (s *shutdown) stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.beganAt.IsZero()
}

// streamEnded adds the duration of a completed stream to the moving mean.
func (s *shutdown) streamEnded(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meanStreamTime += time.Duration(streamTimeWeight * float64(took-s.meanStreamTime))
}

// callEnded records the duration of a call of the route.
func (s *shutdown) callEnded(route string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.callTimes[route]
	switch {
	case !ok && len(s.callTimes) >= maxCallRoutes:
	case took >= known:
		s.callTimes[route] = took
	default:
		s.callTimes[route] = known - time.Duration(callTimeDecay*float64(known-took))
	}
}

// expectedCallTime returns how long a call of the route may take: a cut call costs its caller more than a refused one.
func (s *shutdown) expectedCallTime(route *directory.Route) time.Duration {
	if longest, ok := s.callTimes[route.Name]; ok {
		return time.Duration(callTimeMargin * float64(longest))
	}
	if route.LatencyObjective > 0 {
		return route.LatencyObjective
	}
	return unknownCallTime
}

// accepts reports whether a new request of the route, whose caller waits until the deadline, may be accepted now.
func (s *shutdown) accepts(route *directory.Route, deadline, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.beganAt.IsZero() {
		return true
	}
	since := now.Sub(s.beganAt)
	end := time.Duration(abortShare * float64(s.grace))
	if route.Class != directory.Stream {
		return since < time.Duration(acceptCallsShare*float64(s.grace)) && since+min(s.expectedCallTime(route), deadline.Sub(now)) < end
	}
	expected := time.Duration(streamTimeMargin * float64(s.meanStreamTime))
	return since+expected < end
}

// lasts reports whether a request that takes up to a timeout ends before the remaining ones are aborted.
func (s *shutdown) lasts(timeout time.Duration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.beganAt.IsZero() || now.Sub(s.beganAt)+timeout < time.Duration(abortShare*float64(s.grace))
}

// shouldExit reports whether the process should exit, given the number of running requests.
func (s *shutdown) shouldExit(now time.Time, running int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if defect.Enabled(defect.AbortOnDrain) {
		return true
	}
	share := float64(now.Sub(s.beganAt)) / float64(s.grace)
	return share >= abortShare || share >= minRunShare && running == 0
}
