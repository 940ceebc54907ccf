package service

import (
	"slices"
	"time"
)

const (
	// latencySamples is the number of recent calls from which the hedge delay is computed.
	latencySamples = 256
	// latencyRecomputeSamples is the number of new samples after which the hedge delay is recomputed.
	latencyRecomputeSamples = 16
	// latencyQuantile is the fraction of calls that are answered before a hedge is sent.
	latencyQuantile = 0.95
	// defaultHedgeDelay applies until there are enough samples.
	defaultHedgeDelay = 50 * time.Millisecond
	// minHedgeDelay keeps small latency variations from triggering hedges.
	minHedgeDelay = time.Millisecond
)

// latencyWindow estimates, from the most recent samples, the latency that most calls to a set of
// targets stay below.
type latencyWindow struct {
	samples    []time.Duration
	next       int
	newSamples int
	delay      time.Duration
}

// Add records how long a caller waited for its answer.
func (l *latencyWindow) Add(took time.Duration) {
	if len(l.samples) < latencySamples {
		l.samples = append(l.samples, took)
	} else {
		l.samples[l.next] = took
		l.next = (l.next + 1) % latencySamples
	}
	l.newSamples++
	if l.newSamples >= latencyRecomputeSamples {
		l.recompute()
	}
}

func (l *latencyWindow) recompute() {
	l.newSamples = 0
	sorted := slices.Clone(l.samples)
	slices.Sort(sorted)
	l.delay = max(sorted[int(latencyQuantile*float64(len(sorted)-1))], minHedgeDelay)
}

// HedgeDelay returns how long to wait for an answer before sending a hedge.
func (l *latencyWindow) HedgeDelay() time.Duration {
	if l.delay == 0 {
		return defaultHedgeDelay
	}
	return l.delay
}
