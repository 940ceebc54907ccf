package platformhttp

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/azurebarrow/azurebarrow/internal/rawjson"
	"github.com/azurebarrow/azurebarrow/objects"
)

var (
	errNoName    = errors.New("name is missing")
	errRevision  = errors.New("revision is negative")
	errOtherKind = errors.New("object of another kind")
)

// decodeList decodes the answer to a list or watch. It leaves out items without a readable name and revision: other writers may
// leave anything in the store, and one item must not hide the others. What a value holds is not looked at.
func decodeList(text []byte) (objects.List, error) {
	fields, err := rawjson.Fields(text)
	if err != nil {
		return objects.List{}, err
	}
	var list objects.List
	if err := decodeFields(fields, map[string]any{"revision": &list.Revision}); err != nil {
		return objects.List{}, err
	}
	items, present := fields["items"]
	if !present || string(items) == "null" {
		return list, nil
	}
	elements, err := rawjson.Elements(items)
	if err != nil {
		return objects.List{}, fmt.Errorf("items: %w", err)
	}
	for i, element := range elements {
		object, err := decodeObject(element)
		if err != nil {
			list.Unreadable = append(list.Unreadable, fmt.Errorf("items[%d] %s %q: %w", i, object.Kind, object.Name, err))
			continue
		}
		list.Items = append(list.Items, object)
	}
	return list, nil
}

// decodeObject decodes one object. With an error it returns the kind and name as far as they are readable.
func decodeObject(text []byte) (objects.Object, error) {
	fields, err := rawjson.Fields(text)
	if err != nil {
		return objects.Object{}, err
	}
	var object objects.Object
	if err := decodeFields(fields, map[string]any{"kind": &object.Kind, "name": &object.Name}); err != nil {
		return object, err
	}
	if err := decodeFields(fields, map[string]any{"uid": &object.UID, "revision": &object.Revision, "deleted": &object.Deleted}); err != nil {
		return object, err
	}
	if object.Name == "" {
		return object, errNoName
	}
	if object.Revision < 0 {
		return object, errRevision
	}
	// A copy, so that an object that is kept doesn't keep the whole answer.
	object.Value = bytes.Clone(fields["value"])
	return object, nil
}

// keepKind moves objects of another kind to the unreadable ones.
func keepKind(list objects.List, kind string) objects.List {
	items := list.Items
	list.Items = nil
	for _, object := range items {
		if object.Kind != kind {
			list.Unreadable = append(list.Unreadable, fmt.Errorf("%s %q in a list of %s: %w", object.Kind, object.Name, kind, errOtherKind))
			continue
		}
		list.Items = append(list.Items, object)
	}
	return list
}

// decodeFields decodes the fields that are present into the variables of their names.
func decodeFields(fields map[string]json.RawMessage, variables map[string]any) error {
	for name, variable := range variables {
		text, present := fields[name]
		if !present {
			continue
		}
		if err := json.Unmarshal(text, variable); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}
