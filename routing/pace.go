package routing

import (
	"math"
	"slices"
	"time"
)

const (
	// paceWindow is the number of gaps between events of which the median counts as one observation: a prompt that the engine prefills
	// beside the stream lengthens a few gaps in a row.
	paceWindow = 9
	// mergedWithin is the time within which events count as arrived together. The gap before them is divided among them.
	mergedWithin = time.Millisecond
	// paceWeight is the weight of the latest observation of an engine, so that a change is followed within three of them.
	paceWeight = 0.4
	// referenceWeight is the weight of an observation in the reference of its service, which all engines share.
	referenceWeight = 0.02
	// minReferenceCount is the number of observations from which the reference is used.
	minReferenceCount = 20
	// paceHalfLife is the time after which half of an engine's deviation is forgotten if it sends nothing: an engine that was slow gets
	// streams again and new observations.
	paceHalfLife = 6 * time.Second
	// minSlowness and maxSlowness limit the slowness of an engine.
	minSlowness, maxSlowness = 0.5, 8
	// slownessTolerance is the slowness, or its inverse, up to which an engine costs no more or less than others: noise must not outweigh
	// small gains, such as that of an engine that has the prompt cached.
	slownessTolerance = 1.05
	// An engine is reported as slow from slowFrom on, until its slowness has fallen to slowUntil.
	slowFrom, slowUntil = 1.5, 1.2
	// paceTTL is how long the pace of an engine that sends nothing is kept.
	paceTTL = time.Minute
)

// paceTable estimates how slow each engine is, compared with what is usual for its service, from the gaps between the events of this entry's
// streams. It serves engines that differ in speed by more than twice, or that slow down for some seconds, long before they are full. The
// time to the first event is not used: it depends on other entries' prompts at the engine. It is not safe for concurrent use.
type paceTable struct {
	engines    map[engineKey]*enginePace
	references map[string]*paceReference
}

// enginePace is the pace of one engine.
type enginePace struct {
	// logGap is the moving mean of the logarithm of the gap between two events, in seconds.
	logGap  float64
	service string
	at      time.Time
	// reportedSlow is set while the engine is reported as slow.
	reportedSlow bool
}

// paceReference is the pace of a service's engines together.
type paceReference struct {
	logGap float64
	count  int
}

func newPaceTable() *paceTable {
	return &paceTable{engines: map[engineKey]*enginePace{}, references: map[string]*paceReference{}}
}

// observe records the median gap between events of a stream at the engine. It reports whether the engine has become slow.
func (t *paceTable) observe(key engineKey, service string, gap time.Duration, now time.Time) (changed bool) {
	logGap := math.Log(max(gap, time.Millisecond).Seconds())
	reference := t.references[service]
	if reference == nil {
		reference = &paceReference{logGap: logGap}
		t.references[service] = reference
	}
	reference.count++
	reference.logGap += max(referenceWeight, 1/float64(reference.count)) * (logGap - reference.logGap)
	pace := t.engines[key]
	if pace == nil || pace.service != service {
		pace = &enginePace{logGap: logGap, service: service}
		t.engines[key] = pace
	}
	pace.logGap += paceWeight * (logGap - pace.logGap)
	pace.at = now
	if pace.reportedSlow || t.slowness(key, now) < slowFrom {
		return false
	}
	pace.reportedSlow = true
	return true
}

// slowCount returns the number of engines that are reported as slow.
func (t *paceTable) slowCount() int {
	count := 0
	for _, pace := range t.engines {
		if pace.reportedSlow {
			count++
		}
	}
	return count
}

// slowness returns how many times as long as is usual for its service the engine takes for an event; 1 if nothing is known.
func (t *paceTable) slowness(key engineKey, now time.Time) float64 {
	pace := t.engines[key]
	if pace == nil {
		return 1
	}
	reference := t.references[pace.service]
	if reference.count < minReferenceCount {
		return 1
	}
	kept := math.Exp2(-now.Sub(pace.at).Seconds() / paceHalfLife.Seconds())
	return min(maxSlowness, max(minSlowness, math.Exp(kept*(pace.logGap-reference.logGap))))
}

// sweep removes engines that have sent nothing for paceTTL. It returns those that were reported as slow and are no longer.
func (t *paceTable) sweep(now time.Time) (recovered []engineKey) {
	for key, pace := range t.engines {
		if pace.reportedSlow && t.slowness(key, now) <= slowUntil {
			pace.reportedSlow = false
			recovered = append(recovered, key)
		}
		if now.Sub(pace.at) > paceTTL {
			delete(t.engines, key)
		}
	}
	return recovered
}

// gapWindow collects the gaps between the events of one stream.
type gapWindow struct {
	// last is when the last event arrived that others didn't come along with, and merged the number of those that came with it.
	last   time.Time
	merged int
	gaps   [paceWindow]time.Duration
	count  int
}

// add records that an event has arrived. It returns the median gap once the window is full.
func (w *gapWindow) add(now time.Time) (median time.Duration, full bool) {
	gap := now.Sub(w.last)
	switch {
	case w.last.IsZero():
	case gap < mergedWithin:
		w.merged++
		return 0, false
	default:
		w.gaps[w.count] = gap / time.Duration(w.merged+1)
		w.count++
	}
	w.last, w.merged = now, 0
	if w.count < paceWindow {
		return 0, false
	}
	w.count = 0
	sorted := w.gaps
	slices.Sort(sorted[:])
	return sorted[paceWindow/2], true
}
