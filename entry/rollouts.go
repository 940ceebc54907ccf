package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/azurebarrow/azurebarrow/adapters/passthrough"
	"github.com/azurebarrow/azurebarrow/adapters/rolloutpeer"
	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/platform"
	"github.com/azurebarrow/azurebarrow/rollout"
	"github.com/azurebarrow/azurebarrow/rolloutcontrol"
	"github.com/azurebarrow/azurebarrow/service"
)

// buildRollouts creates the component that carries out rollouts, if the settings have bounds for them.
func (e *Entry) buildRollouts(store *platform.Store) {
	bounds := e.settings.Passthrough.Rollouts
	if !bounds.Enabled() {
		return
	}
	e.rollouts = rolloutcontrol.NewManager(rolloutcontrol.Options{
		Bounds:    rollout.Bounds{Share: bounds.Share, Slack: int(bounds.Slack), RollbackAfter: bounds.RollbackAfter},
		Snapshot:  func() rolloutcontrol.Directory { return e.directory.Snapshot() },
		View:      e.members,
		Transport: rolloutpeer.NewClient(e.peerClient),
		Store:     store,
		Observe:   e.logRollout,
	})
}

// rolloutDecoder returns the decoder of the orders of rollouts; nil if the entry carries out none.
func (e *Entry) rolloutDecoder() directory.RolloutDecoder {
	if e.rollouts == nil {
		return nil
	}
	return platform.Decoder{}
}

// availableTargets returns the targets of a service that may get new work.
func (e *Entry) availableTargets(name string) []*directory.Target {
	return e.rollouts.Available(name, e.directory.Snapshot().AvailableTargets(name))
}

// beginRequest counts a request at the versions of its service; nil if the entry carries out no rollouts.
func (e *Entry) beginRequest() func(service string, resumed bool) (passthrough.VersionChoice, func(mayResume bool)) {
	if e.rollouts == nil {
		return nil
	}
	return func(service string, resumed bool) (passthrough.VersionChoice, func(bool)) {
		request := e.rollouts.Begin(service, resumed)
		return request, request.End
	}
}

// observedSender records the attempts of calls as evidence of the versions of their targets.
type observedSender struct{ service.Sender }

// Send implements service.Sender.
func (s observedSender) Send(ctx context.Context, target service.Target, call *service.ForwardedCall) service.SendResult {
	request, _ := call.Versions.(*rolloutcontrol.Request)
	attempt := request.BeginAttempt(call.Route, target.Version)
	defer attempt.End()
	sent := s.Sender.Send(passthrough.WithSendCheck(ctx, attempt.MaySend), target, call)
	outcome, known := callOutcome(ctx, sent)
	switch {
	case sent.Withdrawn:
		attempt.Withdraw()
	case !known:
	case outcome == rollout.Answered:
		attempt.Answered()
	default:
		attempt.Fail(outcome)
	}
	return sent
}

// callOutcome returns what the end of an attempt says of the target's version; known is false if it says nothing.
func callOutcome(ctx context.Context, sent service.SendResult) (outcome rollout.Outcome, known bool) {
	switch sent.Verdict {
	case service.SendAnswered:
		return rollout.Answered, true
	case service.SendFailed:
		return rollout.Failed, true
	case service.SendNotRun:
		var notSent *service.NotSentError
		switch {
		case sent.NoPath || sent.AskedPause > 0 || ctx.Err() != nil:
			return 0, false
		case errors.As(sent.Err, &notSent):
			return rollout.Broken, true
		}
		return rollout.Failed, true
	case service.SendAddressMismatch:
		return 0, false
	}
	return lostOutcome(ctx, sent.ConnectionLost)
}

// lostOutcome returns what an attempt without a response says of the version. One that was cancelled took at least as long as a response that came then:
// a slow version must not be hidden by hedges, which cancel the attempts that they overtake.
func lostOutcome(ctx context.Context, connectionLost bool) (outcome rollout.Outcome, known bool) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return rollout.Answered, true
	case ctx.Err() == nil && connectionLost:
		return rollout.Broken, true
	}
	return rollout.Failed, true
}

// observedEngine records the attempts of streams as evidence of the versions of their targets.
type observedEngine struct{ generation.RelayEngine }

// Open implements generation.RelayEngine.
func (o observedEngine) Open(ctx context.Context, attempt generation.RelayAttempt) (generation.RelayStream, error) {
	request, _ := attempt.Request.Versions.(*rolloutcontrol.Request)
	observed := request.BeginAttempt(attempt.Request.Route, attempt.Target.Version)
	openCtx := ctx
	if attempt.LastEvent < 0 && attempt.Request.LastEvent < 0 && attempt.BegunHead == nil {
		// The rest of a stream stays on the version that began it.
		openCtx = passthrough.WithSendCheck(ctx, observed.MaySend)
	}
	stream, err := o.RelayEngine.Open(openCtx, attempt)
	if err != nil {
		recordOpenError(ctx, observed, err)
		observed.End()
		return stream, err
	}
	return &observedStream{RelayStream: stream, ctx: ctx, attempt: observed}, nil
}

