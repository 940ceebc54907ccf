package callerhttp

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/azurebarrow/azurebarrow/generation"
)

// Outcome says what became of a request.
type Outcome string

// Outcomes.
const (
	// OutcomeAnswered: the request ran and this is its answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun: no target ever got the request under this key, and that stays so.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Code names the kind of an error, for programs.
type Code string

// Codes of errors.
const (
	CodeBadRequest      Code = "bad-request"
	CodeUnauthorized    Code = "unauthorized"
	CodeForbidden       Code = "forbidden"
	CodeUnknownModel    Code = "unknown-model"
	CodeTooLarge        Code = "too-large"
	CodeRequestMismatch Code = "request-mismatch"
	CodeEarlierLost     Code = "earlier-output-lost"
	CodeGivenUp         Code = "given-up"
	CodePoison          Code = "kills-targets"
	CodeNotReady        Code = "not-ready"
	CodeInternal        Code = "internal"
)

// Error is the typed error that a caller receives.
type Error struct {
	// Status is the HTTP status.
	Status     int           `json:"-"`
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

// WriteError answers with e and Retry-After where it is set, rounded up to seconds.
func WriteError(w http.ResponseWriter, e *Error) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	if e.RequestKey != "" {
		header.Set(headerIdempotencyKey, e.RequestKey)
	}
	w.WriteHeader(e.Status)
	// The caller may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(errorBody{e})
}

// badRequest is an error in what the caller sent, found before anything ran for this attempt.
func badRequest(status int, code Code, message string) *Error {
	return &Error{Status: status, Code: code, Message: message, Outcome: OutcomeNotRun}
}

// notReadyRetryAfter is told to callers of an entry that has no configuration yet.
const notReadyRetryAfter = time.Second

func notReady() *Error {
	return &Error{Status: http.StatusServiceUnavailable, Code: CodeNotReady, Message: "the entry has no configuration yet",
		Outcome: OutcomeNotRun, RetryAfter: notReadyRetryAfter}
}

// forKeyOf makes the outcome true of the request's key: a key that the caller brought may have run
// through another entry, whatever is wrong with this attempt.
func (e *Error) forKeyOf(r *http.Request) *Error {
	if key := r.Header.Get(headerIdempotencyKey); key != "" && e.Outcome == OutcomeNotRun {
		e.Outcome = OutcomeUnknown
		e.RequestKey = key
	}
	return e
}

// generationError translates an error of the generation manager. A key that the caller brought may
// have run elsewhere, so "not-run" is said only of a key minted for this very request.
func generationError(err error, minted bool) *Error {
	switch {
	case errors.Is(err, generation.ErrRequestMismatch):
		return &Error{Status: http.StatusUnprocessableEntity, Code: CodeRequestMismatch,
			Message: "the idempotency key was used with another request", Outcome: OutcomeUnknown}
	case errors.Is(err, generation.ErrLineageLost):
		return &Error{Status: http.StatusGone, Code: CodeEarlierLost,
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
