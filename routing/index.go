package routing

import (
	"slices"
	"sort"
)

// Limits of the prefix index.
const (
	// maxIndexedPrefixes is the limit for the prefixes of all targets together.
	maxIndexedPrefixes = 2_000_000
	// maxPrefixesPerTarget is the limit for one target in a small fleet.
	maxPrefixesPerTarget = 4096
	// minPrefixesPerTarget is the lower bound of the limit for one target.
	minPrefixesPerTarget = 64
	// maxSampling is the maximum number of prefixes of which the index keeps one.
	maxSampling = 8
)

// targetID identifies a target of a fleet; the IDs of removed targets are reused.
type targetID uint32

// prefixIndex records which targets probably cache a prefix.
type prefixIndex struct {
	targetsByPrefix  map[PrefixHash][]targetID
	prefixesByTarget map[targetID]*targetPrefixes
	// maxPerTarget is the maximum number of prefixes of one target.
	maxPerTarget int
	// sampling, a power of 2, is the number of prefixes of which one is kept, selected by its hash. It lets
	// the index of a large fleet cover as many prompts at a lower precision.
	sampling int
}

// targetPrefixes are the prefixes that one target caches; the oldest is removed first when there are too
// many.
type targetPrefixes struct {
	set map[PrefixHash]struct{}
	// order holds the prefixes, oldest first. Prefixes that are no longer in set are skipped.
	order []PrefixHash
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{
		targetsByPrefix:  map[PrefixHash][]targetID{},
		prefixesByTarget: map[targetID]*targetPrefixes{},
		maxPerTarget:     maxPrefixesPerTarget,
		sampling:         1,
	}
}

// setFleetSize sets the limit for each target and the sampling for a fleet of the given number of targets.
func (x *prefixIndex) setFleetSize(targets int) {
	share := maxIndexedPrefixes / max(targets, 1)
	x.maxPerTarget = min(max(share, minPrefixesPerTarget), maxPrefixesPerTarget)
	x.sampling = 1
	for x.sampling < maxSampling && 2*x.sampling*x.maxPerTarget <= maxPrefixesPerTarget {
		x.sampling *= 2
	}
}

// isSampled reports whether the index keeps the prefix.
func (x *prefixIndex) isSampled(hash PrefixHash) bool { return hash&PrefixHash(x.sampling-1) == 0 }

func (x *prefixIndex) add(id targetID, hash PrefixHash) {
	if !x.isSampled(hash) {
		return
	}
	cached, ok := x.prefixesByTarget[id]
	if !ok {
		cached = &targetPrefixes{set: map[PrefixHash]struct{}{}}
		x.prefixesByTarget[id] = cached
	}
	if _, ok := cached.set[hash]; ok {
		return
	}
	cached.set[hash] = struct{}{}
	cached.order = append(cached.order, hash)
	x.targetsByPrefix[hash] = append(x.targetsByPrefix[hash], id)
	for len(cached.set) > x.maxPerTarget {
		oldest := cached.order[0]
		cached.order = cached.order[1:]
		x.remove(id, oldest)
	}
	cached.compact()
}

// compact removes the prefixes from order that are no longer in set, once they are the majority.
func (p *targetPrefixes) compact() {
	if len(p.order) <= 2*len(p.set)+minPrefixesPerTarget {
		return
	}
	seen := make(map[PrefixHash]struct{}, len(p.set))
	kept := make([]PrefixHash, 0, len(p.set))
	for _, hash := range slices.Backward(p.order) {
		_, cached := p.set[hash]
		_, again := seen[hash]
		if cached && !again {
			seen[hash] = struct{}{}
			kept = append(kept, hash)
		}
	}
	slices.Reverse(kept)
	p.order = kept
}

func (x *prefixIndex) remove(id targetID, hash PrefixHash) {
	cached, ok := x.prefixesByTarget[id]
	if !ok {
		return
	}
	if _, ok := cached.set[hash]; !ok {
		return
	}
	delete(cached.set, hash)
	targets := x.targetsByPrefix[hash]
	i := slices.Index(targets, id)
	targets[i] = targets[len(targets)-1]
	targets = targets[:len(targets)-1]
	if len(targets) == 0 {
		delete(x.targetsByPrefix, hash)
		return
	}
	x.targetsByPrefix[hash] = targets
}

// removeTarget removes all prefixes of a target.
func (x *prefixIndex) removeTarget(id targetID) {
	cached, ok := x.prefixesByTarget[id]
	if !ok {
		return
	}
	for hash := range cached.set {
		x.remove(id, hash)
	}
	delete(x.prefixesByTarget, id)
}

// promptPrefix is a prefix of a prompt that the index keeps.
type promptPrefix struct {
	hash PrefixHash
	// blocks is the prefix's length in blocks.
	blocks int
}

// appendPrefixes appends the prefixes of prompt that the index keeps.
func (x *prefixIndex) appendPrefixes(prefixes []promptPrefix, prompt string) []promptPrefix {
	eachPrefixHash(prompt, func(blocks int, hash PrefixHash) {
		if x.isSampled(hash) {
			prefixes = append(prefixes, promptPrefix{hash, blocks})
		}
	})
	return prefixes
}

// cachedPrefixes returns how many of the prompt's prefixes the target caches. Engines evict the ends of
// prefixes before their beginnings, so that a binary search finds the number.
func (x *prefixIndex) cachedPrefixes(id targetID, prefixes []promptPrefix) int {
	cached, ok := x.prefixesByTarget[id]
	if !ok {
		return 0
	}
	return sort.Search(len(prefixes), func(i int) bool {
		_, ok := cached.set[prefixes[i].hash]
		return !ok
	})
}

// cachedBlocks returns a lower bound of the number of the prompt's blocks that the target caches.
func (x *prefixIndex) cachedBlocks(id targetID, prefixes []promptPrefix) int {
	count := x.cachedPrefixes(id, prefixes)
	if count == 0 {
		return 0
	}
	return prefixes[count-1].blocks
}

// cachedAnywhere returns how many of the prompt's prefixes at least one target caches.
func (x *prefixIndex) cachedAnywhere(prefixes []promptPrefix) int {
	return sort.Search(len(prefixes), func(i int) bool { return len(x.targetsByPrefix[prefixes[i].hash]) == 0 })
}

// addPrompt records that the target will cache the prompt. The longest prefixes are added first, so that
// they are also removed first.
func (x *prefixIndex) addPrompt(id targetID, prefixes []promptPrefix) {
	cached := x.cachedPrefixes(id, prefixes)
	for _, prefix := range slices.Backward(prefixes[cached:]) {
		x.add(id, prefix.hash)
	}
}
