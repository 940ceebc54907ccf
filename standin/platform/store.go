package platform

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/azurebarrow/azurebarrow/objects"
)

type objectKey struct{ kind, name string }

// store holds the objects and their recent changes. It is not safe for concurrent use.
type store struct {
	revision int64
	// lastUID is the number in the UID of the newest object.
	lastUID int64
	objects map[objectKey]objects.Object
	// events are the recent changes, ordered by revision.
	events []objects.Object
	// keptEvents limits the length of events; 0 is no limit.
	keptEvents int
	// compactedRevision is the revision of the newest change that was dropped from events.
	compactedRevision int64
}

func newStore(keptEvents int) *store {
	return &store{objects: map[objectKey]objects.Object{}, keptEvents: keptEvents}
}

func (s *store) get(key objectKey) (objects.Object, bool) {
	object, exists := s.objects[key]
	return object, exists
}

func (s *store) list(kind string) objects.List {
	items := []objects.Object{}
	for key, object := range s.objects {
		if key.kind == kind {
			items = append(items, object)
		}
	}
	slices.SortFunc(items, func(a, b objects.Object) int { return strings.Compare(a.Name, b.Name) })
	return objects.List{Revision: s.revision, Items: items}
}

// condition is the precondition of a write: the current revision of the object, or objects.MustNotExist.
type condition struct {
	// any makes the write unconditional.
	any      bool
	revision int64
}

// checkCondition returns an objects.ConflictError if the object does not fulfill the condition.
func (s *store) checkCondition(key objectKey, c condition) error {
	current := s.objects[key].Revision
	if c.any || c.revision == current {
		return nil
	}
	return &objects.ConflictError{Kind: key.kind, Name: key.name, Expected: c.revision, Present: current}
}

// put creates or replaces an object if the condition holds.
func (s *store) put(key objectKey, value json.RawMessage, c condition) (objects.Object, error) {
	if err := s.checkCondition(key, c); err != nil {
		return objects.Object{}, err
	}
	object, exists := s.objects[key]
	if !exists {
		s.lastUID++
		object = objects.Object{Kind: key.kind, Name: key.name, UID: fmt.Sprintf("uid-%d", s.lastUID)}
	}
	s.revision++
	object.Revision = s.revision
	object.Value = value
	s.objects[key] = object
	s.appendEvent(object)
	return object, nil
}

// remove deletes an object if it exists and the condition holds, and returns its last state.
func (s *store) remove(key objectKey, c condition) (objects.Object, error) {
	object, exists := s.objects[key]
	if !exists {
		return object, objects.ErrNotFound
	}
	if err := s.checkCondition(key, c); err != nil {
		return objects.Object{}, err
	}
	s.revision++
	object.Revision = s.revision
	object.Deleted = true
	delete(s.objects, key)
	s.appendEvent(object)
	return object, nil
}

// appendEvent adds a change to events. If there are more than keptEvents, it keeps the newest half of that
// number.
func (s *store) appendEvent(object objects.Object) {
	s.events = append(s.events, object)
	if s.keptEvents > 0 && len(s.events) > s.keptEvents {
		dropped := len(s.events) - s.keptEvents/2
		s.compactedRevision = s.events[dropped-1].Revision
		s.events = slices.Clone(s.events[dropped:])
	}
}

// changesSince returns the newest change after a revision of each object of the kinds, ordered by revision.
func (s *store) changesSince(revision int64, kinds []string) []objects.Object {
	start, _ := slices.BinarySearchFunc(s.events, revision+1, func(object objects.Object, wanted int64) int {
		return int(object.Revision - wanted)
	})
	last := map[objectKey]objects.Object{}
	for _, object := range s.events[start:] {
		if slices.Contains(kinds, object.Kind) {
			last[objectKey{object.Kind, object.Name}] = object
		}
	}
	items := slices.Collect(maps.Values(last))
	slices.SortFunc(items, func(a, b objects.Object) int { return int(a.Revision - b.Revision) })
	return items
}

// clone returns a copy that later writes to s do not change.
func (s *store) clone() *store {
	copied := *s
	copied.objects = maps.Clone(s.objects)
	copied.events = slices.Clone(s.events)
	return &copied
}
