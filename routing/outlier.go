package routing

import "time"

const (
	failuresToEject       = 3
	ejectionTime          = 5 * time.Second
	maxEjectionTime       = time.Minute
	slowStartTime         = 10 * time.Second
	initialSlowStartShare = 0.1
	// minAvailableShare is the minimum share of a deployment's targets that ejection leaves available.
	minAvailableShare = 0.5
)

// outlier tracks the failures of a target for outlier ejection and slow start.
type outlier struct {
	// consecutiveFailures counts the failed attempts since the last success or ejection.
	consecutiveFailures int
	// consecutiveEjections counts the ejections since the last success.
	consecutiveEjections int
	ejectedUntil         time.Time
	// slowStartBegan is when the target was added or became available again; zero once the slow start is
	// over.
	slowStartBegan time.Time
}

func (o *outlier) ejected(now time.Time) bool { return now.Before(o.ejectedUntil) }

// recordFailure counts a failed attempt and reports whether the target should be ejected.
func (o *outlier) recordFailure() bool {
	o.consecutiveFailures++
	return o.consecutiveFailures >= failuresToEject
}

func (o *outlier) recordSuccess() {
	o.consecutiveFailures = 0
	o.consecutiveEjections = 0
}

// eject excludes the target for a time that doubles with each consecutive ejection, up to
// maxEjectionTime.
func (o *outlier) eject(now time.Time) {
	duration := ejectionTime << min(o.consecutiveEjections, 8)
	o.consecutiveEjections++
	o.consecutiveFailures = 0
	o.ejectedUntil = now.Add(min(duration, maxEjectionTime))
	o.slowStartBegan = o.ejectedUntil
}

// slowStartShare returns the share of its concurrency that a target may use during its slow start.
func (o *outlier) slowStartShare(now time.Time) float64 {
	if o.slowStartBegan.IsZero() {
		return 1
	}
	elapsed := max(0, now.Sub(o.slowStartBegan))
	if elapsed >= slowStartTime {
		o.slowStartBegan = time.Time{}
		return 1
	}
	progress := float64(elapsed) / float64(slowStartTime)
	return initialSlowStartShare + (1-initialSlowStartShare)*progress
}

// mayEject reports whether one more ejection would leave minAvailableShare of the group available.
func mayEject(group []*target, now time.Time) bool {
	ejected := 0
	for _, t := range group {
		if t.outlier.ejected(now) {
			ejected++
		}
	}
	return float64(len(group)-ejected-1) >= minAvailableShare*float64(len(group))
}
