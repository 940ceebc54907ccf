package policysim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/routing"
)

// Policy chooses an engine for a request that arrives at an entry. The caller of Choose calls done when
// the request ends.
type Policy interface {
	Choose(entry int, prompt Prompt) (engine int, done func())
}

// Random chooses an engine at random.
type Random struct {
	Engines int
	Random  *rand.Rand
}

// Choose implements Policy.
func (p *Random) Choose(int, Prompt) (int, func()) { return p.Random.IntN(p.Engines), func() {} }

// RoundRobin has each entry choose the engines in turn; entry i begins with engine i.
type RoundRobin struct {
	Engines int
	next    map[int]int
}

// Choose implements Policy.
func (p *RoundRobin) Choose(entry int, _ Prompt) (int, func()) {
	if p.next == nil {
		p.next = map[int]int{}
	}
	turn, ok := p.next[entry]
	if !ok {
		turn = entry
	}
	p.next[entry] = turn + 1
	return turn % p.Engines, func() {}
}

// LeastInFlight has each entry choose the engine at which it itself has the fewest requests in
// flight.
type LeastInFlight struct {
	Engines  int
	Random   *rand.Rand
	inFlight map[int][]int
}

// Choose implements Policy.
func (p *LeastInFlight) Choose(entry int, _ Prompt) (int, func()) {
	if p.inFlight == nil {
		p.inFlight = map[int][]int{}
	}
	if p.inFlight[entry] == nil {
		p.inFlight[entry] = make([]int, p.Engines)
	}
	counts := p.inFlight[entry]
	best := p.Random.IntN(p.Engines)
	for i := range counts {
		engine := (best + i) % p.Engines
		if counts[engine] < counts[best] {
			best = engine
		}
	}
	counts[best]++
	return best, func() { counts[best]-- }
}

// PrefixHashPolicy chooses the same engine for all prompts with the same first prefixHashBlocks blocks, by
// rendezvous hashing.
type PrefixHashPolicy struct{ Engines int }

// prefixHashBlocks is the number of blocks from the start of a prompt that PrefixHashPolicy hashes.
const prefixHashBlocks = 8

// Choose implements Policy.
func (p *PrefixHashPolicy) Choose(_ int, prompt Prompt) (int, func()) {
	hash := prompt.Prefixes[min(prefixHashBlocks, len(prompt.Prefixes))-1]
	best, highest := 0, uint64(0)
	for engine := range p.Engines {
		score := xxhash.Sum64String(fmt.Sprintf("%d/%x", engine, uint64(hash)))
		if score > highest {
			best, highest = engine, score
		}
	}
	return best, func() {}
}

// Oracle compares the estimated cost at all engines, with the exact and current load and cache of each.
type Oracle struct {
	Engines []*Engine
	Model   EngineModel
}

