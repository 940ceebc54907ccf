package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/membership"
)

var placementZones = []string{"a", "b", "c"}

// engineFleet returns engines spread evenly over the zones.
func engineFleet(count int) []*directory.Target {
	var engines []*directory.Target
	for i := range count {
		engines = append(engines, &directory.Target{
			ID: fmt.Sprintf("i%03d", i), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			AvailabilityZone: placementZones[i%len(placementZones)],
		})
	}
	return engines
}

func entryFleet(count int) []membership.Peer {
	var entries []membership.Peer
	for i := range count {
		entries = append(entries, membership.Peer{Name: fmt.Sprintf("e%03d", i), AvailabilityZone: placementZones[i%len(placementZones)]})
	}
	return entries
}

// inZone reports whether an engine is in the zone.
func inZone(zone string) func(*directory.Target) bool {
	return func(engine *directory.Target) bool { return engine.AvailabilityZone == zone }
}

var (
	draftSpec = &directory.EngineSpec{MemoryTokens: 55_000, ContinuousKVCopy: true}
	draftSize = generation.StreamSize{Prompt: 5200, Output: 700}
)

func draftQuery(engines []*directory.Target) generation.RelayQuery {
	return generation.RelayQuery{Engines: engines, Spec: draftSpec, Size: draftSize}
}

func TestAssignmentCoversEveryEngine(t *testing.T) {
	is := is.New(t)
	engines := engineFleet(48)
	live := entryFleet(12)
	sameZone := map[string]int{}
	for _, self := range live {
		assigned := newAssignment(self, live, engines)
		count := 0
		for _, engine := range engines {
			if !assigned.contains(engine) {
				continue
			}
			count++
			if engine.AvailabilityZone == self.AvailabilityZone {
				sameZone[engine.ID]++
			}
		}
		is.Equal(count, 4+2*2) // 16 engines of its own zone among 4 entries, 16 of each other zone among 8
	}
	for _, engine := range engines {
		is.Equal(sameZone[engine.ID], 1) // assigned to one entry of its zone
	}
	// With more entries than engines, each entry still has one in its zone.
	many := entryFleet(90)
	for _, self := range many {
		assigned := newAssignment(self, many, engines[:9])
		is.True(len(assigned.engines) > 0)
	}
}

func TestBackupIsInAnotherZone(t *testing.T) {
	is := is.New(t)
	engines := engineFleet(24)
	p := NewPlacement(PlacementOptions{AvailabilityZone: "a", Seed: 1})
	for range 50 {
		engine := p.Place(draftQuery(engines))
		is.Equal(engine.AvailabilityZone, "a")
		is.True(p.Backup(draftQuery(engines), engine).AvailabilityZone != "a")
	}
}

// Guards against streams and copies at engines that can't go on with the stream.
func TestPlacementKeepsToEnginesThatFit(t *testing.T) {
	is := is.New(t)
	placement := NewPlacement(PlacementOptions{AvailabilityZone: "a"})
	query := draftQuery(engineFleet(9))
	fitting := query.Engines[4]
	query.Fits = func(engine *directory.Target) bool { return engine == fitting }
	is.Equal(placement.Place(query), fitting)
	is.Equal(placement.Backup(query, query.Engines[0]), fitting)
	is.Equal(placement.Backup(query, fitting), nil)
}

func TestPlacementAvoidsEnginesThatPrefill(t *testing.T) {
	is := is.New(t)
	engines := engineFleet(9)[:6:6]
	p := NewPlacement(PlacementOptions{AvailabilityZone: "a", Seed: 1})
	used := map[string]int{}
	for range 6 {
		engine := p.Place(draftQuery(engines))
		used[engine.ID]++
		p.AddStream(engine, draftSize, draftSize.Prompt)
	}
	is.Equal(len(used), 6) // a second prompt on an engine would take another second
}

func TestPlacementAvoidsAnEngineWithFullKVCache(t *testing.T) {
	is := is.New(t)
	engines := engineFleet(2)
	p := NewPlacement(PlacementOptions{AvailabilityZone: "a", Seed: 1})
	for range 8 {
		p.AddStream(engines[0], draftSize, 0).EventArrived()
	}
	is.Equal(p.Place(draftQuery(engines)).ID, engines[1].ID)
}

func TestPlacementAvoidsAZoneThatLosesEngines(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	engines := engineFleet(24)
	p := NewPlacement(PlacementOptions{AvailabilityZone: "a", Seed: 1, Now: func() time.Time { return now }})
	p.ReportLost(engines[0])
	p.ReportLost(engines[3])
	for range 20 {
		is.True(p.Place(draftQuery(engines)).AvailabilityZone != "a")
	}
	now = now.Add(lossAvoidance + time.Second)
	is.Equal(p.Place(draftQuery(engines)).AvailabilityZone, "a")
}

