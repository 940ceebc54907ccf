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

// refusing is an Admission that refuses everything.
type refusing struct{ reason admission.Reason }

func (r refusing) Admit(context.Context, admission.Request) (*admission.Ticket, error) {
	return nil, &admission.RejectedError{Reason: r.reason, RetryAfter: 3 * time.Second}
}

func TestRefusalSaysNotRunOnlyOfAMintedKey(t *testing.T) {
	is := is.New(t)
	server := NewServer(Options{Admission: refusing{admission.ReasonTokenRate}})
	_, failure := server.admit(t.Context(), &accepted{minted: true})
	is.Equal(failure.Outcome, OutcomeNotRun)
	is.Equal(failure.Status, http.StatusTooManyRequests)
	is.Equal(failure.RetryAfter, 3*time.Second)
	_, failure = server.admit(t.Context(), &accepted{})
	is.Equal(failure.Outcome, OutcomeUnknown)
	_, failure = server.admit(t.Context(), &accepted{after: &generation.EventID{}})
	is.Equal(failure, nil) // it continues an answer
	server = NewServer(Options{Admission: refusing{admission.ReasonQueueFull}})
	_, failure = server.admit(t.Context(), &accepted{})
	is.Equal(failure.Status, http.StatusServiceUnavailable)
}
