package command

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
)

// changeKind is what apply would do, or did, with a resource.
type changeKind string

// Kinds of changes.
const (
	changeCreate changeKind = "create"
	changeUpdate changeKind = "update"
	changeNone   changeKind = "unchanged"
	// changeExtra: the platform has a resource that is in no file; apply leaves it alone.
	changeExtra changeKind = "only-in-platform"
	// changeConflict: another writer changed the resource; apply did not write it.
	changeConflict changeKind = "conflict"
	// changeNotTried: an error with an earlier resource ended apply.
	changeNotTried changeKind = "not-tried"
	// changeUncertain: apply failed with this resource, and it is unknown whether a write took effect.
	changeUncertain changeKind = "unknown"
)

// change is one resource's difference between the files and the platform.
type change struct {
	Key  v1.ResourceKey `json:"key"`
	Kind changeKind     `json:"change"`
	// Fields are the fields of spec that differ.
	Fields []fieldChange `json:"fields,omitempty"`
	// Revision is the platform's revision on which the change is based; after apply, the one that it wrote.
	Revision int64 `json:"revision,omitempty"`
	// Present is the platform's current revision in case of a conflict.
	Present int64  `json:"present,omitempty"`
	Message string `json:"message,omitempty"`
}

// fieldChange is a field that differs. Old or Added is empty if the field is absent there.
type fieldChange struct {
	Path  string `json:"path"`
	Old   string `json:"old,omitempty"`
	Added string `json:"new,omitempty"`
}

// compareResources returns one change for each document, in the order of v1.Kinds, then one for each stored
// resource that is in no document.
func compareResources(documents []v1.Document, stored []storedResource) []change {
	present := map[v1.ResourceKey]storedResource{}
	for _, resource := range stored {
		present[v1.ResourceKey{Kind: resource.object.Kind, Name: resource.object.Name}] = resource
	}
	var changes []change
	for _, kind := range v1.Kinds() {
		for _, document := range documents {
			if key := document.Key(); key.Kind == kind {
				changes = append(changes, compareResource(document, present[key]))
				delete(present, key)
			}
		}
	}
	for _, resource := range stored {
		key := v1.ResourceKey{Kind: resource.object.Kind, Name: resource.object.Name}
		if _, extra := present[key]; extra {
			changes = append(changes, change{Key: key, Kind: changeExtra, Revision: resource.object.Revision})
		}
	}
	return changes
}

func compareResource(document v1.Document, present storedResource) change {
	compared := change{Key: document.Key(), Kind: changeCreate, Revision: present.object.Revision}
	stated := document.Resource.Meta().Revision
	switch {
	case stated != 0 && stated != present.object.Revision:
		compared.Kind, compared.Revision, compared.Present = changeConflict, stated, present.object.Revision
		compared.Message = fmt.Sprintf("the file is based on revision %d, the platform has revision %d", stated, present.object.Revision)
		if present.document != nil {
			compared.Fields = fieldChanges(present.document.Resource, document.Resource)
		}
	case present.object.Revision == 0:
	case present.document == nil:
		compared.Kind = changeUpdate
	case sameSpec(document.Resource, present.document.Resource):
		compared.Kind = changeNone
	default:
		compared.Kind = changeUpdate
		compared.Fields = fieldChanges(present.document.Resource, document.Resource)
	}
	return compared
}

// fieldChanges returns the differing fields of two specs, ordered by path.
func fieldChanges(old, added v1.Resource) []fieldChange {
	before, after := map[string]string{}, map[string]string{}
	flatten("spec", specText(old), before)
	flatten("spec", specText(added), after)
	paths := maps.Clone(before)
	maps.Copy(paths, after)
	var changes []fieldChange
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if before[path] != after[path] {
			changes = append(changes, fieldChange{Path: path, Old: before[path], Added: after[path]})
		}
	}
	return changes
}

// flatten adds each leaf of a JSON value to leaves, under the path of its fields and indexes.
func flatten(path string, value json.RawMessage, leaves map[string]string) {
	var object map[string]json.RawMessage
	if json.Unmarshal(value, &object) == nil && object != nil {
		for name, field := range object {
			flatten(path+"."+name, field, leaves)
		}
		return
	}
	var list []json.RawMessage
	if json.Unmarshal(value, &list) == nil && list != nil {
		for i, element := range list {
			flatten(fmt.Sprintf("%s[%d]", path, i), element, leaves)
		}
		return
	}
	leaves[path] = string(value)
}

func (g *globalOptions) printChanges(changes []change) error {
	if g.Output != outputTable {
		return g.printValue(changes)
	}
	for _, change := range changes {
		line := fmt.Sprintf("%s %s", change.Kind, change.Key)
		if change.Message != "" {
			line += ": " + change.Message
		}
		fmt.Fprintln(g.out, line)
		for _, field := range change.Fields {
			if field.Old != "" {
				fmt.Fprintf(g.out, "  - %s: %s\n", field.Path, field.Old)
			}
			if field.Added != "" {
				fmt.Fprintf(g.out, "  + %s: %s\n", field.Path, field.Added)
			}
		}
	}
	return nil
}
