package generation

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/matryer/is"
)

// disturb freezes, revives and kills targets, and freezes entries, until stop is closed; then it
// heals everything.
func disturb(c *fakeCluster, random *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			for i := range 6 {
				c.engine.pause(fmt.Sprintf("t%d", i), false)
				c.setPaused(fmt.Sprintf("e%d", i), false)
			}
			return
		case <-time.After(time.Duration(10+random.IntN(60)) * time.Millisecond):
		}
		target, entry := fmt.Sprintf("t%d", random.IntN(6)), fmt.Sprintf("e%d", random.IntN(6))
		switch random.IntN(8) {
		case 0:
			c.engine.restart(target)
		case 1, 2, 3:
			c.engine.pause(target, true)
		case 4, 5:
			c.engine.pause(target, false)
		case 6:
			c.setPaused(entry, true)
		case 7:
			c.setPaused(entry, false)
		}
	}
}

// TestAnswersAreWholeUnderRandomFaults runs callers that return to any entry while targets and
// entries fail at random. Each answer must be whole and of one continuation at each index, or end in
// an explicit error: its position is lost, or too many targets died under it.
func TestAnswersAreWholeUnderRandomFaults(t *testing.T) {
	for seed := range uint64(25) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(seed, 1))
				c := newFakeCluster(t, newFakeEngine("t0", "t1", "t2", "t3", "t4", "t5"), newLocalCrashRecords())
				c.engine.accept = 60 * time.Millisecond // streams may go on while an attempt starts
				stop := make(chan struct{})
				var callers, disturber sync.WaitGroup
				disturber.Go(func() { disturb(c, random, stop) })
				for i := range 4 {
					prefer := []v1.RecoveryPreference{v1.PreferLatency, v1.PreferCost}[i%2]
					callers.Go(func() { is.NoErr(persist(t, c, testRequest(fmt.Sprint(i), prefer), i)) })
				}
				time.Sleep(4 * time.Second)
				close(stop)
				disturber.Wait()
				callers.Wait()
			})
		})
	}
}

// persist reads an answer, going to the next entry whenever one gives nothing for a while.
func persist(t *testing.T, c *fakeCluster, request Request, first int) error {
	var got answer
	deadline := time.Now().Add(time.Minute)
	for i := first; time.Now().Before(deadline); i++ {
		err := visit(t, c, request, &got, fmt.Sprintf("e%d", i%6))
		var poison *PoisonError // three targets died under it, as far as anyone can tell
		if err == nil || errors.Is(err, ErrLineageLost) || errors.As(err, &poison) {
			return checkChain(got.tokens)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.New("the answer did not end")
}

// visit reads from one entry while it gives events.
func visit(t *testing.T, c *fakeCluster, request Request, got *answer, entry string) error {
	const patience = 2 * time.Second
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	reader, err := c.entries[entry].manager.Open(ctx, request, got.last)
	if err != nil {
		return err
	}
	defer reader.Close()
	for {
		count := len(got.tokens)
		next, cancel := context.WithTimeout(t.Context(), patience)
		err := got.read(next, reader, count+1)
		cancel()
		if err != nil || got.finish != "" {
			return err
		}
	}
}
