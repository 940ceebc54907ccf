package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/standin/target"
)

// The users' bound: in limitWindow, a target gets limitRatio times what its limit allows, plus limitSlack.
const (
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
)

// maxInWindow returns the largest number of times within limitWindow, of those after from.
func maxInWindow(times []time.Time, from time.Time) int {
	most := 0
	for i, first := range times {
		if first.Before(from) {
			continue
		}
		count := 0
		for _, at := range times[i:] {
			if at.Sub(first) < limitWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// arrivals returns the times at which a target began to run requests.
func (s *standinTarget) arrivals(t *testing.T) []time.Time {
	t.Helper()
	records, err := target.ReadLog(s.log)
	if err != nil {
		t.Fatal(err)
	}
	var times []time.Time
	for _, record := range records {
		if record.What == target.Began {
			times = append(times, record.At)
		}
	}
	return times
}

// Eight entries choose between a target that names a limit for all entries together and one that names none.
func TestTargetGetsNoMoreThanTheLimitThatItNamesFromAllEntriesTogether(t *testing.T) {
	const (
		limit     = 2.0
		perSecond = 40
	)
	is := is.New(t)
	cluster := startCluster(t, 8)
	limited := cluster.startTarget(t, target.Options{ID: "i-l", Service: "records", AvailabilityZone: "a", Slots: 6, Limit: limit})
	started := time.Now()
	var calls sync.WaitGroup
	var mu sync.Mutex
	answered, sent := 0, 0
	for number := 0; time.Since(started) < stableWindow+2*limitWindow; number++ {
		calls.Go(func() {
			response, _, err := cluster.request(number%len(cluster.entries), "POST", "/book/x", fmt.Sprintf("b%d", number), "k1", "")
			mu.Lock()
			defer mu.Unlock()
			sent++
			if err == nil && response.StatusCode == http.StatusOK {
				answered++
			}
		})
		time.Sleep(time.Second / perSecond)
	}
	calls.Wait()
	times := limited.arrivals(t)
	most := maxInWindow(times, times[0].Add(stableWindow))
	t.Logf("%d arrivals in all, %d within %v, of %d calls %d answered", len(times), most, limitWindow, sent, answered)
	is.True(float64(most) <= limitRatio*limit*limitWindow.Seconds()+limitSlack)
	is.True(float64(most) >= limit*limitWindow.Seconds()/2) // the limit is used
	is.True(10*answered >= 9*sent)                          // the other target takes the rest
}
