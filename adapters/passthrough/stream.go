package passthrough

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/platform"
)

// relay serves a stream.
func (c *request) relay() {
	lastEvent := int64(-1)
	if id, err := strconv.ParseInt(c.header.LastEvent, 10, 64); err == nil {
		lastEvent = id
	}
	affinity := ""
	if parts := c.header.Prompt; len(parts) > 0 {
		affinity = parts[len(parts)-1].ID
	}
	complete := false
	ended := c.handler.options.StreamBegan(StreamStart{
		Route: c.route.Name, OutputTokens: c.header.OutputTokens, Arrived: c.arrived, Remainder: lastEvent >= 0,
	})
	defer func() { ended(complete) }()
	versions, requestEnded := c.handler.beginRequest(c.service, lastEvent >= 0)
	defer func() { requestEnded(!complete) }()
	sink := &sink{call: c, control: http.NewResponseController(c.writer)}
	err := c.handler.options.Relay.Run(c.http.Context(), &generation.RelayRequest{
		ID:                  c.header.RequestID,
		Fingerprint:         c.fingerprint(),
		Customer:            c.customer,
		SharedParts:         sharedParts(c.header.Prompt),
		Service:             c.service,
		Route:               c.route.Name,
		Versions:            versions,
		Spec:                c.snapshot.Configuration.Services[c.service].Engine,
		Priority:            *c.enginePriority(),
		PromptTokens:        c.header.PromptTokens,
		OutputTokens:        c.header.OutputTokens,
		Affinity:            affinity,
		LastEvent:           lastEvent,
		Resumes:             c.header.Resumes,
		Deadline:            c.deadline,
		FirstEventObjective: c.route.LatencyObjective,
		GapObjective:        c.route.GapObjective,
		MaxAttempts:         c.route.MaxAttempts,
		Resumable:           c.route.Resumable,
		Payload:             &targetPayload{call: c},
	}, sink)
	if err == nil {
		complete = sink.status == http.StatusOK
		c.recordEnd(sink.status, "stream complete")
		return
	}
	if sink.status == 0 && c.isCutOff() {
		c.writeError(&errorAnswer{status: http.StatusBadGateway, reason: "outcome unknown: " + errEntryStops.Error()})
		return
	}
	if sink.status != 0 || errors.Is(err, generation.ErrCallerDisconnected) {
		c.abort(err.Error())
	}
	c.writeStreamError(err)
}

// sharedParts returns the IDs of all parts of a prompt but the last, which belongs to the request or its session.
func sharedParts(prompt []platform.PromptPart) []string {
	var ids []string
	for i := 0; i+1 < len(prompt); i++ {
		ids = append(ids, prompt[i].ID)
	}
	return ids
}

// writeStreamError answers a failed stream of which the caller has received nothing.
func (c *request) writeStreamError(err error) {
	var answered *generation.RelayTargetError
	var givenUp *generation.GivenUpError
	var poison *generation.PoisonError
	switch {
	case errors.As(err, &answered):
		c.write(answered.Answer.(*answer))
	case errors.As(err, &givenUp) && !givenUp.MayHaveRun:
		c.writeError(&errorAnswer{status: http.StatusServiceUnavailable, reason: givenUp.Cause.Error(), retryAfter: givenUp.RetryAfter})
	case errors.As(err, &poison):
		c.writePoison(poison)
	case errors.Is(err, generation.ErrRelayDeadline):
		c.writeError(&errorAnswer{status: http.StatusGatewayTimeout, reason: err.Error()})
	default:
		c.writeError(&errorAnswer{status: http.StatusBadGateway, reason: err.Error()})
	}
}

// sink writes a stream to its caller. It implements generation.RelaySink.
type sink struct {
	call    *request
	control *http.ResponseController
	status  int
}

// Begin implements generation.RelaySink.
func (s *sink) Begin(head any) error {
	first := head.(*answer)
	s.call.copyHeader(first.header)
	s.status = first.status
	if err := s.control.SetWriteDeadline(s.call.deadline); err != nil {
		return err
	}
	s.call.writer.WriteHeader(first.status)
	return nil
}

// Event implements generation.RelaySink.
func (s *sink) Event(event generation.RelayEvent) error {
	if _, err := s.call.writer.Write(event.Bytes); err != nil {
		return err
	}
	return s.control.Flush()
}
