package idempotency

import (
	"context"
	"time"

	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"
	"github.com/azurebarrow/azurebarrow/objects/budget"
)

// Store is the port to the platform's object API. An error that is neither a conflict, nor
// objects.ErrNotFound, nor objects.ErrUnavailable leaves the outcome of a write unknown.
type Store interface {
	Get(ctx context.Context, kind, name string) (objects.Object, error)
	List(ctx context.Context, kind string) (objects.List, error)
	Put(ctx context.Context, kind, name string, expected int64, value []byte) (objects.Object, error)
	Delete(ctx context.Context, kind, name string, expected int64) error
}

// Peers is the port to the ledgers of other entries. An error tells that no answer came; the
// request may have been served.
type Peers interface {
	Claim(ctx context.Context, peer membership.Peer, call ClaimCall) (Reply, error)
	Complete(ctx context.Context, peer membership.Peer, call CompleteCall) ([]Reply, error)
	Await(ctx context.Context, peer membership.Peer, call AwaitCall) (AwaitReply, error)
}

// ClaimCall carries a claim to the shard's owner.
type ClaimCall struct {
	Request ClaimRequest
	// Unreachable names an entry that the caller could not reach; empty if none.
	Unreachable string
	// Relay asks the receiver to pass the claim on to the owner.
	Relay bool
}

// CompleteCall carries ends of calls of one shard to the shard's owner.
type CompleteCall struct {
	Shard       int
	Requests    []CompleteRequest
	Unreachable string
	Relay       bool
}

// AwaitCall asks the holder of a claim for its outcome.
type AwaitCall struct {
	Key     Key
	Attempt AttemptID
	// Incarnation is that of the holder when it claimed.
	Incarnation uint64
}

// Reply is the answer of a shard's owner.
type Reply struct {
	Verdict Verdict
	Record  Record
	// Owner names the entry to ask instead, with VerdictNotOwner; empty when none is known.
	Owner string
}

// AwaitVerdict is a holder's word on an attempt.
type AwaitVerdict string

// Verdicts of a holder.
const (
	// AwaitFinished: the call ended; the record tells how.
	AwaitFinished AwaitVerdict = "finished"
	// AwaitAbsent: this process never sent the call for this attempt and never will, or its outcome
	// is in the ledger.
	AwaitAbsent AwaitVerdict = "absent"
	// AwaitLost: the process that made the claim is gone.
	AwaitLost AwaitVerdict = "lost"
)

// AwaitReply is the answer of a claim's holder.
type AwaitReply struct {
	Verdict AwaitVerdict
	Record  Record
}

// EventKind names what an Event reports.
type EventKind string

// Kinds of events.
const (
	EventTakeover    EventKind = "takeover"
	EventHandover    EventKind = "handover"
	EventConflict    EventKind = "conflict"
	EventRefused     EventKind = "content-refused"
	EventUnavailable EventKind = "platform-unavailable"
	EventAvailable   EventKind = "platform-available"
	EventArchived    EventKind = "archived"
)

// Event is something worth a log line.
type Event struct {
	Kind  EventKind
	Shard int
	Err   error
}

// Options are the settings and ports of a Ledger. Zero durations and sizes take the defaults.
type Options struct {
	Store  Store
	Peers  Peers
	View   membership.View
	Budget *budget.Limiter
	// Observe receives events; nil drops them. It must not block.
	Observe func(Event)
	// Shards is fixed for the life of the ledger: heads of another number are refused.
	Shards int
	// Retention is how long a key is remembered.
	Retention time.Duration
	// LeaseDuration is how long the owner of a head that no longer changes is left alone.
	LeaseDuration time.Duration
	// WriteTimeout bounds the first attempt of a write; one that takes longer counts as an outage.
	WriteTimeout time.Duration
	// DownAfter is how long the platform may refuse writes before that counts as an outage.
	DownAfter time.Duration
	// ProbeInterval is the time between looks at a platform that is down.
	ProbeInterval time.Duration
	// OutcomeDelay is how long an outcome waits for a claim whose write it can share.
	OutcomeDelay time.Duration
	// HeadBytes is the size of the records at which a head is archived.
	HeadBytes int
	// AnswerBytes bounds a stored answer.
	AnswerBytes int
}

// Defaults of Options.
const (
	DefaultShards        = 2
	DefaultRetention     = 24 * time.Hour
	DefaultLeaseDuration = 500 * time.Millisecond
	DefaultWriteTimeout  = time.Second
	DefaultDownAfter     = 500 * time.Millisecond
	DefaultProbeInterval = 200 * time.Millisecond
	DefaultOutcomeDelay  = 50 * time.Millisecond
	DefaultHeadBytes     = 24 << 10
	DefaultAnswerBytes   = 16 << 10
)

const (
	// maxHeadBytes is the size of a head's records beyond which writes wait for an archive.
	maxHeadBytes = 900 << 10
	// maxBatchBytes bounds the records that one write adds.
	maxBatchBytes = 96 << 10
	// outcomeHeadBytes is the size of a head's records beyond which outcomes wait for an archive: a
	// larger head makes every write slower, and claims wait on the writes.
	outcomeHeadBytes = 192 << 10
	// maxArchiveBytes bounds the records of one archive.
	maxArchiveBytes = 800 << 10
	// compactBelowBytes is the size below which an archive is merged with its neighbours.
	compactBelowBytes = 400 << 10
	// compactCount is the number of small archives that are merged at once.
	compactCount = 8
	// maxWriteTimeout bounds the growth of the write time-out during an outage, and so how long a
	// write that hangs hides that the platform is back.
	maxWriteTimeout = 1500 * time.Millisecond
	// archiveTimeout bounds the write of an archive.
	archiveTimeout = 8 * time.Second
)

func (o Options) withDefaults() Options {
	defaultTo(&o.Shards, DefaultShards)
	defaultTo(&o.Retention, DefaultRetention)
	defaultTo(&o.LeaseDuration, DefaultLeaseDuration)
	defaultTo(&o.WriteTimeout, DefaultWriteTimeout)
	defaultTo(&o.DownAfter, DefaultDownAfter)
	defaultTo(&o.ProbeInterval, DefaultProbeInterval)
	defaultTo(&o.OutcomeDelay, DefaultOutcomeDelay)
	defaultTo(&o.HeadBytes, DefaultHeadBytes)
	defaultTo(&o.AnswerBytes, DefaultAnswerBytes)
	if o.Observe == nil {
		o.Observe = func(Event) {}
	}
	return o
}

func defaultTo[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
