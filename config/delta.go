package config

import "github.com/azurebarrow/azurebarrow/objects"

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
