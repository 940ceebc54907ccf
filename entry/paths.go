package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/passthrough"
	"github.com/azurebarrow/azurebarrow/adapters/peerexchange"
	"github.com/azurebarrow/azurebarrow/adapters/targethttp"
	"github.com/azurebarrow/azurebarrow/detour"
	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
)

// buildPaths creates the entry's links to targets and the way through peers.
func (e *Entry) buildPaths() {
	e.pool = targethttp.NewPool(targethttp.Options{Dial: e.options.DialTarget, Log: e.log})
	e.connectivity = generation.NewConnectivity(generation.ConnectivityOptions{
		Connect: func(ctx context.Context, target *directory.Target) error {
			return passthrough.ProbeDirectly(ctx, e.pool, target)
		},
		// A connection over a lost link may stay open at this end only, and lose the request that is sent over it.
		OnLost: e.pool.CloseIdle,
		Log:    e.log,
	})
	e.exchanges = peerexchange.NewClient(e.settings.Name, e.connectivity.IsLost, e.log)
	e.router = detour.NewRouter(detour.Options{
		View: e.members,
		Connect: func(ctx context.Context, target detour.Target) error {
			return e.pool.Ready(ctx, target.Key(), target.Address)
		},
		Ask:          e.exchanges.Probe,
		Connectivity: routerConnectivity{e},
		Seed:         rand.Uint64(),
		Log:          e.log,
	})
	e.paths = passthrough.NewPaths(e.pool, e.router, e.exchanges, e.limits)
}

// routerConnectivity implements detour.Connectivity.
type routerConnectivity struct{ entry *Entry }

func (c routerConnectivity) IsLost() bool { return c.entry.connectivity.IsLost() }

func (c routerConnectivity) ClaimRegainCheck(now time.Time) bool {
	return c.entry.connectivity.ClaimRegainCheck(now)
}

// CheckLost implements detour.Connectivity with targets of all services.
func (c routerConnectivity) CheckLost(suspect detour.Target) bool {
	candidates := c.entry.allTargets()
	var suspected *directory.Target
	for _, candidate := range candidates {
		if candidate.Key() == suspect.Key() {
			suspected = candidate
		}
	}
	return c.entry.connectivity.CheckLost(suspected, func() []*directory.Target { return candidates }, time.Now())
}

// allTargets returns the targets of all services that may get new work.
func (e *Entry) allTargets() []*directory.Target {
	snapshot := e.directory.Snapshot()
	var all []*directory.Target
	for _, name := range slices.Sorted(maps.Keys(snapshot.Targets)) {
		all = append(all, snapshot.AvailableTargets(name)...)
	}
	return all
}

// relayDetour implements generation.RelayDetour.
type relayDetour struct{ router *detour.Router }

func (d relayDetour) Reaches(ctx context.Context, target *directory.Target) bool {
	return d.router.Reaches(ctx, detour.Target{ID: target.ID, Address: target.Address})
}

// exchangeHandler returns the handler of requests that this entry sends for peers.
func (e *Entry) exchangeHandler() *peerexchange.Handler {
	return peerexchange.NewHandler(peerexchange.HandlerOptions{
		Router: e.router,
		Send:   e.paths.SendDirectly,
		ProbeOpen: func(ctx context.Context, target detour.Target, open time.Duration) error {
			return e.pool.Probe(ctx, target.Key(), target.Address, open)
		},
		Lasts:  func(timeout time.Duration) bool { return e.shutdown.lasts(timeout, time.Now()) },
		Serves: e.servesForPeers,
	})
}

// servesForPeers reports whether this entry sends requests of peers to the target: its pause holds for them too.
func (e *Entry) servesForPeers(target detour.Target) bool {
	return e.limits.pauses.Left(target.ID, e.limits.startOf(target.ID), time.Now()) == 0 && slices.ContainsFunc(e.allTargets(), func(known *directory.Target) bool { return known.Key() == target.Key() })
}

// countRunning counts the requests of a handler as in progress, for which the shutdown waits.
func (e *Entry) countRunning(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.running.Add(1)
		defer e.running.Add(-1)
		handler.ServeHTTP(w, r)
	})
}
