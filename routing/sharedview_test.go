package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/directory"
)

// viewFixture is a view with a clock and the messages of entries.
type viewFixture struct {
	*SharedView
	now      time.Time
	engines  []*directory.Target
	sequence int64
}

func newViewFixture(engineCount int) *viewFixture {
	f := &viewFixture{now: time.Unix(1000, 0), engines: engineFleet(engineCount)}
	f.SharedView = NewSharedView(SharedViewOptions{Seed: 1, Now: func() time.Time { return f.now }})
	return f
}

// report sends a message of the entry with a load.
func (f *viewFixture) report(entry string, load ...EngineLoad) {
	f.sequence++
	f.Update(entry, 1, f.sequence, load, nil, nil)
}

// query returns a query of the entry from the zone of the first engine.
func (f *viewFixture) query(entry string) SharedQuery {
	return SharedQuery{RelayQuery: draftQuery(f.engines), Entry: entry, AvailabilityZone: "a"}
}

// place returns the engine of a query.
func (f *viewFixture) place(t *testing.T, query SharedQuery) *directory.Target {
	t.Helper()
	engine, ticket, _, ok := f.Place(query)
	if !ok || ticket == 0 {
		t.Fatal("no engine")
	}
	return engine
}

func loadOf(engine *directory.Target, streams int, prefill, resident float64) EngineLoad {
	return EngineLoad{ID: engine.ID, Address: engine.Address, Streams: streams, PrefillTokens: prefill, ResidentTokens: resident}
}

func (f *viewFixture) usage(engine *directory.Target) engineUsage {
	if record := f.SharedView.engines[keyOf(engine)]; record != nil {
		return record.usage
	}
	return engineUsage{}
}

// Guards against sums that drift from the entries' latest states, whatever messages are lost, late, repeated or overtaken, and whichever
// entries restart, fall silent or don't list their tickets; and against memory that is kept of what no longer counts.
func TestSharedViewSumsTheLatestStates(t *testing.T) {
	type message struct {
		entry       string
		incarnation uint64
		sequence    int64
		load        []EngineLoad
		tickets     []uint64
	}
	type latestState struct {
		message
		at time.Time
	}
	type placement struct {
		entry string
		usage engineUsage
		at    time.Time
		key   engineKey
	}
	for seed := range uint64(20) {
		is := is.New(t)
		f := newViewFixture(12)
		random := rand.New(rand.NewPCG(seed, 1))
		states, reserved := map[string]latestState{}, map[uint64]placement{}
		sequences, incarnations := map[string]int64{}, map[string]uint64{}
		var sent []message
		for step := range 2000 {
			f.now = f.now.Add(time.Duration(random.IntN(60)) * time.Millisecond)
			entry := fmt.Sprint("entry-", random.IntN(6))
			switch random.IntN(12) {
			case 0: // a new incarnation, whose sequence begins again
				incarnations[entry]++
				sequences[entry] = 0
			case 1, 2, 3:
				query := f.query(entry)
				query.Request = fmt.Sprint("request-", step)
				engine, ticket, _, ok := f.Place(query)
				is.True(ok)
				reserved[ticket] = placement{entry, engineUsage{1, 5200, 5900, 0}, f.now, keyOf(engine)}
			case 4: // the entry falls silent
				f.now = f.now.Add(time.Duration(random.IntN(2000)) * time.Millisecond)
			default:
				sequences[entry]++
				m := message{entry, incarnations[entry], sequences[entry], nil, nil}
				for _, engine := range f.engines {
					if random.IntN(3) == 0 {
						load := loadOf(engine, random.IntN(4), float64(random.IntN(9000)), float64(random.IntN(40_000)))
						load.Lost, load.Refused = random.IntN(5) == 0, random.IntN(5) == 0
						m.load = append(m.load, load)
					}
				}
				for ticket := range reserved {
					if random.IntN(2) == 0 { // also those of other entries, which don't count
						m.tickets = append(m.tickets, ticket)
					}
				}
				sent = append(sent, m)
			}
			if len(sent) > 0 && random.IntN(8) > 0 {
				// The latest message, or an earlier one again. Others are never delivered.
				m := sent[max(0, len(sent)-1-random.IntN(3))]
				f.Update(m.entry, m.incarnation, m.sequence, m.load, nil, m.tickets)
				state, known := states[m.entry]
				if known && f.now.Sub(state.at) >= entryStateTTL {
					known = false
				}
				if !known || m.incarnation >= state.incarnation {
					for _, ticket := range m.tickets {
						if reserved[ticket].entry == m.entry {
							delete(reserved, ticket)
						}
					}
				}
				if !known || m.incarnation > state.incarnation || m.incarnation == state.incarnation && m.sequence > state.sequence {
					states[m.entry] = latestState{m, f.now}
				}
			}
			f.expire(f.now)
			want := map[engineKey]engineUsage{}
			add := func(key engineKey, part engineUsage) {
				sum := want[key]
				want[key] = engineUsage{
					sum.streams + part.streams, sum.prefillTokens + part.prefillTokens, sum.residentTokens + part.residentTokens, 0,
				}
			}
			for name, state := range states {
				if f.now.Sub(state.at) >= entryStateTTL {
					delete(states, name)
					continue
				}
				for i := range state.load {
					add(engineKey{state.load[i].ID, state.load[i].Address}, usageOf(&state.load[i]))
				}
			}
			for ticket, each := range reserved {
				if f.now.Sub(each.at) >= reservationTTL {
					delete(reserved, ticket)
					continue
				}
				add(each.key, each.usage)
			}
			for _, engine := range f.engines {
				is.Equal(f.usage(engine), want[keyOf(engine)])
			}
		}
		f.now = f.now.Add(paceTTL)
		f.listEngines(nil)
		f.expire(f.now)
		is.Equal(len(f.entries)+len(f.SharedView.engines)+len(f.reservations)+len(f.byRequest)+f.states+f.byAge.Len()+f.byReceipt.Len()+len(f.losses), 0)
	}
}

