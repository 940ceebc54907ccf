package config

import (
	"testing"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/invariant"
	"github.com/azurebarrow/azurebarrow/objects"
	"pgregory.net/rapid"
)

// randomDelta returns a delta as the platform or a peer would, as of a revision that may be stale.
func randomDelta(t *rapid.T, platform *fakePlatform, s *store) Delta {
	asOf := rapid.Int64Range(0, platform.revision).Draw(t, "asOf")
	if rapid.Bool().Draw(t, "full") {
		delta := Delta{Kind: v1.KindModel, Revision: asOf, Full: true}
		for _, object := range platform.at(v1.KindModel, asOf) {
			if !object.Deleted {
				delta.Items = append(delta.Items, Item{Object: object})
			}
		}
		return delta
	}
	after := positionOf(s.positions(), v1.KindModel)
	delta := Delta{Kind: v1.KindModel, Revision: max(asOf, after)}
	for _, object := range platform.at(v1.KindModel, asOf) {
		if object.Revision > after {
			delta.Items = append(delta.Items, Item{Object: object})
		}
	}
	return delta
}

func writeRandomly(t *rapid.T, platform *fakePlatform) {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
		platform.remove(v1.KindModel, name)
		return
	}
	versions := []string{"v1"}
	if rapid.IntRange(0, 3).Draw(t, "invalid") == 0 {
		versions = nil
	}
	platform.write(v1.KindModel, name, modelJSON(name, versions...))
}

func TestStoreNeverRevertsAndConvergesToThePlatform(t *testing.T) {
	invariant.PanicOnViolation(true)
	defer invariant.PanicOnViolation(false)
	rapid.Check(t, func(t *rapid.T) {
		source, first, second := newFakePlatform(), newStore(), newStore()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before := [2]*Snapshot{first.snapshot(), second.snapshot()}
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				writeRandomly(t, source)
			case 1:
				first.apply([]Delta{randomDelta(t, source, first)})
			case 2:
				second.apply(first.changesSince(second.positions()))
			}
			_ = checkNotReverted(before[0], first.snapshot())
			_ = checkNotReverted(before[1], second.snapshot())
		}
		first.apply([]Delta{fullDelta(source)})
		second.apply(first.changesSince(second.positions()))
		for _, each := range []*store{first, second} {
			requireNewest(t, source, each)
		}
	})
}

func fullDelta(source *fakePlatform) Delta {
	list := objects.List{Revision: source.revision}
	for _, object := range source.at(v1.KindModel, source.revision) {
		if !object.Deleted {
			list.Items = append(list.Items, object)
		}
	}
	return deltaOf(v1.KindModel, list)
}

func requireNewest(t *rapid.T, source *fakePlatform, s *store) {
	states, _ := s.states()
	found := map[string]int64{}
	for _, state := range states {
		found[state.Key.Name] = state.Revision
	}
	for name, object := range source.at(v1.KindModel, source.revision) {
		if object.Deleted && found[name] != 0 {
			t.Fatalf("%s is deleted but present at revision %d", name, found[name])
		}
		if !object.Deleted && found[name] != object.Revision {
			t.Fatalf("%s is at revision %d, want %d", name, found[name], object.Revision)
		}
	}
}
