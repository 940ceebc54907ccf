package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/membership"
)

// batchedStream is a stream at an engine of simulateStreamTimes.
type batchedStream struct {
	begin           time.Time
	prefill, decode float64 // tokens left
	// sinceEvent is the number of tokens since the last event.
	sinceEvent float64
	placed     generation.PlacedStream
}

// eventTokens is the number of tokens of an event.
const eventTokens = 9

// advance runs an engine's batch for a tick and returns the streams that are left: each step makes a token of every running
// stream and prefills a chunk of the first prompt that waits.
func advance(streams []*batchedStream, tick time.Duration, ended func(*batchedStream)) []*batchedStream {
	const step, perStream, chunk = 3.55, 0.0462, 25.0 // milliseconds
	const chunkTokens = 125
	waiting := slices.IndexFunc(streams, func(s *batchedStream) bool { return s.prefill > 0 })
	stepTime := step + perStream*float64(len(streams))
	if waiting >= 0 {
		stepTime += chunk
	}
	steps := tick.Seconds() * 1000 / stepTime
	left := streams[:0]
	for i, s := range streams {
		switch {
		case i == waiting:
			if s.prefill -= chunkTokens * steps; s.prefill <= 0 {
				s.placed.EventArrived()
			}
		case s.prefill <= 0:
			s.decode -= steps
			for s.sinceEvent += steps; s.sinceEvent >= eventTokens; s.sinceEvent -= eventTokens {
				s.placed.EventArrived()
			}
		}
		if s.decode <= 0 {
			ended(s)
			continue
		}
		left = append(left, s)
	}
	return left
}

// simulateStreamTimes plays streams of 5,200 prompt tokens and about 1,100 more through entries with unevenly many callers, on
// engines that prefill prompts between the steps of their batch; one availability zone is lost for a third of the time, unless the engines
// differ in speed. speedOf returns the speed of an engine at a time; nil if all have the speed 1. It returns the sorted times that
// streams take.
func simulateStreamTimes(
	seed uint64, entries, engineCount int, perSecond float64, model PlacementModel, speedOf func(engine int, at time.Duration) float64,
) []time.Duration {
	const tick = 5 * time.Millisecond
	const length = 30 * time.Second
	begin := time.Unix(1000, 0)
	now := begin
	engines, live := engineFleet(engineCount), entryFleet(entries)
	random := rand.New(rand.NewPCG(seed, 7))
	var choosers, callers []*Placement
	for i, self := range live {
		choosers = append(choosers, NewPlacement(PlacementOptions{
			AvailabilityZone: self.AvailabilityZone, Seed: seed + uint64(i), Model: model, Now: func() time.Time { return now },
			Entries: func() (membership.Peer, []membership.Peer) { return self, live },
		}))
		for range 1 + random.IntN(8) {
			callers = append(callers, choosers[i])
		}
	}
	remaining := slices.DeleteFunc(slices.Clone(engines), inZone("a"))
	running := make(map[string][]*batchedStream)
	var times []time.Duration
	next := begin
	for ; now.Before(begin.Add(length)); now = now.Add(tick) {
		available := engines
		if at := now.Sub(begin); speedOf == nil && at > length/3 && at < 2*length/3 {
			available = remaining
		}
		for ; !next.After(now); next = next.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))) {
			chooser := callers[random.IntN(len(callers))]
			engine := chooser.Place(draftQuery(available))
			running[engine.ID] = append(running[engine.ID], &batchedStream{
				begin: now, prefill: 5200, decode: 1120 * (0.6 + 0.8*random.Float64()),
				placed: chooser.AddStream(engine, draftSize, draftSize.Prompt),
			})
		}
		for i, engine := range engines {
			speed := 1.0
			if speedOf != nil {
				speed = speedOf(i, now.Sub(begin))
			}
			running[engine.ID] = advance(running[engine.ID], time.Duration(speed*float64(tick)), func(s *batchedStream) {
				s.placed.Ended()
				times = append(times, now.Sub(s.begin))
			})
		}
	}
	slices.Sort(times)
	return times
}

// Guards against entries that keep to engines with streams of their own while others are idle: each prompt that an engine
// prefills holds up the streams beside it for most of that time, which the cost of a neighbour left out.
func TestPlacementKeepsPromptsFromRunningStreams(t *testing.T) {
	is := is.New(t)
	before := DefaultPlacementModel
	before.PrefillDelay = 0
	for _, fleet := range []struct {
		entries, engines int
		perSecond        float64
	}{{8, 24, 6.2}, {59, 224, 55}, {195, 248, 60}} {
		var baseline, times []time.Duration
		for seed := range uint64(3) {
			baseline = append(baseline, simulateStreamTimes(seed, fleet.entries, fleet.engines, fleet.perSecond, before, nil)...)
			times = append(times, simulateStreamTimes(seed, fleet.entries, fleet.engines, fleet.perSecond, DefaultPlacementModel, nil)...)
		}
		late := func(times []time.Duration) float64 {
			count := 0
			for _, took := range times {
				if took > 9*time.Second {
					count++
				}
			}
			return float64(count) / float64(len(times))
		}
		t.Logf("%d entries, %d engines: %.3f of streams take over 9 s, %.3f before", fleet.entries, fleet.engines, late(times), late(baseline))
		is.True(late(times) < 0.7*late(baseline))
	}
}
