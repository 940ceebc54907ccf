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

var (
	draftSpec = &directory.EngineSpec{MemoryTokens: 55_000, Backups: true}
	draftSize = generation.StreamSize{Prompt: 5200, Output: 700}
)

func draftQuery(engines []*directory.Target) generation.RelayQuery {
	return generation.RelayQuery{Engines: engines, Spec: draftSpec, Size: draftSize}
}

func TestOwnershipCoversEveryEngine(t *testing.T) {
	is := is.New(t)
	engines := engineFleet(48)
	live := entryFleet(12)
	near := map[string]int{}
	for _, self := range live {
		owned := newOwnership(self, live, engines)
		count := 0
		for _, engine := range engines {
			if !owned.has(engine) {
				continue
			}
			count++
			if engine.AvailabilityZone == self.AvailabilityZone {
				near[engine.ID]++
			}
		}
		is.Equal(count, 4+2*2) // 16 engines of the own zone by 4 entries, 16 of each other one by 8
	}
	for _, engine := range engines {
		is.Equal(near[engine.ID], 1) // one entry of its zone prefers it
	}
	// More entries than engines: each still has one in its zone.
	many := entryFleet(90)
	for _, self := range many {
		owned := newOwnership(self, many, engines[:9])
		is.True(len(owned.owned) > 0)
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

func TestPlacementAvoidsPromptsThatAreBeingRead(t *testing.T) {
	is := is.New(t)
	engines := engineFleet(9)[:6:6]
	p := NewPlacement(PlacementOptions{AvailabilityZone: "a", Seed: 1})
	used := map[string]int{}
	for range 6 {
		engine := p.Place(draftQuery(engines))
		used[engine.ID]++
		p.Begin(engine, draftSize, draftSize.Prompt)
	}
	is.Equal(len(used), 6) // a second prompt would take another second
}

func TestPlacementLeavesAFullEngine(t *testing.T) {
	is := is.New(t)
	engines := engineFleet(2)
	p := NewPlacement(PlacementOptions{AvailabilityZone: "a", Seed: 1})
	for range 8 {
		p.Begin(engines[0], draftSize, 0).Begun()
	}
	is.Equal(p.Place(draftQuery(engines)).ID, engines[1].ID)
}

func TestPlacementAvoidsAZoneThatLosesEngines(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	engines := engineFleet(24)
	p := NewPlacement(PlacementOptions{AvailabilityZone: "a", Seed: 1, Now: func() time.Time { return now }})
	p.Lost(engines[0])
	p.Lost(engines[3])
	for range 20 {
		is.True(p.Place(draftQuery(engines)).AvailabilityZone != "a")
	}
	now = now.Add(lossPenalty + time.Second)
	is.Equal(p.Place(draftQuery(engines)).AvailabilityZone, "a")
}

func TestPromptFindsItsEngineAgain(t *testing.T) {
	is := is.New(t)
	engines := engineFleet(24)
	same := 0
	const prompts = 200
	for i := range prompts {
		asked := draftQuery(engines)
		asked.Affinity = fmt.Sprintf("prompt%d", i)
		first := NewPlacement(PlacementOptions{AvailabilityZone: "a", Seed: uint64(i)}).Place(asked)
		second := NewPlacement(PlacementOptions{AvailabilityZone: "a", Seed: uint64(i + prompts)}).Place(asked)
		if first.ID == second.ID {
			same++
		}
	}
	is.True(same > prompts/3) // by chance 1 of 8
}

// modelledWaits plays a load of long prompts through many entries that don't see each other's
// streams, against engines that read one prompt after the other, and returns how long streams wait
// for their prompts to be read.
func modelledWaits(seed uint64, alone bool) (late int, streams int) {
	const (
		entries, engineCount = 59, 224
		perSecond            = 67
		length               = 30 * time.Second
		readTime             = 1040 * time.Millisecond // 5,200 tokens, 5 in a millisecond
	)
	now := time.Unix(1000, 0)
	engines := engineFleet(engineCount)
	live := entryFleet(entries)
	free := map[string]time.Time{}
	random := rand.New(rand.NewPCG(seed, 7))
	var choosers []*Placement
	for i, self := range live {
		options := PlacementOptions{AvailabilityZone: self.AvailabilityZone, Seed: seed + uint64(i), Now: func() time.Time { return now }}
		if !alone {
			options.Entries = func() (membership.Peer, []membership.Peer) { return self, live }
		}
		choosers = append(choosers, NewPlacement(options))
	}
	type reading struct {
		placed generation.Placed
		until  time.Time
	}
	var running []reading
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
		free[engine.ID] = begins.Add(readTime)
		running = append(running, reading{chooser.Begin(engine, draftSize, draftSize.Prompt), free[engine.ID]})
		streams++
		if free[engine.ID].Sub(now) > 2*readTime {
			late++
		}
	}
	return late, streams
}

func TestOwnershipKeepsPromptsApart(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		baseline, streams := modelledWaits(seed, true)
		late, _ := modelledWaits(seed, false)
		t.Logf("seed %d: of %d streams %d wait behind other prompts with ownership, %d without", seed, streams, late, baseline)
		is.True(late*2 < baseline)
	}
}

func TestSweepForgetsIdleEngines(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	engines := engineFleet(3)
	p := NewPlacement(PlacementOptions{AvailabilityZone: "a", Seed: 1, Now: func() time.Time { return now }})
	p.Lost(engines[0])
	placed := p.Begin(engines[1], draftSize, 0)
	p.Sweep()
	is.Equal(len(p.engines), 2)
	now = now.Add(lossPenalty)
	p.Sweep()
	is.Equal(len(p.engines), 1) // a stream is there
	placed.Ended()
	is.Equal(len(p.engines), 0)
}

// TestCachedPromptOutweighsItsReading: an entry that was not asked before sends a stream to the engine that has read
// its prompt, in any availability zone, unless that one is lost or full.
func TestCachedPromptOutweighsItsReading(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	engines := engineFleet(24)
	for i, cached := range engines {
		p := NewPlacement(PlacementOptions{AvailabilityZone: "a", Seed: uint64(i), Now: func() time.Time { return now }})
		asked := draftQuery(engines)
		asked.CachedAt = cached.ID
		is.Equal(p.Place(asked).ID, cached.ID)
		p.Lost(cached)
		is.True(p.Place(asked).ID != cached.ID)
	}
	p := NewPlacement(PlacementOptions{AvailabilityZone: "a", Seed: 1})
	for range 9 {
		p.Begin(engines[5], draftSize, 0).Begun()
	}
	asked := draftQuery(engines)
	asked.CachedAt = engines[5].ID
	is.True(p.Place(asked).ID != engines[5].ID)
}
