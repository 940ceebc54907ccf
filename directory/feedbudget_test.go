package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFeedBudgetAllowsMoreThanTheLinkCarries(t *testing.T) {
	const large = 570 << 10
	for _, test := range []struct {
		name       string
		size       int
		hasStore   bool
		readers    int
		within     time.Duration
		wantSent   int
		wantAtMost int
	}{
		{"small changes for all readers at once", 1 << 10, true, 58, 0, 58, 58},
		{"medium changes while the burst lasts", 30 << 10, true, 58, 0, 4, 4},
		{"large object, readers with the store", large, true, 58, 10 * time.Second, 0, 0},
		{"large object, readers without the store", large, false, 58, 0, 1, 1},
		{"large object, readers without the store in turn", large, false, 58, 10 * time.Second, 4, 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var budget feedBudget
			now := testStart
			sent := 0
			for waiting := test.readers; ; now = now.Add(peerPollInterval) {
				for range waiting {
					if budget.take(test.size, test.hasStore, now) {
						sent++
						waiting--
					}
				}
				if now.Sub(testStart) >= test.within {
					break
				}
			}
			is.True(sent >= test.wantSent)
			is.True(sent <= test.wantAtMost)
		})
	}
}

// During a wave of small changes, an entry without the store must still get its turn.
func TestSmallAnswersStarveReadersWithoutStore(t *testing.T) {
	const (
		readers    = followersPerWatcher
		duration   = time.Minute
		maxWaiting = 5 * time.Second // the longest debt: one object of a megabyte
	)
	is := is.New(t)
	var budget feedBudget
	now := testStart
	for ; now.Sub(testStart) < duration; now = now.Add(batchPause) {
		for range readers {
			is.True(budget.take(smallAnswerBytes, true, now))
		}
	}
	end := now
	for !budget.take(smallAnswerBytes+1, false, now) {
		now = now.Add(peerPollInterval)
	}
	t.Logf("a reader without the store waits %v", now.Sub(end))
	is.True(now.Sub(end) <= maxWaiting)
}
