package routing

import (
	"slices"
	"strings"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/membership"
)

// assignment is the set of engines that one entry prefers. The engines are divided among the entries, so
// that each entry knows the load of its engines without asking its peers. An availability zone's engines
// are divided twice: among the entries of the same zone, and among those of the other zones, which use
// them when their own zone's engines are lost. The assignment depends only on the lists of entries and
// engines, so that all entries agree as long as their lists do.
type assignment struct{ engines map[string]bool }

// assignmentCache keeps the assignment for the latest lists of entries and engines. Both lists are
// replaced when they change and never changed in place, so that their first elements identify them.
type assignmentCache struct {
	self    membership.Peer
	live    []membership.Peer
	engines []*directory.Target
	latest  assignment
}

// assignmentFor returns the engines assigned to self.
func (c *assignmentCache) assignmentFor(
	self membership.Peer, live []membership.Peer, engines []*directory.Target,
) assignment {
	if self != c.self || !sameSlice(live, c.live) || !sameSlice(engines, c.engines) {
		*c = assignmentCache{self, live, engines, newAssignment(self, live, engines)}
	}
	return c.latest
}

func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// newAssignment computes the engines assigned to self, by ID.
func newAssignment(self membership.Peer, live []membership.Peer, engines []*directory.Target) assignment {
	assigned := assignment{engines: map[string]bool{}}
	byZone := map[string][]*directory.Target{}
	for _, engine := range engines {
		byZone[engine.AvailabilityZone] = append(byZone[engine.AvailabilityZone], engine)
	}
	for zone, zoneEngines := range byZone {
		// An engine keeps its address over a restart, but not its ID.
		slices.SortFunc(zoneEngines, func(a, b *directory.Target) int { return strings.Compare(a.Address, b.Address) })
		index, count := positionAmong(self, live, zone)
		for i, engine := range zoneEngines {
			if count > 0 && (i%count == index || index%len(zoneEngines) == i) {
				assigned.engines[engine.ID] = true
			}
		}
	}
	return assigned
}

// positionAmong returns self's position among the entries that share the engines of a zone with it, which
// are those in the zone or those outside it, and their number.
func positionAmong(self membership.Peer, live []membership.Peer, zone string) (index, count int) {
	sameZone := self.AvailabilityZone == zone
	for _, peer := range live {
		if (peer.AvailabilityZone == zone) != sameZone {
			continue
		}
		if peer.Name < self.Name {
			index++
		}
		count++
	}
	return index, count
}

// contains reports whether the engine is assigned to the entry.
func (a assignment) contains(engine *directory.Target) bool { return a.engines[engine.ID] }
