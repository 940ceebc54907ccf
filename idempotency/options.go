package idempotency

import (
	"context"
	"time"

	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"
	"github.com/azurebarrow/azurebarrow/objects/writelimit"
)

// Store is the port to the platform's object API. After an error that is neither a conflict, nor
// objects.ErrNotFound, nor objects.ErrUnavailable, it is unknown whether a write took effect.
type Store interface {
	Get(ctx context.Context, kind, name string) (objects.Object, error)
	List(ctx context.Context, kind string) (objects.List, error)
	Put(ctx context.Context, kind, name string, expected int64, value []byte) (objects.Object, error)
	Delete(ctx context.Context, kind, name string, expected int64) error
}

// Peers is the port to the ledgers of other entries. An error means that no reply came; the peer
// may nevertheless have processed the request.
type Peers interface {
	Claim(ctx context.Context, peer membership.Peer, call ClaimCall) (Reply, error)
	Complete(ctx context.Context, peer membership.Peer, call CompleteCall) ([]Reply, error)
	Await(ctx context.Context, peer membership.Peer, call AwaitCall) (AwaitReply, error)
}

// ClaimCall is the message that carries a claim to the shard owner.
type ClaimCall struct {
	Request ClaimRequest
	// Unreachable names an entry that the sender could not reach; empty if none.
	Unreachable string
	// Relay asks the receiver to forward the claim to the shard owner.
	Relay bool
}

// CompleteCall is the message that carries outcomes of calls of one shard to the shard owner.
// Unreachable and Relay are used as in ClaimCall.
type CompleteCall struct {
	Shard       int
	Requests    []CompleteRequest
	Unreachable string
	Relay       bool
}

// AwaitCall is the message that asks the holder of a claim for the outcome of its call.
type AwaitCall struct {
	Key     Key
	Attempt AttemptID
	// Incarnation is the holder's incarnation at the time of the claim.
	Incarnation uint64
}

// Reply is the shard owner's reply to a claim or to the outcome of a call.
type Reply struct {
	Verdict Verdict
	Record  Record
	// Owner names the entry to ask instead if Verdict is VerdictNotOwner; empty if none is known.
	Owner string
}

// AwaitVerdict is what the holder of a claim replies about an attempt.
type AwaitVerdict string

// Verdicts of a claim's holder.
const (
	// AwaitFinished: the attempt has ended; the record holds the outcome.
	AwaitFinished AwaitVerdict = "finished"
	// AwaitAbsent: this process never dispatched the call of this attempt and never will.
	AwaitAbsent AwaitVerdict = "absent"
	// AwaitRecorded: this process no longer keeps the attempt, whose outcome it had recorded in the
	// ledger. Ask the ledger again. If it has no outcome, the call may have run.
	AwaitRecorded AwaitVerdict = "recorded"
	// AwaitLost: the process that made the claim no longer runs, or membership no longer reports its
	// entry as alive.
	AwaitLost AwaitVerdict = "lost"
)

// AwaitReply is the reply of a claim's holder.
type AwaitReply struct {
	Verdict AwaitVerdict
	Record  Record
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	// EventTakeover: this entry became the owner of the shard.
	EventTakeover EventKind = "takeover"
	// EventHandover: this entry gave the shard up.
	EventHandover EventKind = "handover"
	// EventConflict: another entry wrote the head first.
	EventConflict EventKind = "conflict"
	// EventRestored: the platform was restored from an older copy, and the head was written again from memory.
	EventRestored EventKind = "restored"
	// EventContentRefused: the shard's content is invalid and was rejected.
	EventContentRefused EventKind = "content-refused"
	// EventPlatformUnavailable: the platform was found to be down.
	EventPlatformUnavailable EventKind = "platform-unavailable"
	// EventPlatformAvailable: the platform responds again.
	EventPlatformAvailable EventKind = "platform-available"
	// EventArchived: records of the head were copied to archives.
	EventArchived EventKind = "archived"
)

// Event reports a change of a shard or of the platform's availability.
type Event struct {
	Kind EventKind
	// Shard is -1 if the event concerns the platform.
	Shard int
	Err   error
}

// Options are the settings and ports of a Ledger. Durations and sizes of zero take their defaults.
type Options struct {
	Store  Store
	Peers  Peers
	View   membership.View
	Budget *writelimit.Limiter
	// Observe is called on each event; nil ignores events. It must not block.
	Observe func(Event)
	// Shards is fixed for the lifetime of the ledger: heads written with another number are rejected.
	Shards int
	// Retention is how long a key is remembered after its claim.
	Retention time.Duration
	// LeaseDuration is how long a head must stay unchanged before another entry may take the shard
	// over from an owner that is unreachable or not alive.
	LeaseDuration time.Duration
	// WriteTimeout is the timeout of the first attempt of a write; a call that takes longer counts as
	// an outage.
	WriteTimeout time.Duration
	// DownAfter is how long calls to the platform may keep failing before that counts as an outage.
	DownAfter time.Duration
	// ProbeInterval is the interval between probes of a platform that is down.
	ProbeInterval time.Duration
	// OutcomeDelay is how long an outcome stays queued for a claim to share a write with.
	OutcomeDelay time.Duration
	// HeadBytes is the size of a head's records from which on they are moved to archives.
	HeadBytes int
	// AnswerBytes is the maximum size of a stored answer.
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
	// maxHeadBytes is the size of a head's records beyond which all writes wait until records have
	// been archived.
	maxHeadBytes = 900 << 10
	// maxBatchBytes bounds the size of the records that one write adds.
	maxBatchBytes = 96 << 10
	// outcomeHeadBytes is the size of a head's records beyond which outcomes wait until records have
	// been archived: a larger head slows down every write, and claims wait for the writes.
	outcomeHeadBytes = 192 << 10
	// maxArchiveBytes bounds the size of the records in one archive.
	maxArchiveBytes = 800 << 10
	// compactBelowBytes is the size below which an archive is merged with its neighbours.
	compactBelowBytes = 400 << 10
	// compactCount is the minimum number of small archives that are merged at once.
	compactCount = 8
	// maxWriteTimeout bounds the growth of the write timeout during an outage, and so how long a
	// hanging write delays the discovery that the platform is available again.
	maxWriteTimeout = 1500 * time.Millisecond
	// archiveTimeout is the timeout of an archive's write or read.
	archiveTimeout = 8 * time.Second
)

func (o Options) withDefaults() Options {
	setDefault(&o.Shards, DefaultShards)
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.LeaseDuration, DefaultLeaseDuration)
	setDefault(&o.WriteTimeout, DefaultWriteTimeout)
	setDefault(&o.DownAfter, DefaultDownAfter)
	setDefault(&o.ProbeInterval, DefaultProbeInterval)
	setDefault(&o.OutcomeDelay, DefaultOutcomeDelay)
	setDefault(&o.HeadBytes, DefaultHeadBytes)
	setDefault(&o.AnswerBytes, DefaultAnswerBytes)
	if o.Observe == nil {
		o.Observe = func(Event) {}
	}
	return o
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
