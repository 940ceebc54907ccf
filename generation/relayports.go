package generation

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
)

// RelayRequest is one request of a caller for a stream whose events are opaque bytes. It exists on
// one connection at one entry, and nothing of it is replicated. A caller that loses the connection
// reconnects with its last event, under another ID.
type RelayRequest struct {
	// ID names this request of the caller; every target gets it.
	ID string
	// Fingerprint identifies the work, independent of the ID.
	Fingerprint string
	// Customer is the name of the caller's customer; empty on public routes.
	Customer string
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// SharedParts are the IDs of the parts of the prompt that other requests may share, in order.
	SharedParts []string
	Service     string
	// Route is the name of the route.
	Route string
	// Versions restricts the targets that may begin the stream by their software versions; nil for any.
	Versions VersionChoice
	Spec     *directory.EngineSpec
	// PromptTokens and OutputTokens are the declared sizes; 0 when unknown.
	PromptTokens, OutputTokens int
	// Affinity identifies the prompt; empty when unknown.
	Affinity string
	// LastEvent is the ID of the last event that the caller has; -1 when it has none.
	LastEvent int64
	// Resumes is the ID of the caller's request that brought the stream's first event; empty if none is named.
	Resumes string
	// Deadline is when the request times out at the caller or the route.
	Deadline time.Time
	// FirstEventObjective and GapObjective are the times after which the first event or a further
	// one is late.
	FirstEventObjective, GapObjective time.Duration
	// MaxAttempts limits the targets that run the request.
	MaxAttempts int
	// Resumable reports whether the stream may be resumed at another target.
	Resumable bool
	// Payload is the request as the engine adapter sends it.
	Payload any
}

// VersionChoice is the port to the choice of the software version that may begin a stream.
type VersionChoice interface {
	// Allows reports whether a target of the version may get the next attempt.
	Allows(version string) bool
	// FallBack widens the choice since no target was found. It returns false if it can't.
	FallBack() bool
}

// RelayEvent is one event of a stream, with its bytes as the target sent them.
type RelayEvent struct {
	// ID counts the events; -1 when the event has none.
	ID    int64
	Bytes []byte
	// Comment reports that the event holds only comments and times of reconnection, which carry nothing of the stream.
	Comment bool
}

// RelayAttempt is one attempt of a request at a target.
type RelayAttempt struct {
	Request *RelayRequest
	Target  *directory.Target
	// BegunHead is the head of the answer that the caller has in part, which the target continues; nil for a new answer.
	BegunHead any
	// LastEvent is the event after which the target continues; -1 to start from the beginning.
	LastEvent int64
	// Backup is the engine to which the target copies the run's KV cache; nil for none.
	Backup *directory.Target
	// Copy is the KV cache copy from which the target resumes the stream; nil for none.
	Copy *KVCacheCopy
	// Timeout is the target's time limit.
	Timeout time.Duration
}

// RelayStream is an open stream. Next returns io.EOF at its complete end; any other error means
// that it broke. Close ends the run at the target.
type RelayStream interface {
	// Head is the head of the target's answer, for the caller.
	Head() any
	Next() (RelayEvent, error)
	Close()
}

// RelayEngine is the port to the engines of opaque streams.
type RelayEngine interface {
	// Open sends an attempt and returns once the target has started to answer. Its error is a
	// *RelayRefusedError, a *RelayTargetError, or any other one, after which the target may have
	// run the attempt. It wraps ErrRelayHeldUp if the link to the target failed, and not the target.
	Open(ctx context.Context, attempt RelayAttempt) (RelayStream, error)
	// CopyKVCache has source copy the KV cache of a run to another engine, and returns the copy's name at
	// source.
	CopyKVCache(ctx context.Context, source *directory.Target, run string, to *directory.Target) (name string, err error)
	// FreeCopy deletes a copy that was made by CopyKVCache.
	FreeCopy(ctx context.Context, source *directory.Target, name string) error
	// Probe probes the target over this entry's own links: it returns nil if the target accepts a connection, and an
	// error that wraps ErrProbeRefused if it was refused.
	Probe(ctx context.Context, target *directory.Target) error
}

