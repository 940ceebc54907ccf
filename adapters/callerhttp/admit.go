package callerhttp

import (
	"context"
	"errors"
	"net/http"

	"github.com/azurebarrow/azurebarrow/admission"
)

// Codes of refusals by admission.
const (
	CodeLimit      Code = "customer-limit"
	CodeOverloaded Code = "overloaded"
)

// Admission is the port to the admission of requests.
type Admission interface {
	Admit(ctx context.Context, request admission.Request) (*admission.Ticket, error)
}

// admit asks for a place. The returned function gives it back; it takes the number of generated
// tokens. A caller that continues an answer has its place already.
func (s *Server) admit(ctx context.Context, request *accepted) (release func(tokens int), failure *Error) {
	if s.options.Admission == nil || request.after != nil {
		return func(int) {}, nil
	}
	ticket, err := s.options.Admission.Admit(ctx, admission.Request{
		Customer:   request.request.Key.Customer,
		Deployment: request.request.Deployment,
		Priority:   request.request.Priority,
		Tokens:     request.request.MaxTokens,
		Bytes:      len(request.request.Prompt),
	})
	if err != nil {
		return nil, admissionError(err, request)
	}
	return ticket.Done, nil
}

// admissionError translates a refusal. A key that the caller brought may have run elsewhere, so
// "not-run" is said only of a key minted for this very request.
func admissionError(err error, request *accepted) *Error {
	failure := &Error{
		Status:     http.StatusServiceUnavailable,
		Code:       CodeOverloaded,
		Message:    err.Error(),
		Outcome:    OutcomeUnknown,
		RequestKey: request.request.Key.ID,
	}
	if request.minted {
		failure.Outcome = OutcomeNotRun
	}
	var refused *admission.RejectedError
	if !errors.As(err, &refused) {
		return failure
	}
	failure.RetryAfter = refused.RetryAfter
	if refused.Reason == admission.ReasonConcurrency || refused.Reason == admission.ReasonTokenRate {
		failure.Status = http.StatusTooManyRequests
		failure.Code = CodeLimit
	}
	return failure
}
