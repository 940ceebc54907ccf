// Package objects defines the types of the platform's object API that the core packages use.
//
// The API stores objects by kind and name. Every write gives the object a new revision, taken from
// one counter of the whole store; a write is conditional on the revision that the writer has read.
// The interfaces that use these types are declared in the packages that consume them.
package objects

import (
	"encoding/json"
	"errors"
	"fmt"
)

// MaxValueBytes is the maximum size of a value that the platform stores.
const MaxValueBytes = 1 << 20

// Object is one stored object.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// UID distinguishes an object from a later one of the same name.
	UID string `json:"uid"`
	// Revision is the store's revision at the last write of this object.
	Revision int64 `json:"revision"`
	// Value is the object's content; at most MaxValueBytes.
	Value json.RawMessage `json:"value"`
	// Deleted marks the last event of an object in a watch.
	Deleted bool `json:"deleted,omitempty"`
}

// List is the answer to a list or watch call: objects, and the revision of the store that they
// reflect.
type List struct {
	// Era rises by one each time the store is restored from an older copy; its revisions are then given out again. 0: the store
	// names none.
	Era      int64    `json:"-"`
	Revision int64    `json:"revision"`
	Items    []Object `json:"items"`
	// Unreadable are the errors of items that are left out, since their name or revision can't be read; each gives its
	// place in the answer.
	Unreadable []error `json:"-"`
}

// MustNotExist, as the expected revision of a write, requires that the object does not exist.
const MustNotExist int64 = 0

// Errors of the object API. An adapter wraps them; test with errors.Is.
var (
	// ErrNotFound: no such object.
	ErrNotFound = errors.New("platform: object not found")
	// ErrUnavailable: the platform rejected the call without effect (it is down or over its rate
	// limit).
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrTooOld: a watch starts at a revision that the platform no longer keeps; list again.
	ErrTooOld = errors.New("platform: revision too old")
	// ErrUnknownOutcome: the answer of a write was lost; it may have taken effect.
	ErrUnknownOutcome = errors.New("platform: outcome of the write unknown")
)

// ConflictError reports a write whose expected revision was not the current one.
type ConflictError struct {
	Kind, Name string
	// Expected is the revision that the writer had read; Present is the stored one, 0 if there is
	// none.
	Expected, Present int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: conflict on %s/%s: expected revision %d, present revision %d",
		e.Kind, e.Name, e.Expected, e.Present)
}

// IsConflict reports whether err is or wraps a *ConflictError.
func IsConflict(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict)
}
