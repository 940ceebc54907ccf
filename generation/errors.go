package generation

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Errors of Manager.Open and Reader.Next; test with errors.Is.
var (
	// ErrRequestMismatch: the key was used with another request.
	ErrRequestMismatch = errors.New("generation: key used with another request")
	// ErrLineageLost: the output that the caller has received is not part of the known generation.
	ErrLineageLost = errors.New("generation: earlier output lost")
	// ErrDraining: the entry is draining and starts nothing new.
	ErrDraining = errors.New("generation: entry is draining")
	// ErrAbandoned: no caller read the generation for the detached grace.
	ErrAbandoned = errors.New("generation: abandoned by its caller")
	// ErrClosed: the manager was closed.
	ErrClosed = errors.New("generation: manager closed")
	// ErrNotProducer: this entry does not produce the generation.
	ErrNotProducer = errors.New("generation: not the producer")
)

// LineageLostError reports that an answer can't be continued after the event that the caller has received:
// no entry holds a log that contains it.
type LineageLostError struct {
	Key   Key
	After EventID
}

// Error implements error.
func (e *LineageLostError) Error() string {
	return fmt.Sprintf("%v: the answer to %s can't be continued after %s", ErrLineageLost, e.Key, e.After)
}

// Unwrap returns ErrLineageLost.
func (e *LineageLostError) Unwrap() error { return ErrLineageLost }

// RequestMismatchError reports that the key was used before with another request.
type RequestMismatchError struct {
	Key Key
}

// Error implements error.
func (e *RequestMismatchError) Error() string {
	return fmt.Sprintf("%v: %s", ErrRequestMismatch, e.Key)
}

// Unwrap returns ErrRequestMismatch.
func (e *RequestMismatchError) Unwrap() error { return ErrRequestMismatch }

// GivenUpError reports that a generation will not be completed.
type GivenUpError struct {
	// MayHaveRun is set if a target may have run part of it.
	MayHaveRun bool
	// RetryAfter is the delay after which a retry may succeed.
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *GivenUpError) Error() string { return fmt.Sprintf("generation given up: %v", e.Cause) }

// Unwrap returns the cause.
func (e *GivenUpError) Unwrap() error { return e.Cause }

// PoisonError reports that a request is refused because too many targets crashed while they ran requests
// with its fingerprint, or with parts of its prompt.
type PoisonError struct {
	Key Key
	// Targets is the number of targets that crashed.
	Targets int
	// Parts are the parts of the prompt that crashed the targets; empty when it is the request as a whole.
	Parts []string
}

// Error implements error.
func (e *PoisonError) Error() string {
	if len(e.Parts) > 0 {
		return fmt.Sprintf("generation: %s refused: %d targets died running prompts with %s", e.Key, e.Targets, strings.Join(e.Parts, " and "))
	}
	return fmt.Sprintf("generation: %s refused: %d targets died running its prompt", e.Key, e.Targets)
}