// Choose implements Policy.
func (p *Oracle) Choose(_ int, prompt Prompt) (int, func()) {
	best, lowest := 0, time.Duration(0)
	for i, engine := range p.Engines {
		cached := engine.CachedBlocks(prompt.Prefixes) * routing.PrefixBlockBytes
		running, queued := engine.Load()
		cost := routing.EstimateCost(float64(running+queued), float64(p.Model.Slots), float64(len(prompt.Text)-cached))
		if i == 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best, func() {}
}

// deploymentName is the deployment of all simulated requests.
const deploymentName = "simulated"

// snapshotSource is a configuration source whose snapshot never changes.
type snapshotSource struct{ snapshot *config.Snapshot }

// Snapshot implements routing.Configuration.
func (s snapshotSource) Snapshot() *config.Snapshot { return s.snapshot }

func engineName(i int) string { return fmt.Sprintf("e%d", i) }

func newSnapshot(engines, slots int) snapshotSource {
	snapshot := config.NewSnapshot(1)
	deployment := &v1.Deployment{Metadata: v1.Metadata{Name: deploymentName}}
	for i := range engines {
		spec := v1.TargetSpec{Address: engineName(i), Concurrency: slots}
		snapshot.Targets[engineName(i)] = &v1.Target{Metadata: v1.Metadata{Name: engineName(i)}, Spec: spec}
		deployment.Spec.Targets = append(deployment.Spec.Targets, engineName(i))
	}
	snapshot.Deployments[deploymentName] = deployment
	return snapshotSource{snapshot}
}

// Routers is the policy under test: one production routing.Router for each entry.
type Routers struct {
	routers []*routing.Router
	engines map[string]int // indexes of engines by name
}

// NewRouters returns the routers of the given number of entries, without load reports and with empty
// prompt cache indexes.
func NewRouters(clock *Clock, entries, engines, slots int, seed uint64) *Routers {
	p := &Routers{engines: map[string]int{}}
	source := newSnapshot(engines, slots)
	for i := range engines {
		p.engines[engineName(i)] = i
	}
	for i := range entries {
		p.routers = append(p.routers, routing.NewRouter(routing.Options{
			Configuration: source,
			Seed:          seed*1000 + uint64(i),
			Now:           clock.Now,
			EntryPosition: func() routing.EntryPosition { return routing.EntryPosition{Index: i, Count: entries} },
		}))
	}
	return p
}

// Choose implements Policy.
func (p *Routers) Choose(entry int, prompt Prompt) (int, func()) {
	return p.ChooseExcept(entry, prompt, nil)
}

// Slots returns the slots of the deployment that the router of an entry counts.
func (p *Routers) Slots(entry int) int { return p.routers[entry].Slots(deploymentName) }

// ChooseExcept is Choose without the given engines.
func (p *Routers) ChooseExcept(entry int, prompt Prompt, except []int) (int, func()) {
	var exclude []string
	for _, engine := range except {
		exclude = append(exclude, engineName(engine))
	}
	request := &generation.Request{Deployment: deploymentName, Prompt: prompt.Text}
	lease, err := p.routers[entry].Choose(context.Background(), generation.TargetQuery{Request: request, Exclude: exclude})
	if err != nil {
		panic(err) // cannot happen: no engine drains or fails
	}
	done := func() { lease.Done(generation.Usage{Tokens: prompt.Tokens}) }
	return p.engines[lease.Target.Metadata.Name], done
}

// Feed reports loads and cache events of engines to the routers, with the delay and the loss of events
// that an experiment sets.
type Feed struct {
	Clock *Clock
	// Interval is the time between two polls of an engine by an entry.
	Interval time.Duration
	// Lag is the age of loads and events when an entry receives them.
	Lag time.Duration
	// EventLoss is the fraction of cache events that an entry never receives.
	EventLoss float64
	Random    *rand.Rand
	// ResyncInterval is the minimum time between two cache summaries of one engine to one entry.
	ResyncInterval time.Duration
}

// Start starts polling each engine for each router, at random phases of the interval.
func (f *Feed) Start(routers *Routers, engines []*Engine) {
	for _, router := range routers.routers {
		for i, engine := range engines {
			f.pollEngine(router, engineName(i), engine)
		}
	}
}

func (f *Feed) pollEngine(router *routing.Router, name string, engine *Engine) {
	position := 0
	var resynced time.Time
	phase := time.Duration(f.Random.Int64N(int64(f.Interval)))
	f.Clock.After(phase, func() {
		f.Clock.Every(f.Interval, func() {
			running, queued := engine.Load()
			load := routing.LoadReport{Running: running, Queued: queued, Concurrency: engine.model.Slots, Age: f.Lag}
			events := f.dropEvents(engine.events[position:])
			position = len(engine.events)
			last := engine.sequence
			f.Clock.After(f.Lag, func() {
				router.ReportLoad(name, load)
				resync := router.ReportCacheEvents(name, events, last)
				if resync && f.Clock.Now().Sub(resynced) >= f.ResyncInterval {
					resynced = f.Clock.Now()
					router.ReportCacheSummary(name, engine.sequence, engine.cache.all())
				}
			})
		})
	})
}

// dropEvents returns events without a random EventLoss of them.
func (f *Feed) dropEvents(events []routing.CacheEvent) []routing.CacheEvent {
	var kept []routing.CacheEvent
	for _, event := range events {
		if f.Random.Float64() >= f.EventLoss {
			kept = append(kept, event)
		}
	}
	return kept
}
