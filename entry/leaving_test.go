package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/standin/fault"
	"github.com/azurebarrow/azurebarrow/standin/target"
)

// drainBound is the time after an answer that says so from which a leaving target may get no request of the entry that
// passed it on.
const drainBound = 2 * time.Second

// A target of calls and an engine say in their answers that they leave, which the store never confirms.
func TestTargetThatSaysItLeavesGetsNoRequestAfterTheBound(t *testing.T) {
	const entries, perSecond = 4, 120
	is := is.NewRelaxed(t)
	c := startCluster(t, entries)
	leaving := []*standinTarget{c.startDesks(t, 6, 5*time.Millisecond)[0], c.engines[0]}
	for _, each := range leaving {
		each.inject(t, fault.Fault{Kind: fault.SaysLeaving})
	}
	var requests sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	started := time.Now()
	for number := 0; time.Since(started) < 2*drainBound; number++ {
		requests.Go(func() {
			path := []string{"/find/x", "/hold/x", "/drafts/x"}[number/entries%3]
			response, _, err := c.request(number%entries, "POST", path, fmt.Sprintf("%d-%d", number%entries, number), "k1", "")
			mu.Lock()
			defer mu.Unlock()
			if err != nil || response.StatusCode != http.StatusOK {
				failed++
			}
		})
		time.Sleep(time.Second / perSecond)
	}
	requests.Wait()
	for i, each := range leaving {
		records, err := target.ReadLog(each.log)
		is.NoErr(err)
		first, last := time.Time{}, time.Time{}
		for _, record := range records {
			if record.What == target.Began {
				if first.IsZero() {
					first = record.At
				}
				last = record.At
			}
		}
		t.Logf("leaving target %d got its last request %v after the first", i, last.Sub(first))
		is.True(!first.IsZero())
		is.True(last.Sub(first) < drainBound)
	}
	is.Equal(failed, 0)
}
