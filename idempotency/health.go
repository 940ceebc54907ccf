package idempotency

import (
	"sync"
	"time"
)

// health tracks whether the platform accepts writes, as observed by this entry.
type health struct {
	options Options

	mu           sync.Mutex
	failingSince time.Time
	down         bool
	becameDown   chan struct{} // closed when the platform is found to be down
}

func newHealth(options Options) *health {
	return &health{options: options, becameDown: make(chan struct{})}
}

// Down reports whether the platform is known to be down.
func (h *health) Down() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down
}

// Failed records a call to the platform that failed after the given time.
func (h *health) Failed(took time.Duration, err error) {
	now := time.Now()
	h.mu.Lock()
	if h.failingSince.IsZero() {
		h.failingSince = now
	}
	failingLong := now.Sub(h.failingSince) >= h.options.DownAfter
	wentDown := !h.down && (failingLong || took >= h.options.WriteTimeout)
	if wentDown {
		h.down = true
		close(h.becameDown)
	}
	h.mu.Unlock()
	if wentDown {
		h.options.Observe(Event{Kind: EventPlatformUnavailable, Shard: -1, Err: err})
	}
}

// Succeeded records a call that the platform served in the given time. One that took as long as the
// write timeout is no proof that the platform is up.
func (h *health) Succeeded(took time.Duration) {
	if took >= h.options.WriteTimeout {
		return
	}
	h.mu.Lock()
	recovered := h.down
	h.failingSince = time.Time{}
	if recovered {
		h.down = false
		h.becameDown = make(chan struct{})
	}
	h.mu.Unlock()
	if recovered {
		h.options.Observe(Event{Kind: EventPlatformAvailable, Shard: -1})
	}
}

// BecameDown returns a channel that is closed while the platform is known to be down.
func (h *health) BecameDown() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.becameDown
}
