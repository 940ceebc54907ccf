package routing

import (
	"slices"
	"strings"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/membership"
)

// ownership divides the engines among the entries, so that each entry knows the load of the engines
// that it prefers without asking anybody. An availability zone's engines are divided twice: among the
// entries of the same zone, and among those of the others, which use them when their own zone's are
// lost. It follows from the two lists alone, so that all entries agree while their lists do.
type ownership struct{ owned map[string]bool }

// ownerships keeps the latest ownership of a list of engines. Both lists are replaced when they change and never
// changed in place, so that their first elements identify them.
type ownerships struct {
	self    membership.Peer
	live    []membership.Peer
	engines []*directory.Target
	latest  ownership
}

// of returns the engines that self owns.
func (o *ownerships) of(self membership.Peer, live []membership.Peer, engines []*directory.Target) ownership {
	if self != o.self || !sameSlice(live, o.live) || !sameSlice(engines, o.engines) {
		*o = ownerships{self, live, engines, newOwnership(self, live, engines)}
	}
	return o.latest
}

func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// newOwnership returns the engines that self owns, by ID.
func newOwnership(self membership.Peer, live []membership.Peer, engines []*directory.Target) ownership {
	o := ownership{owned: map[string]bool{}}
	byZone := map[string][]*directory.Target{}
	for _, engine := range engines {
		byZone[engine.AvailabilityZone] = append(byZone[engine.AvailabilityZone], engine)
	}
	for zone, ofZone := range byZone {
		// Addresses stay when an engine starts again; IDs don't.
		slices.SortFunc(ofZone, func(a, b *directory.Target) int { return strings.Compare(a.Address, b.Address) })
		index, count := placeAmong(self, live, zone)
		for i, engine := range ofZone {
			if count > 0 && (i%count == index || index%len(ofZone) == i) {
				o.owned[engine.ID] = true
			}
		}
	}
	return o
}

// placeAmong returns self's place among the entries that share the engines of a zone with it.
func placeAmong(self membership.Peer, live []membership.Peer, zone string) (index, count int) {
	near := self.AvailabilityZone == zone
	for _, peer := range live {
		if (peer.AvailabilityZone == zone) != near {
			continue
		}
		if peer.Name < self.Name {
			index++
		}
		count++
	}
	return index, count
}

// has tells whether the entry owns the engine.
func (o ownership) has(engine *directory.Target) bool { return o.owned[engine.ID] }