// Guards against many entries that choose the same idle engine at once, before any of them has reported its stream.
func TestReservationsSpreadStreams(t *testing.T) {
	is := is.New(t)
	f := newViewFixture(6)
	used := map[string]int{}
	for i := range 6 {
		used[f.place(t, f.query(fmt.Sprint("entry-", i))).ID]++
	}
	is.Equal(len(used), 6)
}

// Guards against a stream that is counted twice because its request arrived twice, and against a request that is sent again to an engine
// which it excludes.
func TestARepeatedRequestGetsTheSameAnswer(t *testing.T) {
	is := is.New(t)
	f := newViewFixture(6)
	query := f.query("entry-1")
	query.Request = "request-1"
	engine, ticket, wait, _ := f.Place(query)
	for range 5 {
		again, sameTicket, sameWait, ok := f.Place(query)
		is.True(ok)
		is.Equal(again, engine)
		is.Equal(sameTicket, ticket)
		is.Equal(sameWait, wait)
	}
	other := query
	other.Entry = "entry-2" // requests of two entries may have the same ID
	is.True(f.place(t, other) != engine)
	query.Exclude = []string{engine.ID}
	is.True(f.place(t, query) != engine)
	is.Equal(f.usage(engine).streams, 0)
	is.Equal(f.byAge.Len(), 2)
}

// Guards against an engine that all entries try one after the other, each finding out by itself that it was lost or takes no work.
func TestSharedViewAvoidsEnginesThatFailed(t *testing.T) {
	is := is.New(t)
	f := newViewFixture(2) // in the zones a and b
	lost := loadOf(f.engines[0], 0, 0, 0)
	lost.Lost = true
	f.report("entry-1", lost)
	is.Equal(f.place(t, f.query("entry-2")), f.engines[1])
	f.now = f.now.Add(lossAvoidance)
	is.Equal(f.place(t, f.query("entry-2")), f.engines[0]) // the entry that lost it may be gone itself
	f = newViewFixture(2)
	f.report("entry-1", lost)
	lost.Lost = false
	f.report("entry-1", lost)
	is.Equal(f.place(t, f.query("entry-2")), f.engines[0]) // it is alive again
	f = newViewFixture(2)
	refused := loadOf(f.engines[0], 0, 0, 0)
	refused.Refused = true
	f.report("entry-1", refused)
	is.Equal(f.place(t, f.query("entry-2")), f.engines[1])
	f.now = f.now.Add(refusalAvoidance)
	f.report("entry-1", refused) // of the same refusal
	is.Equal(f.place(t, f.query("entry-2")), f.engines[0])
}

