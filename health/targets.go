package health

import (
	"sort"
	"sync"
	"time"
)

// suspicionTTL is how long a target stays suspected without new evidence.
const suspicionTTL = 2 * time.Second

// SuspectedTargets tracks which targets this entry itself suspects. Reports of other entries only trigger a
// probe and are not recorded here. It is safe for concurrent use.
type SuspectedTargets struct {
	mu        sync.Mutex
	suspected map[string]time.Time
	lastEvent map[string]time.Time
}

// NewSuspectedTargets returns SuspectedTargets without suspicions.
func NewSuspectedTargets() *SuspectedTargets {
	return &SuspectedTargets{suspected: map[string]time.Time{}, lastEvent: map[string]time.Time{}}
}

// Suspect records new evidence that a target has failed.
func (t *SuspectedTargets) Suspect(target string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspected[target] = now
}

// Alive records that the target sent something, which ends a suspicion.
func (t *SuspectedTargets) Alive(target string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastEvent[target] = now
	delete(t.suspected, target)
}

// LastEvent returns when the target last sent something on any stream.
func (t *SuspectedTargets) LastEvent(target string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastEvent[target]
}

// Suspected returns the suspected targets, ordered by name.
func (t *SuspectedTargets) Suspected(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, since := range t.suspected {
		if now.Sub(since) > suspicionTTL {
			delete(t.suspected, name)
			continue
		}
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
