package config

import "github.com/azurebarrow/azurebarrow/objects"

// Position tells up to which revision a holder knows every change of one kind.
type Position struct {
	Kind string
	// Revision is unknownRevision before the first list.
	Revision int64
}

// unknownRevision is below every revision of the platform.
const unknownRevision int64 = -1

// Item is an object as one entry hands it to another.
type Item struct {
	// Object is the newest known state.
	Object objects.Object
	// Accepted is the last accepted state when Object was refused, else nil.
	Accepted *objects.Object
}

// Delta holds the changes of one kind up to a revision.
type Delta struct {
	Kind     string
	Revision int64
	// Full says that Items holds every object of the kind, so that absent ones are deleted.
	Full  bool
	Items []Item
}

// Update is what one entry tells another about its configuration.
type Update struct {
	// Ready tells whether the sender's configuration is in force there.
	Ready  bool
	Deltas []Delta
}

// deltaOf turns the answer of a list into a full Delta.
func deltaOf(kind string, list objects.List) Delta {
	delta := Delta{Kind: kind, Revision: list.Revision, Full: true}
	for _, object := range list.Items {
		delta.Items = append(delta.Items, Item{Object: object})
	}
	return delta
}

// deltasOf splits the answer of a watch by kind. Every kind watched is known up to its revision.
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
