// Package wait waits for a time or for the end of a context.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns the context's error when that ends first, or has ended before.
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
