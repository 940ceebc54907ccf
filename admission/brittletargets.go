package admission

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/defect"
	"github.com/azurebarrow/azurebarrow/membership"
)

const (
	// brittleCrowd is the number of entries for each slot of a brittle target up to which all entries send to it, one
	// request at a time each; in larger fleets, so many do.
	brittleCrowd = 2
	// minBrittleBackoff is the shortest time for which an entry that a brittle target turned away sends it nothing, and
	// brittleMargin how much longer than needed the time is that keeps all entries together below the named number.
	minBrittleBackoff = time.Second
	brittleMargin     = 1.5
	// brittleClearDelay is how long a target must not have said that it is brittle before it is believed.
	brittleClearDelay = 500 * time.Millisecond
)

// BrittleTarget is one target of a service, as the choice among them needs it.
type BrittleTarget struct {
	ID    string
	Slots int
}

// BrittleTargets keeps down the number of requests that targets must turn away for want of room while they say that too
// many make them fail. Each entry sends them few requests at a time and backs off when one is turned away, so that all
// entries together stay below the number that the target names. It is safe for concurrent use.
type BrittleTargets struct {
	members Members
	count   atomic.Int64

	mu      sync.Mutex
	targets map[string]*brittleTarget
	// senders are the choices of isSender, by the first target of a service.
	senders map[string]*brittleSenders
}

// brittleSenders are the targets of a service to which this entry sends, for a fleet.
type brittleSenders struct {
	live    []membership.Peer
	service []BrittleTarget
	chosen  map[string]bool
}

type brittleTarget struct {
	// perSecond is the number of requests turned away in a second that the target bears; it is brittle from namedAt on.
	perSecond float64
	brittle   bool
	namedAt   time.Time
	// inFlight counts this entry's requests at the target.
	inFlight     int
	backoffUntil time.Time
}

// NewBrittleTargets returns BrittleTargets that know of none.
func NewBrittleTargets(members Members) *BrittleTargets {
	return &BrittleTargets{members: members, targets: map[string]*brittleTarget{}, senders: map[string]*brittleSenders{}}
}

func (b *BrittleTargets) target(id string) *brittleTarget {
	target := b.targets[id]
	if target == nil {
		target = &brittleTarget{}
		b.targets[id] = target
	}
	return target
}

// Observe records what an answer says, to a request sent at sent: the number that a brittle target bears, or that it is
// not brittle. It reports whether that is new.
func (b *BrittleTargets) Observe(id string, perSecond float64, brittle bool, sent, now time.Time) (changed bool) {
	if defect.Enabled(defect.BrittleIgnored) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.targets[id]
	if known == nil && !brittle {
		return false
	}
	target := b.target(id)
	switch {
	case brittle:
		changed = !target.brittle
		if changed {
			b.count.Add(1)
		}
		target.perSecond, target.brittle, target.namedAt = max(perSecond, 1), true, now
	case target.brittle && now.Sub(target.namedAt) >= brittleClearDelay && sent.After(target.namedAt):
		changed, target.brittle = true, false
		b.count.Add(-1)
	}
	return changed
}

// Begin counts a request to a target until the returned function is called.
func (b *BrittleTargets) Begin(id string) (end func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	target := b.target(id)
	target.inFlight++
	return sync.OnceFunc(func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		target.inFlight--
	})
}

// TurnedAway records that a target turned a request away for want of room.
func (b *BrittleTargets) TurnedAway(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	target := b.targets[id]
	if target == nil || !target.brittle {
		return
	}
	entries := float64(len(b.members.Live()))
	backoff := time.Duration(brittleMargin * entries / target.perSecond * float64(time.Second))
	target.backoffUntil = now.Add(max(minBrittleBackoff, backoff))
}

// Allows reports whether this entry may send a request to a target now, of those of its service.
func (b *BrittleTargets) Allows(id string, service []BrittleTarget, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	target := b.targets[id]
	if target == nil || !target.brittle {
		return true
	}
	live := b.members.Live()
	slots := 1
	for _, each := range service {
		if each.ID == id {
			slots = max(1, each.Slots)
		}
	}
	if now.Before(target.backoffUntil) || target.inFlight >= max(1, slots/len(live)) {
		return false
	}
	return len(live) <= brittleCrowd*slots || len(service) == 0 || b.isSender(id, service, live)
}

// isSender reports whether this entry is one of those that send to a brittle target in a large fleet.
func (b *BrittleTargets) isSender(id string, service []BrittleTarget, live []membership.Peer) bool {
	known := b.senders[service[0].ID]
	if known == nil || &known.live[0] != &live[0] || !slices.Equal(known.service, service) {
		known = &brittleSenders{live: live, service: slices.Clone(service), chosen: chooseSenders(b.members.Self().Name, service, live)}
		b.senders[service[0].ID] = known
	}
	return known.chosen[id]
}

// chooseSenders returns the targets to which an entry sends: those for which it is among the first by rendezvous hash, or
// the one that ranks it highest if there is none.
func chooseSenders(self string, service []BrittleTarget, live []membership.Peer) map[string]bool {
	chosen := map[string]bool{}
	best, bestRank := "", len(live)
	for _, each := range service {
		rank := slices.IndexFunc(membership.Rank(live, each.ID), func(p membership.Peer) bool { return p.Name == self })
		if rank < brittleCrowd*max(1, each.Slots) {
			chosen[each.ID] = true
		}
		if rank < bestRank {
			best, bestRank = each.ID, rank
		}
	}
	if len(chosen) == 0 {
		chosen[best] = true
	}
	return chosen
}

// BrittleCount returns the number of targets that say they are brittle.
func (b *BrittleTargets) BrittleCount() int { return int(b.count.Load()) }

// Sweep forgets the targets for which keep returns false and that have no request of this entry.
func (b *BrittleTargets) Sweep(keep func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, target := range b.targets {
		if !keep(id) && target.inFlight == 0 {
			delete(b.targets, id)
			if target.brittle {
				b.count.Add(-1)
			}
		}
	}
	clear(b.senders)
}
