package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/membership"
)

// Placement chooses engines for streams by the memory that their prompts and copies take, and by the
// prompts that are still being read. It answers a load of few long prompts on engines that lose
// whole availability zones at once: places in a batch never run out there, memory does, and a prompt
// that is read beside another one takes twice as long.
//
// It knows this entry's own streams exactly and nothing of other entries' ones. Each entry therefore
// prefers engines of its own, and pays for the uncertainty at the others. It implements generation.RelayPlacer and is safe for concurrent use.
type Placement struct {
	options PlacementOptions

	mu      sync.Mutex
	random  *rand.Rand
	engines map[engineKey]*engineState
	owned   ownerships
	// losses are the latest losses by availability zone.
	losses map[string][]time.Time
}

// PlacementOptions configure a Placement.
type PlacementOptions struct {
	// AvailabilityZone is the entry's own.
	AvailabilityZone string
	// Entries returns this entry and the live ones, which share the engines; nil means that it is alone.
	Entries func() (self membership.Peer, live []membership.Peer)
	Model   PlacementModel
	// Seed makes the choices repeatable.
	Seed uint64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// PlacementModel holds the weights of the cost of a placement, as time that a stream loses.
type PlacementModel struct {
	// PrefillTokensPerSecond is the speed at which an engine reads a prompt.
	PrefillTokensPerSecond float64
	// Neighbour is what one running stream costs the next one by the longer steps of its batch.
	Neighbour time.Duration
	// CrossZone is the cost of an engine in another availability zone.
	CrossZone time.Duration
	// Unowned is the cost of an engine that another entry prefers: what that one may have placed there.
	Unowned time.Duration
	// FullMemory is the cost of an engine without room: it would preempt a stream.
	FullMemory time.Duration
	// Chance is the longest random cost, which spreads the choices of entries that don't know of
	// each other.
	Chance time.Duration
	// Recent is the cost of an engine that was lost or refused work a moment ago.
	Recent time.Duration
	// Affinity is the gain at the engine that the hash of the prompt names first: a caller that comes
	// back through another entry finds its prompt cached there.
	Affinity time.Duration
}

// DefaultPlacementModel holds for the engines that the deployments declare: 5 tokens are read in a
// millisecond, and a running stream makes a step some 30 µs longer, over a thousand steps.
var DefaultPlacementModel = PlacementModel{
	PrefillTokensPerSecond: 5000,
	Neighbour:              60 * time.Millisecond,
	CrossZone:              150 * time.Millisecond,
	Unowned:                350 * time.Millisecond,
	FullMemory:             4 * time.Second,
	Chance:                 60 * time.Millisecond,
	Recent:                 3 * time.Second,
	Affinity:               40 * time.Millisecond,
}

const (
	// memoryKnee is the share of an engine's memory from which a placement costs more.
	memoryKnee = 0.75
	// defaultMemoryTokens stands for an engine that does not declare its memory.
	defaultMemoryTokens = 50_000
	// lossPenalty is how long a lost engine is avoided; engines restart within seconds.
	lossPenalty = 1500 * time.Millisecond
	// refusalPenalty is how long an engine that refused work is avoided.
	refusalPenalty = 300 * time.Millisecond
	// zoneLossWindow and zoneLossEngines tell when an availability zone as a whole is suspected.
	zoneLossWindow  = time.Second
	zoneLossEngines = 2
)

// engineKey names an incarnation of an engine.
type engineKey struct{ id, address string }

func keyOf(engine *directory.Target) engineKey { return engineKey{engine.ID, engine.Address} }

// engineState is what the entry knows of one engine.
type engineState struct {
	// streams is the number of this entry's streams; reading the prompt tokens of those that have
	// not begun; resident and copied the tokens that streams and copies hold.
	streams                   int
	reading, resident, copied float64
	avoidUntil                time.Time
	lost                      bool
}

// placed implements generation.Placed.
type placed struct {
	placement *Placement
	engine    *directory.Target
	prompt    float64
	tokens    float64
	begun     bool
}

// NewPlacement returns a Placement without streams.
func NewPlacement(options PlacementOptions) *Placement {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Model == (PlacementModel{}) {
		options.Model = DefaultPlacementModel
	}
	return &Placement{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 1)),
		engines: map[engineKey]*engineState{},
		losses:  map[string][]time.Time{},
	}
}

// Place chooses the engine that costs the stream least; nil if there is none.
func (p *Placement) Place(query generation.RelayQuery) *directory.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	preferred := p.preferredEngine(query)
	owned := p.ownership(query)
	return p.cheapest(query, func(engine *directory.Target) time.Duration {
		cost := p.cost(engine, query)
		if !owned.has(engine) {
			cost += p.options.Model.Unowned
		}
		if engine.AvailabilityZone != p.options.AvailabilityZone {
			cost += p.options.Model.CrossZone
		}
		switch engine.ID {
		case query.CachedAt:
			cost -= p.readingTime(float64(query.Size.Prompt))
		case preferred:
			cost -= p.options.Model.Affinity
		}
		return cost
	})
}

// Backup chooses the engine that keeps a copy of the stream's memory: in another availability zone
// than the stream's engine, so that one loss does not take both.
func (p *Placement) Backup(query generation.RelayQuery, engine *directory.Target) *directory.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	query.Exclude = append(slices.Clone(query.Exclude), engine.ID)
	owned := p.ownership(query)
	return p.cheapest(query, func(candidate *directory.Target) time.Duration {
		cost := p.cost(candidate, query)
		if !owned.has(candidate) {
			cost += p.options.Model.Unowned
		}
		if candidate.AvailabilityZone == engine.AvailabilityZone {
			cost += p.options.Model.FullMemory
		}
		return cost
	})
}

