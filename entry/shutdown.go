package entry

import (
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/internal/defect"
)

// The shares of the time between SIGTERM and SIGKILL.
const (
	// callShare is the part in which plain calls still begin: they take milliseconds, and callers
	// use the connections that they have until they are told to close them.
	callShare = 0.85
	// finishShare is the part after which the work that is left is broken off, so that its callers
	// learn it before the process is killed.
	finishShare = 0.94
	// noticeShare is the part for which the process lives on even if it has nothing to do: the
	// platform takes two seconds to send new connections elsewhere.
	noticeShare = 0.35
	// drainPoll is the time between looks at the work that is left.
	drainPoll = 50 * time.Millisecond
)

// shutdown decides what a stopping entry still takes on. It answers a rolling restart under load:
// new work begins for as long as it can be expected to end in time, so that neither a refusal nor a
// broken stream costs a caller its retry. It is safe for concurrent use.
type shutdown struct {
	grace time.Duration

	mu sync.Mutex
	// began is zero until the entry is told to stop.
	began time.Time
	// streams follows how long streams take.
	streams time.Duration
}

const (
	// firstStreamTime is assumed until a stream has ended.
	firstStreamTime = 6 * time.Second
	// streamTimeWeight is the share of the newest duration in the moving mean.
	streamTimeWeight = 0.1
	// streamTimeMargin is the multiple of the mean that a stream is expected to take at most.
	streamTimeMargin = 1.2
)

func newShutdown(grace time.Duration) *shutdown {
	return &shutdown{grace: grace, streams: firstStreamTime}
}

// begin starts the shutdown.
func (s *shutdown) begin(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.began.IsZero() {
		s.began = now
	}
}

// stopping tells whether the shutdown has begun.
func (s *shutdown) stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.began.IsZero()
}

// streamEnded takes the duration of a complete stream into the mean.
func (s *shutdown) streamEnded(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams += time.Duration(streamTimeWeight * float64(took-s.streams))
}

// accepts tells whether a request of the class may begin now.
func (s *shutdown) accepts(class directory.Class, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.began.IsZero() {
		return true
	}
	since := now.Sub(s.began)
	if class != directory.Stream {
		return since < time.Duration(callShare*float64(s.grace))
	}
	expected := time.Duration(streamTimeMargin * float64(s.streams))
	return since+expected < time.Duration(finishShare*float64(s.grace))
}

// over tells whether the process should end, with that many requests running.
func (s *shutdown) over(now time.Time, running int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if defect.Enabled(defect.DrainTimeout) {
		return true
	}
	part := float64(now.Sub(s.began)) / float64(s.grace)
	return part >= finishShare || part >= noticeShare && running == 0
}