func TestAffinitySelectsTheSameEngineAgain(t *testing.T) {
	is := is.New(t)
	engines := engineFleet(24)
	same := 0
	const prompts = 200
	for i := range prompts {
		query := draftQuery(engines)
		query.Affinity = fmt.Sprintf("prompt%d", i)
		first := NewPlacement(PlacementOptions{AvailabilityZone: "a", Seed: uint64(i)}).Place(query)
		second := NewPlacement(PlacementOptions{AvailabilityZone: "a", Seed: uint64(i + prompts)}).Place(query)
		if first.ID == second.ID {
			same++
		}
	}
	is.True(same > prompts/3) // by chance 1 of 8
}

// simulateLatePrefills simulates a load of long prompts through many entries that don't see each other's
// streams, on engines that prefill one prompt after the other. It returns how many streams wait longer
// than twice the prefill time for their prompts to be prefilled, and the number of all streams.
func simulateLatePrefills(seed uint64, withoutAssignment bool) (late int, streams int) {
	const (
		entries, engineCount = 59, 224
		perSecond            = 67
		length               = 30 * time.Second
		prefillTime          = 1040 * time.Millisecond // 5,200 tokens, 5 in a millisecond
	)
	now := time.Unix(1000, 0)
	engines := engineFleet(engineCount)
	live := entryFleet(entries)
	free := map[string]time.Time{}
	random := rand.New(rand.NewPCG(seed, 7))
	var choosers []*Placement
	for i, self := range live {
		options := PlacementOptions{AvailabilityZone: self.AvailabilityZone, Seed: seed + uint64(i), Now: func() time.Time { return now }}
		if !withoutAssignment {
			options.Entries = func() (membership.Peer, []membership.Peer) { return self, live }
		}
		choosers = append(choosers, NewPlacement(options))
	}
	type runningStream struct {
		placed generation.PlacedStream
		until  time.Time
	}
	var running []runningStream
	end := now.Add(length)
	for now.Before(end) {
		now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		kept := running[:0]
		for _, r := range running {
			if now.After(r.until) {
				r.placed.Ended()
				continue
			}
			kept = append(kept, r)
		}
		running = kept
		chooser := choosers[random.IntN(len(choosers))]
		engine := chooser.Place(draftQuery(engines))
		begins := free[engine.ID]
		if begins.Before(now) {
			begins = now
		}
		free[engine.ID] = begins.Add(prefillTime)
		running = append(running, runningStream{chooser.AddStream(engine, draftSize, draftSize.Prompt), free[engine.ID]})
		streams++
		if free[engine.ID].Sub(now) > 2*prefillTime {
			late++
		}
	}
	return late, streams
}

func TestAssignmentKeepsPromptsApart(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		baseline, streams := simulateLatePrefills(seed, true)
		late, _ := simulateLatePrefills(seed, false)
		t.Logf("seed %d: of %d streams %d wait behind other prompts with assignment, %d without", seed, streams, late, baseline)
		is.True(late*2 < baseline)
	}
}

func TestSweepRemovesIdleEngines(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	engines := engineFleet(3)
	p := NewPlacement(PlacementOptions{AvailabilityZone: "a", Seed: 1, Now: func() time.Time { return now }})
	p.ReportLost(engines[0])
	placed := p.AddStream(engines[1], draftSize, 0)
	p.Sweep()
	is.Equal(len(p.engines), 2)
	now = now.Add(lossAvoidance)
	p.Sweep()
	is.Equal(len(p.engines), 1) // the engine still has a stream
	placed.Ended()
	is.Equal(len(p.engines), 0)
}

// TestCachedPromptOutweighsOtherCosts: an entry that sees a prompt for the first time places the stream at
// the engine that has the prompt cached, in any availability zone, unless that engine is lost or full; also while a prompt is
// prefilled there, which it would else be for a second time elsewhere.
func TestCachedPromptOutweighsOtherCosts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	engines := engineFleet(24)
	for i, cached := range engines {
		p := NewPlacement(PlacementOptions{AvailabilityZone: "a", Seed: uint64(i), Now: func() time.Time { return now }})
		query := draftQuery(engines)
		query.CachedAt = cached.ID
		is.Equal(p.Place(query).ID, cached.ID)
		p.AddStream(cached, draftSize, draftSize.Prompt)
		is.Equal(p.Place(query).ID, cached.ID)
		p.ReportLost(cached)
		is.True(p.Place(query).ID != cached.ID)
	}
	p := NewPlacement(PlacementOptions{AvailabilityZone: "a", Seed: 1})
	for range 9 {
		p.AddStream(engines[5], draftSize, 0).EventArrived()
	}
	query := draftQuery(engines)
	query.CachedAt = engines[5].ID
	is.True(p.Place(query).ID != engines[5].ID)
}
