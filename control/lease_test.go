package control

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestLeaseIsAcquiredByAnotherHolderOnlyAfterExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, store := t.Context(), newFakeStore()
		first, second := NewLease(store, "l", "e1"), NewLease(store, "l", "e2")
		is.NoErr(first.Step(ctx))
		former, held := first.Held()
		is.True(held)
		for range 3 { // the first holder is paused from here on
			is.NoErr(second.Step(ctx))
			_, held = second.Held()
			is.True(!held)
			time.Sleep(LeaseDuration / renewalsPerLease)
		}
		time.Sleep(time.Millisecond)
		is.NoErr(second.Step(ctx))
		grant, held := second.Held()
		is.True(held)
		is.True(grant.Token > former.Token)
		is.True(grant.FormerHolderMayAct)
		_, held = first.Held()
		is.True(!held) // expired when the pause ends, before it reads anything
	})
}

func TestReleasedLeaseIsAcquiredImmediatelyWithAHigherToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, store := t.Context(), newFakeStore()
		first, second := NewLease(store, "l", "e1"), NewLease(store, "l", "e2")
		is.NoErr(first.Step(ctx))
		former, _ := first.Held()
		is.NoErr(first.Release(ctx))
		is.NoErr(second.Step(ctx))
		grant, held := second.Held()
		is.True(held && !grant.FormerHolderMayAct && grant.Token > former.Token)
	})
}

func TestLeaseSurvivesLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, store := t.Context(), newFakeStore()
		lease := NewLease(store, "l", "e1")
		store.loseAnswers = 1
		is.True(lease.Step(ctx) != nil)
		_, held := lease.Held()
		is.True(!held)
		is.NoErr(lease.Step(ctx)) // reads its own nonce
		_, held = lease.Held()
		is.True(held)
		time.Sleep(LeaseDuration / renewalsPerLease)
		store.loseAnswers = 1
		is.True(lease.Step(ctx) != nil) // the renewal took effect, but its response was lost
		time.Sleep(LeaseDuration / renewalsPerLease)
		is.NoErr(lease.Step(ctx))
		grant, held := lease.Held()
		is.True(held && grant.Remaining < LeaseDuration) // counted from the renewal whose response was lost
	})
}

// TestExpiredLeaseIsNotAdoptedFromALostResponse: an acquisition whose response was lost must not count
// as a held lease when it is recognized only after the lease has expired.
func TestExpiredLeaseIsNotAdoptedFromALostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, store := t.Context(), newFakeStore()
		lease := NewLease(store, "l", "e1")
		store.loseAnswers = 1
		is.True(lease.Step(ctx) != nil)
		time.Sleep(LeaseDuration + time.Second)
		is.NoErr(lease.Step(ctx))
		_, held := lease.Held()
		is.True(!held)
	})
}

// Guards against a lease of another writer that no entry ever takes over: engines would get no orders any more.
func TestOddLeaseExpiresLikeAnother(t *testing.T) {
	deep := strings.Repeat(`{"a":`, 20_000) + `1` + strings.Repeat(`}`, 20_000)
	for _, value := range []string{`null`, `[]`, `7`, `"text"`, ``, `{`, deep, `{"holder":7}`, `{"holder":"x","durationMs":1e999}`,
		`{"holder":"x","durationMs":99999999999999999999}`, `{"holder":"x","durationMs":9000000000000}`, `{"holder":"x","durationMs":9223372036854775807}`,
		`{"holder":"x","durationMs":-5}`, `{"holder":"x","durationMs":-9223372036854775000}`} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, store := t.Context(), newFakeStore()
			_, err := store.Put(ctx, KindLease, "l", 0, []byte(value))
			is.NoErr(err)
			lease := NewLease(store, "l", "e1")
			_ = lease.Step(ctx)
			if _, held := lease.Held(); held {
				is.Equal(value, "null") // no holder, as after a release
			}
			time.Sleep(MaxLeaseDuration + time.Millisecond)
			is.NoErr(lease.Step(ctx))
			_, held := lease.Held()
			is.True(held)
		})
	}
}
