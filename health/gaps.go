// Package health detects failures of streams and targets from the events that arrive, finds requests that
// crash targets, and detects pauses of this process itself. Decisions are pure functions of the
// observations.
package health

import (
	"math"
	"time"
)

// gapWeight is the weight of the newest gap in the moving mean and variance.
const gapWeight = 0.1

// Gaps estimates the distribution of the gaps between a stream's tokens. The zero value is ready.
type Gaps struct {
	mean     float64
	variance float64
	count    int
}

// Observe adds one gap.
func (g *Gaps) Observe(gap time.Duration) {
	value := float64(gap)
	if g.count == 0 {
		g.mean = value
	} else {
		difference := value - g.mean
		g.mean += gapWeight * difference
		g.variance = (1 - gapWeight) * (g.variance + gapWeight*difference*difference)
	}
	g.count++
}

// Count returns the number of gaps observed.
func (g *Gaps) Count() int { return g.count }

// Mean returns the moving mean of the gaps.
func (g *Gaps) Mean() time.Duration { return time.Duration(g.mean) }

// Sensitivity configures how long a silence is tolerated before a stream is suspected.
type Sensitivity struct {
	// MeanMultiple is the multiple of the mean gap that is always tolerated.
	MeanMultiple float64
	// Deviations is the number of standard deviations above the mean that is tolerated.
	Deviations float64
	// Floor is the minimum silence that is suspicious.
	Floor time.Duration
	// InitialLimit is the tolerated silence while there are too few gaps for an estimate.
	InitialLimit time.Duration
}

// minGaps is the number of gaps from which the estimate is used.
const minGaps = 3

// SilenceLimit returns the silence after which the stream is suspected.
func (g *Gaps) SilenceLimit(s Sensitivity) time.Duration {
	if g.count < minGaps {
		return s.InitialLimit
	}
	byMean := s.MeanMultiple * g.mean
	byDeviation := g.mean + s.Deviations*math.Sqrt(g.variance)
	return max(s.Floor, time.Duration(byMean), time.Duration(byDeviation))
}
