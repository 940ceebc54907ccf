package rollout

import (
	"math"
	"time"
)

// Decision is what a judge has concluded of a version.
type Decision int

// Decisions of a judge.
const (
	Undecided Decision = iota
	Good
	Bad
)

// Verdict is a decision with its reason.
type Verdict struct {
	Decision Decision
	// Reason is "failures", "connections" or "latency", with "on route NAME" if only one route is affected. It is
	// empty unless the decision is Bad.
	Reason string
}

// The judge runs a cumulative sum of log-likelihood ratios (CUSUM) for each aspect of the new version: a request
// adds the logarithm of how much likelier its result is for a bad version than for one like the old version.
const (
	// badThreshold is the sum at which a version is bad. For a version like the old one, a sum that begins at
	// sumFloor reaches it once in more than e^8 requests.
	badThreshold = 6.0
	// routeThreshold is badThreshold for one route: there are up to MaxRoutes of them.
	routeThreshold = badThreshold + 2
	// sumFloor bounds the sum below, so that a version that becomes bad later is found as fast.
	sumFloor = -2.0
	// goodThreshold is the sum over all routes at and below which a version is good, once it has minGoodResponses.
	goodThreshold    = 0.5
	minGoodResponses = 10
	// suspicionPart is the part of the sum at which a version is bad above which it is not yet good.
	suspicionPart = 0.5
	// acceptThreshold is the total over all routes, and routeAcceptThreshold that of one route, at and below which a version
	// is acceptable.
	acceptThreshold      = -2.0
	routeAcceptThreshold = 2.5

	// gainWindow and the gain limits bound what one second can add to a sum: a short fault, as of one target that
	// pauses, makes no version bad.
	gainWindow = time.Second
	gainLimit  = badThreshold / 1.5
	// connectionGainLimit makes a verdict take broken connections in five seconds: once all requests go to the new
	// version, a zone that crashes looks like a version that crashes, until its targets get no more requests.
	connectionGainLimit    = (badThreshold - sumFloor) / 5
	minBaseRate            = 0.01
	minSlowShare           = 0.04
	maxBaseRate            = 0.95
	failureRateIncrease    = 0.2
	connectionRateIncrease = 0.15
	slowShareIncrease      = 0.2
)

const (
	// longHalfLife and shortHalfLife are those of the two windows in which the old version's rates are taken: the
	// long one for a small error, the short one for what befalls both versions at the same seconds.
	longHalfLife  = 20 * time.Second
	shortHalfLife = 1500 * time.Millisecond
	// binTime is the time over which evidence is collected before it is judged, so that the beginning of what
	// befalls both versions is seen at both.
	binTime = 500 * time.Millisecond
	// priorRequests is the weight, in requests, of the rate over all routes in that of one route.
	priorRequests = 10
	// minLatencies is the number of the old version's responses on a route from which on latencies are compared.
	minLatencies = 30
	// slowQuantile is the quantile of the old version's latencies that separates slow responses, and
	// slowMarginBuckets a margin above it: 1.4 times. Without the margin, a version that takes 1.3 times as long is
	// found bad, with it one that takes 3 times as long is found as fast.
	slowQuantile      = 0.9
	slowMarginBuckets = 2
	// minCrashShare is the share of broken connections at the old version, and crashExcess how many times the usual
	// one it is, from which on targets are taken to crash. For crashTime after, connections to them may still break.
	minCrashShare = 0.05
	crashExcess   = 1.5
	crashTime     = time.Second
	// minUncompared is the number of the new version's responses from which on it may be good although the old
	// version has no responses to compare their latency to.
	minUncompared = 20
)

type aspect int

const (
	failures aspect = iota
	connections
	latency
	aspects
)

var aspectNames = [aspects]string{"failures", "connections", "latency"}

// Judge compares a new version with the old one, as evidence of both from the same seconds comes in.
type Judge struct {
	// bin is what was seen since binBegun and is not judged yet.
	bin      struct{ older, newer Evidence }
	binBegun time.Time
	begun    bool
	routes   []*judgedRoute // in the order in which they were seen
	sums     [aspects]cumulativeSum
	totals   [periods]totals
	// compared and uncompared count the new version's responses whose latency could and could not be compared.
	compared, uncompared float64
	bad                  string
	// crashed is the last time at which targets of the old version crashed.
	crashed time.Time
}

type judgedRoute struct {
	name   string
	old    baseline
	sums   [aspects]cumulativeSum
	totals [periods]totals
}

