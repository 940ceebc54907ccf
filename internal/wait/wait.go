// Package wait provides a sleep that a context can interrupt.
package wait

import (
	"context"
	"time"
)

// For waits for the duration d and returns nil. If the context ends before that, or has already ended,
// it returns the context's error at once.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
