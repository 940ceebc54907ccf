package callerhttp

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/callerlimit"
	"github.com/azurebarrow/azurebarrow/generation"
)

// Outcome tells the caller whether its request ran.
type Outcome string

// Outcomes.
const (
	// OutcomeAnswered means that the request ran and this is its answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that no target has received the request under this key, or ever will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Code is the kind of an error, for programs to compare.
type Code string

// Error codes of completion calls; some of them are used for service calls too.
const (
	CodeBadRequest        Code = "bad-request"
	CodeUnauthorized      Code = "unauthorized"
	CodeForbidden         Code = "forbidden"
	CodeUnknownModel      Code = "unknown-model"
	CodeTooLarge          Code = "too-large"
	CodeRequestMismatch   Code = "request-mismatch"
	CodeEarlierOutputLost Code = "earlier-output-lost"
	CodeGivenUp           Code = "given-up"
	CodePoison            Code = "kills-targets"
	CodeNotReady          Code = "not-ready"
	CodeInternal          Code = "internal"
)

// Error is the typed error that a caller receives.
type Error struct {
	// Status is the HTTP status.
	Status int `json:"-"`
	// RetryAfter is sent in the Retry-After header if it is set.
	RetryAfter time.Duration `json:"-"`
	Code       Code          `json:"code"`
	Message    string        `json:"message"`
	Outcome    Outcome       `json:"outcome"`
	RequestKey string        `json:"requestKey,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

type errorBody struct {
	Error *Error `json:"error"`
}

// WriteError sends e as the answer, with a Retry-After header if RetryAfter is set, rounded up to
// whole seconds.
func WriteError(w http.ResponseWriter, e *Error) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	header.Del(headerIdempotencyKey)
	if e.RequestKey != "" {
		header.Set(headerIdempotencyKey, e.RequestKey)
	}
	w.WriteHeader(e.Status)
	// The caller may have disconnected; there is no one else to report the error to.
	_ = json.NewEncoder(w).Encode(errorBody{e})
}

// badRequest returns an error for an invalid request, detected before anything ran for this
// attempt.
func badRequest(status int, code Code, message string) *Error {
	return &Error{Status: status, Code: code, Message: message, Outcome: OutcomeNotRun}
}

// notReadyRetryAfter is the Retry-After of an entry that has no configuration yet.
const notReadyRetryAfter = time.Second

func notReady() *Error {
	return &Error{Status: http.StatusServiceUnavailable, Code: CodeNotReady, Message: "the entry has no configuration yet",
		Outcome: OutcomeNotRun, RetryAfter: notReadyRetryAfter}
}

// noMemoryRetryAfter is the Retry-After of a request for which there is no memory: large requests are sent on within tenths of a second.
const noMemoryRetryAfter = time.Second

func noMemory() *Error {
	return &Error{Status: http.StatusServiceUnavailable, Code: CodeOverloaded, Message: callerlimit.ErrNoMemory.Error(),
		Outcome: OutcomeNotRun, RetryAfter: noMemoryRetryAfter}
}

// withKeyOf changes the outcome "not-run" to "unknown" if the caller sent a key: a request under
// this key may have run through another entry, whatever is wrong with this attempt.
func (e *Error) withKeyOf(r *http.Request) *Error {
	if key := r.Header.Get(headerIdempotencyKey); key != "" && e.Outcome == OutcomeNotRun {
		e.Outcome = OutcomeUnknown
		e.RequestKey = key
	}
	return e
}

// nameKey has the error name the request's key, unless the request was not run: its key was generated, and "not run" holds only if no
// caller can send the key.
func (e *Error) nameKey(request *acceptedRequest) {
	if e.Outcome != OutcomeNotRun {
		e.RequestKey = request.request.Key.ID
	}
}

// generationError converts an error of the generation manager for the caller. The outcome is
// "not-run" only if the key was generated for this request: a key sent by the caller may have run
// through another entry.
func generationError(err error, minted bool) *Error {
	switch {
	case errors.Is(err, generation.ErrRequestMismatch):
		return &Error{Status: http.StatusUnprocessableEntity, Code: CodeRequestMismatch,
			Message: "the idempotency key was used with another request", Outcome: OutcomeUnknown}
	case errors.Is(err, generation.ErrLineageLost):
		return &Error{Status: http.StatusGone, Code: CodeEarlierOutputLost,
			Message: "the output that the caller has seen can't be continued; ask again under a new key", Outcome: OutcomeUnknown}
	}
	var poison *generation.PoisonError
	if errors.As(err, &poison) {
		return &Error{Status: http.StatusUnprocessableEntity, Code: CodePoison,
			Message: "targets died each time they ran this prompt; it is not run any more", Outcome: OutcomeUnknown}
	}
	var givenUp *generation.GivenUpError
	if errors.As(err, &givenUp) {
		outcome := OutcomeUnknown
		if minted && !givenUp.MayHaveRun {
			outcome = OutcomeNotRun
		}
		return &Error{Status: http.StatusServiceUnavailable, Code: CodeGivenUp, Message: givenUp.Error(),
			Outcome: outcome, RetryAfter: givenUp.RetryAfter}
	}
	return &Error{Status: http.StatusInternalServerError, Code: CodeInternal, Message: err.Error(), Outcome: OutcomeUnknown}
}
