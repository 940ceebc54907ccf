package detour

import (
	"context"
	"time"

	"github.com/azurebarrow/azurebarrow/generation"
)

// Help sends a request of a peer over this entry's own links.
func (r *Router) Help(ctx context.Context, request string, target Target, try Try) Result {
	began := time.Now()
	result := r.help(ctx, target, try)
	r.options.Log("request-helped", generation.Field{Key: "request", Value: request}, generation.Field{Key: "target", Value: target.ID},
		generation.Field{Key: "outcome", Value: result.Outcome}, generation.Field{Key: "took", Value: time.Since(began)},
		generation.Field{Key: "given_up", Value: ctx.Err() != nil})
	return result
}

func (r *Router) help(ctx context.Context, target Target, try Try) Result {
	if r.helping.Add(1) > maxHelped {
		r.helping.Add(-1)
		return Result{Outcome: Refused}
	}
	defer r.helping.Add(-1)
	if result := r.HelpConnect(ctx, target); result.Outcome != Sent {
		return result
	}
	r.helped.Add(1)
	result := try(ctx, nil)
	if result.Outcome == Unreachable {
		return r.failedHelp(target)
	}
	return result
}

// HelpConnect opens a connection to a target for a peer that asks.
func (r *Router) HelpConnect(ctx context.Context, target Target) Result {
	if r.options.Connectivity.IsLost() {
		return r.linksLost(target)
	}
	if r.links.isLost(target.Key(), time.Now()) {
		return Result{Outcome: Unserved, Helper: r.links.helperOf(target.Key())}
	}
	connecting, cancel := context.WithTimeout(ctx, helpConnectTimeout)
	defer cancel()
	if r.options.Connect(connecting, target) == nil {
		return Result{Outcome: Sent}
	}
	return r.failedHelp(target)
}

func (r *Router) failedHelp(target Target) Result {
	if r.options.Connectivity.CheckLost(target) {
		return r.linksLost(target)
	}
	return Result{Outcome: Unreachable}
}

func (r *Router) linksLost(target Target) Result {
	result := Result{Outcome: LinksLost, Helper: r.links.helperOf(target.Key())}
	if peer, ok := r.helpers.able(time.Now(), nil); ok && result.Helper == "" {
		result.Helper = peer.Name
	}
	return result
}
