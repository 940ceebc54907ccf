package callerhttp

import (
	"context"
	"net/http"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/generation"
)

// observedReader reports the time to first token and the completion of a generation to the recorder
// of service-level objectives.
type observedReader struct {
	*generation.Reader
	objectives Objectives
	request    *acceptedRequest
	// started is set once an event was read.
	started bool
	// generated counts the tokens read.
	generated *int
}

func (s *Server) observe(reader *generation.Reader, request *acceptedRequest) *observedReader {
	return &observedReader{Reader: reader, objectives: s.options.Objectives, request: request}
}

// Next implements generation.Reader.Next.
func (o *observedReader) Next(ctx context.Context) (generation.Event, error) {
	event, err := o.Reader.Next(ctx)
	if err != nil {
		return event, err
	}
	deployment := o.request.request.Deployment
	// A caller that resumes a stream received its first token before.
	if !o.started && o.request.resumeAfter == nil {
		o.objectives.RecordLatency(deployment, v1.ObjectiveTimeToFirstToken, time.Since(o.request.request.Arrived))
	}
	o.started = true
	if event.Finish == "" {
		*o.generated++
	}
	if event.Finish != "" {
		o.objectives.RecordAnswer(deployment, true)
	}
	return event, nil
}

// countFailure counts a request that got no answer. Errors of the caller are not counted.
func (s *Server) countFailure(request *acceptedRequest, failure *Error) {
	if failure.Status >= http.StatusInternalServerError {
		s.options.Objectives.RecordAnswer(request.request.Deployment, false)
	}
}