// totals are sums without a floor over a whole period. A cumulative sum finds a fault whenever it begins, but a few good
// responses undo several bad ones at its floor: whether a version is acceptable is decided on all evidence of a period.
type totals [aspects]cumulativeSum

// The periods of totals: a fault may show from the order on, or only under the load of the stage Shift.
const (
	sinceOrder = iota
	sinceShift
	periods
)

// NewJudge returns a judge without evidence.
func NewJudge() *Judge { return &Judge{} }

// Add takes in what was seen of both versions since the call before.
func (j *Judge) Add(now time.Time, older, newer Evidence) {
	if !j.begun {
		j.begun, j.binBegun = true, now
	}
	j.bin.older.Add(older)
	j.bin.newer.Add(newer)
	if elapsed := now.Sub(j.binBegun); elapsed >= binTime || elapsed < 0 {
		j.judgeBin(now, elapsed)
		j.bin.older, j.bin.newer = Evidence{}, Evidence{}
		j.binBegun = now
	}
}

func (j *Judge) judgeBin(now time.Time, elapsed time.Duration) {
	j.addOld(elapsed)
	all := j.overall()
	j.noteCrashes(now, all)
	for i := range j.bin.newer.Routes {
		seen := &j.bin.newer.Routes[i]
		j.addNew(now, j.route(seen.Route), seen, all)
	}
	if j.bad == "" {
		j.bad = j.findBad()
	}
}

// addOld updates the baselines. A bin without requests at the old version changes nothing: once all requests go to
// the new one, the last rates of the old one still hold.
func (j *Judge) addOld(elapsed time.Duration) {
	requests := int64(0)
	for i := range j.bin.older.Routes {
		requests += j.bin.older.Routes[i].Requests
	}
	if requests == 0 {
		return
	}
	for _, route := range j.routes {
		route.old.decay(elapsed)
	}
	for i := range j.bin.older.Routes {
		j.route(j.bin.older.Routes[i].Route).old.add(&j.bin.older.Routes[i])
	}
}

// overall returns what was seen of the old version on all routes, with slow responses by the measure of their route.
func (j *Judge) overall() windows {
	var all windows
	for _, route := range j.routes {
		route.old.countSlow()
		all.long.add(route.old.long)
		all.short.add(route.old.short)
		all.bin.add(route.old.bin)
	}
	return all
}

// noteCrashes notes the time at which more connections to the old version break than usual.
func (j *Judge) noteCrashes(now time.Time, all windows) {
	share := max(lowerBound(all.short.broken, all.short.requests), lowerBound(all.bin.broken, all.bin.requests))
	if share > minCrashShare && share > crashExcess*all.long.broken/all.long.requests {
		j.crashed = now
	}
}

// addNew judges what was seen of the new version on one route. The base rates are those of the long window on that
// route, or of what befalls the old version in the same seconds: on that route, or on all of them, since one route
// has few requests at low rates.
func (j *Judge) addNew(now time.Time, route *judgedRoute, seen *RouteEvidence, all windows) {
	old := &route.old
	prior := all.long.rates(rates{})
	answered, failed, broken := float64(seen.answered()), float64(seen.Failures), float64(seen.Broken)

	base := old.long.rates(prior).failures
	for _, recent := range []counts{old.short, old.bin, all.short, all.bin} {
		base = max(base, lowerBound(recent.failures, recent.judged()))
	}
	j.addGain(now, route, failures, gain(answered, failed, base, failureRateIncrease), gainLimit)

	// Targets that crash at once are of both versions, in numbers that differ: meanwhile, broken connections count for
	// neither version, and answers don't clear the new one.
	if now.Sub(j.crashed) > crashTime {
		j.addGain(now, route, connections, gain(answered+failed, broken, old.long.rates(prior).broken, connectionRateIncrease), connectionGainLimit)
	}

	if !old.comparable {
		j.uncompared += answered
		return
	}
	slow := countFrom(seen.Latency, old.slowBucket)
	j.compared += answered
	base = max(upperBound(old.long.slow, old.long.answered), minSlowShare)
	for _, recent := range []counts{old.short, old.bin, all.short, all.bin} {
		base = max(base, lowerBound(recent.slow, recent.answered))
	}
	j.addGain(now, route, latency, gain(answered-slow, slow, base, slowShareIncrease), gainLimit)
}

