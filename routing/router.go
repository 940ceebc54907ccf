package routing

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/internal/defect"
)

// Options configures a Router. All ports except Configuration may be nil.
type Options struct {
	Configuration Configuration
	DrainState    DrainState
	Health        Health
	Inventory     Inventory
	// AvailabilityZone is the availability zone of this entry.
	AvailabilityZone string
	// Model holds the weights of the cost estimate.
	Model CostModel
	// Seed makes the random choices reproducible.
	Seed uint64
	// EntryPosition returns this entry's position among the live entries; nil means that it is the only one.
	EntryPosition func() EntryPosition
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Router implements generation.Chooser. It is safe for concurrent use.
type Router struct {
	options Options

	mutex  sync.Mutex
	fleet  *fleet
	random *rand.Rand
	query  query
}

// NewRouter returns a Router over the current configuration.
func NewRouter(options Options) *Router {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Router{
		options: options,
		fleet:   newFleet(options.Model, options.AvailabilityZone),
		random:  rand.New(rand.NewPCG(options.Seed, 0)),
	}
}

// Choose implements generation.Chooser.
func (r *Router) Choose(_ context.Context, query generation.TargetQuery) (*generation.Lease, error) {
	now := r.options.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fleet.applySnapshot(r.options.Configuration.Snapshot(), now)
	group, declared := r.fleet.groups[query.Request.Deployment]
	if !declared {
		return nil, fmt.Errorf("%w: deployment %q is not declared", generation.ErrNoTarget, query.Request.Deployment)
	}
	r.prepareQuery(query, group, now)
	chosen := chooseTarget(r.fleet, &r.query, r.random)
	if chosen == nil {
		return nil, generation.ErrNoTarget
	}
	if err := r.checkNewWork(chosen.name); err != nil {
		return nil, fmt.Errorf("%w: %w", generation.ErrNoTarget, err)
	}
	return r.newLease(chosen, now), nil
}

// Assigned returns those of the given targets whose load and cache this entry needs to know. Their number
// does not grow with the fleet as long as the number of entries grows with that of targets.
func (r *Router) Assigned(names []string) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fleet.applySnapshot(r.options.Configuration.Snapshot(), r.options.Now())
	r.updateEntryPosition()
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !r.fleet.isAssigned(name) })
}

func (r *Router) updateEntryPosition() {
	if r.options.EntryPosition != nil {
		r.fleet.entryPosition = r.options.EntryPosition()
	}
}

// prepareQuery fills in the router's query, whose memory is reused.
func (r *Router) prepareQuery(choice generation.TargetQuery, group []*target, now time.Time) {
	r.updateEntryPosition()
	q := &r.query
	q.deployment = choice.Request.Deployment
	q.group = group
	q.prefixes = r.fleet.index.appendPrefixes(q.prefixes[:0], choice.Request.Prompt)
	q.promptBytes = len(choice.Request.Prompt)
	q.exclude = choice.Exclude
	q.isolated = choice.Isolated
	q.now = now
	request := choice.Request
	q.usable = func(t *target) bool { return r.usable(t, now) }
	q.serves = func(t *target) bool {
		return r.options.Inventory == nil || r.options.Inventory.Serves(t.name, request)
	}
}

// usable reports whether a target may get new work. A target that becomes usable again goes through a
// slow start.
func (r *Router) usable(t *target, now time.Time) bool {
	unavailable := r.draining(t.name) || r.suspected(t.name)
	if t.wasUnavailable && !unavailable {
		t.outlier.slowStartBegan = now
	}
	t.wasUnavailable = unavailable
	return !unavailable
}

func (r *Router) draining(name string) bool {
	if r.options.DrainState == nil || defect.Enabled(defect.DrainingIgnored) {
		return false
	}
	return r.options.DrainState.Draining(name)
}

func (r *Router) suspected(name string) bool {
	return r.options.Health != nil && r.options.Health.Suspected(name)
}

func (r *Router) checkNewWork(name string) error {
	if r.options.DrainState == nil {
		return nil
	}
	return r.options.DrainState.CheckNewWork(name)
}

// newLease counts the attempt at the target and assumes that the target now caches the prompt.
func (r *Router) newLease(t *target, now time.Time) *generation.Lease {
	t.adjustInFlight(now, 1)
	r.fleet.index.addPrompt(t.id, r.query.prefixes)
	deployment := r.query.deployment
	var once sync.Once
	done := func(usage generation.Usage) {
		once.Do(func() { r.endAttempt(t, deployment, now, usage) })
	}
	return &generation.Lease{Target: t.resource, Done: done}
}

func (r *Router) endAttempt(t *target, deployment string, startedAt time.Time, usage generation.Usage) {
	now := r.options.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	t.adjustInFlight(now, -1)
	if !usage.Failed {
		if usage.Tokens > 0 {
			t.outlier.recordSuccess()
			r.fleet.observeStreamTime(now.Sub(startedAt))
		}
		return
	}
	if t.outlier.recordFailure() && mayEject(r.fleet.groups[deployment], now) {
		t.outlier.eject(now)
	}
}

// ReportLoad records a target's load report.
func (r *Router) ReportLoad(name string, load LoadReport) {
	now := r.options.Now()
	r.withTarget(name, func(t *target) { r.fleet.applyLoadReport(t, load, now) })
}

// ReportCacheEvents applies a target's cache events; last is the highest sequence number that the target
// has assigned. It reports whether the target's summary should be read.
func (r *Router) ReportCacheEvents(name string, events []CacheEvent, last uint64) (resync bool) {
	r.withTarget(name, func(t *target) { resync = r.fleet.applyEvents(t, events, last) })
	return resync
}

// ReportCacheSummary replaces a target's indexed prefixes with its summary as of a sequence number.
func (r *Router) ReportCacheSummary(name string, sequence uint64, prefixes []PrefixHash) {
	r.withTarget(name, func(t *target) { r.fleet.applySummary(t, sequence, prefixes) })
}

// ReportRestarted records that a target has restarted as another incarnation: its cache is empty and it
// goes through a slow start.
func (r *Router) ReportRestarted(name string) {
	now := r.options.Now()
	r.withTarget(name, func(t *target) {
		r.fleet.index.removeTarget(t.id)
		t.events = eventPosition{needsResync: true}
		t.outlier = outlier{slowStartBegan: now}
	})
}

func (r *Router) withTarget(name string, f func(*target)) {
	now := r.options.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fleet.applySnapshot(r.options.Configuration.Snapshot(), now)
	if t, ok := r.fleet.byName[name]; ok {
		f(t)
	}
}

// Slots returns the total concurrency of a deployment's usable targets: the number of streams that they
// run well at once.
func (r *Router) Slots(deployment string) int {
	now := r.options.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fleet.applySnapshot(r.options.Configuration.Snapshot(), now)
	concurrency := 0
	for _, t := range r.fleet.groups[deployment] {
		if !t.outlier.ejected(now) && !r.draining(t.name) && !r.suspected(t.name) {
			concurrency += t.concurrency()
		}
	}
	return concurrency
}