// recordOpenError records an attempt at which no stream was opened.
func recordOpenError(ctx context.Context, observed *rolloutcontrol.Attempt, err error) {
	var refused *generation.RelayRefusedError
	var answered *generation.RelayTargetError
	switch {
	case errors.As(err, &answered):
		observed.Fail(rollout.Failed)
	case errors.Is(err, generation.ErrRelayHeldUp):
	case errors.As(err, &refused):
		switch {
		case refused.Withdrawn:
			observed.Withdraw()
		case refused.AddressMismatch || ctx.Err() != nil:
		case refused.Unreachable:
			observed.Fail(rollout.Broken)
		default:
			observed.Fail(rollout.Failed)
		}
	default:
		recordLost(ctx, observed)
	}
}

// recordLost records an attempt that ended before its first event.
func recordLost(ctx context.Context, observed *rolloutcontrol.Attempt) {
	if outcome, _ := lostOutcome(ctx, true); outcome == rollout.Answered {
		observed.Answered()
	} else {
		observed.Fail(outcome)
	}
}

// observedStream records the first event and the end of a stream. Only the goroutine that reads the stream uses it.
type observedStream struct {
	generation.RelayStream
	ctx     context.Context
	attempt *rolloutcontrol.Attempt
	begun   bool
}

// Next implements generation.RelayStream.
func (s *observedStream) Next() (generation.RelayEvent, error) {
	event, err := s.RelayStream.Next()
	switch {
	case err == nil && !event.Comment && !s.begun:
		s.begun = true
		s.attempt.Answered()
	case err == nil:
	case errors.Is(err, io.EOF):
		s.attempt.Answered()
	case !s.begun:
		recordLost(s.ctx, s.attempt)
	case s.ctx.Err() == nil:
		s.attempt.Fail(rollout.Broken)
	}
	return event, err
}

// Close implements generation.RelayStream.
func (s *observedStream) Close() {
	s.RelayStream.Close()
	if !s.begun && s.ctx.Err() != nil {
		recordLost(s.ctx, s.attempt)
	}
	s.attempt.End()
}

// logRollout logs a step of a rollout.
func (e *Entry) logRollout(event rolloutcontrol.Event) {
	fields := []generation.Field{
		{Key: "service", Value: event.Order.Service}, {Key: "to", Value: event.Order.To}, {Key: "duration", Value: event.Order.Duration},
		{Key: "stage", Value: event.Stage}, {Key: "share", Value: event.Share},
	}
	if event.Verdict != (rollout.Verdict{}) {
		fields = append(fields, generation.Field{Key: "good", Value: event.Verdict.Decision == rollout.Good}, generation.Field{Key: "reason", Value: event.Verdict.Reason})
	}
	if event.Coordinator != "" {
		fields = append(fields, generation.Field{Key: "coordinator", Value: event.Coordinator})
	}
	if event.Err != nil {
		fields = append(fields, generation.Field{Key: "error", Value: event.Err})
	}
	e.log(string(event.Kind), fields...)
}

// registerRolloutMetrics registers the metrics of rollouts.
func (e *Entry) registerRolloutMetrics() {
	if e.rollouts == nil {
		return
	}
	for _, stage := range []rollout.Stage{rollout.Waiting, rollout.Canary, rollout.Shift, rollout.Drain} {
		e.metrics.AddGauge("rollouts_"+string(stage), func() float64 { return float64(e.rollouts.StageCount(stage)) })
	}
	stats := e.rollouts.Stats()
	e.metrics.AddCounter("rollouts_succeeded", stats.Succeeded.Load)
	e.metrics.AddCounter("rollouts_rolled_back", stats.RolledBack.Load)
	e.metrics.AddCounter("rollout_requests_new", stats.SentNew.Load)
	e.metrics.AddCounter("rollout_reports_sent", stats.ReportsSent.Load)
	e.metrics.AddCounter("rollout_reports_failed", stats.ReportsFailed.Load)
	e.metrics.AddCounter("rollout_reports_received", stats.ReportsReceived.Load)
}

// rolloutView is what an entry reports of the rollouts.
type rolloutView struct {
	Entry string `json:"entry"`
	// Orders are the orders that the entry knows.
	Orders []rolloutOrder `json:"orders"`
	// Coordinated are the rollouts that the entry coordinates, with their evidence.
	Coordinated []rolloutcontrol.Status `json:"coordinated"`
}

// rolloutOrder is an order as the entry knows it.
type rolloutOrder struct {
	Service     string         `json:"service"`
	To          string         `json:"to"`
	Ordered     string         `json:"ordered"`
	DurationS   float64        `json:"duration_s"`
	Status      rollout.Status `json:"status"`
	Coordinator string         `json:"coordinator"`
	// CoordinatorPeer is the coordinator's peer address; it has the evidence.
	CoordinatorPeer string `json:"coordinatorPeer"`
}

// serveRollouts answers with what this entry knows of the rollouts.
func (e *Entry) serveRollouts(w http.ResponseWriter, _ *http.Request) {
	view := rolloutView{Entry: e.settings.Name, Orders: []rolloutOrder{}, Coordinated: e.rollouts.Coordinated()}
	live := e.members.Live()
	for _, known := range e.directory.Snapshot().Rollouts() {
		coordinator := membership.Rank(live, rolloutcontrol.RankKey(known.Order.Service))[0]
		view.Orders = append(view.Orders, rolloutOrder{
			Service: known.Order.Service, To: known.Order.To, Ordered: known.Order.Ordered.Format("2006-01-02T15:04:05.000Z07:00"),
			DurationS: known.Order.Duration.Seconds(), Status: known.Status, Coordinator: coordinator.Name, CoordinatorPeer: coordinator.Address,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(view) // the operator may have left
}