func (j *Judge) addGain(now time.Time, route *judgedRoute, aspect aspect, gain, limit float64) {
	route.sums[aspect].add(now, gain, limit, sumFloor)
	j.sums[aspect].add(now, gain, limit, sumFloor)
	for period := range periods {
		route.totals[period][aspect].add(now, gain, limit, math.Inf(-1))
		j.totals[period][aspect].add(now, gain, limit, math.Inf(-1))
	}
}

// beginShift begins the period sinceShift.
func (j *Judge) beginShift() {
	j.totals[sinceShift] = totals{}
	for _, route := range j.routes {
		route.totals[sinceShift] = totals{}
	}
}

// acceptable reports whether all evidence, since the order as well as since the stage Shift began, speaks clearly for the
// version.
func (j *Judge) acceptable() bool {
	for period := range periods {
		for aspect := range aspects {
			// Without latencies of the old version there is nothing to compare.
			if aspect == latency && j.compared == 0 {
				continue
			}
			// A zone that crashes in the stage Shift, in which the old version gets few requests or none, breaks as many
			// connections as a crashing version; and a target that crashes breaks those of all routes.
			if aspect == connections {
				if period == sinceOrder && j.totals[period][aspect].value > acceptThreshold {
					return false
				}
				continue
			}
			if j.totals[period][aspect].value > acceptThreshold {
				return false
			}
			for _, route := range j.routes {
				if route.totals[period][aspect].value > routeAcceptThreshold {
					return false
				}
			}
		}
	}
	return true
}

func (j *Judge) route(name string) *judgedRoute {
	for _, route := range j.routes {
		if route.name == name {
			return route
		}
	}
	if len(j.routes) >= MaxRoutes-1 && name != OtherRoutes {
		return j.route(OtherRoutes)
	}
	route := &judgedRoute{name: name}
	j.routes = append(j.routes, route)
	return route
}

func (j *Judge) findBad() string {
	for aspect, sum := range j.sums {
		if sum.value >= badThreshold {
			return aspectNames[aspect]
		}
	}
	for _, route := range j.routes {
		for aspect, sum := range route.sums {
			if sum.value >= routeThreshold {
				return aspectNames[aspect] + " on route " + route.name
			}
		}
	}
	return ""
}

// Verdict returns the decision on all evidence so far. Bad is final; Good is not.
func (j *Judge) Verdict() Verdict {
	if j.bad != "" {
		return Verdict{Decision: Bad, Reason: j.bad}
	}
	if j.compared+j.uncompared < minGoodResponses {
		return Verdict{}
	}
	if j.sums[failures].value > goodThreshold || j.sums[connections].value > goodThreshold {
		return Verdict{}
	}
	noLatencies := j.compared == 0 && j.uncompared >= minUncompared
	if (j.compared < minGoodResponses || j.sums[latency].value > goodThreshold) && !noLatencies {
		return Verdict{}
	}
	if j.suspicious() {
		return Verdict{}
	}
	return Verdict{Decision: Good}
}

// suspicious reports whether the evidence on any aspect speaks against the new version.
func (j *Judge) suspicious() bool {
	return j.suspiciousOf(failures) || j.suspiciousOf(connections) || j.suspiciousOf(latency)
}

func (j *Judge) suspiciousOf(aspect aspect) bool {
	if j.sums[aspect].value > suspicionPart*badThreshold {
		return true
	}
	for _, route := range j.routes {
		if route.sums[aspect].value > suspicionPart*routeThreshold {
			return true
		}
	}
	return false
}

// cumulativeSum is a sum of log-likelihood ratios that never falls below a floor.
type cumulativeSum struct {
	value float64
	// windowBegun is the time at which the last gainWindow began, windowValue the value then.
	windowBegun time.Time
	windowValue float64
}

func (s *cumulativeSum) add(now time.Time, gain, limit, floor float64) {
	if now.Sub(s.windowBegun) >= gainWindow {
		s.windowBegun, s.windowValue = now, s.value
	}
	s.value = min(max(s.value+gain, floor), s.windowValue+limit)
}

// gain returns the log-likelihood ratio of the requests seen: for a rate that exceeds base by the given part of
// what is left, against the rate base.
func gain(without, with, base, increase float64) float64 {
	base = min(max(base, minBaseRate), maxBaseRate)
	raised := base + (1-base)*increase
	return with*math.Log(raised/base) + without*math.Log((1-raised)/(1-base))
}

