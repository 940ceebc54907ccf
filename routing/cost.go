package routing

import (
	"math"
	"time"
)

// CostModel holds the parameters of the estimated cost of an attempt at a target, expressed as time. A
// field of zero means its default.
type CostModel struct {
	// PrefillBytesPerSecond is the speed at which a target prefills the uncached part of a prompt.
	PrefillBytesPerSecond float64
	// StreamTime is the assumed duration of a stream until the router has observed some.
	StreamTime time.Duration
	// FullSlowdown is the delay that a full target adds to a request, compared with an idle one.
	FullSlowdown time.Duration
	// NeighbourWeight is the share of a request's prefill time by which each running stream is delayed.
	NeighbourWeight float64
	// CrossZone is the cost of a target in another availability zone.
	CrossZone time.Duration
}

// Defaults of CostModel.
const (
	defaultPrefillBytesPerSecond = 40_000
	defaultStreamTime            = 10 * time.Second
	defaultFullSlowdown          = 400 * time.Millisecond
	defaultNeighbourWeight       = 0.02
	defaultCrossZone             = 3 * time.Millisecond
	defaultConcurrency           = 16
	// staleIndexShare is the share of the indexed prefix that counts as cached when a target's cache
	// events were lost.
	staleIndexShare = 0.9
)

func (m CostModel) withDefaults() CostModel {
	setDefault(&m.PrefillBytesPerSecond, defaultPrefillBytesPerSecond)
	setDefault(&m.StreamTime, defaultStreamTime)
	setDefault(&m.FullSlowdown, defaultFullSlowdown)
	setDefault(&m.NeighbourWeight, defaultNeighbourWeight)
	setDefault(&m.CrossZone, defaultCrossZone)
	return m
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// costInputs are the inputs of the cost estimate for one attempt at one target.
type costInputs struct {
	// load is the number of streams at the target, queued ones included.
	load float64
	// concurrency is the number of streams that the target runs well at once, lowered during a slow start.
	concurrency float64
	// uncachedBytes is the part of the prompt that the target must prefill.
	uncachedBytes float64
	// uncertainty is the standard deviation of load.
	uncertainty float64
	otherZone   bool
	// streamTime is the mean time that a stream occupies its target.
	streamTime time.Duration
}

// costEstimate is the estimated cost of an attempt, in seconds.
type costEstimate struct {
	seconds float64
	// deviation is the standard deviation that results from the uncertainty of the load.
	deviation float64
}

// estimate adds up queueing, prefill, the delay of the target's other streams, the slowdown by its load,
// and the cross-zone cost.
func (m CostModel) estimate(in costInputs) costEstimate {
	prefill := in.uncachedBytes / m.PrefillBytesPerSecond
	running := math.Min(in.load, in.concurrency)
	seconds := m.queueWait(in)
	seconds += prefill
	seconds += prefill * running * m.NeighbourWeight
	seconds += m.FullSlowdown.Seconds() * in.load / in.concurrency
	if in.otherZone {
		seconds += m.CrossZone.Seconds()
	}
	deviation := m.FullSlowdown.Seconds() * in.uncertainty / in.concurrency
	return costEstimate{seconds, deviation}
}

// queueWait returns the expected seconds until the target can run one more stream, assuming a normally
// distributed load.
func (m CostModel) queueWait(in costInputs) float64 {
	ahead := expectedExcess(in.load+1-in.concurrency, in.uncertainty)
	return ahead / in.concurrency * in.streamTime.Seconds()
}

// expectedExcess returns the mean of the positive part of a normal variable.
func expectedExcess(mean, deviation float64) float64 {
	const negligible = 4.0
	if mean >= negligible*deviation {
		return mean
	}
	if mean <= -negligible*deviation {
		return 0
	}
	z := mean / deviation
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	return mean*0.5*math.Erfc(-z/math.Sqrt2) + deviation*density
}

// EstimateCost returns the default model's cost of an attempt at a target with the given load and
// concurrency, for comparisons with a chooser that knows these exactly.
func EstimateCost(load, concurrency, uncachedBytes float64) time.Duration {
	model := CostModel{}.withDefaults()
	estimate := model.estimate(costInputs{
		load:          load,
		concurrency:   concurrency,
		uncachedBytes: uncachedBytes,
		streamTime:    model.StreamTime,
	})
	return time.Duration(estimate.seconds * float64(time.Second))
}
