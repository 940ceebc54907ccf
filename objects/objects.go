// Package objects holds the types of the platform's object API as the core packages see it.
//
// The API keeps objects by kind and name. Every write gives the object a new revision, taken from
// one counter of the whole store; a write is conditional on the revision that the writer has read.
// The interfaces that use these types live in the packages that consume them.
package objects

import (
	"encoding/json"
	"errors"
	"fmt"
)

// MaxValueBytes is the largest value that the platform keeps.
const MaxValueBytes = 1 << 20

// Object is one stored object.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// UID differs between an object and a later one of the same name.
	UID string `json:"uid"`
	// Revision is the store's revision at the last write of this object.
	Revision int64 `json:"revision"`
	// Value is the object's content; at most MaxValueBytes.
	Value json.RawMessage `json:"value"`
	// Deleted marks the last event of an object in a watch.
	Deleted bool `json:"deleted,omitempty"`
}

// List is the answer of a list or a watch: objects and the store's revision that they reflect.
type List struct {
	Revision int64    `json:"revision"`
	Items    []Object `json:"items"`
}

// MustNotExist as the expected revision of a write demands that the object is absent.
const MustNotExist int64 = 0

// Errors of the object API. An adapter wraps them; test with errors.Is.
var (
	// ErrNotFound: no such object.
	ErrNotFound = errors.New("platform: object not found")
	// ErrUnavailable: the platform refused the call without effect (down or over its rate).
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrTooOld: a watch starts at a revision that the platform has forgotten; list again.
	ErrTooOld = errors.New("platform: revision too old")
	// ErrUnknownOutcome: the answer of a write was lost; it may have taken effect.
	ErrUnknownOutcome = errors.New("platform: outcome of the write unknown")
)

// ConflictError reports a write whose expected revision was not the present one.
type ConflictError struct {
	Kind, Name string
	// Expected is the revision that the writer had read; Present is the stored one, 0 when absent.
	Expected, Present int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: conflict on %s/%s: expected revision %d, present revision %d",
		e.Kind, e.Name, e.Expected, e.Present)
}

// IsConflict tells whether err is or wraps a *ConflictError.
func IsConflict(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict)
}