// ErrRelayHeldUp reports that an attempt was given up since it was held up on the link to its target.
var ErrRelayHeldUp = errors.New("generation: attempt held up on the link to its target")

// RelayRefusedError reports that a target did not run an attempt.
type RelayRefusedError struct {
	// AddressMismatch reports an address mismatch: another target has the address. FoundID is its ID,
	// empty when unknown.
	AddressMismatch bool
	FoundID         string
	// Unreachable reports that nothing was sent.
	Unreachable bool
	// Withdrawn reports that nothing was sent, since the target's version may not get the attempt any more.
	Withdrawn bool
	Cause     error
}

// Error implements error.
func (e *RelayRefusedError) Error() string {
	return fmt.Sprintf("generation: attempt not run: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *RelayRefusedError) Unwrap() error { return e.Cause }

// RelayTargetError is a failure of the target itself, which it answered after a run.
type RelayTargetError struct {
	// Answer is the target's answer, to be passed to the caller.
	Answer any
	Status int
}

// Error implements error.
func (e *RelayTargetError) Error() string {
	return fmt.Sprintf("generation: target answered with status %d", e.Status)
}

// RelaySink is the caller's side of a stream.
type RelaySink interface {
	// Begin passes the head of the answer on, once, before the first event.
	Begin(head any) error
	// Event passes an event on; it blocks while the caller does not read.
	Event(event RelayEvent) error
}

// Errors of Relay.Run besides *RelayTargetError, *GivenUpError and *PoisonError.
var (
	// ErrCallerDisconnected: the caller has closed its connection.
	ErrCallerDisconnected = errors.New("generation: caller gone")
	// ErrRelayBroken: the stream can't be resumed, and the caller has a part of it.
	ErrRelayBroken = errors.New("generation: stream can't be continued")
	// ErrRelayDeadline: the request's deadline passed.
	ErrRelayDeadline = errors.New("generation: deadline passed")
)

// RetryUrgency is what a retry saves. When little of the retry budget is left, it is spent on the
// retries that save most.
type RetryUrgency int

// Urgencies, the most urgent first.
const (
	// RetryResume resumes a stream from a KV cache copy: the caller notices nothing, and no work is
	// repeated.
	RetryResume RetryUrgency = iota
	// RetryRestart retries a request of which the caller has nothing yet. Without the retry, the
	// caller would send it again itself, as a new request.
	RetryRestart
	// RetryPrefill resumes a stream by prefilling its prompt again, which takes so long that the
	// caller gets the rest late in any case.
	RetryPrefill
)

// RetryBudget is the port to the retry budget, which all entries share.
type RetryBudget interface {
	// Earn counts a request for a service, which adds to the service's budget.
	Earn(service string)
	// Spend takes one retry from the budget; false when none is left for the urgency.
	Spend(service string, urgency RetryUrgency) bool
	// Refund returns a retry of which nothing left this process.
	Refund(service string)
}

// TargetLimits is the port to the limits that targets name, which all entries share.
type TargetLimits interface {
	// Take takes one request from this entry's share of a target's limit; false if none is left.
	Take(target string) bool
	// RetryAfter returns when a stream of the service may find room.
	RetryAfter(service string) time.Duration
}

// unlimitedTargets is TargetLimits without any.
type unlimitedTargets struct{}

func (unlimitedTargets) Take(string) bool                { return true }
func (unlimitedTargets) RetryAfter(string) time.Duration { return retryAfter }

// PromptLocator records which engine has prefilled a prompt. The records survive the loss of
// entries. It is safe for concurrent use.
type PromptLocator interface {
	// RecordPlacement records that an engine prefills the prompt of a stream, or has it cached.
	RecordPlacement(prompt, engine string)
	// RecordEnd records the end of a stream; a complete one no longer needs its prompt.
	RecordEnd(prompt string, complete bool)
	// FindLocal returns the engine that has prefilled the prompt, if this entry knows one; otherwise
	// empty.
	FindLocal(prompt string) string
	// FindShared is FindLocal for a stream that its caller resumes: within a short time limit, it also reads
	// what other entries recorded.
	FindShared(ctx context.Context, prompt string) string
}

// unknownPrompts is a PromptLocator without records.
type unknownPrompts struct{}

func (unknownPrompts) RecordPlacement(string, string)            {}
func (unknownPrompts) RecordEnd(string, bool)                    {}
func (unknownPrompts) FindLocal(string) string                   { return "" }
func (unknownPrompts) FindShared(context.Context, string) string { return "" }

// RelayDetour is the port to the way through peers around links that are lost. It is safe for concurrent use.
type RelayDetour interface {
	// Reaches reports whether a peer reaches the target.
	Reaches(ctx context.Context, target *directory.Target) bool
}

// StreamSize is the size of one stream, in tokens.
type StreamSize struct {
	Prompt, Output int
}

// KVCacheTokens returns the number of tokens that the stream has in the KV cache at its end.
func (s StreamSize) KVCacheTokens() float64 { return float64(s.Prompt + s.Output) }

// RelayQuery describes a stream for which an engine is chosen.
type RelayQuery struct {
	// Service, Request and Customer name the service, the caller's request and its customer; Customer is empty on public routes.
	Service, Request, Customer string
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// Arrived is when the request arrived, zero for now; Objective is the time after that at which the first event is late, Deadline when the
	// request times out.
	Arrived   time.Time
	Objective time.Duration
	Deadline  time.Time
	// Begun is set if the caller has a part of the stream, or if a target may have run the request before.
	Begun   bool
	Engines []*directory.Target
	Spec    *directory.EngineSpec
	Size    StreamSize
	// Affinity identifies the prompt; empty for none.
	Affinity string
	// CachedAt is the ID of the engine that has prefilled the prompt before; empty when unknown.
	CachedAt string
	// Exclude lists the IDs of engines that must not be chosen.
	Exclude []string
	// Fits reports whether an engine may take the stream up, by its software version; nil for any.
	Fits func(engine *directory.Target) bool
	// Latest returns Engines and Fits as of now, for a stream that has waited; nil if they can't change.
	Latest func() (engines []*directory.Target, fits func(engine *directory.Target) bool)
}

// Allows reports whether the engine may be chosen.
func (q RelayQuery) Allows(engine *directory.Target) bool {
	return !slices.Contains(q.Exclude, engine.ID) && (q.Fits == nil || q.Fits(engine))
}

// PlacedStream accounts for a stream at its engine. Ended must be called once.
type PlacedStream interface {
	// EventArrived is called when an event arrives: the prompt is prefilled, and the engine has taken the time since the event before
	// for this one.
	EventArrived()
	// Ended is called when the stream has ended at the engine.
	Ended()
}

// NoRoomError reports that a stream is refused before it ran, since no engine is expected to have room for it in time.
type NoRoomError struct {
	// RetryAfter is the time after which room is likely.
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoRoomError) Error() string { return "generation: no engine has room" }

// RelayPlacer is the port to the choice of engines for relayed streams.
type RelayPlacer interface {
	// PlaceStream returns the engine for an attempt, nil if there is none. Its error is a *NoRoomError, or ctx has ended.
	PlaceStream(ctx context.Context, query RelayQuery) (*directory.Target, error)
	// Backup returns the engine to which a stream's KV cache is copied from engine, nil for none.
	Backup(query RelayQuery, engine *directory.Target) *directory.Target
	// AddStream counts a stream whose engine must prefill read more tokens of the prompt.
	AddStream(engine *directory.Target, size StreamSize, read int) PlacedStream
	// AddCopy counts a copy of a stream's KV cache until release is called.
	AddCopy(holder *directory.Target, size StreamSize) (release func())
	// ReportLost, ReportRefused and ReportAlive report that an engine became unavailable, took no work or
	// stalled, or sent something.
	ReportLost(engine *directory.Target)
	ReportRefused(engine *directory.Target)
	ReportAlive(engine *directory.Target)
}
