package experiment

import (
	"slices"
	"time"
)

// Samples holds measured durations, from which quantiles are computed exactly.
type Samples []time.Duration

// Add appends one duration.
func (s *Samples) Add(d time.Duration) { *s = append(*s, d) }

// QuantileMs returns the q-quantile in milliseconds by the nearest-rank method, with q from 0 to 1. It
// returns 0 without samples.
func (s Samples) QuantileMs(q float64) float64 {
	if len(s) == 0 {
		return 0
	}
	sorted := slices.Clone(s)
	slices.Sort(sorted)
	rank := int(q * float64(len(sorted)))
	return Ms(sorted[min(rank, len(sorted)-1)])
}

// Ms converts a duration to milliseconds.
func Ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
