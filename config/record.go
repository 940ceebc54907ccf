package config

import (
	"encoding/json"
	"reflect"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/objects"
)

// record is what an entry knows of one object. Records are immutable.
type record struct {
	// newest is the newest state seen, accepted or not.
	newest objects.Object
	// findings tell why newest was refused; empty when it was accepted.
	findings v1.Findings
	// accepted is the last accepted state and the resource in it; document is nil when none was.
	accepted objects.Object
	document *v1.Document
	// specRevision is the revision that brought the accepted spec, as far as this entry saw it.
	specRevision int64
}

// next returns the record after item, which is newer than r. r is nil for a new object.
func (r *record) next(item Item) *record {
	document, findings := decodeObject(item.Object)
	if len(findings) == 0 {
		return r.accept(item.Object, document, nil)
	}
	following := &record{newest: item.Object, findings: findings}
	if r != nil && r.newest.UID == item.Object.UID {
		following.accepted, following.document = r.accepted, r.document
		following.specRevision = r.specRevision
	}
	candidates := []*objects.Object{item.Accepted}
	if following.document == nil {
		candidates = append(candidates, storedAccepted(item.Object))
	}
	for _, candidate := range candidates {
		if candidate == nil || candidate.Revision <= following.accepted.Revision {
			continue
		}
		if offered, faults := decodeObject(*candidate); len(faults) == 0 {
			following = r.accept(*candidate, offered, findings)
			following.newest = item.Object
		}
	}
	return following
}

// storedAccepted returns the object with the last accepted spec that its status keeps, nil when it
// keeps none. It serves entries that start when nobody remembers the last accepted revision.
func storedAccepted(object objects.Object) *objects.Object {
	var fields map[string]json.RawMessage
	var status struct {
		LastAccepted string `json:"lastAccepted"`
	}
	if json.Unmarshal(object.Value, &fields) != nil || json.Unmarshal(fields["status"], &status) != nil {
		return nil
	}
	if !json.Valid([]byte(status.LastAccepted)) {
		return nil
	}
	fields["spec"] = json.RawMessage(status.LastAccepted)
	value, err := json.Marshal(fields)
	if err != nil {
		return nil
	}
	object.Value = value
	return &object
}

// withAccepted returns the record with item's accepted state where r's newest was refused and
// item's is newer than what r has; else nil.
func (r *record) withAccepted(item Item) *record {
	offered := item.Object
	if item.Accepted != nil {
		offered = *item.Accepted
	}
	fits := !offered.Deleted && offered.UID == r.newest.UID && offered.Revision < r.newest.Revision
	if len(r.findings) == 0 || !fits || offered.Revision <= r.accepted.Revision {
		return nil
	}
	document, faults := decodeObject(offered)
	if len(faults) > 0 {
		return nil
	}
	following := r.accept(offered, document, r.findings)
	following.newest = r.newest
	return following
}

func (r *record) accept(object objects.Object, document *v1.Document, findings v1.Findings) *record {
	following := &record{
		newest: object, findings: findings,
		accepted: object, document: document,
		specRevision: object.Revision,
	}
	if r.sameSpec(object, document) {
		following.specRevision = r.specRevision
	}
	return following
}

func (r *record) sameSpec(object objects.Object, document *v1.Document) bool {
	if r == nil || r.document == nil || r.accepted.UID != object.UID {
		return false
	}
	return reflect.DeepEqual(r.document.Resource.SpecValue(), document.Resource.SpecValue())
}

func (r *record) item() Item {
	item := Item{Object: r.newest}
	if len(r.findings) > 0 && r.document != nil {
		accepted := r.accepted
		item.Accepted = &accepted
	}
	return item
}

// decodeObject reads and validates a stored object by itself. Findings that concern other
// resources don't refuse it: the order in which related changes arrive must not matter.
func decodeObject(object objects.Object) (*v1.Document, v1.Findings) {
	key := v1.ResourceKey{Kind: object.Kind, Name: object.Name}
	documents, findings := v1.Decode(key.String(), object.Value)
	if len(findings) == 0 {
		findings = v1.Validate(documents).OfScope(v1.ScopeResource)
	}
	if len(findings) > 0 {
		return nil, findings
	}
	if len(documents) != 1 || documents[0].Key() != key {
		return nil, v1.Findings{{
			File: key.String(), Line: 1, Path: "metadata.name", Scope: v1.ScopeResource,
			Message: "the object must hold exactly the resource of its own kind and name",
		}}
	}
	meta := documents[0].Resource.Meta()
	meta.UID, meta.Revision = object.UID, object.Revision
	return &documents[0], nil
}