// windows are what was seen of the old version: with older requests weighing less, by two half-lives, and in the last
// bin.
type windows struct{ long, short, bin counts }

type counts struct {
	requests, failures, broken float64
	// slow counts the responses of answered that are slow.
	answered, slow float64
}

type rates struct{ failures, broken float64 }

func (c *counts) add(other counts) {
	c.requests += other.requests
	c.failures += other.failures
	c.broken += other.broken
	c.answered += other.answered
	c.slow += other.slow
}

func (c *counts) scale(factor float64) {
	c.requests *= factor
	c.failures *= factor
	c.broken *= factor
}

func (c *counts) judged() float64 { return c.requests - c.broken }

func (c *counts) rates(prior rates) rates {
	return rates{
		failures: upperBound(c.failures+prior.failures*priorRequests, c.judged()+priorRequests),
		broken:   upperBound(c.broken+prior.broken*priorRequests, c.requests+priorRequests),
	}
}

// upperBound returns a rate that is about one standard error above the one seen: a rate taken too low makes each
// failure of a good version weigh too much.
func upperBound(count, of float64) float64 { return (count + math.Sqrt(count+0.25)) / (of + 1) }

// lowerBound returns a rate that is about half a standard error below the one seen.
func lowerBound(count, of float64) float64 {
	if count <= 1 || of <= 0 {
		return 0
	}
	return max(count-math.Sqrt(count)/2-0.5, 0) / of
}

// baseline is what was seen of the old version on one route.
type baseline struct {
	windows
	latencies struct{ long, short, bin histogram }
	// slowBucket is the first bucket of slow responses, if there are enough responses to be comparable.
	slowBucket int
	comparable bool
}

type histogram [LatencyBuckets]float64

func (h *histogram) scale(factor float64) {
	for i := range h {
		h[i] *= factor
	}
}

func (h *histogram) countFrom(bucket int) float64 {
	sum := 0.0
	for _, count := range h[bucket:] {
		sum += count
	}
	return sum
}

func (b *baseline) decay(elapsed time.Duration) {
	elapsed = max(elapsed, 0)
	long, short := math.Exp2(-float64(elapsed)/float64(longHalfLife)), math.Exp2(-float64(elapsed)/float64(shortHalfLife))
	b.long.scale(long)
	b.latencies.long.scale(long)
	b.short.scale(short)
	b.latencies.short.scale(short)
	b.bin, b.latencies.bin = counts{}, histogram{}
}

func (b *baseline) add(seen *RouteEvidence) {
	added := counts{requests: float64(seen.Requests), failures: float64(seen.Failures), broken: float64(seen.Broken)}
	b.long.add(added)
	b.short.add(added)
	b.bin.add(added)
	for i, count := range seen.Latency {
		b.latencies.long[i] += float64(count)
		b.latencies.short[i] += float64(count)
		b.latencies.bin[i] += float64(count)
	}
}

// countSlow determines which responses are slow, and counts them in each window.
func (b *baseline) countSlow() {
	b.long.answered = b.latencies.long.countFrom(0)
	b.comparable = b.long.answered >= minLatencies
	b.short.answered, b.bin.answered = 0, 0
	b.long.slow, b.short.slow, b.bin.slow = 0, 0, 0
	if !b.comparable {
		return
	}
	// The quantile's bucket is the last one with at least this many responses in it and beyond. With few responses
	// a higher quantile is taken, by a standard error: the one seen may be too low.
	slowest := (1-slowQuantile)*b.long.answered - math.Sqrt(slowQuantile*(1-slowQuantile)*b.long.answered)
	beyond, bucket := 0.0, LatencyBuckets
	for bucket > 0 && beyond < max(slowest, 1) {
		bucket--
		beyond += b.latencies.long[bucket]
	}
	b.slowBucket = min(bucket+1+slowMarginBuckets, LatencyBuckets-1)
	b.short.answered, b.bin.answered = b.latencies.short.countFrom(0), b.latencies.bin.countFrom(0)
	b.long.slow = b.latencies.long.countFrom(b.slowBucket)
	b.short.slow = b.latencies.short.countFrom(b.slowBucket)
	b.bin.slow = b.latencies.bin.countFrom(b.slowBucket)
}

func countFrom(latencies []uint32, bucket int) float64 {
	sum := 0.0
	for i := bucket; i < len(latencies); i++ {
		sum += float64(latencies[i])
	}
	return sum
}
