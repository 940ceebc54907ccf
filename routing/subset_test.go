package routing

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSubsetsCoverTheTargetsEvenly(t *testing.T) {
	is := is.New(t)
	for _, sizes := range []struct{ entries, targets int }{{1, 3}, {8, 24}, {64, 24}, {1800, 10_000}, {50, 7}} {
		preferredBy := make([]int, sizes.targets)
		for index := range sizes.entries {
			s := newSubset(EntryPosition{Index: index, Count: sizes.entries}, sizes.targets)
			for i := range s.length {
				is.True(s.contains(s.positionOf(i)))
				preferredBy[s.positionOf(i)]++
			}
		}
		even := 0
		for _, count := range preferredBy {
			even += count
		}
		for _, count := range preferredBy {
			is.True(count >= 1)
			is.True(count*sizes.targets <= 2*even) // no target is preferred by more than twice the mean
		}
	}
}

func TestPopularPrefixIsCachedAtSeveralTargets(t *testing.T) {
	is := is.New(t)
	is.Equal(desiredTargets(1, 64, defaultStreamTime, 16), 1.0) // a single request arises by chance
	// One request per second here and at each of 7 other entries, of 10 s each: 80 streams, 4 per target.
	is.Equal(desiredTargets(popularityTimeConstant.Seconds(), 8, defaultStreamTime, 16), 20.0)
}

// TestAssignedTargetsStayFewAsTheFleetGrows: every entry follows all targets of a small fleet, and every
// target of a large one is followed by some entries.
func TestAssignedTargetsStayFewAsTheFleetGrows(t *testing.T) {
	is := is.New(t)
	for _, sizes := range []struct{ entries, targets, limit int }{{8, 24, 24}, {1800, 10_000, 50}} {
		f := newFleet(CostModel{}, "a")
		f.applySnapshot(newStaticConfiguration(sizes.targets).snapshot, time.Unix(0, 0))
		assignedTo := make([]int, sizes.targets)
		for index := range sizes.entries {
			f.entryPosition = EntryPosition{Index: index, Count: sizes.entries}
			count := 0
			for i := range sizes.targets {
				if f.isAssigned(targetName(i)) {
					assignedTo[i]++
					count++
				}
			}
			is.True(count >= min(minSubset, sizes.targets) && count <= sizes.limit)
		}
		is.True(slices.Min(assignedTo) >= 1)
	}
}
