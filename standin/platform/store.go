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

// store is the objects and their recent changes. It is not safe for concurrent use.
type store struct {
	revision int64
	uids     int64
	objects  map[objectKey]objects.Object
	events   []objects.Object
	kept     int
	// compacted is the revision of the newest change that was forgotten.
	compacted int64
}

func newStore(kept int) *store {
	return &store{objects: map[objectKey]objects.Object{}, kept: kept}
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

// condition is what a write demands of the present object.
type condition struct {
	// any accepts whatever is there.
	any      bool
	revision int64
}

func (s *store) check(key objectKey, c condition) error {
	present := s.objects[key].Revision
	if c.any || c.revision == present {
		return nil
	}
	return &objects.ConflictError{Kind: key.kind, Name: key.name, Expected: c.revision, Present: present}
}

func (s *store) put(key objectKey, value json.RawMessage, c condition) (objects.Object, error) {
	if err := s.check(key, c); err != nil {
		return objects.Object{}, err
	}
	object, exists := s.objects[key]
	if !exists {
		s.uids++
		object = objects.Object{Kind: key.kind, Name: key.name, UID: fmt.Sprintf("uid-%d", s.uids)}
	}
	s.revision++
	object.Revision = s.revision
	object.Value = value
	s.objects[key] = object
	s.record(object)
	return object, nil
}

func (s *store) remove(key objectKey, c condition) (objects.Object, error) {
	object, exists := s.objects[key]
	if !exists {
		return object, objects.ErrNotFound
	}
	if err := s.check(key, c); err != nil {
		return objects.Object{}, err
	}
	s.revision++
	object.Revision = s.revision
	object.Deleted = true
	delete(s.objects, key)
	s.record(object)
	return object, nil
}

func (s *store) record(object objects.Object) {
	s.events = append(s.events, object)
	if s.kept > 0 && len(s.events) > s.kept {
		dropped := len(s.events) - s.kept/2
		s.compacted = s.events[dropped-1].Revision
		s.events = slices.Clone(s.events[dropped:])
	}
}

// after returns the last change of each object of the kinds since a revision.
func (s *store) after(revision int64, kinds []string) []objects.Object {
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
