package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestForReturnsAfterDurationOrWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		is.NoErr(For(t.Context(), time.Second))
		is.Equal(time.Since(start), time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		is.Equal(For(ctx, time.Minute), context.DeadlineExceeded)
		is.Equal(time.Since(start), 1100*time.Millisecond)
		is.Equal(For(ctx, 0), context.DeadlineExceeded)
		is.NoErr(For(t.Context(), -time.Second))
	})
}
