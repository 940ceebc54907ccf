// Package slo measures service-level objectives. Each entry counts the good and bad events of each
// objective and records latencies. The reports of the entries are merged, first by availability zone
// and then over all zones; from a merged report the package computes the burn rate of each
// objective: how fast its error budget is spent.
package slo

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/config"
)

// Range and precision of the latency histograms, and the time span that they cover.
const (
	lowestLatency      = time.Millisecond
	highestLatency     = 10 * time.Minute
	significantFigures = 2
	// Latencies are kept for latencySlots slots of the length latencySlot.
	latencySlots = 4
	latencySlot  = 15 * time.Minute
)

// Series identifies one objective of one deployment.
type Series struct {
	Deployment string
	Kind       v1.ObjectiveKind
}

// Configuration provides the configuration in use.
type Configuration interface {
	Snapshot() *config.Snapshot
}

// Recorder records the events of one entry. It is safe for concurrent use. It drops the events of
// objectives that no deployment declares, so that the configuration bounds its memory.
type Recorder struct {
	configuration Configuration
	now           func() time.Time

	mu     sync.Mutex
	series map[Series]*measurements
}

// measurements holds the counts and latencies of one series.
type measurements struct {
	counts    countRing
	latencies latencyRing
}

// NewRecorder returns an empty recorder.
func NewRecorder(configuration Configuration) *Recorder {
	return &Recorder{configuration: configuration, now: time.Now, series: map[Series]*measurements{}}
}

// Answered counts an accepted request; complete states whether its caller received the complete
// answer.
func (r *Recorder) RecordAnswer(deployment string, complete bool) {
	series := Series{deployment, v1.ObjectiveAnswered}
	if r.objective(series) == nil {
		return
	}
	r.record(series, complete, 0)
}

// Latency records an event of a latency objective; it is good if took is within the objective's
// threshold.
func (r *Recorder) RecordLatency(deployment string, kind v1.ObjectiveKind, took time.Duration) {
	series := Series{deployment, kind}
	objective := r.objective(series)
	if objective == nil {
		return
	}
	r.record(series, took <= time.Duration(objective.Threshold), took)
}

// objective returns the declared objective of the series, or nil if there is none.
func (r *Recorder) objective(series Series) *v1.Objective {
	deployment := r.configuration.Snapshot().Deployments[series.Deployment]
	if deployment == nil {
		return nil
	}
	return findObjective(deployment, series.Kind)
}

func findObjective(deployment *v1.Deployment, kind v1.ObjectiveKind) *v1.Objective {
	for i := range deployment.Spec.Objectives {
		if deployment.Spec.Objectives[i].Kind == kind {
			return &deployment.Spec.Objectives[i]
		}
	}
	return nil
}

func (r *Recorder) record(series Series, good bool, took time.Duration) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	measured, known := r.series[series]
	if !known {
		measured = &measurements{}
		r.series[series] = measured
	}
	measured.counts.add(now, good)
	if took > 0 {
		measured.latencies.add(now, took)
	}
}

// latencyRing holds one histogram for each slot of the last hour. Slots are numbered from the Unix
// epoch; slot n is stored at index n modulo latencySlots.
type latencyRing struct {
	slots  [latencySlots]*hdrhistogram.Histogram
	newest int64
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency.Milliseconds(), highestLatency.Milliseconds(), significantFigures)
}

func slotNumber(at time.Time) int64 { return at.UnixNano() / int64(latencySlot) }

// advance makes number the newest slot, unless a newer one exists, and clears the slots after the
// previous newest one.
func (r *latencyRing) advance(number int64) {
	for n := max(r.newest+1, number-latencySlots+1); n <= number; n++ {
		r.slots[n%latencySlots] = nil
	}
	r.newest = max(r.newest, number)
}

func (r *latencyRing) add(at time.Time, took time.Duration) {
	number := slotNumber(at)
	r.advance(number)
	slot := &r.slots[number%latencySlots]
	if *slot == nil {
		*slot = newHistogram()
	}
	bounded := min(max(took, lowestLatency), highestLatency)
	// The only error is a value out of range, which bounded excludes.
	_ = (*slot).RecordValue(bounded.Milliseconds())
}

// mergedHistogram returns the latencies of all slots at now.
func (r *latencyRing) mergedHistogram(now time.Time) *hdrhistogram.Histogram {
	r.advance(slotNumber(now))
	merged := newHistogram()
	for _, slot := range r.slots {
		if slot != nil {
			merged.Merge(slot)
		}
	}
	return merged
}
