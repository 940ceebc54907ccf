package rollout

import "time"

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
	// LatencyBuckets is the number of latency buckets. Bucket i holds latencies from 2^(i/4) ms up to the lower
	// bound of the next; the first and the last one hold what is beyond.
	LatencyBuckets = 80
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
// the first event; only that of an answered request counts. A stream that fails after its first event is
// recorded by RecordLateFailure.
func (e *Evidence) Record(route string, outcome Outcome, latency time.Duration) { panic("not built yet") }

// RecordLateFailure turns one answered request of the route into one with the outcome given.
func (e *Evidence) RecordLateFailure(route string, outcome Outcome) { panic("not built yet") }

// Add adds what was seen elsewhere or in another window. It retains nothing of other.
func (e *Evidence) Add(other Evidence) { panic("not built yet") }

// Empty reports whether the evidence holds nothing.
func (e Evidence) Empty() bool { return e.Started == 0 && len(e.Routes) == 0 }

// Valid reports whether evidence from a message can be added: within the bounds, and no negative counts.
func (e Evidence) Valid() bool { panic("not built yet") }
