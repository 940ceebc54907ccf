package rollout

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Outcome is the result of one request at a target, as evidence counts it.
type Outcome int

// Outcomes of a request.
const (
	// Answered is a response that is no failure.
	Answered Outcome = iota
	// Failed is a response that is a failure, or none in time.
	Failed
	// Broken is a connection that broke or could not be opened, as when a target crashes.
	Broken
)

const (
	// MaxRoutes is the number of routes that evidence distinguishes. Further ones are counted under OtherRoutes,
	// which is one of them.
	MaxRoutes = 16
	// OtherRoutes is the name under which the routes beyond MaxRoutes are counted.
	OtherRoutes = "(others)"
	// LatencyBuckets is the number of latency buckets. Bucket i holds latencies from 2^(i/bucketsPerDoubling) ms up to
	// the lower bound of the next; the first and the last one hold what is beyond. The last one begins at 15 minutes.
	LatencyBuckets     = 80
	bucketsPerDoubling = 4
)

// Evidence is what was seen of one version within a window. The zero value is empty. Its fields are its form in
// messages: Routes is sorted by name and holds at most MaxRoutes.
type Evidence struct {
	// Started counts the requests sent to the version within the window, answered or not. It includes retries,
	// hedges, resumed streams and requests for peers.
	Started int64
	Routes  []RouteEvidence
}

// RouteEvidence is what was seen of one version on one route.
type RouteEvidence struct {
	Route string
	// Requests counts the requests that ended; Failures and Broken are the ones among them with these outcomes.
	Requests, Failures, Broken int64
	// Latency counts the answered requests by the time to the response or to the first event, by bucket. Buckets
	// after the last used one are left out.
	Latency []uint32
}

// AddStarted counts a request that is sent to the version.
func (e *Evidence) AddStarted() { e.Started++ }

// Record counts the end of a request, or the first event of a stream. latency is the time to the response or to
// the first event; only that of an answered request counts.
func (e *Evidence) Record(route string, outcome Outcome, latency time.Duration) {
	counts := e.route(route)
	counts.Requests++
	switch outcome {
	case Failed:
		counts.Failures++
	case Broken:
		counts.Broken++
	default:
		bucket := latencyBucket(latency)
		counts.extend(bucket + 1)
		counts.Latency[bucket]++
	}
}

// RecordLateFailure counts a stream that ended with the outcome given after its first event, which was recorded as
// answered. It counts as a further request, since the first record may be part of an earlier window.
func (e *Evidence) RecordLateFailure(route string, outcome Outcome) { e.Record(route, outcome, 0) }

// Add adds what was seen elsewhere or in another window. It retains nothing of other.
func (e *Evidence) Add(other Evidence) {
	e.Started += other.Started
	for _, added := range other.Routes {
		counts := e.route(added.Route)
		counts.Requests += added.Requests
		counts.Failures += added.Failures
		counts.Broken += added.Broken
		counts.extend(len(added.Latency))
		for bucket, count := range added.Latency {
			counts.Latency[bucket] += count
		}
	}
}

// Empty reports whether the evidence holds nothing.
func (e Evidence) Empty() bool { return e.Started == 0 && len(e.Routes) == 0 }

// Valid reports whether evidence from a message can be added: it is within the bounds and sorted, and its counts
// agree.
func (e Evidence) Valid() bool {
	if e.Started < 0 || len(e.Routes) > MaxRoutes {
		return false
	}
	for i, counts := range e.Routes {
		if i > 0 && e.Routes[i-1].Route >= counts.Route {
			return false
		}
		if counts.Requests < 0 || counts.Failures < 0 || counts.Broken < 0 || len(counts.Latency) > LatencyBuckets {
			return false
		}
		// Failures are compared by subtraction, since the sum of two counts of a message may overflow.
		if counts.Failures > counts.Requests || counts.Broken > counts.Requests-counts.Failures {
			return false
		}
		answered := int64(0)
		for _, count := range counts.Latency {
			answered += int64(count)
		}
		if answered != counts.answered() {
			return false
		}
	}
	return true
}

func (r *RouteEvidence) answered() int64 { return r.Requests - r.Failures - r.Broken }

func (r *RouteEvidence) extend(buckets int) {
	if r.Latency == nil && buckets > 0 {
		r.Latency = make([]uint32, 0, LatencyBuckets)
	}
	if missing := buckets - len(r.Latency); missing > 0 {
		r.Latency = append(r.Latency, make([]uint32, missing)...)
	}
}

// route returns the counts of a route, those of OtherRoutes if there is no place for it.
func (e *Evidence) route(name string) *RouteEvidence {
	index, found := e.find(name)
	if found {
		return &e.Routes[index]
	}
	others, hasOthers := e.find(OtherRoutes)
	distinct := len(e.Routes)
	if hasOthers {
		distinct--
	}
	if name != OtherRoutes && distinct >= MaxRoutes-1 {
		if hasOthers {
			return &e.Routes[others]
		}
		name, index = OtherRoutes, others
	}
	e.Routes = slices.Insert(e.Routes, index, RouteEvidence{Route: name})
	return &e.Routes[index]
}

func (e *Evidence) find(name string) (int, bool) {
	return slices.BinarySearchFunc(e.Routes, name, func(counts RouteEvidence, name string) int {
		return strings.Compare(counts.Route, name)
	})
}

func latencyBucket(latency time.Duration) int {
	if latency <= time.Millisecond {
		return 0
	}
	milliseconds := float64(latency) / float64(time.Millisecond)
	return min(int(bucketsPerDoubling*math.Log2(milliseconds)), LatencyBuckets-1)
}
