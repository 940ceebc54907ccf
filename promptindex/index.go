// Package promptindex is an index of the engines that have prefilled the prompts of streams. A caller whose
// entry is lost reconnects through another one; sent to the same engine, its stream resumes from the cached
// prompt instead of prefilling it a second time.
package promptindex

import (
	"sync"
	"time"
)

const (
	// brokenStreamTTL is how long a prompt is kept after its stream broke. Callers of a silent connection
	// reconnect after 18 s, and engines cache prompts about as long.
	brokenStreamTTL = 30 * time.Second
	// maxPrompts is the maximum number of prompts of one entry. Further ones are not recorded.
	maxPrompts = 4096
	// maxTold is the maximum number of prompts that peers may tell of. Further ones are not recorded.
	maxTold = 4 * maxPrompts
	// toldTTL is how long a prompt that a peer told of is kept: a stream may last, and its caller stay silent, as long.
	toldTTL = 2 * time.Minute
)

// promptLocation is the engine that has prefilled a prompt.
type promptLocation struct {
	engine string
	// endedAt is when the stream broke; zero while it is open.
	endedAt time.Time
}

// index holds the prompt locations that an entry knows: those of its own streams, and those that the store
// held of other entries and of its own former process. It is safe for concurrent use.
type index struct {
	mu  sync.Mutex
	own map[string]*promptLocation
	// shared holds the locations that were read from the store, told those that peers told.
	shared, told map[string]sharedLocation
	// changed is set when own differs from what export returned last.
	changed bool
}

type sharedLocation struct {
	engine string
	// readAt is when it was read from the store, or told.
	readAt time.Time
}

func newIndex() *index {
	return &index{own: map[string]*promptLocation{}, shared: map[string]sharedLocation{}, told: map[string]sharedLocation{}}
}

// recordLocation records that a stream with the prompt begins, or resumes, at the engine.
func (x *index) recordLocation(prompt, engine string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	known := x.own[prompt]
	if known == nil {
		if len(x.own) >= maxPrompts {
			return
		}
		known = &promptLocation{}
		x.own[prompt] = known
	}
	x.changed = x.changed || known.engine != engine
	known.engine = engine
	known.endedAt = time.Time{}
}

// recordEnd records the end of a stream. The prompt of a completed stream is no longer needed.
func (x *index) recordEnd(prompt string, complete bool, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	known := x.own[prompt]
	switch {
	case known == nil:
	case complete:
		delete(x.own, prompt)
		x.changed = true
	default:
		known.endedAt = now
	}
}

// mergeShared adds locations that were read from the store.
func (x *index) mergeShared(found map[string]string, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for prompt, engine := range found {
		x.shared[prompt] = sharedLocation{engine, now}
	}
}

// recordTold records what a peer tells.
func (x *index) recordTold(prompt, engine string, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, known := x.told[prompt]; known || len(x.told) < maxTold {
		x.told[prompt] = sharedLocation{engine, now}
	}
}

// findKnown is find for a stream that its caller resumes. What peers tell is newer than what the store holds; it
// doesn't serve new streams, since peers are not told of the end of a stream.
func (x *index) findKnown(prompt string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	if known := x.own[prompt]; known != nil {
		return known.engine
	}
	if told, known := x.told[prompt]; known {
		return told.engine
	}
	return x.shared[prompt].engine
}

// find returns the engine that has prefilled the prompt; empty if it is not known.
func (x *index) find(prompt string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	if known := x.own[prompt]; known != nil {
		return known.engine
	}
	return x.shared[prompt].engine
}

// export returns this entry's prompts with their engines, and whether they changed since the last call.
func (x *index) export(now time.Time) (prompts map[string]string, changed bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.removeExpired(now)
	changed, x.changed = x.changed, false
	prompts = make(map[string]string, len(x.own))
	for prompt, known := range x.own {
		prompts[prompt] = known.engine
	}
	return prompts, changed
}

func (x *index) removeExpired(now time.Time) {
	for prompt, known := range x.own {
		if !known.endedAt.IsZero() && now.Sub(known.endedAt) > brokenStreamTTL {
			delete(x.own, prompt)
			x.changed = true
		}
	}
	for prompt, read := range x.shared {
		if now.Sub(read.readAt) > brokenStreamTTL {
			delete(x.shared, prompt)
		}
	}
	for prompt, told := range x.told {
		if now.Sub(told.readAt) > toldTTL {
			delete(x.told, prompt)
		}
	}
}

// markChanged makes the next export report a change: what the last one returned was not stored.
func (x *index) markChanged() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.changed = true
}
