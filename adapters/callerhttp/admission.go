package callerhttp

import (
	"context"
	"errors"
	"net/http"

	"github.com/azurebarrow/azurebarrow/admission"
)

// Error codes of requests that admission rejects.
const (
	CodeCustomerLimit Code = "customer-limit"
	CodeOverloaded    Code = "overloaded"
)

// Admission is the port to the admission control of this entry.
type Admission interface {
	Admit(ctx context.Context, request admission.Request) (*admission.Ticket, error)
}

// admit waits for the admission of a request. The returned function ends the admission and takes
// the number of generated tokens. A caller that resumes a stream is not admitted again: its
// generation was admitted before.
func (s *Server) admit(ctx context.Context, request *acceptedRequest) (release func(tokens int), failure *Error) {
	if s.options.Admission == nil || request.resumeAfter != nil {
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

// admissionError converts an admission error for the caller. The outcome is "not-run" only if the
// key was generated for this request: a key sent by the caller may have run through another entry.
func admissionError(err error, request *acceptedRequest) *Error {
	failure := &Error{
		Status:  http.StatusServiceUnavailable,
		Code:    CodeOverloaded,
		Message: err.Error(),
		Outcome: OutcomeUnknown,
	}
	if request.keyMinted {
		failure.Outcome = OutcomeNotRun
	}
	failure.nameKey(request)
	var refused *admission.RejectedError
	if !errors.As(err, &refused) {
		return failure
	}
	failure.RetryAfter = refused.RetryAfter
	if refused.Reason == admission.ReasonConcurrency || refused.Reason == admission.ReasonTokenRate {
		failure.Status = http.StatusTooManyRequests
		failure.Code = CodeCustomerLimit
	}
	return failure
}
