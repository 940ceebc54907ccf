package config

import (
	"maps"
	"slices"
	"sync"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/internal/defect"
	"github.com/azurebarrow/azurebarrow/invariant"
	"github.com/azurebarrow/azurebarrow/objects"
)

// maxLoggedChanges bounds the changes of a kind that are kept for peers which follow.
const maxLoggedChanges = 1024

// store keeps the newest state of every object. A kind's revision and each object's revision only
// go up; the platform counts revisions across the whole store, so that an object created again
// after a deletion has a higher one too.
type store struct {
	mu      sync.Mutex
	kinds   map[string]*kindState
	changed chan struct{}
	// stale counts the lists, watches and updates that were older than what was known.
	stale int64
}

// kindState is the state of one kind.
type kindState struct {
	// revision is the one up to which every change is reflected in records.
	revision int64
	records  map[string]*record
	// log holds the changes after logFloor in order of their revisions.
	log      []Item
	logFloor int64
	// refused holds the findings of states that were refused since takeRefused.
	refused []v1.Findings
}

func newStore() *store {
	s := &store{kinds: map[string]*kindState{}, changed: make(chan struct{})}
	for _, kind := range v1.Kinds() {
		s.kinds[kind] = &kindState{revision: unknownRevision, logFloor: unknownRevision, records: map[string]*record{}}
	}
	return s
}

// apply takes the deltas that are newer than the store. It tells whether a resource changed.
func (s *store) apply(deltas []Delta) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	resources := false
	for _, delta := range deltas {
		kind := s.kinds[delta.Kind]
		if kind == nil {
			continue
		}
		resources = kind.adoptAccepted(delta.Items) || resources
		if delta.Revision < kind.revision && !defect.Enabled(defect.StaleConfiguration) {
			s.stale++
			continue
		}
		if kind.apply(delta) {
			resources = true
		}
	}
	if resources {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return resources
}

// takeRefused returns the findings of the states refused since the last call.
func (s *store) takeRefused() []v1.Findings {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []v1.Findings
	for _, kind := range v1.Kinds() {
		all = append(all, s.kinds[kind].refused...)
		s.kinds[kind].refused = nil
	}
	return all
}

func (k *kindState) apply(delta Delta) bool {
	changed := false
	if delta.Full {
		changed = k.removeAbsent(delta)
	}
	for _, item := range delta.Items {
		if k.applyItem(item) {
			changed = true
		}
	}
	k.revision = delta.Revision
	k.trimLog(delta)
	return changed
}

// adoptAccepted completes records whose newest state was refused with an accepted state that
// another entry kept. Such an item may be older than what is known here.
func (k *kindState) adoptAccepted(items []Item) bool {
	changed := false
	for _, item := range items {
		known := k.records[item.Object.Name]
		if known == nil {
			continue
		}
		if following := known.withAccepted(item); following != nil {
			k.records[item.Object.Name] = following
			changed = true
		}
	}
	return changed
}

func (k *kindState) applyItem(item Item) bool {
	object := item.Object
	known := k.records[object.Name]
	if !k.isNewer(known, object) {
		return false
	}
	if !object.Deleted {
		following := known.next(item)
		if len(following.findings) > 0 {
			k.refused = append(k.refused, following.findings)
		}
		k.records[object.Name] = following
		k.appendLog(following.item())
		return true
	}
	k.appendLog(item)
	delete(k.records, object.Name)
	return known != nil
}

// isNewer tells whether object is newer than all that is known of its name. An absent object of a
// revision that the kind already reflects was deleted since.
func (k *kindState) isNewer(known *record, object objects.Object) bool {
	if defect.Enabled(defect.StaleConfiguration) {
		return known == nil || known.newest.Revision != object.Revision
	}
	if object.Revision <= k.revision {
		return false
	}
	return known == nil || object.Revision > known.newest.Revision
}

func (k *kindState) removeAbsent(delta Delta) bool {
	present := map[string]bool{}
	for _, item := range delta.Items {
		present[item.Object.Name] = true
	}
	changed := false
	for _, name := range slices.Sorted(maps.Keys(k.records)) {
		if present[name] || k.records[name].newest.Revision > delta.Revision {
			continue
		}
		delete(k.records, name)
		changed = true
	}
	return changed
}

