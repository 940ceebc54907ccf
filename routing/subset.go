package routing

const (
	// entriesPerTarget is the number of entries that have the same target in their subsets. The fewer they
	// are, the larger is the part of a target's load that an entry knows exactly, because it is its own.
	entriesPerTarget = 8
	// minSubset is the minimum number of targets in an entry's subset.
	minSubset = 6
)

// EntryPosition is an entry's position among the live entries, ordered by name.
type EntryPosition struct{ Index, Count int }

// subset is the contiguous range, with wraparound, of a group's targets that an entry prefers. The
// subsets of all entries cover the targets evenly.
type subset struct{ start, length, groupSize int }

func newSubset(entry EntryPosition, groupSize int) subset {
	count := max(entry.Count, 1)
	length := max(minSubset, (entriesPerTarget*groupSize+count-1)/count)
	return subset{
		start:     entry.Index * groupSize / count,
		length:    min(length, groupSize),
		groupSize: groupSize,
	}
}

// positionOf returns the position in the group of the subset's i-th target.
func (s subset) positionOf(i int) int { return (s.start + i) % s.groupSize }

// contains reports whether the target at the position belongs to the subset.
func (s subset) contains(position int) bool {
	return (position-s.start+s.groupSize)%s.groupSize < s.length
}

// isAssigned reports whether the target is in this entry's subset of one of its deployments, so that the
// entry needs to follow its load and cache.
func (f *fleet) isAssigned(name string) bool {
	t, known := f.byName[name]
	if !known {
		return false
	}
	for i, deployment := range t.deployments {
		if newSubset(f.entryPosition, len(f.groups[deployment])).contains(t.positions[i]) {
			return true
		}
	}
	return false
}