// Guards against streams at a zone that is being lost, against a zone that all entries avoid because one of them has lost its links, and against
// single crashes that pass for the loss of a zone.
func TestZonesAreSuspectedBySeveralEntries(t *testing.T) {
	is := is.New(t)
	lost := func(f *viewFixture, entry string, indices ...int) {
		var load []EngineLoad
		for _, i := range indices {
			each := loadOf(f.engines[i], 0, 0, 0)
			each.Lost = true
			load = append(load, each)
		}
		f.report(entry, load...)
	}
	zoneOf := func(f *viewFixture, entry string) string { return f.place(t, f.query(entry)).AvailabilityZone }
	f := newViewFixture(24) // 8 in each zone
	zoneOf(f, "entry-9")
	lost(f, "entry-1", 0)
	lost(f, "entry-2", 0)
	is.Equal(zoneOf(f, "entry-9"), "a") // both saw the same crash
	lost(f, "entry-2", 0, 3)
	for range 5 {
		is.True(zoneOf(f, "entry-9") != "a")
	}
	f.now = f.now.Add(zoneLossWindow + time.Millisecond)
	f.report("entry-1")
	f.report("entry-2")
	is.Equal(zoneOf(f, "entry-9"), "a")

	f = newViewFixture(24)
	zoneOf(f, "entry-9")
	lost(f, "entry-1", 0, 3, 6, 9)
	is.Equal(zoneOf(f, "entry-9"), "a")
	is.True(zoneOf(f, "entry-1") != "a") // its own links are lost, perhaps

	f = newViewFixture(300) // 100 in each zone: five crashes within a second
	zoneOf(f, "entry-9")
	for i := range 4 {
		lost(f, fmt.Sprint("entry-", i), 3*i)
	}
	is.Equal(zoneOf(f, "entry-9"), "a")
	lost(f, "entry-4", 12)
	is.True(zoneOf(f, "entry-9") != "a")
}

// Guards against a coordinator that places all streams in its own zone, or away from the engine that has a prompt cached.
func TestSharedViewMeasuresFromTheEntry(t *testing.T) {
	is := is.New(t)
	f := newViewFixture(24)
	for _, zone := range placementZones {
		query := f.query("entry-1")
		query.AvailabilityZone = zone
		is.Equal(f.place(t, query).AvailabilityZone, zone)
		query.CachedAt = f.engines[10].ID
		is.Equal(f.place(t, query), f.engines[10])
	}
	query := f.query("entry-1")
	query.Exclude = nil
	for _, engine := range f.engines {
		query.Exclude = append(query.Exclude, engine.ID)
	}
	_, _, _, ok := f.Place(query)
	is.True(!ok)
	is.True(!f.HasRoom(query))
}

// Guards against streams at an engine that is slow, which no single entry has enough streams to notice soon.
func TestSharedViewTakesThePacesOfAllEntries(t *testing.T) {
	is := is.New(t)
	f := newViewFixture(6)
	for entry := range 30 {
		var samples []PaceSample
		for i, engine := range f.engines {
			gap := 30 * time.Millisecond
			if i == 0 {
				gap = 150 * time.Millisecond
			}
			samples = append(samples, PaceSample{ID: engine.ID, Address: engine.Address, Gap: gap})
		}
		f.Update(fmt.Sprint("entry-", entry), 1, 1, nil, samples, nil)
		f.Update(fmt.Sprint("entry-", entry), 1, 1, nil, []PaceSample{{ID: f.engines[1].ID, Address: f.engines[1].Address, Gap: time.Hour}}, nil)
	}
	is.True(f.paces.slowness(keyOf(f.engines[0]), f.now) > 3)
	is.True(f.paces.slowness(keyOf(f.engines[1]), f.now) < 1) // a repeated message adds nothing
	for range 5 {
		is.True(f.place(t, f.query("entry-1")) != f.engines[0])
	}
	f.now = f.now.Add(paceTTL + time.Second)
	f.expire(f.now)
	is.Equal(len(f.paces.engines), 0)
}

