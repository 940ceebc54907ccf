package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func randomEvidence(random *rand.Rand, routes int) Evidence {
	var evidence Evidence
	for range random.IntN(40) {
		evidence.AddStarted()
		evidence.Record(fmt.Sprintf("route-%02d", random.IntN(routes)), Outcome(random.IntN(3)), time.Duration(random.ExpFloat64()*float64(time.Second)))
	}
	return evidence
}

type evidenceTotals struct{ started, requests, failures, broken, latencies int64 }

func totalsOf(evidence Evidence) evidenceTotals {
	totals := evidenceTotals{started: evidence.Started}
	for _, counts := range evidence.Routes {
		totals.requests += counts.Requests
		totals.failures += counts.Failures
		totals.broken += counts.Broken
		for _, count := range counts.Latency {
			totals.latencies += int64(count)
		}
	}
	return totals
}

// Guards against reports that are lost or counted twice as they are added up, and against reports that grow with
// the number of routes: 40 routes in reports of 8, 73 and 195 entries.
func TestSumOfEvidenceKeepsAllCountsWithinItsBounds(t *testing.T) {
	for _, entries := range []int{8, 73, 195} {
		is := is.New(t)
		random := rand.New(rand.NewPCG(1, uint64(entries)))
		var sum Evidence
		var want evidenceTotals
		for range entries {
			evidence := randomEvidence(random, 40)
			is.True(evidence.Valid())
			totals := totalsOf(evidence)
			want.started += totals.started
			want.requests += totals.requests
			want.failures += totals.failures
			want.broken += totals.broken
			want.latencies += totals.latencies
			sum.Add(evidence)
		}
		is.True(sum.Valid())
		is.Equal(len(sum.Routes), MaxRoutes)
		is.Equal(totalsOf(sum), want)
	}
}

// Guards against a sum that shares memory with a report: a later addition would change the report, which its
// sender still holds.
func TestAddRetainsNothingOfTheAddedEvidence(t *testing.T) {
	is := is.New(t)
	var report, sum Evidence
	report.Record("chat", Answered, 50*time.Millisecond)
	sum.Add(report)
	sum.Record("chat", Answered, 50*time.Millisecond)
	sum.Record("chat", Failed, 0)
	is.Equal(totalsOf(report), evidenceTotals{requests: 1, latencies: 1})
}

// Guards against a malformed report of a peer that makes the coordinator exit or count wrongly.
func TestInvalidEvidenceIsRecognised(t *testing.T) {
	is := is.New(t)
	many := Evidence{}
	for i := range MaxRoutes + 1 {
		many.Routes = append(many.Routes, RouteEvidence{Route: fmt.Sprintf("%02d", i)})
	}
	for name, evidence := range map[string]Evidence{
		"negative start":    {Started: -1},
		"negative failures": {Routes: []RouteEvidence{{Route: "a", Failures: -1}}},
		"failures exceed":   {Routes: []RouteEvidence{{Route: "a", Requests: 1, Failures: 2}}},
		"overflow":          {Routes: []RouteEvidence{{Route: "a", Requests: 1, Failures: 1, Broken: 1 << 62}}},
		"too many buckets":  {Routes: []RouteEvidence{{Route: "a", Latency: make([]uint32, LatencyBuckets+1)}}},
		"latencies exceed":  {Routes: []RouteEvidence{{Route: "a", Requests: 1, Latency: []uint32{2}}}},
		"unsorted":          {Routes: []RouteEvidence{{Route: "b"}, {Route: "a"}}},
		"twice":             {Routes: []RouteEvidence{{Route: "a"}, {Route: "a"}}},
		"too many routes":   many,
	} {
		if evidence.Valid() {
			t.Errorf("%s: accepted", name)
		}
	}
	is.True(Evidence{}.Valid())
	is.True(Evidence{}.Empty())
}

// Guards against latencies outside of the buckets, as of a stalled target or a clock that was set back.
func TestAnyLatencyHasABucket(t *testing.T) {
	is := is.New(t)
	for latency, want := range map[time.Duration]int{
		-time.Second: 0, 0: 0, time.Millisecond: 0, 2 * time.Millisecond: 4, 1024 * time.Millisecond: 40, 24 * time.Hour: LatencyBuckets - 1,
	} {
		is.Equal(latencyBucket(latency), want)
	}
}
