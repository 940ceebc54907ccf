package entry

import "time"

// The shares of the time between SIGTERM and SIGKILL.
const (
	// acceptShare is the part in which new work still begins: the platform takes seconds to send
	// new connections elsewhere, and callers use the ones they have.
	acceptShare = 0.375
	// finishShare is the part after which the work that is left is broken off, so that its callers
	// learn it before the process is killed.
	finishShare = 0.94
	// noticeShare is the part for which the process lives on even if it has nothing to do.
	noticeShare = 0.45
	// drainPoll is the time between looks at the work that is left.
	drainPoll = 50 * time.Millisecond
)

// drainPhase is the state of a graceful shutdown.
type drainPhase int

const (
	// drainAccepting: not ready any more, and new work still begins.
	drainAccepting drainPhase = iota
	// drainFinishing: new work is refused, the old goes on.
	drainFinishing
	// drainOver: the process ends.
	drainOver
)

// drainPhaseAt returns the phase of a shutdown that began a while ago with that many requests left.
func drainPhaseAt(since, grace time.Duration, running int64) drainPhase {
	part := float64(since) / float64(grace)
	switch {
	case part >= finishShare, part >= noticeShare && running == 0:
		return drainOver
	case part >= acceptShare:
		return drainFinishing
	}
	return drainAccepting
}
