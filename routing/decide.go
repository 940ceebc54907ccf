package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// prefixCandidates is the maximum number of candidates that cache a part of the prompt.
	prefixCandidates = 6
	// randomCandidates is the number of candidates drawn at random, whatever they cache.
	randomCandidates = 3
	// noiseWeight scales the random noise that a candidate's cost gets for the uncertainty of its load.
	noiseWeight = 0.3
	// maxDrawsPerCandidate limits the draws, which may hit unusable targets. If no draw finds a candidate,
	// all targets are considered.
	maxDrawsPerCandidate = 4
)

// query holds the inputs and intermediate results of one decision.
type query struct {
	deployment  string
	group       []*target
	prefixes    []promptPrefix
	promptBytes int
	exclude     []string
	// isolated asks for the target with the least other work, regardless of its cache.
	isolated bool
	now      time.Time
	// usable reports whether a target may get new work at all, serves whether it runs the requested
	// model, version and adapter, as far as is known.
	usable, serves func(*target) bool
	// allowUnserved admits targets that are believed not to serve the request. That may be outdated, and
	// a target that does not serve it answers so.
	allowUnserved bool
	// cachedAnywhere is the number of prefixes that at least one target caches.
	cachedAnywhere int
	// preferred is the subset of group that this entry prefers.
	preferred subset
	// spreadPrefix is set when the prompt's prefix should be cached at more targets than it is now.
	spreadPrefix bool
	// candidates is reused to save allocations.
	candidates []*target
}

func (q *query) eligible(t *target) bool {
	if t.outlier.ejected(q.now) || slices.Contains(q.exclude, t.name) {
		return false
	}
	return q.usable(t) && (q.allowUnserved || q.serves(t))
}

// chooseTarget returns the cheapest of a few candidates: some that cache a prefix of the prompt, and some
// at random, so that entries with the same outdated information don't all choose the same target. It
// returns nil when no target may be used.
func chooseTarget(f *fleet, q *query, random *rand.Rand) *target {
	if len(q.group) == 0 {
		return nil
	}
	q.candidates = q.candidates[:0]
	q.allowUnserved = false
	if q.isolated {
		addAllServingOrAny(q)
		return f.leastLoaded(q)
	}
	q.preferred = newSubset(f.entryPosition, len(q.group))
	q.cachedAnywhere = f.index.cachedAnywhere(q.prefixes)
	q.spreadPrefix = f.shouldSpreadPrefix(q)
	f.addPrefixCandidates(q, random)
	addRandomCandidates(q, random)
	if len(q.candidates) == 0 {
		addAllServingOrAny(q)
	}
	return f.drawCandidate(q, random)
}

// shouldSpreadPrefix reports whether the prompt begins with a prefix that is so popular that more targets
// should cache it.
func (f *fleet) shouldSpreadPrefix(q *query) bool {
	if q.cachedAnywhere == 0 {
		return false
	}
	hash := q.prefixes[q.cachedAnywhere-1].hash
	count := f.popularity.recordUse(hash, q.now)
	desired := desiredTargets(count, f.entryPosition.Count, f.meanStreamTime, float64(q.group[0].concurrency()))
	return float64(len(f.index.targetsByPrefix[hash])) < desired
}

// leastLoaded returns the candidate with the fewest streams.
func (f *fleet) leastLoaded(q *query) *target {
	var best *target
	var lowest float64
	for _, t := range q.candidates {
		load := f.reportedLoad(t)
		if best == nil || load < lowest {
			best, lowest = t, load
		}
	}
	return best
}

// drawCandidate picks a candidate at random, cheaper ones with a higher probability. The more uncertain a
// candidate's load, the more random the pick, because other entries have the same information.
func (f *fleet) drawCandidate(q *query, random *rand.Rand) *target {
	var best *target
	var lowest float64
	for _, t := range q.candidates {
		estimate := f.estimateCost(t, q)
		// Subtracting Gumbel noise and taking the minimum samples with weights exp(-cost/deviation).
		noise := -math.Log(-math.Log(1 - random.Float64()))
		value := estimate.seconds - noise*estimate.deviation*noiseWeight
		if best == nil || value < lowest {
			best, lowest = t, value
		}
	}
	return best
}

// addPrefixCandidates adds targets that cache much of the prompt, starting with the longest prefix that
// any target caches and continuing with ever shorter ones.
func (f *fleet) addPrefixCandidates(q *query, random *rand.Rand) {
	for count := q.cachedAnywhere; count > 0 && len(q.candidates) < prefixCandidates; count = count * 2 / 3 {
		caching := f.index.targetsByPrefix[q.prefixes[count-1].hash]
		if len(caching) == 0 {
			continue
		}
		start := random.IntN(len(caching))
		f.addCachingTargets(q, caching, start, true)
		f.addCachingTargets(q, caching, start, false)
	}
}

// addCachingTargets adds targets that cache a prefix: those in this entry's subset if preferred is set,
// otherwise those outside it.
func (f *fleet) addCachingTargets(q *query, caching []targetID, start int, preferred bool) {
	for i := range min(len(caching), prefixCandidates*maxDrawsPerCandidate) {
		if len(q.candidates) >= prefixCandidates {
			return
		}
		t := f.byID[caching[(start+i)%len(caching)]]
		deploymentIndex := slices.Index(t.deployments, q.deployment)
		if deploymentIndex >= 0 && q.preferred.contains(t.positions[deploymentIndex]) == preferred {
			q.addCandidate(t)
		}
	}
}

func addRandomCandidates(q *query, random *rand.Rand) {
	if len(q.group) <= randomCandidates {
		addAll(q)
		return
	}
	wanted := len(q.candidates) + randomCandidates
	for range randomCandidates * maxDrawsPerCandidate {
		if len(q.candidates) >= wanted {
			return
		}
		q.addCandidate(q.group[q.preferred.positionOf(random.IntN(q.preferred.length))])
	}
}

// addAllServingOrAny makes every usable target that serves the request a candidate, or every usable
// target if none serves it.
func addAllServingOrAny(q *query) {
	addAll(q)
	if len(q.candidates) == 0 {
		q.allowUnserved = true
		addAll(q)
	}
}

// addAll makes every eligible target a candidate.
func addAll(q *query) {
	q.candidates = q.candidates[:0]
	for _, t := range q.group {
		if q.eligible(t) {
			q.candidates = append(q.candidates, t)
		}
	}
}

func (q *query) addCandidate(t *target) {
	if !slices.Contains(q.candidates, t) && q.eligible(t) {
		q.candidates = append(q.candidates, t)
	}
}