// Guards against streams that are sent to engines where they begin late, find no slot, or have another stream preempted, and against
// streams that wait while an engine has room.
func TestRoomFollowsTheRequirement(t *testing.T) {
	spec := directory.EngineSpec{MemoryTokens: 55_000, Slots: 12}
	// A prompt of 5,200 tokens takes 1.04 s.
	for _, each := range []struct {
		name   string
		load   EngineLoad
		change func(f *viewFixture, query *SharedQuery)
		room   bool
	}{
		{name: "idle", room: true},
		{name: "half a prompt in progress", load: EngineLoad{Streams: 1, PrefillTokens: 2600}, room: true},
		{name: "one prompt in progress", load: EngineLoad{Streams: 1, PrefillTokens: 5200}},
		{name: "the limit of the wait", load: EngineLoad{Streams: 2, PrefillTokens: 1.6*5000 - 5200}, room: true},
		{name: "above the limit of the wait", load: EngineLoad{Streams: 2, PrefillTokens: 1.6*5000 - 5199}},
		{name: "objective below the limit", load: EngineLoad{Streams: 1, PrefillTokens: 2600}, change: func(_ *viewFixture, query *SharedQuery) {
			query.Objective = 1500 * time.Millisecond
		}},
		{name: "objective above the limit", load: EngineLoad{Streams: 1, PrefillTokens: 10_000}, change: func(_ *viewFixture, query *SharedQuery) {
			query.Objective = 10 * time.Second
		}},
		{name: "objective of the relay's query", load: EngineLoad{Streams: 1, PrefillTokens: 2600}, change: func(_ *viewFixture, query *SharedQuery) {
			query.RelayQuery.Objective = 1500 * time.Millisecond
		}},
		{name: "cached prompt", load: EngineLoad{Streams: 2, PrefillTokens: 7800}, change: func(f *viewFixture, query *SharedQuery) {
			query.CachedAt = f.engines[0].ID
		}, room: true},
		{name: "a free slot", load: EngineLoad{Streams: 11, ResidentTokens: 11_000}, room: true},
		{name: "no slot", load: EngineLoad{Streams: 12, ResidentTokens: 12_000}},
		{name: "slots of the engine", load: EngineLoad{Streams: 3, ResidentTokens: 3000}, change: func(f *viewFixture, _ *SharedQuery) {
			f.engines[0].Slots = 3
		}},
		{name: "KV cache 0.9 full", load: EngineLoad{Streams: 5, ResidentTokens: 30_000, CopyTokens: 2 * (0.9*55_000 - 35_550)}, room: true},
		{name: "KV cache more than 0.9 full", load: EngineLoad{Streams: 5, ResidentTokens: 30_000, CopyTokens: 2*(0.9*55_000-35_550) + 2}},
		{name: "lost", load: EngineLoad{Lost: true}},
		{name: "refused", load: EngineLoad{Refused: true}},
		{name: "long prompt, idle", change: func(_ *viewFixture, query *SharedQuery) { query.Size.Prompt = 60_000 }, room: true},
		{name: "long prompt, another in progress", load: EngineLoad{Streams: 1, PrefillTokens: 40_000}, change: func(_ *viewFixture, query *SharedQuery) {
			query.Size.Prompt = 20_000
		}},
		{name: "long prompt, a little in progress", load: EngineLoad{Streams: 1, PrefillTokens: 500}, change: func(_ *viewFixture, query *SharedQuery) {
			query.Size.Prompt = 20_000
		}},
		{name: "prompt of 1.4 s, above the limit of the wait", load: EngineLoad{Streams: 1, PrefillTokens: 1001}, change: func(_ *viewFixture, query *SharedQuery) {
			query.Size.Prompt = 7000
		}},
		{name: "prompt of 1.4 s, within the limit of the wait", load: EngineLoad{Streams: 1, PrefillTokens: 1000}, change: func(_ *viewFixture, query *SharedQuery) {
			query.Size.Prompt = 7000
		}, room: true},
		{name: "prompt near the objective", load: EngineLoad{Streams: 1, PrefillTokens: 801}, change: func(_ *viewFixture, query *SharedQuery) {
			query.Objective = 1200 * time.Millisecond
		}},
		{name: "slow", load: EngineLoad{Streams: 1, PrefillTokens: 2600}, change: func(f *viewFixture, _ *SharedQuery) {
			for range 50 {
				f.paces.observe(engineKey{id: "other"}, "", 30*time.Millisecond, f.now)
			}
			f.paces.observe(keyOf(f.engines[0]), "", 45*time.Millisecond, f.now)
		}},
	} {
		t.Run(each.name, func(t *testing.T) {
			is := is.New(t)
			f := newViewFixture(1)
			each.load.ID, each.load.Address = f.engines[0].ID, f.engines[0].Address
			f.report("entry-1", each.load)
			query := f.query("entry-2")
			query.Spec = &spec
			if each.change != nil {
				each.change(f, &query)
			}
			is.Equal(f.HasRoom(query), each.room)
			_, _, wait, ok := f.Place(query)
			is.True(ok) // a stream in progress is placed without room
			is.True(wait >= 0)
		})
	}
}

