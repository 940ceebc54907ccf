package entry

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/standin/fault"
	"github.com/azurebarrow/azurebarrow/standin/target"
)

// playBrittleTargets sends eight entries more calls than three brittle targets have room for, and returns the largest number
// that one of these turned away within a second from stableWindow on, and the number of calls that were served.
func playBrittleTargets(t *testing.T, bears float64) (mostTurnedAway, served int) {
	t.Helper()
	const entries, perSecond, slots, work = 8, 300, 3, 80 * time.Millisecond
	c := startCluster(t, entries)
	desks := c.startDesks(t, slots, work)
	for _, desk := range desks {
		desk.inject(t, fault.Fault{Kind: fault.Brittle, Factor: bears})
	}
	var requests sync.WaitGroup
	started := time.Now()
	for number := 0; time.Since(started) < stableWindow+3*time.Second; number++ {
		requests.Go(func() {
			path := []string{"/find/x", "/hold/x"}[number/entries%2]
			_, _, _ = c.request(number%entries, "POST", path, fmt.Sprint(number), "k1", "") // most are refused
		})
		time.Sleep(time.Second / perSecond)
	}
	requests.Wait()
	for _, desk := range desks {
		records, err := target.ReadLog(desk.log)
		if err != nil {
			t.Fatal(err)
		}
		var turnedAway []time.Time
		for _, record := range records {
			switch {
			case record.What == target.Began:
				served++
			case record.What == target.Refused && record.At.After(started.Add(stableWindow)):
				turnedAway = append(turnedAway, record.At)
			}
		}
		for i, first := range turnedAway {
			count := 0
			for _, at := range turnedAway[i:] {
				if at.Sub(first) < time.Second {
					count++
				}
			}
			mostTurnedAway = max(mostTurnedAway, count)
		}
	}
	return mostTurnedAway, served
}

// brittleBears is the number of requests turned away in a second that the targets bear.
const brittleBears = 8

// Guards against targets that fall over because all entries together send them more than they have room for.
func TestBrittleTargetsTurnNoMoreAwayThanTheyBear(t *testing.T) {
	is := is.New(t)
	most, served := playBrittleTargets(t, brittleBears)
	t.Logf("at most %d turned away in a second, %d served", most, served)
	is.True(most <= brittleBears)
	is.True(served > 300)
}
