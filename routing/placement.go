package routing

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/membership"
)

// Placement chooses engines for streams by the KV cache that their prompts and copies need, and by the
// prompts that are still being prefilled. It is made for a load of few long prompts on engines that lose
// whole availability zones at once: such engines run out of KV cache but never of batch slots, and a
// prompt that is prefilled beside another one takes twice as long.
//
// It knows this entry's own streams exactly and nothing of other entries' streams. Each entry therefore
// prefers the engines assigned to it, and other engines cost more for the uncertainty of their load. How slow
// an engine is it estimates from the events of its own streams; see paceTable. It implements generation.RelayPlacer and is safe for concurrent use.
type Placement struct {
	options PlacementOptions

	mu          sync.Mutex
	random      *rand.Rand
	engines     map[engineKey]*engineState
	paces       *paceTable
	assignments assignmentCache
	// recentLosses holds the times of recent engine losses by availability zone.
	recentLosses map[string][]time.Time
	// refusals holds the engines that rejected a request, for Load; paceSamples holds the latest samples by service.
	refusals    map[engineKey]refusal
	paceSamples map[string][]timedPaceSample
}

// PlacementOptions configures a Placement.
type PlacementOptions struct {
	// AvailabilityZone is the availability zone of this entry.
	AvailabilityZone string
	// Entries returns this entry and the live entries, among which the engines are divided; nil means that
	// it is the only one.
	Entries func() (self membership.Peer, live []membership.Peer)
	Model   PlacementModel
	// ReportPace is called when the engine with the ID has become slow, or is no longer, with how many times as long as is usual for its
	// service it takes; nil reports nothing.
	ReportPace func(engine string, slowness float64)
	// Seed makes the random choices reproducible.
	Seed uint64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// PlacementModel holds the weights of a placement's cost, expressed as time that a stream loses.
type PlacementModel struct {
	// PrefillTokensPerSecond is the speed at which an engine prefills a prompt.
	PrefillTokensPerSecond float64
	// Neighbour is the delay that one running stream causes the next one by lengthening the steps of
	// their batch.
	Neighbour time.Duration
	// PrefillDelay is the share of a prompt's prefill time by which each stream that runs beside it is delayed:
	// an engine prefills a chunk of the prompt in each step of its batch, which takes several times as long then.
	PrefillDelay float64
	// CrossZone is the cost of an engine in another availability zone.
	CrossZone time.Duration
	// Unassigned is the cost of an engine that is assigned to another entry, for streams that the other entry
	// may have placed there.
	Unassigned time.Duration
	// FullKVCache is the cost of an engine whose KV cache is full: it would preempt a stream.
	FullKVCache time.Duration
	// RandomSpread is the maximum random cost, which spreads the choices of entries that don't know of each
	// other.
	RandomSpread time.Duration
	// RecentFailure is the cost of an engine that was lost or rejected a request a moment ago.
	RecentFailure time.Duration
	// Affinity is the gain at the engine that the hash of the prompt selects: a caller that reconnects
	// through another entry finds its prompt cached there.
	Affinity time.Duration
	// Slowness is the cost of an engine that takes twice as long for an event as the others of its service; 0 takes all engines for equally
	// fast.
	Slowness time.Duration
}

// DefaultPlacementModel fits the engines that the deployments declare: they prefill 5 tokens in a
// millisecond, and a running stream makes a step some 30 µs longer, over a thousand steps.
var DefaultPlacementModel = PlacementModel{
	PrefillTokensPerSecond: 5000,
	Neighbour:              60 * time.Millisecond,
	PrefillDelay:           0.85,
	CrossZone:              150 * time.Millisecond,
	Unassigned:             350 * time.Millisecond,
	FullKVCache:            4 * time.Second,
	RandomSpread:           60 * time.Millisecond,
	RecentFailure:          3 * time.Second,
	Affinity:               40 * time.Millisecond,
	Slowness:               time.Second,
}

const (
	// memoryCostThreshold is the share of an engine's KV cache above which a placement costs more.
	memoryCostThreshold = 0.75
	// defaultMemoryTokens is the assumed KV cache size of an engine that does not declare one.
	defaultMemoryTokens = 50_000
	// lossAvoidance is how long a lost engine is avoided; engines restart within seconds.
	lossAvoidance = 1500 * time.Millisecond
	// refusalAvoidance is how long an engine that rejected a request is avoided.
	refusalAvoidance = 300 * time.Millisecond
	// An availability zone is suspected when zoneLossEngines of its engines were lost within
	// zoneLossWindow.
	zoneLossWindow  = time.Second
	zoneLossEngines = 2
)

// engineKey identifies an incarnation of an engine.
type engineKey struct{ id, address string }

func keyOf(engine *directory.Target) engineKey { return engineKey{engine.ID, engine.Address} }

// engineState is this entry's state for one engine.
type engineState struct {
	engineUsage
	service    string
	avoidUntil time.Time
	lost       bool
}

// NewPlacement returns a Placement without streams.
func NewPlacement(options PlacementOptions) *Placement {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.ReportPace == nil {
		options.ReportPace = func(string, float64) {}
	}
	if options.Model == (PlacementModel{}) {
		options.Model = DefaultPlacementModel
	}
	return &Placement{
		options:      options,
		random:       rand.New(rand.NewPCG(options.Seed, 1)),
		engines:      map[engineKey]*engineState{},
		paces:        newPaceTable(),
		recentLosses: map[string][]time.Time{},
		refusals:     map[engineKey]refusal{},
		paceSamples:  map[string][]timedPaceSample{},
	}
}

// PlaceStream implements generation.RelayPlacer. It doesn't wait.
func (p *Placement) PlaceStream(_ context.Context, query generation.RelayQuery) (*directory.Target, error) {
	return p.Place(query), nil
}

// Place returns the engine with the lowest cost for the stream, nil if there is none.
func (p *Placement) Place(query generation.RelayQuery) *directory.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	affinity := affinityEngine(&query, p.options.AvailabilityZone)
	assigned := p.assignedEngines(query)
	return p.cheapestEngine(query, func(engine *directory.Target) time.Duration {
		cost := p.options.Model.streamCost(engine, p.condition(engine), &query, p.options.AvailabilityZone, affinity)
		if !assigned.contains(engine) {
			cost += p.options.Model.Unassigned
		}
		return cost
	})
}

