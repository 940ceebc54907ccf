package service

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// pool is this entry's view of the targets of one deployment: their breakers, load and latency.
type pool struct {
	directory  Directory
	deployment string
	entries    func() int // number of live entries, which share the targets
	noBreaker  bool       // disables circuit breaking, as a baseline in measurements

	mu        sync.Mutex
	random    *rand.Rand
	states    map[string]*targetState
	latency   latencyWindow
	hedges    retryBudget
	retries   retryBudget
	slotFreed chan struct{} // closed and replaced when a slot becomes free
}

// targetState is this entry's state of one target.
type targetState struct {
	breaker        breaker
	running        int // calls of this entry in progress
	nonInteractive int // those of them that are not interactive
}

const (
	// hedgeRatio limits hedges and probes, as a fraction of the interactive calls.
	hedgeRatio = 0.05
	// hedgeReserve is the number of unused hedges that the budget can accumulate.
	hedgeReserve = 10
	// silentTargetHedges is the number of hedges that are kept for calls whose target is silent: one for
	// each call until the target's breaker opens. Calls that are only late, and probes, leave them.
	silentTargetHedges = breakerFailures
	// retryRatio limits retries, as a fraction of the idempotent calls.
	retryRatio = 0.1
	// retryReserve is the number of unused retries that the budget can accumulate.
	retryReserve = 10
	// interactiveReserveRatio is the fraction of a target's concurrency that is reserved for
	// interactive calls.
	interactiveReserveRatio = 0.25
)

func newPool(directory Directory, deployment string, entries func() int, seed uint64) *pool {
	return &pool{
		directory:  directory,
		deployment: deployment,
		entries:    entries,
		random:     rand.New(rand.NewPCG(seed, uint64(len(deployment)))),
		states:     map[string]*targetState{},
		hedges:     newRetryBudget(hedgeRatio, hedgeReserve),
		retries:    newRetryBudget(retryRatio, retryReserve),
		slotFreed:  make(chan struct{}),
	}
}

// lease is the permission to send one call to a target; it must be released.
type lease struct {
	pool           *pool
	target         Target
	nonInteractive bool
	probe          bool
	// ended is called when the attempt has ended, if the target was chosen for all entries together; otherwise nil.
	ended func(took time.Duration)
}

// chooseTarget returns a lease on the target with the fewest calls in progress, except those already
// tried. Targets whose breaker is open are used only if there is no other.
func (p *pool) chooseTarget(tried []string, nonInteractive bool) (*lease, bool) {
	return p.chooseAmong(p.directory.Targets(p.deployment), tried, nonInteractive)
}

// chooseAmong is chooseTarget for the given targets.
func (p *pool) chooseAmong(targets []Target, tried []string, nonInteractive bool) (*lease, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := p.candidates(targets, tried, nonInteractive, true)
	if len(candidates) == 0 {
		candidates = p.candidates(targets, tried, nonInteractive, false)
	}
	if len(candidates) == 0 {
		return nil, false
	}
	return p.newLease(p.leastBusy(candidates), nonInteractive, false), true
}

func (p *pool) candidates(targets []Target, tried []string, nonInteractive, closedOnly bool) []Target {
	var candidates []Target
	for _, target := range targets {
		state := p.stateOf(target.Name)
		if contains(tried, target.Name) || closedOnly && !state.breaker.Closed() {
			continue
		}
		if nonInteractive && state.nonInteractive >= p.nonInteractiveSlots(target) {
			continue
		}
		candidates = append(candidates, target)
	}
	return candidates
}

// nonInteractiveSlots returns how many non-interactive calls this entry may run at a target at the
// same time.
func (p *pool) nonInteractiveSlots(target Target) int {
	const unbounded = 1 << 30
	if target.Concurrency == 0 {
		return unbounded
	}
	usable := float64(target.Concurrency) * (1 - interactiveReserveRatio)
	return max(1, int(usable)/max(1, p.entries()))
}

func (p *pool) leastBusy(candidates []Target) Target {
	p.random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	best := candidates[0]
	for _, target := range candidates[1:] {
		if p.stateOf(target.Name).running < p.stateOf(best.Name).running {
			best = target
		}
	}
	return best
}

// leaseProbe returns a lease for a probe of a target whose breaker is half-open, if one is due and
// the hedge budget allows it.
func (p *pool) leaseProbe(now time.Time) (*lease, bool) {
	targets := p.directory.Targets(p.deployment)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, target := range targets {
		state := p.stateOf(target.Name)
		if p.hedges.Allows(silentTargetHedges) && state.breaker.TryProbe(now) {
			p.hedges.Spend(silentTargetHedges)
			return p.newLease(target, false, true), true
		}
	}
	return nil, false
}

func (p *pool) newLease(target Target, nonInteractive, probe bool) *lease {
	state := p.stateOf(target.Name)
	state.running++
	if nonInteractive {
		state.nonInteractive++
	}
	return &lease{pool: p, target: target, nonInteractive: nonInteractive, probe: probe}
}

// targetResult is what the end of a call says about its target.
type targetResult int

const (
	targetSucceeded targetResult = iota
	targetFailed
	// noTargetResult: the call was cancelled before it said anything about the target.
	noTargetResult
)

// release ends the lease and records the result of its call.
func (l *lease) release(result targetResult) {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.stateOf(l.target.Name)
	state.running--
	if l.nonInteractive {
		state.nonInteractive--
	}
	l.updateBreaker(state, result)
	close(p.slotFreed)
	p.slotFreed = make(chan struct{})
}

func (l *lease) updateBreaker(state *targetState, result targetResult) {
	if l.pool.noBreaker {
		return
	}
	switch result {
	case targetSucceeded:
		state.breaker.RecordSuccess(l.probe)
	case targetFailed:
		state.breaker.RecordFailure(l.probe, time.Now())
	}
}

// waitForSlot returns when a slot has become free, when the poll interval has passed, or when ctx
// ends.
func (p *pool) waitForSlot(ctx context.Context) {
	const poll = 100 * time.Millisecond
	p.mu.Lock()
	freed := p.slotFreed
	p.mu.Unlock()
	select {
	case <-freed:
	case <-time.After(poll):
	case <-ctx.Done():
	}
}

// hasFullTarget reports whether a target that was not tried has no free slot for a non-interactive
// call.
func (p *pool) hasFullTarget(tried []string) bool {
	targets := p.directory.Targets(p.deployment)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, target := range targets {
		if !contains(tried, target.Name) && p.stateOf(target.Name).nonInteractive >= p.nonInteractiveSlots(target) {
			return true
		}
	}
	return false
}

// chooseNonInteractive is chooseTarget for a non-interactive call; it waits for a slot until ctx
// ends.
func (p *pool) chooseNonInteractive(ctx context.Context, tried []string) (*lease, bool) {
	for {
		if lease, ok := p.chooseTarget(tried, true); ok {
			return lease, true
		}
		if ctx.Err() != nil || !p.hasFullTarget(tried) {
			return nil, false
		}
		p.waitForSlot(ctx)
	}
}

func (p *pool) stateOf(name string) *targetState {
	state, ok := p.states[name]
	if !ok {
		state = &targetState{}
		p.states[name] = state
	}
	return state
}

func contains(names []string, name string) bool {
	for _, candidate := range names {
		if candidate == name {
			return true
		}
	}
	return false
}