// Guards against a stream without room that another engine has, although it costs more: the queue took that room for free.
func TestEnginesWithRoomArePreferred(t *testing.T) {
	is := is.New(t)
	f := newViewFixture(2)
	f.report("entry-1", loadOf(f.engines[0], 2, 8000, 11_800), loadOf(f.engines[1], 6, 0, 35_400))
	query := f.query("entry-2")
	is.True(f.HasRoom(query))
	engine, _, wait, _ := f.Place(query)
	is.Equal(engine, f.engines[1])
	is.Equal(wait, 1040*time.Millisecond)
}

// Guards against a peer whose messages take all memory, or make sums that no later message corrects.
func TestSharedViewLimitsWhatItKeeps(t *testing.T) {
	is := is.New(t)
	f := newViewFixture(3)
	f.report("entry-1",
		loadOf(f.engines[0], -5, math.NaN(), math.Inf(1)), loadOf(f.engines[0], 1, 1, 1), // the engine twice
		loadOf(f.engines[1], math.MaxInt, math.Inf(-1), math.MaxFloat64),
	)
	is.Equal(f.usage(f.engines[0]), engineUsage{0, 0, maxLoadTokens, 0})
	is.Equal(f.usage(f.engines[1]), engineUsage{maxLoadStreams, 0, maxLoadTokens, 0})
	f.report("entry-1")
	is.Equal(len(f.SharedView.engines), 0)

	samples := make([]PaceSample, 3*maxPaceSamples)
	var load []EngineLoad
	for i := range 100 {
		load = append(load, EngineLoad{ID: fmt.Sprint("engine-", i), Streams: 1, Lost: true})
	}
	for i := range maxSharedEntries + 100 {
		for k := range samples {
			samples[k] = PaceSample{ID: fmt.Sprint("engine-", i, "-", k), Gap: time.Second}
		}
		for k := range load {
			load[k].Address = fmt.Sprint(i % 400)
		}
		f.Update(fmt.Sprint("entry-", i), 1, 1, load, samples, nil)
		f.place(t, f.query(fmt.Sprint("entry-", i)))
	}
	for i := range maxSharedReservations + 100 {
		query := f.query("entry-1")
		query.Request = fmt.Sprint("request-", i)
		f.place(t, query)
	}
	is.Equal(len(f.entries), maxSharedEntries)
	is.Equal(f.states, maxSharedStates)
	is.True(len(f.SharedView.engines) <= maxSharedEngines+len(f.engines))
	is.Equal(len(f.paces.engines), maxSharedEngines)
	is.Equal(len(f.reservations), maxSharedReservations)
	is.True(len(f.byRequest) <= maxSharedReservations)
	is.Equal(len(f.losses), maxSharedLosses)
}

// Guards against reports that leave out streams, copies or failures, or that never stop naming them.
func TestLoadReportsStreamsCopiesAndFailures(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := NewPlacement(PlacementOptions{AvailabilityZone: "a", Now: func() time.Time { return now }})
	engines := engineFleet(6)
	for i, engine := range engines {
		engine.Service = "model"
		if i == 5 {
			engine.Service = "other"
		}
	}
	stream := p.AddStream(engines[1], draftSize, 5200)
	p.AddStream(engines[5], draftSize, 5200)
	release := p.AddCopy(engines[2], draftSize)
	p.ReportLost(engines[3])
	p.ReportRefused(engines[0])
	identity := func(i int) EngineLoad { return loadOf(engines[i], 0, 0, 0) }
	refused, prefilling, copied, lost := identity(0), identity(1), identity(2), identity(3)
	refused.Refused = true
	prefilling.Streams, prefilling.PrefillTokens, prefilling.ResidentTokens = 1, 5200, 5900
	copied.CopyTokens = 5900
	lost.Lost = true
	is.Equal(p.Load("model"), []EngineLoad{refused, prefilling, copied, lost})
	is.Equal(len(p.Load("other")), 1)
	stream.EventArrived()
	prefilling.PrefillTokens = 0
	now = now.Add(lossAvoidance - time.Millisecond)
	is.Equal(p.Load("model"), []EngineLoad{refused, prefilling, copied, lost})
	p.ReportAlive(engines[3])
	now = now.Add(time.Millisecond)
	is.Equal(p.Load("model"), []EngineLoad{prefilling, copied})
	stream.Ended()
	release()
	p.Sweep()
	is.Equal(len(p.Load("model")), 0)
	is.Equal(len(p.refusals), 0)
}

