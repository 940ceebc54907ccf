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

// maxLoggedChanges limits the changes of a kind that are kept for peers that follow this entry. A
// peer that is further behind gets a full delta, in one piece. A change of all 10,000 targets fits.
const maxLoggedChanges = 1 << 14

// store holds the newest state of every object. The revision of a kind and that of each object never
// decrease. The platform counts revisions over all its objects, so that an object that is deleted and
// created again has a higher revision than before.
type store struct {
	mu    sync.Mutex
	kinds map[string]*kindState
	// changed is closed, and replaced, when a resource changes.
	changed chan struct{}
	// stale counts the deltas (lists, watches and updates of peers) that were ignored because they were
	// older than the store.
	stale int64
}

// kindState holds the objects of one kind.
type kindState struct {
	// revision is the revision up to which records reflects every change.
	revision int64
	records  map[string]*record
	// log holds the changes after revision logFloor, in the order of their revisions.
	log      []Item
	logFloor int64
	// refused holds the findings of the object states that were refused since the last call of
	// drainRefused.
	refused []v1.Findings
}

func newStore() *store {
	s := &store{kinds: map[string]*kindState{}, changed: make(chan struct{})}
	for _, kind := range v1.Kinds() {
		s.kinds[kind] = &kindState{revision: unknownRevision, logFloor: unknownRevision, records: map[string]*record{}}
	}
	return s
}

// apply applies the deltas that are newer than the store and reports whether a resource changed.
func (s *store) apply(deltas []Delta) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	resourcesChanged := false
	for _, delta := range deltas {
		kind := s.kinds[delta.Kind]
		if kind == nil {
			continue
		}
		resourcesChanged = kind.applyAccepted(delta.Items) || resourcesChanged
		if delta.Revision < kind.revision && !defect.Enabled(defect.StaleConfiguration) {
			s.stale++
			continue
		}
		if kind.apply(delta) {
			resourcesChanged = true
		}
	}
	if resourcesChanged {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return resourcesChanged
}

// drainRefused returns the findings of the object states refused since the last call.
func (s *store) drainRefused() []v1.Findings {
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

// applyAccepted completes records whose newest state was refused: it adds the last accepted state that
// another entry holds. Such an item may be older than the newest state known here.
func (k *kindState) applyAccepted(items []Item) bool {
	changed := false
	for _, item := range items {
		known := k.records[item.Object.Name]
		if known == nil {
			continue
		}
		if updated := known.withAccepted(item); updated != nil {
			k.records[item.Object.Name] = updated
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
		updated := known.withNewest(item)
		if len(updated.findings) > 0 {
			k.refused = append(k.refused, updated.findings)
		}
		k.records[object.Name] = updated
		k.appendLog(updated.item())
		return true
	}
	k.appendLog(item)
	delete(k.records, object.Name)
	return known != nil
}

// isNewer reports whether object is newer than every known state of its name. An object that has no
// record, although the kind reflects its revision, has been deleted since then.
func (k *kindState) isNewer(known *record, object objects.Object) bool {
	if defect.Enabled(defect.StaleConfiguration) {
		return known == nil || known.newest.Revision != object.Revision
	}
	if object.Revision <= k.revision {
		return false
	}
	return known == nil || object.Revision > known.newest.Revision
}

// removeAbsent deletes the records that a full delta lacks, unless they are newer than the delta. It
// reports whether there were any.
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

// trimLog limits the length of the log. A full delta empties it: the delta doesn't say which objects
// were deleted before it, so that the log of earlier changes would be incomplete.
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

// changesSince returns the changes that a peer at the given positions lacks; empty when it lacks none.
func (s *store) changesSince(positions []Position) []Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	var deltas []Delta
	for _, kind := range v1.Kinds() {
		after := positionOf(positions, kind)
		if state := s.kinds[kind]; state.revision > after {
			deltas = append(deltas, state.changesSince(kind, after))
		}
	}
	return deltas
}

func (k *kindState) changesSince(kind string, after int64) Delta {
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

// positions returns the store's position for every kind.
func (s *store) positions() []Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	var positions []Position
	for _, kind := range v1.Kinds() {
		positions = append(positions, Position{Kind: kind, Revision: s.kinds[kind].revision})
	}
	return positions
}

// acceptedPositions returns the positions of the kinds without refused objects. Of the others a peer sends all objects: it may know
// the last accepted state of one that was refused.
func (s *store) acceptedPositions() []Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	var positions []Position
	for _, kind := range v1.Kinds() {
		if state := s.kinds[kind]; !state.hasRefused() {
			positions = append(positions, Position{Kind: kind, Revision: state.revision})
		}
	}
	return positions
}

func (k *kindState) hasRefused() bool {
	for _, known := range k.records {
		if len(known.findings) > 0 {
			return true
		}
	}
	return false
}

// revision returns the revision up to which the changes of all kinds are known.
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

// nextChange returns a channel that is closed at the next change of a resource.
func (s *store) nextChange() <-chan struct{} {
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

// checkNotReverted checks the invariant that no resource of next is older than the same one in former.
// A resource that was deleted and created again meanwhile passes too: it has another UID, but a higher
// revision.
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
