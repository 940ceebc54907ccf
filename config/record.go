package config

import (
	"encoding/json"
	"reflect"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/objects"
)

// record holds the newest and the last accepted state of one object. Records are immutable.
type record struct {
	// newest is the newest known state, accepted or not.
	newest objects.Object
	// findings list why newest was refused; empty when it was accepted.
	findings v1.Findings
	// accepted is the last accepted state and document the resource decoded from it; nil when no state was
	// accepted.
	accepted objects.Object
	document *v1.Document
	// specRevision is the first revision with the accepted spec that this entry has seen.
	specRevision int64
}

// withNewest returns the record of the object after item, which is newer than r. r is nil for a new
// object. If item is refused, the record keeps the newest accepted state: that of r, the one that the
// sending entry holds or, if r has none, the one in the object's status.
func (r *record) withNewest(item Item) *record {
	document, findings := decodeObject(item.Object)
	if len(findings) == 0 {
		return r.acceptedRecord(item.Object, document, nil)
	}
	updated := &record{newest: item.Object, findings: findings}
	if r != nil && r.newest.UID == item.Object.UID {
		updated.accepted, updated.document = r.accepted, r.document
		updated.specRevision = r.specRevision
	}
	candidates := []*objects.Object{item.Accepted}
	if updated.document == nil {
		candidates = append(candidates, storedAccepted(item.Object))
	}
	for _, candidate := range candidates {
		if candidate == nil || candidate.Revision <= updated.accepted.Revision {
			continue
		}
		if offered, decodeFindings := decodeObject(*candidate); len(decodeFindings) == 0 {
			updated = r.acceptedRecord(*candidate, offered, findings)
			updated.newest = item.Object
		}
	}
	return updated
}

// storedAccepted returns the object with the last accepted spec, which its status holds; nil when the
// status holds none. Entries need it when they start while no other entry has the last accepted
// revision.
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

// withAccepted returns a copy of r with the accepted state of item. It returns nil if r's newest state
// was not refused, or if the state of item is not newer than the accepted state of r.
func (r *record) withAccepted(item Item) *record {
	offered := item.Object
	if item.Accepted != nil {
		offered = *item.Accepted
	}
	fits := !offered.Deleted && offered.UID == r.newest.UID && offered.Revision < r.newest.Revision
	if len(r.findings) == 0 || !fits || offered.Revision <= r.accepted.Revision {
		return nil
	}
	document, decodeFindings := decodeObject(offered)
	if len(decodeFindings) > 0 {
		return nil
	}
	updated := r.acceptedRecord(offered, document, r.findings)
	updated.newest = r.newest
	return updated
}

// acceptedRecord returns the record after the object was accepted. specRevision changes only with the
// spec, not when only metadata or status changed.
func (r *record) acceptedRecord(object objects.Object, document *v1.Document, findings v1.Findings) *record {
	updated := &record{
		newest: object, findings: findings,
		accepted: object, document: document,
		specRevision: object.Revision,
	}
	if r.sameSpec(object, document) {
		updated.specRevision = r.specRevision
	}
	return updated
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

// decodeObject decodes an object and validates it by itself. Findings against other resources are no
// reason to refuse it, because related changes may arrive in any order.
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
