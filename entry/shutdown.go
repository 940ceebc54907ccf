package entry

import (
	"math"
	"math/bits"
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
// broken stream would cost the caller a retry, and the work on a broken stream is lost. It is safe for concurrent use.
type shutdown struct {
	grace time.Duration

	mu sync.Mutex
	// beganAt is the start of the shutdown; zero before.
	beganAt time.Time
	// exiting is set once the process is to exit.
	exiting bool
	// streamTimes are the longest recent durations of completed streams, by kind.
	streamTimes map[streamKind]*longestTime
	// streams are those in progress.
	streams map[*runningStream]struct{}
	// callTimes are the longest recent durations of calls, by route.
	callTimes map[string]time.Duration
}

const (
	// unknownStreamTime is the expected duration of streams of a kind of which fewer than minStreams have completed, if these
	// took less.
	unknownStreamTime = 6 * time.Second
	minStreams        = 3
	// minStreamsLate is minStreams for streams that begin later than lateAfter: the next stream of a kind takes longer than all of n
	// others with a probability of 1/(n+1), a quarter with three of them.
	minStreamsLate = 32
	// streamTimeMargin is the multiple of the longest recent duration that is taken as the maximum duration of a stream.
	streamTimeMargin = 1.2
	// excusedAfter is the time after SIGTERM up to which callers have to expect that streams are cut: the platform has taken the
	// entry out of its routing by then. signalDelay is how late a process with little processor time learns of the signal, and streams
	// reach it later than they are sent.
	excusedAfter = 3 * time.Second
	signalDelay  = 500 * time.Millisecond
	// lateAfter is the time after the start of the shutdown from which a stream is only accepted if it also ends in time when
	// its target is silent for silenceAllowance: sound targets are silent for a second or so.
	lateAfter        = excusedAfter - signalDelay
	silenceAllowance = 2 * time.Second
	// maxStreamKinds limits the kinds of streams that are observed.
	maxStreamKinds = 4096
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
	return &shutdown{grace: grace, streamTimes: map[streamKind]*longestTime{}, streams: map[*runningStream]struct{}{}, callTimes: map[string]time.Duration{}}
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

// streamKind are the streams of a route whose maximum lengths have the same power of two: how long a stream takes depends on both.
type streamKind struct {
	route      string
	lengthBits int
}

func streamKindOf(route string, outputTokens int) streamKind {
	return streamKind{route, bits.Len(uint(max(0, outputTokens)))}
}

// longestTime is the longest of the last durations: of those since the last turn, which comes every longestTurn durations, and of those
// between the last two.
type longestTime struct {
	count             int
	current, previous time.Duration
}

// longestTurn is the number of durations after which a longest one begins to be forgotten.
const longestTurn = 128

func (l *longestTime) observe(took time.Duration) {
	if l.count > 0 && l.count%longestTurn == 0 {
		l.previous, l.current = l.current, 0
	}
	l.count++
	l.current = max(l.current, took)
}

func (l *longestTime) longest() time.Duration { return max(l.current, l.previous) }

// runningStream is a stream in progress.
type runningStream struct {
	kind  streamKind
	began time.Time
}

// streamBegan records that a stream is in progress until the returned function is called.
func (s *shutdown) streamBegan(route string, outputTokens int, began time.Time) (ended func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream := &runningStream{streamKindOf(route, outputTokens), began}
	s.streams[stream] = struct{}{}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.streams, stream)
	}
}

// streamEnded records the duration of a completed stream.
func (s *shutdown) streamEnded(route string, outputTokens int, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := streamKindOf(route, outputTokens)
	known := s.streamTimes[kind]
	if known == nil {
		if len(s.streamTimes) >= maxStreamKinds {
			return
		}
		known = &longestTime{}
		s.streamTimes[kind] = known
	}
	known.observe(took)
}

// expectedStreamTime returns how long a stream of the route, of up to that many tokens, may take if it begins at the time after the start
// of the shutdown. Streams in progress count by their age: where streams grow longer, the completed ones are the short ones.
func (s *shutdown) expectedStreamTime(route *directory.Route, outputTokens int, since time.Duration) time.Duration {
	kind := streamKindOf(route.Name, outputTokens)
	known := s.streamTimes[kind]
	if known == nil {
		known = &longestTime{}
	}
	longest := known.longest()
	for stream := range s.streams {
		if stream.kind == kind {
			longest = max(longest, s.beganAt.Add(since).Sub(stream.began))
		}
	}
	expected := time.Duration(streamTimeMargin * float64(longest))
	switch {
	case since >= lateAfter && known.count < minStreamsLate:
		return math.MaxInt64
	case since >= lateAfter:
		return expected + silenceAllowance
	case known.count < minStreams:
		return max(expected, unknownStreamTime)
	}
	return expected
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

// accepts reports whether a new request of the route, whose answer has up to that many tokens and whose caller waits until the
// deadline, may be accepted now.
func (s *shutdown) accepts(route *directory.Route, outputTokens int, deadline, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.beganAt.IsZero() {
		return true
	}
	if s.exiting {
		return false
	}
	since := now.Sub(s.beganAt)
	end := time.Duration(abortShare * float64(s.grace))
	if route.Class != directory.Stream {
		return since < time.Duration(acceptCallsShare*float64(s.grace)) && since+min(s.expectedCallTime(route), deadline.Sub(now)) < end
	}
	return since+min(s.expectedStreamTime(route, outputTokens, since), deadline.Sub(now)) < end
}

// lasts reports whether a request that takes up to a timeout ends before the remaining ones are aborted.
func (s *shutdown) lasts(timeout time.Duration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.beganAt.IsZero() || !s.exiting && now.Sub(s.beganAt)+timeout < time.Duration(abortShare*float64(s.grace))
}

// shouldExit reports whether the process should exit, given the number of running requests. Once it does, no request is accepted: one that
// was accepted later would be cut off. running is read under the lock, so that it counts each request that was accepted before; callers
// count their requests before they ask accepts.
func (s *shutdown) shouldExit(now time.Time, running func() int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := float64(now.Sub(s.beganAt)) / float64(s.grace)
	s.exiting = s.exiting || defect.Enabled(defect.AbortOnDrain) || share >= abortShare || share >= minRunShare && running() == 0
	return s.exiting
}