// Backup returns the engine that should hold a copy of the stream's KV cache, preferably in another
// availability zone than the stream's engine, so that one loss does not take both.
func (p *Placement) Backup(query generation.RelayQuery, engine *directory.Target) *directory.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	query.Exclude = append(slices.Clone(query.Exclude), engine.ID)
	assigned := p.assignedEngines(query)
	return p.cheapestEngine(query, func(candidate *directory.Target) time.Duration {
		cost := p.options.Model.engineCost(p.condition(candidate), &query)
		if !assigned.contains(candidate) {
			cost += p.options.Model.Unassigned
		}
		if candidate.AvailabilityZone == engine.AvailabilityZone {
			cost += p.options.Model.FullKVCache
		}
		return cost
	})
}

// assignedEngines returns the engines of the query that are assigned to this entry; all if it is the only
// one.
func (p *Placement) assignedEngines(query generation.RelayQuery) assignment {
	if p.options.Entries == nil {
		self := membership.Peer{AvailabilityZone: p.options.AvailabilityZone}
		return newAssignment(self, []membership.Peer{self}, query.Engines)
	}
	self, live := p.options.Entries()
	return p.assignments.assignmentFor(self, live, query.Engines)
}

func (p *Placement) cheapestEngine(
	query generation.RelayQuery, costOf func(*directory.Target) time.Duration,
) *directory.Target {
	var best *directory.Target
	var lowest time.Duration
	for _, engine := range query.Engines {
		if !query.Allows(engine) {
			continue
		}
		cost := costOf(engine) + time.Duration(p.random.Float64()*float64(p.options.Model.RandomSpread))
		if best == nil || cost < lowest {
			best, lowest = engine, cost
		}
	}
	return best
}

// condition returns what is known of the engine.
func (p *Placement) condition(engine *directory.Target) engineCondition {
	now := p.options.Now()
	condition := engineCondition{slowness: 1, zoneSuspected: p.zoneSuspected(engine.AvailabilityZone, now)}
	if p.options.Model.Slowness != 0 {
		condition.slowness = p.paces.slowness(keyOf(engine), now)
	}
	if state := p.engines[keyOf(engine)]; state != nil {
		condition.usage = &state.engineUsage
		condition.avoided = now.Before(state.avoidUntil)
	}
	return condition
}

// zoneSuspected reports whether several engines of an availability zone were lost within zoneLossWindow.
func (p *Placement) zoneSuspected(zone string, now time.Time) bool {
	losses := p.recentLosses[zone]
	if len(losses) == 0 {
		return false
	}
	recent := slices.DeleteFunc(losses, func(at time.Time) bool { return now.Sub(at) > zoneLossWindow })
	p.recentLosses[zone] = recent
	return len(recent) >= zoneLossEngines
}

func (p *Placement) ensureState(engine *directory.Target) *engineState {
	key := keyOf(engine)
	state := p.engines[key]
	if state == nil {
		state = &engineState{}
		p.engines[key] = state
	}
	state.service = engine.Service
	return state
}

// SlowCount returns the number of engines that have been reported as slow.
func (p *Placement) SlowCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paces.slowCount()
}

// dropIfIdle removes the state of an engine that is idle.
func (p *Placement) dropIfIdle(engine *directory.Target, state *engineState) {
	if state.idle(p.options.Now()) {
		delete(p.engines, keyOf(engine))
	}
}

// Sweep removes the state of idle engines, and reports those that are no longer slow.
func (p *Placement) Sweep() {
	p.mu.Lock()
	now := p.options.Now()
	recovered := p.paces.sweep(now)
	for key, state := range p.engines {
		if state.idle(now) {
			delete(p.engines, key)
		}
	}
	p.sweepLoadReports(now)
	p.mu.Unlock()
	for _, key := range recovered {
		p.options.ReportPace(key.id, 1)
	}
}

// idle reports whether the state holds nothing that a choice depends on.
func (s *engineState) idle(now time.Time) bool {
	return s.streams == 0 && s.copyTokens < 1 && !now.Before(s.avoidUntil)
}

// ReportLost records that an engine crashed or fell silent.
func (p *Placement) ReportLost(engine *directory.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	state := p.ensureState(engine)
	if !state.lost {
		p.recentLosses[engine.AvailabilityZone] = append(p.recentLosses[engine.AvailabilityZone], now)
	}
	state.lost = true
	state.avoidUntil = now.Add(lossAvoidance)
}

// ReportRefused records that an engine rejected a request.
func (p *Placement) ReportRefused(engine *directory.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.ensureState(engine)
	now := p.options.Now()
	p.refusals[keyOf(engine)] = refusal{engine.Service, now.Add(lossAvoidance)}
	until := now.Add(refusalAvoidance)
	if until.After(state.avoidUntil) {
		state.avoidUntil = until
	}
}

// ReportAlive records that an engine has sent something.
func (p *Placement) ReportAlive(engine *directory.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, known := p.engines[keyOf(engine)]
	if known && state.lost {
		state.lost = false
		state.avoidUntil = time.Time{}
	}
}
