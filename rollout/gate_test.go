package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var testStart = time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)

func testOrder(to string, duration time.Duration) Order {
	return Order{Service: "desk", To: to, Ordered: testStart, Duration: duration}
}

// Guards against rounding at many entries: with a first request let through at each, 300 entries send 300 requests
// to a bad version of a service that has 60 requests per second; with none before a whole credit, a good one gets
// no requests to be judged by.
func TestGatesTogetherStayCloseToTheShare(t *testing.T) {
	const slack = 50
	for _, entries := range []int{8, 73, 195, 300} {
		worst := 0.0
		for seed := range 200 {
			random := rand.New(rand.NewPCG(uint64(seed), uint64(entries)))
			order := testOrder(fmt.Sprintf("v%d", seed), time.Minute)
			gates := make([]*Gate, entries)
			for i := range gates {
				gates[i] = NewGate(fmt.Sprintf("entry-%d", i), order)
			}
			want, sent := 0.0, 0
			now := testStart
			for request := range 3600 {
				now = now.Add(time.Second / 60)
				share := 0.04
				if request > 1800 {
					share = 0.08
				}
				gate := gates[random.IntN(entries)]
				gate.SetShare(now, share)
				if gate.Allow(now) {
					sent++
				}
				want += share
				worst = max(worst, math.Abs(float64(sent)-want))
			}
		}
		t.Logf("%d entries, 60 requests/s, 200 seeds: at most %.1f requests away from the share", entries, worst)
		if worst > slack {
			t.Errorf("%d entries: rounding of %.1f requests exceeds the slack of %d", entries, worst, slack)
		}
	}
}

// Guards against a version that is rolled back and still gets requests from an entry that can't reach the
// coordinator, and against a burst of requests there once it can.
func TestGateSendsNothingOnAnOldShare(t *testing.T) {
	is := is.New(t)
	gate := NewGate("entry", testOrder("v2", time.Minute))
	is.True(!gate.Allow(testStart)) // no share is known
	gate.SetShare(testStart, 1)
	is.True(gate.Allow(testStart.Add(MaxShareAge)))
	is.True(!gate.Allow(testStart.Add(MaxShareAge + time.Millisecond)))
	gate.SetShare(testStart.Add(time.Hour), 0.5)
	gate.SetShare(testStart, 1) // a late answer
	for range 1000 {
		is.True(!gate.Allow(testStart.Add(2 * time.Hour)))
	}
	gate.SetShare(testStart.Add(3*time.Hour), 0.25)
	sent := 0
	for range 8 {
		if gate.Allow(testStart.Add(3 * time.Hour)) {
			sent++
		}
	}
	is.True(sent <= 3)
	seen, counted := gate.Counts()
	is.Equal(seen, int64(1+2+1000+8))
	is.Equal(counted, int64(1+sent))
}

// Guards against exposure that the gate does not see: retries, hedges, resumed streams and requests for peers count
// against the share. It also guards against a debt of these that keeps requests from the new version once all
// of them have to go there, which would never let the old one drain.
func TestRequestsBesideTheGateCountAgainstTheShare(t *testing.T) {
	is := is.New(t)
	gate := NewGate("entry", testOrder("v2", time.Minute))
	gate.SetShare(testStart, 0.1)
	for i := range 1000 {
		gate.Allow(testStart)
		if i%20 == 0 {
			gate.AddSent()
		}
	}
	_, sent := gate.Counts()
	is.True(sent <= 101)
	for range 1000 {
		gate.AddSent()
	}
	is.True(!gate.Allow(testStart))
	gate.SetShare(testStart, 1)
	is.True(gate.Allow(testStart))
}

// Guards against requests that had to go to the old version, since no target of the new one took them, and that are
// made up for by several in a row.
func TestRevokedRequestsAreNotMadeUpForAtOnce(t *testing.T) {
	is := is.New(t)
	gate := NewGate("entry", testOrder("v2", time.Minute))
	gate.SetShare(testStart, 0.5)
	for range 100 {
		if gate.Allow(testStart) {
			gate.Revoke()
		}
	}
	_, sent := gate.Counts()
	is.Equal(sent, int64(0))
	for range 10 {
		gate.Allow(testStart)
	}
	_, sent = gate.Counts()
	is.True(sent >= 5 && sent <= 7)
}