func (k *kindState) appendLog(item Item) { k.log = append(k.log, item) }

// trimLog bounds the log. A full delta may lack objects that were deleted before this entry saw
// them, so that the log can't tell what happened before it.
func (k *kindState) trimLog(delta Delta) {
	if delta.Full {
		k.log, k.logFloor = nil, delta.Revision
		return
	}
	slices.SortStableFunc(k.log, func(a, b Item) int { return int(a.Object.Revision - b.Object.Revision) })
	if excess := len(k.log) - maxLoggedChanges; excess > 0 {
		k.logFloor = k.log[excess-1].Object.Revision
		k.log = slices.Clone(k.log[excess:])
	}
}

// since returns what a holder at the given positions lacks; empty when it lacks nothing.
func (s *store) since(positions []Position) []Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	var deltas []Delta
	for _, kind := range v1.Kinds() {
		after := positionOf(positions, kind)
		if state := s.kinds[kind]; state.revision > after {
			deltas = append(deltas, state.since(kind, after))
		}
	}
	return deltas
}

func (k *kindState) since(kind string, after int64) Delta {
	delta := Delta{Kind: kind, Revision: k.revision}
	if after < k.logFloor || after == unknownRevision {
		delta.Full = true
		for _, name := range slices.Sorted(maps.Keys(k.records)) {
			delta.Items = append(delta.Items, k.records[name].item())
		}
		return delta
	}
	for _, item := range k.log {
		if item.Object.Revision > after {
			delta.Items = append(delta.Items, item)
		}
	}
	return delta
}

func positionOf(positions []Position, kind string) int64 {
	for _, position := range positions {
		if position.Kind == kind {
			return position.Revision
		}
	}
	return unknownRevision
}

// positions returns the store's position of every kind.
func (s *store) positions() []Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	var positions []Position
	for _, kind := range v1.Kinds() {
		positions = append(positions, Position{Kind: kind, Revision: s.kinds[kind].revision})
	}
	return positions
}

// revision returns the revision up to which every kind is known.
func (s *store) revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lowestRevision()
}

func (s *store) lowestRevision() int64 {
	revisions := make([]int64, 0, len(s.kinds))
	for _, state := range s.kinds {
		revisions = append(revisions, state.revision)
	}
	return slices.Min(revisions)
}

// change returns a channel that is closed at the next change of a resource.
func (s *store) change() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// snapshot builds the snapshot of all accepted resources.
func (s *store) snapshot() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := NewSnapshot(max(s.lowestRevision(), 0))
	for _, state := range s.kinds {
		for _, known := range state.records {
			if known.document != nil {
				snapshot.add(known.document.Resource)
			}
		}
	}
	snapshot.Index()
	return snapshot
}

// checkNotReverted asserts that no resource of next is older than in former. It skips names that
// were deleted and created again meanwhile, which have another UID and a higher revision anyway.
func checkNotReverted(former, next *Snapshot) error {
	err := invariant.Check(next.Revision >= former.Revision, invariant.ConfigurationNeverReverts,
		"snapshot %d follows %d", next.Revision, former.Revision)
	if err != nil {
		return err
	}
	before := former.revisions()
	for key, revision := range next.revisions() {
		err := invariant.Check(revision >= before[key], invariant.ConfigurationNeverReverts,
			"%s went from revision %d to %d", key, before[key], revision)
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *Snapshot) revisions() map[v1.ResourceKey]int64 {
	all := map[v1.ResourceKey]int64{}
	for _, resource := range s.resources() {
		key := v1.ResourceKey{Kind: resource.Type().Kind, Name: resource.Meta().Name}
		all[key] = resource.Meta().Revision
	}
	return all
}

func (s *Snapshot) resources() []v1.Resource {
	var all []v1.Resource
	for _, resource := range s.Models {
		all = append(all, resource)
	}
	for _, resource := range s.Targets {
		all = append(all, resource)
	}
	for _, resource := range s.Customers {
		all = append(all, resource)
	}
	for _, resource := range s.Deployments {
		all = append(all, resource)
	}
	return all
}
