package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/membership"
)

// batchedStream is a stream at an engine of simulateStreamTimes.
type batchedStream struct {
	begin           time.Time
	entry           int
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

// streamLoad describes a load of streams of 5,200 prompt tokens and about 1,100 more, through entries with unevenly many callers, on
// engines that prefill prompts between the steps of their batch.
type streamLoad struct {
	seed             uint64
	entries, engines int
	perSecond        float64
	model            PlacementModel
	// speedOf returns the speed of an engine at a time. If it is nil, all have the speed 1, and one availability zone is lost for a third of
	// the time.
	speedOf func(engine int, at time.Duration) float64
	// crashes is set if the lost zone takes its streams with it and is only noticed by them; its engines stay listed for unlistAfter.
	crashes bool
	// lostEntries is the number of entries that are lost with their streams at a third of the time; their callers go to others.
	lostEntries int
	// newPlacer returns what chooses the engines; nil if each entry chooses by itself.
	newPlacer func(*streamRun) streamPlacer
}

// streamPlacer chooses the engines of a streamRun.
type streamPlacer interface {
	// place calls start with the engine of a stream, now or at a later tick.
	place(entry int, query generation.RelayQuery, start func(*directory.Target))
	// tick is called before the streams of a tick begin.
	tick()
	// track returns what accounts for a stream of the entry.
	track(entry int, placed generation.PlacedStream) generation.PlacedStream
	// engineLost is called after the entry has noticed the loss of an engine.
	engineLost(entry int)
}

// localPlacer has each entry choose by itself.
type localPlacer struct{ choosers []*Placement }

func (p localPlacer) place(entry int, query generation.RelayQuery, start func(*directory.Target)) {
	start(p.choosers[entry].Place(query))
}
func (localPlacer) tick() {}
func (localPlacer) track(_ int, placed generation.PlacedStream) generation.PlacedStream {
	return placed
}
func (localPlacer) engineLost(int) {}

const (
	modelTick   = 5 * time.Millisecond
	modelLength = 30 * time.Second
	// unlistAfter is how long the directory lists an engine that has crashed.
	unlistAfter = 2 * time.Second
)

// streamRun is the state of a load that is simulated.
type streamRun struct {
	streamLoad
	begin, now time.Time
	// random draws the load, faults the times at which losses are noticed.
	random, faults *rand.Rand
	// all are the entries, live those that aren't lost.
	all, live []membership.Peer
	choosers  []*Placement
	placer    streamPlacer
	// running holds the streams at each engine, indices the engines by their IDs.
	running [][]*batchedStream
	indices map[string]int
	noticed []noticedLoss
	times   []time.Duration
	// wasted counts the attempts at engines that had crashed.
	wasted int
}

// noticedLoss is when the entry of a stream notices that its engine has crashed.
type noticedLoss struct {
	at     time.Time
	stream *batchedStream
	engine *directory.Target
}

// simulateStreamTimes returns the sorted times that the streams of a load take through entries that choose by themselves.
func simulateStreamTimes(
	seed uint64, entries, engineCount int, perSecond float64, model PlacementModel, speedOf func(engine int, at time.Duration) float64,
) []time.Duration {
	load := streamLoad{seed: seed, entries: entries, engines: engineCount, perSecond: perSecond, model: model, speedOf: speedOf}
	return load.simulate().times
}

// simulate plays the load. The times of the result are sorted.
func (l streamLoad) simulate() *streamRun {
	run := &streamRun{
		streamLoad: l, begin: time.Unix(1000, 0), now: time.Unix(1000, 0), all: entryFleet(l.entries), indices: map[string]int{},
		random: rand.New(rand.NewPCG(l.seed, 7)), faults: rand.New(rand.NewPCG(l.seed, 8)),
	}
	engines := engineFleet(l.engines)
	run.running = make([][]*batchedStream, len(engines))
	for i, engine := range engines {
		run.indices[engine.ID] = i
	}
	var callers []int
	run.live = run.all
	for i, self := range run.all {
		run.choosers = append(run.choosers, NewPlacement(PlacementOptions{
			AvailabilityZone: self.AvailabilityZone, Seed: l.seed + uint64(i), Model: l.model, Now: func() time.Time { return run.now },
			Entries: func() (membership.Peer, []membership.Peer) { return self, run.live },
		}))
		for range 1 + run.random.IntN(8) {
			callers = append(callers, i)
		}
	}
	run.placer = localPlacer{run.choosers}
	if l.newPlacer != nil {
		run.placer = l.newPlacer(run)
	}
	remaining := slices.DeleteFunc(slices.Clone(engines), inZone("a"))
	next := run.begin
	for ; run.now.Before(run.begin.Add(modelLength)); run.now = run.now.Add(modelTick) {
		available := engines
		if run.zoneLost() && !(l.crashes && run.now.Sub(run.begin) <= modelLength/3+unlistAfter) {
			available = remaining
		}
		run.noticeLosses(available)
		if l.lostEntries > 0 && run.now.Sub(run.begin) == modelLength/3 {
			run.loseEntries()
		}
		run.placer.tick()
		for ; !next.After(run.now); next = next.Add(time.Duration(run.random.ExpFloat64() / l.perSecond * float64(time.Second))) {
			entry := callers[run.random.IntN(len(callers))]
			for run.entryLost(entry) {
				entry = callers[run.random.IntN(len(callers))]
			}
			run.start(&batchedStream{begin: run.now, decode: 1120 * (0.6 + 0.8*run.random.Float64()), entry: entry}, draftQuery(available))
		}
		for i, engine := range engines {
			if len(run.running[i]) == 0 {
				continue
			}
			speed := 1.0
			if l.speedOf != nil {
				speed = l.speedOf(i, run.now.Sub(run.begin))
			}
			if l.crashes && run.zoneLost() && inZone("a")(engine) {
				run.crash(engine)
				continue
			}
			run.running[i] = advance(run.running[i], time.Duration(speed*float64(modelTick)), func(s *batchedStream) {
				s.placed.Ended()
				run.times = append(run.times, run.now.Sub(s.begin))
			})
		}
	}
	slices.Sort(run.times)
	return run
}

// zoneLost reports whether the availability zone is lost.
func (r *streamRun) zoneLost() bool {
	at := r.now.Sub(r.begin)
	return r.speedOf == nil && at > modelLength/3 && at < 2*modelLength/3
}

// entryLost reports whether the entry is lost.
func (r *streamRun) entryLost(entry int) bool {
	return entry < r.lostEntries && r.now.Sub(r.begin) >= modelLength/3
}

// loseEntries ends the streams of the entries that are lost at their engines. The placer isn't told of it.
func (r *streamRun) loseEntries() {
	for i, streams := range r.running {
		r.running[i] = slices.DeleteFunc(streams, func(s *batchedStream) bool {
			if r.entryLost(s.entry) {
				s.placed.Ended()
			}
			return r.entryLost(s.entry)
		})
	}
	r.live = r.live[r.lostEntries:]
}

// start begins the stream at the engine that the placer chooses.
func (r *streamRun) start(stream *batchedStream, query generation.RelayQuery) {
	r.placer.place(stream.entry, query, func(engine *directory.Target) {
		if r.crashes && r.zoneLost() && inZone("a")(engine) {
			r.wasted++
		}
		stream.prefill = float64(draftSize.Prompt)
		stream.placed = r.placer.track(stream.entry, r.choosers[stream.entry].AddStream(engine, draftSize, draftSize.Prompt))
		at := r.indices[engine.ID]
		r.running[at] = append(r.running[at], stream)
	})
}

// crash stops the streams of an engine, which their entries notice after a while.
func (r *streamRun) crash(engine *directory.Target) {
	at := r.indices[engine.ID]
	for _, stream := range r.running[at] {
		notice := 300*time.Millisecond + time.Duration(r.faults.Int64N(int64(500*time.Millisecond)))
		r.noticed = append(r.noticed, noticedLoss{r.now.Add(notice), stream, engine})
	}
	r.running[at] = nil
}

// noticeLosses places the streams again whose entries notice a crash.
func (r *streamRun) noticeLosses(available []*directory.Target) {
	r.noticed = slices.DeleteFunc(r.noticed, func(loss noticedLoss) bool {
		if loss.at.After(r.now) {
			return false
		}
		loss.stream.placed.Ended()
		r.choosers[loss.stream.entry].ReportLost(loss.engine)
		r.placer.engineLost(loss.stream.entry)
		query := draftQuery(available)
		query.Begun, query.Exclude = true, []string{loss.engine.ID}
		r.start(loss.stream, query)
		return true
	})
}

// shareOver returns the share of the sorted times that are longer than limit.
func shareOver(times []time.Duration, limit time.Duration) float64 {
	over, _ := slices.BinarySearch(times, limit+1)
	return float64(len(times)-over) / float64(len(times))
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
