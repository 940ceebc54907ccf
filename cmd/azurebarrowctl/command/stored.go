package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/azurebarrow/azurebarrow/adapters/platformhttp"
	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/objects"
)

// storedResource is an object of the platform and the resource in it.
type storedResource struct {
	object objects.Object
	// document is nil when the value can't be read as a resource.
	document *v1.Document
}

func decodeStored(object objects.Object) storedResource {
	key := v1.ResourceKey{Kind: object.Kind, Name: object.Name}
	documents, _ := v1.Decode(key.String(), object.Value)
	if len(documents) != 1 {
		return storedResource{object: object}
	}
	meta := documents[0].Resource.Meta()
	meta.UID, meta.Revision = object.UID, object.Revision
	return storedResource{object: object, document: &documents[0]}
}

// shown returns what get prints: the resource with its revision, or the raw value.
func (s storedResource) shown() any {
	if s.document == nil {
		return s.object.Value
	}
	return s.document.Resource
}

func (s storedResource) condition(kind v1.ConditionType) (v1.Condition, bool) {
	if s.document == nil {
		return v1.Condition{}, false
	}
	for _, condition := range s.document.Resource.State().Conditions {
		if condition.Type == kind {
			return condition, true
		}
	}
	return v1.Condition{}, false
}

// conditionText returns true, false or a dash when the system has not written the condition yet.
func (s storedResource) conditionText(kind v1.ConditionType) string {
	condition, ok := s.condition(kind)
	if !ok {
		return "-"
	}
	return fmt.Sprint(condition.Status)
}

func (s storedResource) generation() int64 {
	if s.document == nil {
		return 0
	}
	return s.document.Resource.Meta().Generation
}

// listAll reads the resources of the kinds.
func listAll(ctx context.Context, client *platformhttp.Client, kinds []string) ([]storedResource, error) {
	var all []storedResource
	for _, kind := range kinds {
		list, err := client.List(ctx, kind)
		if err != nil {
			return nil, err
		}
		for _, object := range list.Items {
			all = append(all, decodeStored(object))
		}
	}
	return all, nil
}

// kindNamed returns the kind for a name as people write it: any case, also in the plural.
func kindNamed(text string) (string, error) {
	for _, kind := range v1.Kinds() {
		lower := strings.ToLower(kind)
		if slices.Contains([]string{lower, lower + "s"}, strings.ToLower(text)) {
			return kind, nil
		}
	}
	return "", fmt.Errorf("%w: kind %q is none of %v", errUsage, text, v1.Kinds())
}

// specText returns the spec as canonical JSON, by which specs are compared.
func specText(resource v1.Resource) []byte {
	text, err := json.Marshal(resource.SpecValue())
	if err != nil {
		panic(err) // cannot happen: specs hold only text, numbers and lists
	}
	return text
}

func sameSpec(a, b v1.Resource) bool { return bytes.Equal(specText(a), specText(b)) }
