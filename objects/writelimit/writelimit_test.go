package writelimit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestClaimsGoBeforeStatusAndRateHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limiter := NewLimiter(10, 1)
		is.NoErr(limiter.Acquire(t.Context(), Status))
		order := make(chan Class, 20)
		start := time.Now()
		for range 5 {
			for _, class := range []Class{Status, Claims} {
				go func() {
					is.NoErr(limiter.Acquire(t.Context(), class))
					order <- class
				}()
			}
		}
		synctest.Wait()
		for i := range 10 {
			want := Claims
			if i >= 5 {
				want = Status
			}
			is.Equal(<-order, want)
		}
		is.True(time.Since(start) >= time.Second) // ten tokens at ten per second
	})
}

func TestCancelledWaiterReturnsItsToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limiter := NewLimiter(10, 1)
		is.NoErr(limiter.Acquire(t.Context(), Claims))
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		is.True(limiter.Acquire(ctx, Claims) != nil)
		start := time.Now()
		is.NoErr(limiter.Acquire(t.Context(), Status))
		is.True(time.Since(start) <= 60*time.Millisecond) // the token was not lost
	})
}

func TestEntryRatesAddUpToTheTotal(t *testing.T) {
	is := is.New(t)
	sum := 0.0
	for _, owned := range []int{2, 1, 1, 0, 0, 0, 0, 0} {
		sum += EntryRate(300, 8, owned, 4)
	}
	is.True(sum > 299.9 && sum < 300.1) // all entries together write no more than the total
}
