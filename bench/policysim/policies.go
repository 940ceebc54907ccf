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

// Policy chooses an engine for a request that arrives at an entry; done is called at its end.
type Policy interface {
	Choose(entry int, prompt Prompt) (engine int, done func())
}

// Random chooses any engine.
type Random struct {
	Engines int
	Random  *rand.Rand
}

// Choose implements Policy.
func (p *Random) Choose(int, Prompt) (int, func()) { return p.Random.IntN(p.Engines), func() {} }

// RoundRobin has each entry go round the engines.
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

// LeastInFlight has each entry choose the engine with the fewest of its own requests.
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

// PrefixHash sends prompts of the same beginning to the same engine.
type PrefixHash struct{ Engines int }

// prefixHashBlocks is the length of the beginning that PrefixHash looks at.
const prefixHashBlocks = 8

// Choose implements Policy.
func (p *PrefixHash) Choose(_ int, prompt Prompt) (int, func()) {
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

// Oracle knows every engine's load and cache exactly and at once, and compares all of them.
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

// snapshotSource is a configuration that never changes.
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

// Routers is the policy under test: one routing.Router for each entry.
type Routers struct {
	routers []*routing.Router
	numbers map[string]int
}

// NewRouters returns the routers of the given number of entries, with no knowledge yet.
func NewRouters(clock *Clock, entries, engines, slots int, seed uint64) *Routers {
	p := &Routers{numbers: map[string]int{}}
	source := newSnapshot(engines, slots)
	for i := range engines {
		p.numbers[engineName(i)] = i
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

// Slots returns the deployment's slots as an entry sees them.
func (p *Routers) Slots(entry int) int { return p.routers[entry].Slots(deploymentName) }

// ChooseExcept chooses none of the given engines.
func (p *Routers) ChooseExcept(entry int, prompt Prompt, except []int) (int, func()) {
	var exclude []string
	for _, engine := range except {
		exclude = append(exclude, engineName(engine))
	}
	request := &generation.Request{Deployment: deploymentName, Prompt: prompt.Text}
	lease, err := p.routers[entry].Choose(context.Background(), generation.TargetQuery{Request: request, Exclude: exclude})
	if err != nil {
		panic(err) // cannot happen: no engine leaves or fails
	}
	done := func() { lease.Done(generation.Usage{Tokens: prompt.Tokens}) }
	return p.numbers[lease.Target.Metadata.Name], done
}

// Feed keeps the routers informed as late and with as many gaps as the experiment says.
type Feed struct {
	Clock *Clock
	// Interval is the time between two polls of an engine by an entry.
	Interval time.Duration
	// Lag is how old loads and events are when an entry gets them.
	Lag time.Duration
	// EventLoss is the share of cache events that an entry never gets.
	EventLoss float64
	Random    *rand.Rand
	// ResyncInterval is the least time between two summaries of one engine for one entry.
	ResyncInterval time.Duration
}

// Start begins to inform the routers about engines.
func (f *Feed) Start(routers *Routers, engines []*Engine) {
	for _, router := range routers.routers {
		for i, engine := range engines {
			f.follow(router, engineName(i), engine)
		}
	}
}

func (f *Feed) follow(router *routing.Router, name string, engine *Engine) {
	position := 0
	var resynced time.Time
	phase := time.Duration(f.Random.Int64N(int64(f.Interval)))
	f.Clock.After(phase, func() {
		f.Clock.Every(f.Interval, func() {
			running, queued := engine.Load()
			load := routing.LoadReport{Running: running, Queued: queued, Concurrency: engine.model.Slots, Age: f.Lag}
			events := f.lose(engine.events[position:])
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

func (f *Feed) lose(events []routing.CacheEvent) []routing.CacheEvent {
	var kept []routing.CacheEvent
	for _, event := range events {
		if f.Random.Float64() >= f.EventLoss {
			kept = append(kept, event)
		}
	}
	return kept
}
