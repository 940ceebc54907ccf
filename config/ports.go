package config

import (
	"context"
	"encoding/json"
	"time"

	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"
)

// Platform is the part of the platform's object API that the Manager uses. A read fails when no data arrives
// for a few seconds, or for one second after the wait of a watch; its whole time is not limited, since a long
// answer that is cut would be read again from the start.
type Platform interface {
	// List reads all objects of a kind. The result may be stale.
	List(ctx context.Context, kind string) (objects.List, error)
	// Watch returns the objects of the kinds that changed after the given revision. It waits for the
	// first change, at most for wait.
	Watch(ctx context.Context, kinds []string, after int64, wait time.Duration) (objects.List, error)
	// Put writes an object if its current revision equals expected.
	Put(ctx context.Context, kind, name string, expected int64, value []byte) (objects.Object, error)
}

// Peers reads the configuration from other entries.
type Peers interface {
	// Follow returns the changes that the peer knows beyond positions. It waits for the first change, at
	// most for wait; see Manager.Follow.
	Follow(ctx context.Context, peer membership.Peer, positions []Position, wait time.Duration) (Update, error)
}

// KindEntry is the kind of the object that each entry writes to register itself.
const KindEntry = "Entry"

// Registration is the value of an Entry object. The write returns the platform's current revision;
// the first configuration of the entry must reflect at least this revision.
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

// EventKind names an event of the Manager.
type EventKind string

// Events of the Manager.
const (
	// EventReady: the first configuration is in force.
	EventReady EventKind = "configuration-ready"
	// EventApplied: a newer configuration is in force.
	EventApplied EventKind = "configuration-applied"
	// EventRefused: the newest revision of an object is invalid and was refused.
	EventRefused EventKind = "configuration-refused"
	// EventWouldRevert: a snapshot was rejected because it would revert a resource to an older revision.
	EventWouldRevert EventKind = "configuration-would-revert"
	// EventSourceFailed: a call to the platform or to a peer failed.
	EventSourceFailed EventKind = "configuration-source-failed"
)

// Event reports a change or failure, for logs and metrics.
type Event struct {
	Kind EventKind
	// Source is "platform", "peers" or the name of the peer.
	Source string
	// Revision is the platform's revision that the snapshot reflects; 0 when the event is not about a
	// snapshot.
	Revision int64
	Err      error
}
