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

// injectFaults pauses, resumes and restarts targets, and pauses and resumes entries, until stop is closed;
// then it resumes all of them.
func injectFaults(c *fakeCluster, random *rand.Rand, stop <-chan struct{}) {
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

// TestAnswersAreCompleteUnderRandomFaults runs callers that retry at any entry while targets and entries
// fail at random. Each answer must be complete, and each token must continue the one before it, or the
// answer must end in an explicit error: its position is lost, or too many targets crashed running it.
func TestAnswersAreCompleteUnderRandomFaults(t *testing.T) {
	for seed := range uint64(25) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(seed, 1))
				c := newFakeCluster(t, newFakeEngine("t0", "t1", "t2", "t3", "t4", "t5"), newLocalCrashRecords())
				c.engine.acceptDelay = 60 * time.Millisecond // streams may continue while an attempt starts
				stop := make(chan struct{})
				var callers, injector sync.WaitGroup
				injector.Go(func() { injectFaults(c, random, stop) })
				for i := range 4 {
					prefer := []v1.RecoveryPreference{v1.PreferLatency, v1.PreferCost}[i%2]
					callers.Go(func() { is.NoErr(readUntilComplete(t, c, testRequest(fmt.Sprint(i), prefer), i)) })
				}
				time.Sleep(4 * time.Second)
				close(stop)
				injector.Wait()
				callers.Wait()
			})
		})
	}
}

// readUntilComplete reads an answer and retries at the next entry whenever one sends nothing for a while.
func readUntilComplete(t *testing.T, c *fakeCluster, request Request, first int) error {
	var got answer
	deadline := time.Now().Add(time.Minute)
	for i := first; time.Now().Before(deadline); i++ {
		err := readFromEntry(t, c, request, &got, fmt.Sprintf("e%d", i%6))
		var poison *PoisonError // as far as the entries know, three targets crashed running it
		if err == nil || errors.Is(err, ErrLineageLost) || errors.As(err, &poison) {
			return checkChain(got.tokens)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.New("the answer did not end")
}

// readFromEntry reads from one entry as long as it sends events.
func readFromEntry(t *testing.T, c *fakeCluster, request Request, got *answer, entry string) error {
	const timeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	reader, err := c.entries[entry].manager.Open(ctx, request, got.last)
	if err != nil {
		return err
	}
	defer reader.Close()
	for {
		count := len(got.tokens)
		nextCtx, cancel := context.WithTimeout(t.Context(), timeout)
		err := got.read(nextCtx, reader, count+1)
		cancel()
		if err != nil || got.finish != "" {
			return err
		}
	}
}