// Guards against samples of engines of another service, against old samples that pass for the pace of today, and against samples that pile up
// while no coordinator takes them.
func TestPaceSamplesAreTheLatest(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := NewPlacement(PlacementOptions{AvailabilityZone: "a", Now: func() time.Time { return now }})
	engine := engineFleet(1)[0]
	engine.Service = "model"
	stream := p.AddStream(engine, draftSize, 5200)
	observe := func(count int, gap time.Duration) {
		for range count * paceWindow {
			now = now.Add(gap)
			stream.EventArrived()
		}
	}
	stream.EventArrived()
	observe(10, 3*time.Millisecond)
	observe(maxPaceSamples, 2*time.Millisecond)
	is.Equal(len(p.TakePaceSamples("other")), 0)
	samples := p.TakePaceSamples("model")
	is.Equal(len(samples), maxPaceSamples)
	for _, sample := range samples {
		is.Equal(sample, PaceSample{engine.ID, engine.Address, "model", 2 * time.Millisecond})
	}
	is.Equal(len(p.TakePaceSamples("model")), 0)
	observe(1, 2*time.Millisecond)
	now = now.Add(paceSampleTTL)
	observe(1, 4*time.Millisecond)
	is.Equal(len(p.TakePaceSamples("model")), 1)
	observe(1, 2*time.Millisecond)
	now = now.Add(paceSampleTTL + time.Millisecond)
	p.Sweep()
	is.Equal(len(p.paceSamples), 0)
}

// BenchmarkSharedPlace measures one placement with the report of its entry, at a fleet where all engines have streams and paces of some
// entries.
func BenchmarkSharedPlace(b *testing.B) {
	for _, size := range []struct{ entries, engines int }{{84, 120}, {83, 280}, {300, 1000}} {
		b.Run(fmt.Sprintf("engines=%d", size.engines), func(b *testing.B) {
			f := newViewFixture(size.engines)
			random := rand.New(rand.NewPCG(1, 1))
			loads := make([][]EngineLoad, size.entries)
			samples := make([][]PaceSample, size.entries)
			names := make([]string, size.entries)
			for i := range names {
				names[i] = fmt.Sprint("entry-", i)
				for range 3 * size.engines / size.entries {
					engine := f.engines[random.IntN(size.engines)]
					loads[i] = append(loads[i], loadOf(engine, 1, 0, 5900))
					samples[i] = append(samples[i], PaceSample{ID: engine.ID, Address: engine.Address, Gap: 30 * time.Millisecond})
				}
				f.Update(names[i], 1, 0, loads[i], samples[i], nil)
			}
			query := f.query("")
			query.Affinity = "prompt"
			var tickets []uint64
			sequence := int64(0)
			b.ReportAllocs()
			for b.Loop() {
				sequence++
				entry := int(sequence) % size.entries
				f.now = f.now.Add(time.Millisecond)
				query.Entry, query.Request = names[entry], fmt.Sprint(sequence)
				f.Update(names[entry], 1, sequence, loads[entry], samples[entry][:1], tickets)
				_, ticket, _, _ := f.Place(query)
				tickets = append(tickets[:0], ticket)
			}
		})
	}
}

// Guards against broken streams that are all placed at engines which were lost with them, since these have no load, while the others are
// busy: each would be refused a dozen times and cut off.
func TestSharedViewPrefersBusyEnginesToLostOnes(t *testing.T) {
	is := is.New(t)
	f := newViewFixture(30)
	var busy []EngineLoad
	for _, engine := range f.engines[10:] {
		busy = append(busy, loadOf(engine, 9, 10_000, 54_000))
	}
	f.report("entry-1", busy...)
	var lost []EngineLoad
	for _, engine := range f.engines[:10] {
		load := loadOf(engine, 0, 0, 0)
		load.Lost = true
		lost = append(lost, load)
	}
	f.report("entry-2", lost...)
	for i := range 40 {
		query := f.query(fmt.Sprint("entry-", 3+i%20))
		query.Request = fmt.Sprint("r", i)
		is.True(slices.Index(f.engines, f.place(t, query)) >= 10)
	}
	// Where all are lost, one of them may be back.
	query := f.query("entry-3")
	query.Engines = f.engines[:10]
	f.place(t, query)
}
