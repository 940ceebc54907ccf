package generation

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
)

// RelayRequest is one attempt of a caller at a stream whose events are opaque bytes. It lives on one
// connection at one entry: nothing of it is replicated. A caller that loses it comes back with its
// last event, under another ID.
type RelayRequest struct {
	// ID names the caller's attempt; every target gets it.
	ID string
	// Fingerprint identifies what runs, whatever the ID.
	Fingerprint string
	Service     string
	Spec        *directory.EngineSpec
	// PromptTokens and OutputTokens are the declared sizes; 0 when unknown.
	PromptTokens, OutputTokens int
	// Affinity identifies the prompt; empty when unknown.
	Affinity string
	// LastEvent is the ID of the last event that the caller has; -1 when it has none.
	LastEvent int64
	// Deadline is when the caller or the route gives up.
	Deadline time.Time
	// FirstEventObjective and GapObjective tell when the stream is late.
	FirstEventObjective, GapObjective time.Duration
	// MaxAttempts bounds the targets that run the request.
	MaxAttempts int
	// Resumable streams may go on at another target.
	Resumable bool
	// Payload is the request as the engine adapter sends it.
	Payload any
}

// RelayEvent is one event of a stream, with its bytes as the target sent them.
type RelayEvent struct {
	// ID counts the events; -1 when the event has none.
	ID    int64
	Bytes []byte
}

// RelayAttempt is one send of a request to a target.
type RelayAttempt struct {
	Request *RelayRequest
	Target  *directory.Target
	// LastEvent is the event after which the target continues; -1 to begin.
	LastEvent int64
	// Backup is the engine that keeps a copy of the run's memory; nil for none.
	Backup *directory.Target
	// Copy is the copy that the target continues from; nil for none.
	Copy *RelayCopy
	// Left is the time that the target may take.
	Left time.Duration
}

// RelayStream is an open stream. Next returns io.EOF at its complete end; any other error means that
// it broke off. Close ends the run at the target.
type RelayStream interface {
	// Head is the head of the target's answer, for the caller.
	Head() any
	Next() (RelayEvent, error)
	Close()
}

// RelayEngine is the port to the engines of opaque streams.
type RelayEngine interface {
	// Open sends an attempt and returns once the target has begun to answer. Its errors are a
	// *RelayRefusedError, a *RelayAnswerError, or any other after which the target may have run the
	// attempt.
	Open(ctx context.Context, attempt RelayAttempt) (RelayStream, error)
	// Copy has source copy the memory of a run to another engine, and returns the copy's name at source.
	Copy(ctx context.Context, source *directory.Target, run string, to *directory.Target) (name string, err error)
	// Free drops a copy that was made by Copy.
	Free(ctx context.Context, source *directory.Target, name string) error
	// Reach tells whether the target accepts a connection.
	Reach(ctx context.Context, target *directory.Target) error
}

// RelayRefusedError proves that a target did not run an attempt.
type RelayRefusedError struct {
	// Misdirected: another target has the address; Found is its ID, empty when unknown.
	Misdirected bool
	Found       string
	// Unreachable: nothing was sent.
	Unreachable bool
	Cause       error
}

