package callerhttp

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/admission"
	"github.com/azurebarrow/azurebarrow/generation"
)

// rejectingAdmission is an Admission that rejects every request.
type rejectingAdmission struct{ reason admission.Reason }

func (r rejectingAdmission) Admit(context.Context, admission.Request) (*admission.Ticket, error) {
	return nil, &admission.RejectedError{Reason: r.reason, RetryAfter: 3 * time.Second}
}

func TestRejectionIsNotRunOnlyForGeneratedKey(t *testing.T) {
	is := is.New(t)
	server := NewServer(Options{Admission: rejectingAdmission{admission.ReasonTokenRate}})
	request := generation.Request{Key: generation.Key{ID: "k"}}
	_, failure := server.admit(t.Context(), &acceptedRequest{request: request, keyMinted: true})
	is.Equal(failure.Outcome, OutcomeNotRun)
	is.Equal(failure.RequestKey, "") // a key that the caller knows could run later
	is.Equal(failure.Status, http.StatusTooManyRequests)
	is.Equal(failure.RetryAfter, 3*time.Second)
	_, failure = server.admit(t.Context(), &acceptedRequest{request: request})
	is.Equal(failure.Outcome, OutcomeUnknown)
	is.Equal(failure.RequestKey, "k")
	_, failure = server.admit(t.Context(), &acceptedRequest{resumeAfter: &generation.EventID{}})
	is.Equal(failure, nil) // it resumes a stream
	server = NewServer(Options{Admission: rejectingAdmission{admission.ReasonQueueFull}})
	_, failure = server.admit(t.Context(), &acceptedRequest{})
	is.Equal(failure.Status, http.StatusServiceUnavailable)
}
