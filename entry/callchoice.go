package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/placementpeer"
	"github.com/azurebarrow/azurebarrow/adapters/targethttp"
	"github.com/azurebarrow/azurebarrow/detour"
	"github.com/azurebarrow/azurebarrow/placementcontrol"
	"github.com/azurebarrow/azurebarrow/service"
)

// callChoice implements service.SharedChoice; it adds the targets to which the entry has idle connections.
type callChoice struct {
	*placementcontrol.Calls
	pool *targethttp.Pool
	// isEnabled is set if the settings ask for it; this entry answers others in any case.
	isEnabled bool
}

// buildCallChoice creates the component that chooses the targets of calls with the other entries, on top of shared placement.
func (e *Entry) buildCallChoice() {
	dialer := net.Dialer{Timeout: peerDialTimeout}
	client := &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: placementConnections, IdleConnTimeout: defaultIdleTimeout / 2,
	}}
	e.callChoice = &callChoice{
		Calls: placementcontrol.NewCalls(e.sharedPlacement, placementcontrol.CallOptions{
			Transport: placementpeer.NewClient(client),
			NewView: func() placementcontrol.CallView {
				return service.NewCallTargets(service.CallTargetsOptions{Seed: rand.Uint64()})
			},
		}),
		pool:      e.pool,
		isEnabled: e.settings.Passthrough.SharedPlacement.Calls,
	}
	e.registerCallChoiceMetrics()
}

// IsShared implements service.SharedChoice.
func (c *callChoice) IsShared(service string) bool { return c.isEnabled && c.Calls.IsShared(service) }

// Choose implements service.SharedChoice.
func (c *callChoice) Choose(ctx context.Context, query service.ChoiceQuery) (target string, ended func(took time.Duration)) {
	query.Connected = func(name string) bool {
		for _, each := range query.Targets {
			if each.Name == name {
				return c.pool.HasIdle(detour.Target{ID: each.Name, Address: each.Address}.Key())
			}
		}
		return false
	}
	return c.Calls.Choose(ctx, query)
}

// registerCallChoiceMetrics registers the metrics of the shared choice of targets of calls.
func (e *Entry) registerCallChoiceMetrics() {
	stats := e.callChoice.Stats()
	e.metrics.AddCounter("call_targets_coordinator", stats.ChosenByCoordinator.Load)
	e.metrics.AddCounter("call_targets_self", stats.ChosenBySelf.Load)
	e.metrics.AddCounter("call_targets_fallback", stats.ChosenByFallback.Load)
	e.metrics.AddCounter("call_target_requests_received", stats.RequestsReceived.Load)
	e.metrics.AddCounter("call_target_requests_declined", stats.Declined.Load)
	e.metrics.AddGauge("call_services_coordinated", func() float64 { return float64(e.callChoice.CoordinatedCount()) })
}
