package generation

import (
	"context"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/internal/wait"
)

const (
	// cancelTimeout bounds one try of a cancel.
	cancelTimeout = time.Second
	// cancelBackoff and cancelBackoffLimit are the waits between tries.
	cancelBackoff      = 100 * time.Millisecond
	cancelBackoffLimit = 2 * time.Second
	// cancelLimit is when a target that never acknowledges counts as gone.
	cancelLimit = 2 * time.Minute
)

// cancelStream stops an attempt at its target. It repeats the order until the target acknowledges
// or counts as gone, so that a paused target does not go on with lost work when it returns.
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