// Error implements error.
func (e *RelayRefusedError) Error() string {
	return fmt.Sprintf("generation: attempt not run: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *RelayRefusedError) Unwrap() error { return e.Cause }

// RelayAnswerError is a target's own failure, which it answered after a run.
type RelayAnswerError struct {
	// Answer is the answer, for the caller.
	Answer any
	Status int
}

// Error implements error.
func (e *RelayAnswerError) Error() string {
	return fmt.Sprintf("generation: target answered with status %d", e.Status)
}

// RelaySink is the caller's side of a stream.
type RelaySink interface {
	// Begin passes the head of the answer on, once, before the first event.
	Begin(head any) error
	// Event passes an event on; it blocks while the caller does not read.
	Event(event RelayEvent) error
}

// Errors of Relay.Run besides *RelayAnswerError, *GivenUpError and *PoisonError.
var (
	// ErrCallerGone: the caller has closed its connection.
	ErrCallerGone = errors.New("generation: caller gone")
	// ErrRelayBroken: the stream can't be continued, and the caller has a part of it.
	ErrRelayBroken = errors.New("generation: stream can't be continued")
	// ErrRelayDeadline: the request's deadline passed.
	ErrRelayDeadline = errors.New("generation: deadline passed")
)

// RetryUrgency tells what a send beyond the first saves. When little of the budget is left, it goes to
// the sends that save most.
type RetryUrgency int

// Urgencies, the most urgent first.
const (
	// RetryResume continues a stream from a copy: the caller notices nothing, and no work is repeated.
	RetryResume RetryUrgency = iota
	// RetryRestart sends a request again of which the caller has nothing yet. It would come back
	// itself, as a new request.
	RetryRestart
	// RetryReread continues a stream by reading its prompt again, which takes so long that the caller
	// has the rest late in any case.
	RetryReread
)

// RetryBudget is the port to the budget of sends beyond the first, which all entries share.
type RetryBudget interface {
	// Earn counts a request for a service.
	Earn(service string)
	// Spend takes a send beyond the first; false when there is none left for its urgency.
	Spend(service string, urgency RetryUrgency) bool
	// Refund gives a send back that has not left this process.
	Refund(service string)
}

// PromptLocator remembers which engine has read a prompt, over the loss of entries. It is safe for concurrent use.
type PromptLocator interface {
	// Placed notes that an engine reads the prompt of a stream, or has it.
	Placed(prompt, engine string)
	// Closed notes the end of a stream; a complete one needs its prompt no more.
	Closed(prompt string, complete bool)
	// Find returns the engine that has read the prompt, as far as this entry knows; else empty.
	Find(prompt string) string
	// Recall is Find for a stream which its caller resumes: it asks for what other entries knew, within a
	// short time.
	Recall(ctx context.Context, prompt string) string
}

// unknownPrompts locates nothing.
type unknownPrompts struct{}

func (unknownPrompts) Placed(string, string)                 {}
func (unknownPrompts) Closed(string, bool)                   {}
func (unknownPrompts) Find(string) string                    { return "" }
func (unknownPrompts) Recall(context.Context, string) string { return "" }

// StreamSize is the size of one stream, in tokens.
type StreamSize struct {
	Prompt, Output int
}

// Memory returns the tokens that the stream holds at its end.
func (s StreamSize) Memory() float64 { return float64(s.Prompt + s.Output) }

// RelayQuery asks for an engine.
type RelayQuery struct {
	Engines []*directory.Target
	Spec    *directory.EngineSpec
	Size    StreamSize
	// Affinity identifies the prompt; empty for none.
	Affinity string
	// CachedAt is the engine that has read the prompt before; empty if it is not known.
	CachedAt string
	// Exclude names engines that must not be chosen.
	Exclude []string
}

// Placed is a stream at its engine. Ended must be called once.
type Placed interface {
	// Begun tells that the first event has come: the prompt is read.
	Begun()
	// Ended tells that the stream is no longer at the engine.
	Ended()
}

// RelayPlacer is the port to the choice of engines for relayed streams.
type RelayPlacer interface {
	// Place returns the engine for an attempt, nil if there is none.
	Place(query RelayQuery) *directory.Target
	// Backup returns the engine that keeps a copy of the memory of a stream at engine, nil for none.
	Backup(query RelayQuery, engine *directory.Target) *directory.Target
	// Begin counts a stream whose engine must still read that many tokens of the prompt.
	Begin(engine *directory.Target, size StreamSize, read int) Placed
	// AddCopy counts a copy of a stream's memory until release is called.
	AddCopy(holder *directory.Target, size StreamSize) (release func())
	// Lost, Refused and Alive tell what an engine did.
	Lost(engine *directory.Target)
	Refused(engine *directory.Target)
	Alive(engine *directory.Target)
}
