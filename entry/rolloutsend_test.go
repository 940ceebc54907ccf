package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/adapters/passthrough"
	"github.com/azurebarrow/azurebarrow/adapters/targethttp"
	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/rollout"
	"github.com/azurebarrow/azurebarrow/rolloutcontrol"
	"github.com/azurebarrow/azurebarrow/service"
)

// soleEntry is the view, the directory and the store of an entry without others, in which a rollout of desk to v2 runs.
type soleEntry struct{ rollout *directory.Rollout }

func (soleEntry) Self() membership.Peer   { return membership.Peer{Name: "e"} }
func (soleEntry) Live() []membership.Peer { return []membership.Peer{{Name: "e"}} }

func (s soleEntry) Rollouts() []*directory.Rollout    { return []*directory.Rollout{s.rollout} }
func (s soleEntry) Rollout(string) *directory.Rollout { return s.rollout }
func (s soleEntry) KnownTargets(string) []*directory.Target {
	return []*directory.Target{{ID: "old", Service: "desk", Version: "v1"}, {ID: "new", Service: "desk", Version: "v2"}}
}
func (s soleEntry) AvailableTargets(name string) []*directory.Target { return s.KnownTargets(name) }

func (s soleEntry) ReadRollout(context.Context, string) (*directory.Rollout, error) {
	return s.rollout, nil
}
func (soleEntry) WriteRolloutStatus(context.Context, *directory.Rollout, rollout.Status) error {
	return nil
}

// slowLink sends an attempt after a wait, as one that waits for a connection.
type slowLink struct {
	generation.RelayEngine
	wait func()
	sent *int
}

func (s slowLink) send(ctx context.Context) error {
	s.wait()
	if !passthrough.MaySend(ctx) {
		return &service.NotSentError{Cause: targethttp.ErrSendWithdrawn}
	}
	*s.sent++
	return nil
}

// Send implements service.Sender.
func (s slowLink) Send(ctx context.Context, _ service.Target, _ *service.ForwardedCall) service.SendResult {
	if err := s.send(ctx); err != nil {
		return service.SendResult{Verdict: service.SendNotRun, Err: err, Withdrawn: true}
	}
	return service.SendResult{Verdict: service.SendAnswered}
}

// Open implements generation.RelayEngine.
func (s slowLink) Open(ctx context.Context, _ generation.RelayAttempt) (generation.RelayStream, error) {
	if err := s.send(ctx); err != nil {
		return nil, &generation.RelayRefusedError{Withdrawn: true, Cause: err}
	}
	return nil, generation.ErrRelayHeldUp
}

// Guards against calls and streams that are sent to the new version of a rollout after they waited for a connection until the share ran
// out, and against the rest of a stream that isn't sent then: it stays on the version that began it.
func TestAttemptsAreCheckedJustBeforeTheyAreSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sole := soleEntry{&directory.Rollout{Name: "desk", Revision: 1, Order: rollout.Order{Service: "desk", To: "v2", Ordered: time.Now(), Duration: time.Hour}}}
		manager := rolloutcontrol.NewManager(rolloutcontrol.Options{
			Bounds: rollout.Bounds{Share: 0.1, Slack: 50, RollbackAfter: 5 * time.Second}, Snapshot: func() rolloutcontrol.Directory { return sole }, View: sole, Store: sole,
		})
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = manager.Run(ctx) }()
		time.Sleep(2 * time.Second)
		chosen := func() *rolloutcontrol.Request {
			for {
				if request := manager.Begin("desk", false); request.Allows("v2") {
					return request
				}
			}
		}
		call, stream := chosen(), chosen()
		sent := 0
		link := slowLink{wait: func() {}, sent: &sent}
		target := service.Target{Name: "new", Version: "v2"}
		observedSender{link}.Send(t.Context(), target, &service.ForwardedCall{Versions: call})
		attempt := generation.RelayAttempt{Target: &directory.Target{ID: "new", Version: "v2"}, LastEvent: -1, Request: &generation.RelayRequest{Versions: stream, LastEvent: -1}}
		_, _ = observedEngine{link}.Open(t.Context(), attempt)
		is.Equal(sent, 2)

		call, stream = chosen(), chosen()
		stop()
		link.wait = func() { time.Sleep(rollout.MaxShareAge) }
		is.True(observedSender{link}.Send(t.Context(), target, &service.ForwardedCall{Versions: call}).Withdrawn)
		attempt.Request.Versions = stream
		_, _ = observedEngine{link}.Open(t.Context(), attempt)
		is.Equal(sent, 2)
		attempt.LastEvent = 7
		_, _ = observedEngine{link}.Open(t.Context(), attempt)
		is.Equal(sent, 3)
	})
}
