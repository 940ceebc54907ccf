package generation

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
)

// aliveProbeTimeout limits the probe of a target whose connection broke off. Targets accept within a few round trips.
const aliveProbeTimeout = 100 * time.Millisecond

// countAttempts returns how many attempts count for the request's maximum: those that targets answered, and those whose connection broke
// off at a target that lives. A target that was lost doesn't count. Targets are probed only if the maximum depends on it.
func (run *relayRun) countAttempts(ctx context.Context) int {
	if run.attemptsRun+len(run.brokenAt) < run.request.MaxAttempts || run.attemptsRun >= run.request.MaxAttempts {
		return run.attemptsRun
	}
	var alive atomic.Int64
	var probes sync.WaitGroup
	for _, target := range run.brokenAt {
		probes.Go(func() {
			if run.isAlive(ctx, target) {
				alive.Add(1)
			}
		})
	}
	probes.Wait()
	return run.attemptsRun + int(alive.Load())
}

// isAlive reports whether the incarnation of a target still accepts connections.
func (run *relayRun) isAlive(ctx context.Context, target *directory.Target) bool {
	isKnown := slices.ContainsFunc(run.relay.options.Targets(run.request.Service), target.SameIncarnation)
	if !isKnown {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, aliveProbeTimeout)
	defer cancel()
	return run.relay.options.Engine.Probe(ctx, target) == nil
}
