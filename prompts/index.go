// Package prompts remembers which engine has read the prompt of a stream. A caller whose entry is lost comes
// back through another one; sent to the same engine, its stream goes on from the cached prompt instead of
// reading it for a second time.
package prompts

import (
	"sync"
	"time"
)

const (
	// keepBroken is how long a prompt is remembered after its stream broke off. Callers of a silent
	// connection come back after 18 s, and engines keep prompts about as long.
	keepBroken = 30 * time.Second
	// mostHeld bounds the prompts of one entry. Beyond it new ones are not remembered.
	mostHeld = 4096
)

// location is where a prompt was read.
type location struct {
	engine string
	// ended is when the stream broke off; zero while it is open.
	ended time.Time
}

// index is what an entry knows of prompts: of its own streams, and of other entries' and its former
// process's. It is safe for concurrent use.
type index struct {
	mu  sync.Mutex
	own map[string]*location
	// learnt are the engines that other entries told of, and when.
	learnt map[string]learntLocation
	// changed tells that own differs from what taken returned last.
	changed bool
}

type learntLocation struct {
	engine string
	at     time.Time
}

func newIndex() *index {
	return &index{own: map[string]*location{}, learnt: map[string]learntLocation{}}
}

// placed notes that a stream with the prompt begins, or goes on, at the engine.
func (x *index) placed(prompt, engine string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	present := x.own[prompt]
	if present == nil {
		if len(x.own) >= mostHeld {
			return
		}
		present = &location{}
		x.own[prompt] = present
	}
	x.changed = x.changed || present.engine != engine
	present.engine = engine
	present.ended = time.Time{}
}

// closed notes the end of a stream. A complete one needs its prompt no more.
func (x *index) closed(prompt string, complete bool, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	present := x.own[prompt]
	switch {
	case present == nil:
	case complete:
		delete(x.own, prompt)
		x.changed = true
	default:
		present.ended = now
	}
}

// learn takes in what another entry told.
func (x *index) learn(found map[string]string, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for prompt, engine := range found {
		x.learnt[prompt] = learntLocation{engine, now}
	}
}

// find returns the engine that has read the prompt; empty if it is not known.
func (x *index) find(prompt string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	if present := x.own[prompt]; present != nil {
		return present.engine
	}
	return x.learnt[prompt].engine
}

// taken returns this entry's prompts with their engines, and whether they differ from the last time.
func (x *index) taken(now time.Time) (held map[string]string, changed bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.forget(now)
	changed, x.changed = x.changed, false
	held = make(map[string]string, len(x.own))
	for prompt, present := range x.own {
		held[prompt] = present.engine
	}
	return held, changed
}

func (x *index) forget(now time.Time) {
	for prompt, present := range x.own {
		if !present.ended.IsZero() && now.Sub(present.ended) > keepBroken {
			delete(x.own, prompt)
			x.changed = true
		}
	}
	for prompt, told := range x.learnt {
		if now.Sub(told.at) > keepBroken {
			delete(x.learnt, prompt)
		}
	}
}

// untaken has the next taken report a change: what it returned last was not stored.
func (x *index) untaken() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.changed = true
}
