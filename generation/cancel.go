package generation

import (
	"context"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/internal/wait"
)

const (
	// cancelTimeout bounds one cancel request.
	cancelTimeout = time.Second
	// cancelBackoff and cancelBackoffLimit are the first and the longest delay between cancel requests.
	cancelBackoff      = 100 * time.Millisecond
	cancelBackoffLimit = 2 * time.Second
	// cancelLimit is the time after which a target that never acknowledges counts as lost.
	cancelLimit = 2 * time.Minute
)

// cancelStream cancels an attempt at its target. It repeats the request until the target acknowledges it
// or counts as lost, so that a target that was paused does not continue work which nobody needs.
func (m *Manager) cancelStream(target *v1.Target, id StreamID) {
	m.background.Go(func() { m.cancelUntilAcknowledged(target, id) })
}

func (m *Manager) cancelUntilAcknowledged(target *v1.Target, id StreamID) {
	deadline := time.Now().Add(cancelLimit)
	backoff := cancelBackoff
	for time.Now().Before(deadline) {
		if m.cancelOnce(target, id) == nil {
			return
		}
		if wait.For(m.ctx, backoff) != nil {
			return
		}
		backoff = min(2*backoff, cancelBackoffLimit)
	}
	m.options.Log("cancel-not-acknowledged", Field{"target", target.Metadata.Name},
		Field{"generation", id.Generation}, Field{"attempt", id.Attempt})
}

func (m *Manager) cancelOnce(target *v1.Target, id StreamID) error {
	ctx, cancel := context.WithTimeout(m.ctx, cancelTimeout)
	defer cancel()
	return m.options.Engine.Cancel(ctx, target, id)
}
