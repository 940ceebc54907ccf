// Package service forwards callers' request/response calls to services by the rules of their class:
// calls that must not be repeated run at most once, interactive calls are hedged, idempotent calls
// are retried.
package service

import (
	"context"
	"fmt"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/idempotency"
)

// Call is one call received from a caller.
type Call struct {
	Customer string
	// Key is the idempotency key of the request. KeyMinted reports that this entry generated it for
	// this request, so that no other request can have the same key.
	Key        string
	KeyMinted  bool
	Deployment string
	Class      v1.CallClass
	// Timeout limits the time from the call's arrival to its answer; 0 means the default.
	Timeout time.Duration
	Method  string
	// Path is the path at the service, including the query.
	Path   string
	Header []idempotency.HeaderField
	Body   []byte
}

// Outcome says whether a call ran, as far as is known.
type Outcome string

// Outcomes.
const (
	// OutcomeAnswered: the call ran, and the caller gets its answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun: no target has received the call under its key, and none ever will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: the call may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Code is the reason why a call has no answer from its service.
type Code string

// Codes.
const (
	// CodeOutcomeUnknown: the call was sent, but its answer was lost.
	CodeOutcomeUnknown Code = "outcome-unknown"
	// CodeDeadline: the call is still running; retry with the same key.
	CodeDeadline Code = "deadline"
	// CodeNoTarget: no target could be reached.
	CodeNoTarget Code = "no-target"
	// CodeRecordUnavailable: the call's idempotency record can't be written, so this request did not
	// send the call.
	CodeRecordUnavailable Code = "record-unavailable"
	// CodeRecordCorrupt: the stored idempotency records are damaged; an operator must intervene.
	CodeRecordCorrupt Code = "record-refused"
	// CodeKeyReused: the key was used before for a call with different content.
	CodeKeyReused Code = "key-reused"
	// CodeAnswerOmitted: the call was answered before, but the answer was too large to be stored.
	CodeAnswerOmitted Code = "answer-omitted"
	// CodeCrashesTargets: targets crashed under calls with this content, which is not sent any more.
	CodeCrashesTargets Code = "crashes-targets"
	// CodeInternal: an invariant of the program was violated.
	CodeInternal Code = "internal"
)

// Result is the reply to the caller: an answer of the service or a code.
type Result struct {
	Outcome Outcome
	Answer  *idempotency.Answer
	Code    Code
	// RetryAfter is the time after which a retry may succeed; 0 if none can.
	RetryAfter time.Duration
	// WithholdKey reports that the key must not be returned to the caller: it was generated for this
	// request, and the failure is not recorded anywhere.
	WithholdKey bool
}

// Target is one instance of a service.
type Target struct {
	Name    string
	Address string
	// StartedMs is when this incarnation of the target started, in Unix milliseconds; 0 if unknown. It may keep its
	// name when it starts again.
	StartedMs int64
	// Concurrency is the number of concurrent calls that the target handles well; 0 means no limit.
	Concurrency int
	// Version is the version of the target's software; empty if unknown.
	Version string
	// Deduplicates reports that the target runs a call at most once for each request key.
	Deduplicates bool
}

// Request is a call as it is sent to a target.
type Request struct {
	Method     string
	Path       string
	Header     []idempotency.HeaderField
	Body       []byte
	RequestKey string
	// Once forbids the transport to retry the request on its own.
	Once bool
}

// Transport sends requests to targets. An error that wraps *NotSentError guarantees that no byte of
// the request was sent; after any other error the target may have run it.
type Transport interface {
	Do(ctx context.Context, target Target, request Request) (idempotency.Answer, error)
}

// NotSentError reports that no byte of a request has left this process.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("request not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Directory lists the targets of a deployment that may receive new calls: those that are neither
// draining nor failed.
type Directory interface {
	Targets(deployment string) []Target
}