// ownership returns the engines of the query that this entry owns; all if it is alone.
func (p *Placement) ownership(query generation.RelayQuery) ownership {
	if p.options.Entries == nil {
		self := membership.Peer{AvailabilityZone: p.options.AvailabilityZone}
		return newOwnership(self, []membership.Peer{self}, query.Engines)
	}
	self, live := p.options.Entries()
	return p.owned.of(self, live, query.Engines)
}

func (p *Placement) cheapest(query generation.RelayQuery, costOf func(*directory.Target) time.Duration) *directory.Target {
	var best *directory.Target
	var lowest time.Duration
	for _, engine := range query.Engines {
		if slices.Contains(query.Exclude, engine.ID) {
			continue
		}
		cost := costOf(engine) + time.Duration(p.random.Float64()*float64(p.options.Model.Chance))
		if best == nil || cost < lowest {
			best, lowest = engine, cost
		}
	}
	return best
}

// cost returns what the engine's own state costs a stream.
func (p *Placement) cost(engine *directory.Target, query generation.RelayQuery) time.Duration {
	model := p.options.Model
	state := p.engines[keyOf(engine)]
	now := p.options.Now()
	var cost time.Duration
	if p.zoneSuspected(engine.AvailabilityZone, now) {
		cost += model.Recent / 2
	}
	if state == nil {
		return cost
	}
	if now.Before(state.avoidUntil) {
		cost += model.Recent
	}
	cost += p.readingTime(state.reading)
	cost += time.Duration(state.streams) * model.Neighbour
	capacity := float64(defaultMemoryTokens)
	if query.Spec != nil && query.Spec.MemoryTokens > 0 {
		capacity = float64(query.Spec.MemoryTokens)
	}
	filled := (state.resident + state.copied + query.Size.Memory()) / capacity
	if filled > memoryKnee {
		cost += time.Duration((filled - memoryKnee) / (1 - memoryKnee) * float64(model.FullMemory))
	}
	return cost
}

// readingTime returns how long an engine reads that many tokens.
func (p *Placement) readingTime(tokens float64) time.Duration {
	return time.Duration(tokens / p.options.Model.PrefillTokensPerSecond * float64(time.Second))
}

// zoneSuspected tells whether several engines of an availability zone were lost just now.
func (p *Placement) zoneSuspected(zone string, now time.Time) bool {
	losses := p.losses[zone]
	if len(losses) == 0 {
		return false
	}
	recent := slices.DeleteFunc(losses, func(at time.Time) bool { return now.Sub(at) > zoneLossWindow })
	p.losses[zone] = recent
	return len(recent) >= zoneLossEngines
}

// preferredEngine returns the ID of the engine that the hash of the prompt names first among those
// of this availability zone: a caller that comes back reaches an entry of the same one.
func (p *Placement) preferredEngine(query generation.RelayQuery) string {
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

func (p *Placement) state(engine *directory.Target) *engineState {
	key := keyOf(engine)
	state := p.engines[key]
	if state == nil {
		state = &engineState{}
		p.engines[key] = state
	}
	return state
}

// Begin counts a stream at its engine. read is the number of prompt tokens that the engine must
// still read.
func (p *Placement) Begin(engine *directory.Target, size generation.StreamSize, read int) generation.Placed {
	p.mu.Lock()
	defer p.mu.Unlock()
	begun := &placed{placement: p, engine: engine, prompt: float64(read), tokens: size.Memory()}
	state := p.state(engine)
	state.streams++
	state.reading += begun.prompt
	state.resident += begun.tokens
	return begun
}

// Begun tells that the stream's first event has come: its prompt is read.
func (s *placed) Begun() {
	p := s.placement
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.begun {
		return
	}
	s.begun = true
	p.state(s.engine).reading -= s.prompt
}

// Ended tells that the stream is no longer at the engine.
func (s *placed) Ended() {
	s.Begun()
	p := s.placement
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.state(s.engine)
	state.streams--
	state.resident -= s.tokens
	p.drop(s.engine, state)
}

// drop forgets an engine of which nothing is known any more.
func (p *Placement) drop(engine *directory.Target, state *engineState) {
	if state.idle(p.options.Now()) {
		delete(p.engines, keyOf(engine))
	}
}

// Sweep forgets the engines of which nothing is known any more.
func (p *Placement) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	for key, state := range p.engines {
		if state.idle(now) {
			delete(p.engines, key)
		}
	}
}

// idle tells whether the state holds nothing that a choice depends on.
func (s *engineState) idle(now time.Time) bool {
	return s.streams == 0 && s.copied < 1 && !now.Before(s.avoidUntil)
}

// AddCopy counts a copy of a stream's memory at its holder until release is called.
func (p *Placement) AddCopy(holder *directory.Target, size generation.StreamSize) (release func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(holder).copied += size.Memory()
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		state := p.state(holder)
		state.copied -= size.Memory()
		p.drop(holder, state)
	})
}

// Lost tells that an engine died or fell silent.
func (p *Placement) Lost(engine *directory.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	state := p.state(engine)
	if !state.lost {
		p.losses[engine.AvailabilityZone] = append(p.losses[engine.AvailabilityZone], now)
	}
	state.lost = true
	state.avoidUntil = now.Add(lossPenalty)
}

// Refused tells that an engine did not take a request.
func (p *Placement) Refused(engine *directory.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.state(engine)
	until := p.options.Now().Add(refusalPenalty)
	if until.After(state.avoidUntil) {
		state.avoidUntil = until
	}
}

// Alive tells that an engine has sent something.
func (p *Placement) Alive(engine *directory.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, known := p.engines[keyOf(engine)]
	if known && state.lost {
		state.lost = false
		state.avoidUntil = time.Time{}
	}
}
