package config

import (
	"slices"

	"github.com/azurebarrow/azurebarrow/objects"
)

// Position is the revision up to which an entry knows every change of one kind.
type Position struct {
	Kind string
	// Revision is -1 before the first list.
	Revision int64
}

// unknownRevision is the revision of a kind that was never listed; it is below every revision of the
// platform.
const unknownRevision int64 = -1

// Item is an object as one entry sends it to another.
type Item struct {
	// Object is the newest known state.
	Object objects.Object
	// Accepted is the last accepted state if Object was refused, else nil.
	Accepted *objects.Object
}

// Delta holds the changes of one kind up to a revision.
type Delta struct {
	Kind     string
	Revision int64
	// Full is set if Items holds every object of the kind; objects that it lacks are deleted.
	Full  bool
	Items []Item
}

// Update is the configuration, or the changes of it, that one entry sends to another.
type Update struct {
	// Ready is set if the sender has a configuration in force.
	Ready  bool
	Deltas []Delta
}

// deltaOf converts the result of a list to a full Delta.
func deltaOf(kind string, list objects.List) Delta {
	delta := Delta{Kind: kind, Revision: list.Revision, Full: true}
	for _, object := range list.Items {
		delta.Items = append(delta.Items, Item{Object: object})
	}
	return delta
}

// deltasOf splits the result of a watch by kind. There is a delta for each watched kind, also without
// changes, since the revision of the result holds for all of them.
func deltasOf(kinds []string, list objects.List) []Delta {
	deltas := make([]Delta, len(kinds))
	index := map[string]int{}
	for i, kind := range kinds {
		deltas[i] = Delta{Kind: kind, Revision: list.Revision}
		index[kind] = i
	}
	for _, object := range list.Items {
		if i, ok := index[object.Kind]; ok {
			deltas[i].Items = append(deltas[i].Items, Item{Object: object})
		}
	}
	return deltas
}

// size returns the approximate number of bytes of the item in a message.
func (i Item) size() int {
	size := len(i.Object.Name) + len(i.Object.Value)
	if i.Accepted != nil {
		size += len(i.Accepted.Value)
	}
	return size
}

// limitDeltas returns the first changes, by revision over all kinds, of about maxBytes. The receiver passes them on to others while it
// gets the rest. Full deltas stay whole: what they lack counts as deleted.
func limitDeltas(deltas []Delta, positions []Position, maxBytes int) []Delta {
	var items []Item
	for _, delta := range deltas {
		if !delta.Full {
			items = append(items, delta.Items...)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return int(a.Object.Revision - b.Object.Revision) })
	bytes := 0
	for i, item := range items {
		bytes += item.size()
		if bytes >= maxBytes && i < len(items)-1 {
			return cutDeltas(deltas, positions, item.Object.Revision)
		}
	}
	return deltas
}

// cutDeltas returns the changes up to a revision that a peer at the positions lacks.
func cutDeltas(deltas []Delta, positions []Position, revision int64) []Delta {
	var cut []Delta
	for _, delta := range deltas {
		if !delta.Full {
			if positionOf(positions, delta.Kind) >= revision {
				continue
			}
			delta.Items = slices.DeleteFunc(slices.Clone(delta.Items), func(item Item) bool { return item.Object.Revision > revision })
			delta.Revision = min(delta.Revision, revision)
		}
		cut = append(cut, delta)
	}
	return cut
}
