package generation

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// drainMargin is the minimum time before its target's deadline at which an attempt is replaced.
	drainMargin = time.Second
	// drainSpread spreads the moves of a target's generations over time, so that they don't reach
	// the other targets all at once.
	drainSpread = time.Second
)

// mustLeaveTarget reports whether the attempt must be replaced because its target is draining and
// ends before the attempt does. Until shortly before the target's deadline the attempt may still
// finish there.
func (p *producer) mustLeaveTarget(a *attempt, now time.Time) bool {
	deadlineOf := p.run.manager.options.DrainDeadline
	if deadlineOf == nil {
		return false
	}
	deadline, draining := deadlineOf(a.target.Metadata.Name)
	if !draining {
		return false
	}
	share := float64(xxhash.Sum64String(p.generation)%1000) / 1000
	margin := drainMargin + time.Duration(share*float64(drainSpread))
	return !now.Before(deadline.Add(-margin))
}
