package routing

import (
	"math"
	"time"
)

const (
	historyStep  = 100 * time.Millisecond
	historySteps = 64
	// reportHalfWeightAge is the age at which a load report counts as much as the fleet's mean.
	reportHalfWeightAge = 300 * time.Millisecond
	// lowReportHalfWeightAge is the same for a load below the mean: every entry sees the low load and
	// routes requests to that target, so that its load does not stay low.
	lowReportHalfWeightAge = 20 * time.Millisecond
)

// inFlightHistory records the recent changes of the number of this entry's attempts at a target, in a
// ring buffer with one element per historyStep.
type inFlightHistory struct {
	changes [historySteps]int16
	// lastStep is the latest step in changes, counted from the Unix epoch.
	lastStep int64
}

func stepOf(at time.Time) int64 { return at.UnixNano() / int64(historyStep) }

func (h *inFlightHistory) add(now time.Time, change int16) {
	h.advance(stepOf(now))
	h.changes[h.lastStep%historySteps] += change
}

func (h *inFlightHistory) advance(step int64) {
	if step-h.lastStep >= historySteps {
		h.changes = [historySteps]int16{}
		h.lastStep = step
		return
	}
	for h.lastStep < step {
		h.lastStep++
		h.changes[h.lastStep%historySteps] = 0
	}
}

// changeSince returns the sum of the changes after the given time.
func (h *inFlightHistory) changeSince(at, now time.Time) int {
	h.advance(stepOf(now))
	first := max(stepOf(at)+1, h.lastStep-historySteps+1)
	sum := 0
	for step := first; step <= h.lastStep; step++ {
		sum += int(h.changes[step%historySteps])
	}
	return sum
}

// LoadReport is the load that a target reported.
type LoadReport struct {
	Running     int
	Queued      int
	Concurrency int
	// Age is how old the figures are at the time of the report.
	Age time.Duration
}

// peerLoad is the load that other entries put on a target, derived from its latest load report.
type peerLoad struct {
	// measuredAt is the time that the report describes; zero when there is no report.
	measuredAt time.Time
	// streams is the number of running and queued streams that did not come from this entry.
	streams float64
}

// newPeerLoad subtracts this entry's own attempts at the time of the measurement from the reported load.
func newPeerLoad(load LoadReport, ownAtMeasurement int, now time.Time) peerLoad {
	peerStreams := float64(load.Running + load.Queued - ownAtMeasurement)
	return peerLoad{measuredAt: now.Add(-load.Age), streams: max(0, peerStreams)}
}

// estimateAt estimates the load from other entries: the older the report, the closer the estimate is to
// the mean of all targets.
func (p peerLoad) estimateAt(mean float64, now time.Time) float64 {
	if p.measuredAt.IsZero() {
		return mean
	}
	age := max(0, now.Sub(p.measuredAt))
	halfWeightAge := reportHalfWeightAge
	if p.streams < mean {
		halfWeightAge = lowReportHalfWeightAge
	}
	weight := float64(halfWeightAge) / float64(halfWeightAge+age)
	return weight*p.streams + (1-weight)*mean
}

// uncertainty returns the standard deviation of the load from other entries. Streams begin and end at
// random, so that the variance is the number expected to do so since the measurement.
func (p peerLoad) uncertainty(peerStreams float64, streamTime time.Duration, now time.Time) float64 {
	turnover := 2 * peerStreams
	if !p.measuredAt.IsZero() {
		turnover *= math.Min(1, now.Sub(p.measuredAt).Seconds()/streamTime.Seconds())
	}
	return math.Sqrt(turnover)
}
