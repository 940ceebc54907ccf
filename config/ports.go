package config

import (
	"context"
	"encoding/json"
	"time"

	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"
)

// Platform is the part of the platform's object API that the Manager uses.
type Platform interface {
	// List reads all objects of a kind; the answer may be stale.
	List(ctx context.Context, kind string) (objects.List, error)
	// Watch waits until an object of the kinds changed after the revision, or for wait.
	Watch(ctx context.Context, kinds []string, after int64, wait time.Duration) (objects.List, error)
	// Put writes an object if its present revision is the expected one.
	Put(ctx context.Context, kind, name string, expected int64, value []byte) (objects.Object, error)
}

// Peers reads the configuration of other entries.
type Peers interface {
	// Follow waits until the peer knows more than positions, or for wait.
	Follow(ctx context.Context, peer membership.Peer, positions []Position, wait time.Duration) (Update, error)
}

// KindEntry is the kind of the objects by which entries register.
const KindEntry = "Entry"

// Registration is the value of an Entry object. Writing it tells the entry the platform's present
// revision, which bounds what its configuration must reflect.
type Registration struct {
	Name             string `json:"name"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availabilityZone"`
	Incarnation      uint64 `json:"incarnation"`
}

func (r Registration) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // cannot happen: the type holds only text and numbers
	}
	return value
}

// EventKind names what happened in the Manager.
type EventKind string

// Events of the Manager.
const (
	// EventReady: the configuration is in force for the first time.
	EventReady EventKind = "configuration-ready"
	// EventApplied: a newer configuration is in force.
	EventApplied EventKind = "configuration-applied"
	// EventRefused: an object's newest revision was refused.
	EventRefused EventKind = "configuration-refused"
	// EventReverted: a configuration was not brought into force because it would revert a resource.
	EventReverted EventKind = "configuration-would-revert"
	// EventSourceFailed: the platform or a peer did not answer.
	EventSourceFailed EventKind = "configuration-source-failed"
)

// Event is one observation for logs and metrics.
type Event struct {
	Kind EventKind
	// Source is "platform" or the name of the peer.
	Source   string
	Revision int64
	Err      error
}
