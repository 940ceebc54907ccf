package directory

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/azurebarrow/azurebarrow/objects"
	"github.com/azurebarrow/azurebarrow/rollout"
)

// Rollout is the order of a rollout, with the status that the store holds. It must not be changed once a Manager has it.
type Rollout struct {
	// Name is the name of the object, and Revision its revision in the store.
	Name     string
	Revision int64
	// Order is the order. Its time is the one that the status names, or else when this entry first saw the order.
	Order rollout.Order
	// Status is the status; its State is empty while there is none.
	Status rollout.Status
}

// Ended reports whether the order has been carried out: its status is final. The status of an earlier order to another version says
// nothing of this one.
func (r *Rollout) Ended() bool { return r.Status.Final() && r.Status.To == r.Order.To }

// RolloutDecoder decodes orders of rollouts from the format of the platform.
type RolloutDecoder interface {
	// Rollout returns an error for an object that orders no rollout. The time of the order is zero if the status names none.
	Rollout(object objects.Object) (*Rollout, error)
}

// Rollouts returns the orders of rollouts, in the order of their services.
func (s *Snapshot) Rollouts() []*Rollout {
	return slices.SortedFunc(maps.Values(s.rollouts), func(a, b *Rollout) int { return cmp.Compare(a.Order.Service, b.Order.Service) })
}

// Rollout returns the order of a rollout of the service; nil if there is none.
func (s *Snapshot) Rollout(service string) *Rollout { return s.rollouts[service] }

// maxVersionHold limits the time for which targets of a new version get no work, until the orders of rollouts are known as of their
// registration.
const maxVersionHold = 2 * time.Second

// versionKey is a software version of the targets of a service.
type versionKey struct{ service, version string }

// versionHold keeps work from the targets of a version that this entry has not seen before.
type versionHold struct {
	// revision is that of the registration at which the version was first seen.
	revision int64
	since    time.Time
}

// rolloutState holds the orders of rollouts and the versions that get no work yet. A nil one, of an entry that carries out no
// rollouts, holds nothing. Only the goroutine that owns the state of the Manager uses it.
type rolloutState struct {
	// byName are the orders by the names of their objects.
	byName map[string]*Rollout
	// revision is the revision of the store up to which the orders are known.
	revision int64
	// seen are the versions that may get work, held those that may not yet.
	seen map[versionKey]bool
	held map[versionKey]versionHold
	// startedAt is when the targets were first listed, firstAwaited is set until the orders are known or the wait for them is over.
	startedAt    time.Time
	firstAwaited bool
}

func newRolloutState() *rolloutState {
	return &rolloutState{
		byName: map[string]*Rollout{}, seen: map[versionKey]bool{}, held: map[versionKey]versionHold{}, firstAwaited: true,
	}
}

// applyRollouts applies changed orders. One that can't be decoded counts as withdrawn.
func (m *Manager) applyRollouts(changes []objects.Object, now time.Time) {
	m.rollouts.revision = m.feed.Revision(KindRollout)
	for _, object := range changes {
		before := m.rollouts.byName[object.Name]
		delete(m.rollouts.byName, object.Name)
		if object.Deleted {
			continue
		}
		decoded, err := m.options.Rollouts.Rollout(object)
		if err != nil {
			m.reportUnusable(object, err)
			continue
		}
		decoded.setOrdered(before, now)
		m.rollouts.byName[object.Name] = decoded
	}
	if len(changes) > 0 || m.rollouts.awaits() {
		m.publish()
	}
}

// setOrdered sets the time of the order, which the platform does not name: when this entry first saw it. Only an entry that comes later takes
// what the status names, by the clock of another.
func (r *Rollout) setOrdered(before *Rollout, now time.Time) {
	now = now.UTC().Truncate(time.Millisecond).Round(0) // as exact as the status is
	if before != nil && before.Order.Service == r.Order.Service && before.Order.To == r.Order.To && (r.Ended() || !before.Ended()) {
		r.Order.Ordered = before.Order.Ordered
		return
	}
	if r.Order.Ordered.IsZero() || r.Order.Ordered.After(now) {
		r.Order.Ordered = now
	}
}

// noteRegistration holds the version of a registered target back if it is the first one of its version and the orders of rollouts are not
// known as of its registration.
func (s *rolloutState) noteRegistration(target *Target, revision int64, now time.Time) {
	if s == nil || target.Version == "" {
		return
	}
	key := versionKey{target.Service, target.Version}
	if _, held := s.held[key]; held || s.seen[key] {
		return
	}
	s.held[key] = versionHold{revision: revision, since: now}
}

// awaits reports whether something is held back that time or the next revision of the orders releases.
func (s *rolloutState) awaits() bool { return s != nil && (len(s.held) > 0 || s.firstAwaited) }

// awaitsFirst reports whether this entry must wait for the orders before it serves.
func (s *rolloutState) awaitsFirst(feed *Feed, now time.Time) bool {
	if s == nil || !s.firstAwaited {
		return false
	}
	if s.startedAt.IsZero() && feed.Revision(KindTarget) > 0 {
		s.startedAt = now
	}
	if s.revision > 0 || !s.startedAt.IsZero() && now.Sub(s.startedAt) >= maxVersionHold {
		s.firstAwaited = false
	}
	return s.firstAwaited
}

// withoutHeld returns the targets without those whose version is held back, or all if there are no others: a service must not fail since
// an order may exist.
func (s *rolloutState) withoutHeld(targets []*Target) []*Target {
	if s == nil || len(s.held) == 0 {
		return targets
	}
	now := time.Now()
	open := slices.DeleteFunc(slices.Clone(targets), func(target *Target) bool {
		hold, held := s.held[versionKey{target.Service, target.Version}]
		return held && hold.revision > s.revision && now.Sub(hold.since) < maxVersionHold
	})
	if len(open) == 0 {
		return targets
	}
	return open
}

// publish releases what need not be held back any more and adds the orders to a snapshot.
func (s *rolloutState) publish(next *Snapshot, known map[string]*Target) {
	if s == nil {
		return
	}
	now := time.Now()
	for key, hold := range s.held {
		if hold.revision <= s.revision || now.Sub(hold.since) >= maxVersionHold {
			s.seen[key] = true
			delete(s.held, key)
		}
	}
	present := map[versionKey]bool{}
	for _, target := range known {
		present[versionKey{target.Service, target.Version}] = true
	}
	maps.DeleteFunc(s.seen, func(key versionKey, _ bool) bool { return !present[key] })
	maps.DeleteFunc(s.held, func(key versionKey, _ versionHold) bool { return !present[key] })
	next.rollouts = make(map[string]*Rollout, len(s.byName))
	for _, each := range s.byName {
		other := next.rollouts[each.Order.Service]
		if other == nil || each.Name == each.Order.Service || other.Name != each.Order.Service && each.Name < other.Name {
			next.rollouts[each.Order.Service] = each
		}
	}
}
