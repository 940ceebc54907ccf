package detour

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// linkMemory is how long a lost link is remembered after the last request that wanted it.
const linkMemory = 3 * time.Second

// links holds the targets that only peers reach, and those that nobody reaches. It is safe for concurrent use.
type links struct {
	mu   sync.Mutex
	lost map[string]*lostLink
	// downUntil is the time until which targets are taken for down.
	downUntil map[string]time.Time
}

type lostLink struct {
	target Target
	// helper is the peer that last reached the target.
	helper string
	// wantedAt is when a request last wanted the link, checkedAt when it was last checked.
	wantedAt, checkedAt time.Time
}

func newLinks() *links {
	return &links{lost: map[string]*lostLink{}, downUntil: map[string]time.Time{}}
}

// isLost reports whether only peers reach the target, and records that a request wants it.
func (l *links) isLost(key string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	link := l.lost[key]
	if link == nil {
		return false
	}
	link.wantedAt = now
	return true
}

// lose records that only peers reach the target, and reports whether that is new.
func (l *links) lose(target Target, helper string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if link := l.lost[target.Key()]; link != nil {
		link.helper = helper
		return false
	}
	l.lost[target.Key()] = &lostLink{target: target, helper: helper, wantedAt: now, checkedAt: now}
	return true
}

// helperOf returns the name of the peer that last reached a target whose link is lost; empty if none did.
func (l *links) helperOf(key string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if link := l.lost[key]; link != nil {
		return link.helper
	}
	return ""
}

// reachedBy records that a peer reaches a target.
func (l *links) reachedBy(key, helper string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if link := l.lost[key]; link != nil {
		link.helper = helper
	}
}

// isDown reports whether peers found the target unreachable a moment ago, recordDown records that they did.
func (l *links) isDown(key string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.downUntil[key])
}

func (l *links) recordDown(key string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.downUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	l.downUntil[key] = now.Add(downMemory)
}

// regain records that the entry itself reaches the target, and reports whether that is new.
func (l *links) regain(target Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.lost[target.Key()] != nil
	delete(l.lost, target.Key())
	return known
}

// due returns the links to check now, those first that were not checked for the longest time. It forgets links that
// nobody wants any more.
func (l *links) due(now time.Time) []Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*lostLink
	for key, link := range l.lost {
		if now.Sub(link.wantedAt) > linkMemory {
			delete(l.lost, key)
			continue
		}
		all = append(all, link)
	}
	slices.SortFunc(all, func(a, b *lostLink) int {
		return cmp.Or(a.checkedAt.Compare(b.checkedAt), cmp.Compare(a.target.Key(), b.target.Key()))
	})
	var due []Target
	for _, link := range all[:min(len(all), maxLinkProbes)] {
		link.checkedAt = now
		due = append(due, link.target)
	}
	return due
}

// clear forgets all lost links: the entry reaches targets again, and finds those that it still doesn't reach anew.
func (l *links) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.lost)
}

func (l *links) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.lost)
}
