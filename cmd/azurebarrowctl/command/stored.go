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

// storedResource is an object of the platform together with the resource that its value holds.
type storedResource struct {
	object objects.Object
	// document is nil if the value can't be decoded as one resource.
	document *v1.Document
}

// decodeStored decodes the value of an object. The resource gets the UID and the revision of the object.
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

// printable returns the value to print as YAML or JSON: the resource, or the raw value of an object that
// can't be decoded.
func (s storedResource) printable() any {
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

// conditionText returns "true", "false", or "-" if the condition has not been written yet.
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

// listAll lists the stored resources of the given kinds.
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

// parseKind returns the kind that text names, in any case and in the singular or plural.
func parseKind(text string) (string, error) {
	for _, kind := range v1.Kinds() {
		lower := strings.ToLower(kind)
		if slices.Contains([]string{lower, lower + "s"}, strings.ToLower(text)) {
			return kind, nil
		}
	}
	return "", fmt.Errorf("%w: kind %q is none of %v", errUsage, text, v1.Kinds())
}

// specText returns the spec as canonical JSON, so that specs can be compared as text.
func specText(resource v1.Resource) []byte {
	text, err := json.Marshal(resource.SpecValue())
	if err != nil {
		panic(err) // unreachable: specs hold only text, numbers and lists
	}
	return text
}

func sameSpec(a, b v1.Resource) bool { return bytes.Equal(specText(a), specText(b)) }
