// Package generation runs streamed generations: it keeps a token log of each one, survives the loss of
// targets and entries, and delivers each token to every caller exactly once and in order. Streams of
// opaque events have no such log: a Relay passes them from engines to callers.
package generation

import (
	"context"
	"errors"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
)

// Key identifies a request: there is at most one generation for a key.
type Key struct {
	Customer string
	// ID is the caller's idempotency key, or one that the entry generated.
	ID string
}

// String returns the key in the form used for hashing and logs.
func (k Key) String() string { return k.Customer + "/" + k.ID }

// Request is an accepted request for a generation. Model, Version, Adapter and Seed are pinned: every
// attempt uses the same.
type Request struct {
	Key        Key
	Deployment string
	Model      string
	Version    string
	Adapter    string
	Prompt     string
	// MaxTokens bounds the answer's length.
	MaxTokens int
	Seed      int64
	// Priority is 0 (lowest) to 9.
	Priority int
	Recovery v1.Recovery
	Arrived  time.Time
}

// FinishReason is why a generation ended; empty while it runs.
type FinishReason string

// Finish reasons.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// Token is one piece of output; Index counts from 0.
type Token struct {
	Index int
	Text  string
}

// Event is what a caller receives: a token, or the end when Finish is set. The end has the index after
// the last token.
type Event struct {
	ID     EventID
	Token  Token
	Finish FinishReason
}

// StreamID identifies one attempt at a target.
type StreamID struct {
	// Generation is the generation's ID, Attempt the attempt's number, which is unique within it.
	Generation string
	Attempt    int
}

// StreamRequest asks a target to start an attempt that continues after Output.
type StreamRequest struct {
	ID      StreamID
	Request Request
	// Output holds the tokens generated so far, which the target must not repeat.
	Output []string
}

// StreamEvent is one event of a target's stream, as the target sent it. Its fields must be checked
// against what is expected before use.
type StreamEvent struct {
	ID     StreamID
	Token  Token
	Finish FinishReason
}

// Stream is an open stream from a target. Recv returns io.EOF only after an event with Finish;
// ErrStreamBroken if the stream ends without one.
type Stream interface {
	Recv() (StreamEvent, error)
	Close()
}

// Engine is the port to model engines.
type Engine interface {
	// Generate starts an attempt. It returns once the target has accepted or refused it.
	Generate(ctx context.Context, target *v1.Target, request StreamRequest) (Stream, error)
	// Attach reads a running or completed attempt again, starting at index from; ErrNoSuchStream if the
	// target no longer has it.
	Attach(ctx context.Context, target *v1.Target, id StreamID, from int) (Stream, error)
	// Cancel stops an attempt; nil once the target has acknowledged it, or if it does not know the stream.
	Cancel(ctx context.Context, target *v1.Target, id StreamID) error
}

// Errors of an Engine. An adapter wraps them; test with errors.Is.
var (
	// ErrStreamBroken: the stream ended without its end marker.
	ErrStreamBroken = errors.New("generation: stream broken")
	// ErrNoSuchStream: the target does not know the attempt.
	ErrNoSuchStream = errors.New("generation: no such stream")
	// ErrNotLoaded: the target does not run the model version or adapter asked for.
	ErrNotLoaded = errors.New("generation: model version not loaded")
	// ErrUnreachable: no byte of the request reached the target.
	ErrUnreachable = errors.New("generation: target unreachable")
	// ErrRefused: the target answered that it does not take the request (overloaded or draining).
	ErrRefused = errors.New("generation: target refused")
)

// Lease is a target chosen for one attempt. Done must be called once, when the attempt has ended.
type Lease struct {
	Target *v1.Target
	Done   func(Usage)
}

// Usage reports what an attempt did, for the chooser's statistics.
type Usage struct {
	// FirstToken is the time from dispatch to the first token, 0 if there was none.
	FirstToken time.Duration
	Tokens     int
	// Failed is set if the target was lost during the attempt.
	Failed bool
}

// TargetQuery is a query for a target.
type TargetQuery struct {
	Request *Request
	// OutputTokens is the number of tokens after which the attempt continues.
	OutputTokens int
	// Exclude names targets that must not be chosen.
	Exclude []string
	// Isolated asks for the target with the least other work: the request is suspected of crashing
	// targets.
	Isolated bool
}

// Chooser is the port to the choice of targets. It returns ErrNoTarget when no target may take the
// attempt now.
type Chooser interface {
	Choose(ctx context.Context, query TargetQuery) (*Lease, error)
}

// ErrNoTarget: no target may take the attempt now.
var ErrNoTarget = errors.New("generation: no target available")
