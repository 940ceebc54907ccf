package routing

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// streams counts this entry's streams. prefillTokens are the prompt tokens of those that are still
	// being prefilled; residentTokens and copyTokens are the tokens that streams and KV cache copies hold.
	streams                                   int
	prefillTokens, residentTokens, copyTokens float64
	avoidUntil                                time.Time
	lost                                      bool
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
	affinity := p.affinityEngine(query)
	assigned := p.assignedEngines(query)
	return p.cheapestEngine(query, func(engine *directory.Target) time.Duration {
		cost := p.engineCost(engine, query)
		if !assigned.contains(engine) {
			cost += p.options.Model.Unassigned
		}
		if engine.AvailabilityZone != p.options.AvailabilityZone {
			cost += p.options.Model.CrossZone
		}
		if engine.ID == query.CachedAt {
			return cost - p.cachedPromptGain(query)
		}
		if engine.ID == affinity {
			cost -= p.options.Model.Affinity
		}
		return cost + p.neighbourDelay(engine, query)
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
		cost := p.engineCost(candidate, query)
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

// engineCost returns the part of a stream's cost that depends on the engine's own state.
func (p *Placement) engineCost(engine *directory.Target, query generation.RelayQuery) time.Duration {
	model := p.options.Model
	state := p.engines[keyOf(engine)]
	now := p.options.Now()
	slowness := p.slowness(engine, now)
	var cost time.Duration
	if slowness > slownessTolerance || slowness < 1/slownessTolerance {
		cost = time.Duration((slowness - 1) * float64(model.Slowness))
	}
	if p.zoneSuspected(engine.AvailabilityZone, now) {
		cost += model.RecentFailure / 2
	}
	if state == nil {
		return cost
	}
	if now.Before(state.avoidUntil) {
		cost += model.RecentFailure
	}
	cost += time.Duration(slowness * float64(p.prefillTime(state.prefillTokens)+time.Duration(state.streams)*model.Neighbour))
	capacity := float64(defaultMemoryTokens)
	if query.Spec != nil && query.Spec.MemoryTokens > 0 {
		capacity = float64(query.Spec.MemoryTokens)
	}
	usedShare := (state.residentTokens + state.copyTokens + query.Size.KVCacheTokens()) / capacity
	if usedShare > memoryCostThreshold {
		cost += time.Duration((usedShare - memoryCostThreshold) / (1 - memoryCostThreshold) * float64(model.FullKVCache))
	}
	return cost
}

// slowness returns how many times as long as is usual for its service the engine takes.
func (p *Placement) slowness(engine *directory.Target, now time.Time) float64 {
	if p.options.Model.Slowness == 0 {
		return 1
	}
	return p.paces.slowness(keyOf(engine), now)
}

// neighbourDelay returns the time that this entry's streams at the engine lose together while it prefills the
// prompt.
func (p *Placement) neighbourDelay(engine *directory.Target, query generation.RelayQuery) time.Duration {
	state := p.engines[keyOf(engine)]
	if state == nil {
		return 0
	}
	prefill := p.prefillTime(float64(query.Size.Prompt))
	slowness := p.slowness(engine, p.options.Now())
	return time.Duration(slowness * float64(state.streams) * p.options.Model.PrefillDelay * float64(prefill))
}

// cachedPromptGain returns the time that is lost where a cached prompt is prefilled again: by the stream, and by one other
// beside it, of which this entry doesn't know. It outweighs the wait for one prompt at the engine that has it cached.
func (p *Placement) cachedPromptGain(query generation.RelayQuery) time.Duration {
	prefill := p.prefillTime(float64(query.Size.Prompt))
	return time.Duration((1 + p.options.Model.PrefillDelay) * float64(prefill))
}

// prefillTime returns how long an engine takes to prefill that many tokens.
func (p *Placement) prefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / p.options.Model.PrefillTokensPerSecond * float64(time.Second))
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

// affinityEngine returns the ID of the engine that rendezvous hashing of the prompt selects among those of
// this availability zone: a caller that reconnects reaches an entry of the same zone.
func (p *Placement) affinityEngine(query generation.RelayQuery) string {
	if query.Affinity == "" {
		return ""
	}
	var best string
	var highest uint64
	for _, engine := range query.Engines {
		if engine.AvailabilityZone != p.options.AvailabilityZone {
			continue
		}
		weight := xxhash.Sum64String(query.Affinity + "/" + engine.ID)
		if best == "" || weight > highest {
			best, highest = engine.ID, weight
		}
	}
	return best
}

func (p *Placement) ensureState(engine *directory.Target) *engineState {
	key := keyOf(engine)
	state := p.engines[key]
	if state == nil {
		state = &engineState{}
		p.engines[key] = state
	}
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
	until := p.options.Now().Add(refusalAvoidance)
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
