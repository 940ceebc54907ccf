package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/membership"
)

const (
	// modelAnswerTimeout is the time after which an entry without an answer places a stream by itself.
	modelAnswerTimeout = 60 * time.Millisecond
	// A report is sent on a change, at most every modelReportInterval, and every modelIdleInterval without one.
	modelReportInterval = 150 * time.Millisecond
	modelIdleInterval   = time.Second
	// modelTicketTime is how long an entry lists a ticket.
	modelTicketTime = 1500 * time.Millisecond
)

// messageFaults describes what happens to messages between entries besides a delay of 2 to 10 ms.
type messageFaults struct {
	// late and repeated are the shares of messages that take up to 500 ms more, and that arrive a second time up to 500 ms later.
	late, repeated float64
}

// coordinators describes the coordinators of a run: one at all times by default.
type coordinators struct {
	// two is set if half of the entries ask another one.
	two bool
	// restart is set if all lose their state halfway.
	restart bool
}

// coordinatedPlacer has the entries ask a SharedView by messages.
type coordinatedPlacer struct {
	run *streamRun
	coordinators
	// views are those of the coordinators, which the entries ask in turn.
	views   []*SharedView
	entries []*coordinatedEntry
	random  *rand.Rand
	faults  messageFaults
	pending []delivery
	// placed and fallbacks count the streams that the view placed, and those whose answers were late.
	placed, fallbacks int
}

type coordinatedEntry struct {
	sequence   int64
	dirty      bool
	streams    int
	lastReport time.Time
	tickets    []uint64
	ticketsAt  []time.Time
}

// delivery is a message in flight.
type delivery struct {
	at  time.Time
	run func(at time.Time)
}

// coordinated returns a placer constructor whose messages have the faults.
func coordinated(faults messageFaults) func(*streamRun) streamPlacer {
	return func(run *streamRun) streamPlacer { return newCoordinatedPlacer(run, faults, coordinators{}) }
}

func newCoordinatedPlacer(run *streamRun, faults messageFaults, by coordinators) *coordinatedPlacer {
	p := &coordinatedPlacer{run: run, coordinators: by, faults: faults, random: rand.New(rand.NewPCG(run.seed, 9))}
	p.startViews()
	for range run.all {
		p.entries = append(p.entries, &coordinatedEntry{})
	}
	return p
}

// startViews starts the coordinators without any state.
func (p *coordinatedPlacer) startViews() {
	p.views = nil
	for i := range 2 {
		if i == 0 || p.two {
			options := SharedViewOptions{Model: p.run.model, Seed: p.run.seed + uint64(i), Now: func() time.Time { return p.run.now }}
			p.views = append(p.views, NewSharedView(options))
		}
	}
}

// view returns that of the coordinator which the entry asks.
func (p *coordinatedPlacer) view(entry int) *SharedView { return p.views[entry%len(p.views)] }

// send delivers a message that is sent at the time.
func (p *coordinatedPlacer) send(at time.Time, deliver func(at time.Time)) {
	deliverAfter := func(added time.Duration) {
		delay := 2*time.Millisecond + time.Duration(p.random.Int64N(int64(8*time.Millisecond)))
		p.pending = append(p.pending, delivery{at.Add(delay + added), deliver})
	}
	extra := func() time.Duration { return time.Duration(p.random.Int64N(int64(500 * time.Millisecond))) }
	if p.random.Float64() < p.faults.late {
		deliverAfter(extra())
	} else {
		deliverAfter(0)
	}
	if p.random.Float64() < p.faults.repeated {
		deliverAfter(extra())
	}
}

// report returns a message with the entry's state.
func (p *coordinatedPlacer) report(index int) (update func()) {
	entry, chooser := p.entries[index], p.run.choosers[index]
	for len(entry.ticketsAt) > 0 && p.run.now.Sub(entry.ticketsAt[0]) > modelTicketTime {
		entry.tickets, entry.ticketsAt = entry.tickets[1:], entry.ticketsAt[1:]
	}
	entry.sequence++
	entry.dirty, entry.lastReport = false, p.run.now
	name, sequence, tickets := p.run.all[index].Name, entry.sequence, slices.Clone(entry.tickets)
	load, samples := chooser.Load(""), chooser.TakePaceSamples("")
	return func() { p.view(index).Update(name, 1, sequence, load, samples, tickets) }
}

// place implements streamPlacer.
func (p *coordinatedPlacer) place(index int, query generation.RelayQuery, start func(*directory.Target)) {
	entry, self, sent := p.entries[index], p.run.all[index], p.run.now
	startAtLive := start
	start = func(engine *directory.Target) {
		if !p.run.entryLost(index) {
			startAtLive(engine)
		}
	}
	update := p.report(index)
	query.Request = fmt.Sprint("request-", entry.sequence)
	answered := false
	p.send(sent, func(at time.Time) {
		update()
		engine, ticket, _, ok := p.view(index).Place(SharedQuery{RelayQuery: query, Entry: self.Name, AvailabilityZone: self.AvailabilityZone})
		p.send(at, func(time.Time) {
			if !ok || slices.Contains(entry.tickets, ticket) {
				return
			}
			// The ticket of a late answer is listed as well: the entry has placed the stream elsewhere.
			entry.tickets, entry.ticketsAt = append(entry.tickets, ticket), append(entry.ticketsAt, p.run.now)
			if answered {
				return
			}
			answered = true
			p.placed++
			start(engine)
		})
	})
	p.pending = append(p.pending, delivery{sent.Add(modelAnswerTimeout), func(time.Time) {
		if !answered {
			answered = true
			p.fallbacks++
			start(p.run.choosers[index].Place(query))
		}
	}})
}

// tick implements streamPlacer: it delivers messages and sends reports.
func (p *coordinatedPlacer) tick() {
	if p.restart && p.run.now.Sub(p.run.begin) == modelLength/2 {
		p.startViews()
	}
	for {
		slices.SortStableFunc(p.pending, func(a, b delivery) int { return a.at.Compare(b.at) })
		if len(p.pending) == 0 || p.pending[0].at.After(p.run.now) {
			break
		}
		first := p.pending[0]
		p.pending = p.pending[1:]
		first.run(first.at)
	}
	for i, entry := range p.entries {
		if !entry.dirty && entry.streams == 0 || p.run.entryLost(i) {
			continue
		}
		since := p.run.now.Sub(entry.lastReport)
		if since >= modelReportInterval && entry.dirty || since >= modelIdleInterval && entry.streams > 0 {
			update := p.report(i)
			p.send(p.run.now, func(time.Time) { update() })
		}
	}
}

// engineLost implements streamPlacer.
func (p *coordinatedPlacer) engineLost(entry int) { p.entries[entry].dirty = true }

// track implements streamPlacer.
func (p *coordinatedPlacer) track(index int, placed generation.PlacedStream) generation.PlacedStream {
	entry := p.entries[index]
	entry.streams++
	entry.dirty = true
	return &trackedStream{PlacedStream: placed, entry: entry}
}

// trackedStream has its entry report when the stream changes.
type trackedStream struct {
	generation.PlacedStream
	entry     *coordinatedEntry
	prefilled bool
}

func (s *trackedStream) EventArrived() {
	s.entry.dirty = s.entry.dirty || !s.prefilled
	s.prefilled = true
	s.PlacedStream.EventArrived()
}

func (s *trackedStream) Ended() {
	s.entry.streams--
	s.entry.dirty = true
	s.PlacedStream.Ended()
}

// singlePlacer has all entries share one Placement without any delay: the best that shared placement can do.
type singlePlacer struct {
	localPlacer
	single *Placement
}

func newSinglePlacer(run *streamRun) streamPlacer {
	self := run.all[:1]
	single := NewPlacement(PlacementOptions{
		AvailabilityZone: self[0].AvailabilityZone, Seed: run.seed, Model: run.model, Now: func() time.Time { return run.now },
		Entries: func() (membership.Peer, []membership.Peer) { return self[0], self },
	})
	for i := range run.choosers {
		run.choosers[i] = single
	}
	return singlePlacer{localPlacer{run.choosers}, single}
}

// sharedFleet is a fleet for which shared placement is compared with today's. Small fleets need more seeds for as many streams.
type sharedFleet struct {
	modelledFleet
	seeds uint64
}

var sharedFleets = []sharedFleet{
	{modelledFleet{30, 60, 16}, 6}, {modelledFleet{84, 120, 35}, 2}, {modelledFleet{195, 248, 60}, 1}, {modelledFleet{300, 400, 105}, 1},
}

// playedLoad is what several runs of a load gave: the sorted times of the streams, and the attempts at engines that had crashed.
type playedLoad struct {
	times  []time.Duration
	wasted int
}

// play plays the load on the fleet, at a share of its rate.
func (f sharedFleet) play(load streamLoad, rateShare float64, newPlacer func(*streamRun) streamPlacer) (played playedLoad) {
	load.entries, load.engines, load.perSecond, load.model = f.entries, f.engines, f.perSecond*rateShare, DefaultPlacementModel
	load.newPlacer = newPlacer
	for load.seed = range f.seeds {
		run := load.simulate()
		played.times = append(played.times, run.times...)
		played.wasted += run.wasted
	}
	slices.Sort(played.times)
	return played
}

// references plays the load with today's placement and with one Placement for all entries. Results are kept: several tests use them.
func (f sharedFleet) references(load streamLoad, rateShare float64) (local, single playedLoad) {
	key := referenceKey{f, rateShare, load.crashes, load.lostEntries}
	kept, known := keptReferences[key]
	if !known || load.speedOf != nil {
		kept = [2]playedLoad{f.play(load, rateShare, nil), f.play(load, rateShare, newSinglePlacer)}
	}
	if load.speedOf == nil {
		keptReferences[key] = kept
	}
	return kept[0], kept[1]
}

// referenceKey identifies a load without speeds on a fleet.
type referenceKey struct {
	fleet       sharedFleet
	rateShare   float64
	crashes     bool
	lostEntries int
}

var keptReferences = map[referenceKey][2]playedLoad{}

// checkSharedGain checks that entries that ask a coordinator have at most as large a share of streams over each limit as allows for a quarter
// of what knowing all streams at once gains over entries that choose by themselves, and for the share of the streams that entries placed by
// themselves since no answer came in time.
func checkSharedGain(t *testing.T, local, shared, single playedLoad, fallbackShare float64) {
	t.Helper()
	is := is.New(t)
	for _, limit := range []time.Duration{8 * time.Second, 10 * time.Second} {
		byLocal, byShared, bySingle := shareOver(local.times, limit), shareOver(shared.times, limit), shareOver(single.times, limit)
		t.Logf("of %d streams %.3f take over %v, %.3f by today's placement, %.3f by one Placement for all",
			len(shared.times), byShared, limit, byLocal, bySingle)
		is.True(byShared < byLocal)
		is.True(byShared <= bySingle+(byLocal-bySingle)*(0.25+fallbackShare))
	}
}

// Guards against a coordinator whose knowledge comes too late, or is counted twice, for a choice that is better than that of entries which
// know their own streams alone.
func TestSharedPlacementKeepsStreamsApart(t *testing.T) {
	loads := []struct {
		name      string
		load      streamLoad
		rateShare float64
	}{
		{"lost zone", streamLoad{}, 1},
		{"speeds", streamLoad{speedOf: func(engine int, _ time.Duration) float64 {
			return []float64{0.6, 1, 1.6}[engine*7%10%3]
		}}, 0.55},
		{"slower for 12 s", streamLoad{speedOf: func(engine int, at time.Duration) float64 {
			if engine*7%5 < 2 && at > 6*time.Second && at < 18*time.Second {
				return 0.2
			}
			return 1
		}}, 0.4},
	}
	for _, each := range loads {
		for _, fleet := range sharedFleets {
			t.Run(fmt.Sprintf("%s/%d entries", each.name, fleet.entries), func(t *testing.T) {
				local, single := fleet.references(each.load, each.rateShare)
				checkSharedGain(t, local, fleet.play(each.load, each.rateShare, coordinated(messageFaults{})), single, 0)
			})
		}
	}
}

// Guards against streams that are placed again and again at the engines of a zone that crashed, which the directory still lists, because the
// coordinator doesn't learn from the entries that noticed.
func TestSharedPlacementAvoidsAZoneThatCrashed(t *testing.T) {
	for _, fleet := range sharedFleets[:3] {
		t.Run(fmt.Sprintf("%d entries", fleet.entries), func(t *testing.T) {
			is := is.New(t)
			load := streamLoad{crashes: true}
			local, single := fleet.references(load, 1)
			shared := fleet.play(load, 1, coordinated(messageFaults{}))
			checkSharedGain(t, local, shared, single, 0)
			t.Logf("%d attempts at engines that had crashed, %d by today's placement", shared.wasted, local.wasted)
			is.True(shared.wasted < local.wasted)
		})
	}
}

// Guards against states that go back in time, and streams that are counted twice or for ever, when messages are late, repeated or overtaken, or
// when an entry is lost with its streams.
func TestSharedPlacementBearsFaultsOfMessagesAndEntries(t *testing.T) {
	fleet := sharedFleets[1]
	for _, each := range []struct {
		name   string
		load   streamLoad
		faults messageFaults
	}{
		{"messages", streamLoad{}, messageFaults{late: 0.1, repeated: 0.1}},
		{"entries", streamLoad{lostEntries: 28}, messageFaults{}},
		{"both", streamLoad{lostEntries: 28}, messageFaults{late: 0.1, repeated: 0.1}},
	} {
		t.Run(each.name, func(t *testing.T) {
			is := is.New(t)
			var placers []*coordinatedPlacer
			newPlacer := func(run *streamRun) streamPlacer {
				placers = append(placers, newCoordinatedPlacer(run, each.faults, coordinators{}))
				return placers[len(placers)-1]
			}
			local, single := fleet.references(each.load, 1)
			shared := fleet.play(each.load, 1, newPlacer)
			placed, fallbacks := 0, 0
			for _, p := range placers {
				placed += p.placed
				fallbacks += p.fallbacks
			}
			t.Logf("%d placed by the coordinator, %d by entries since the answer was late", placed, fallbacks)
			checkSharedGain(t, local, shared, single, float64(fallbacks)/float64(placed+fallbacks))
			for _, p := range placers {
				is.True(p.placed > 0)
				is.Equal(p.fallbacks > 0, each.faults.late > 0)
				p.run.now = p.run.now.Add(entryStateTTL)
				view := p.views[0]
				view.expire(p.run.now)
				is.Equal(len(view.entries)+len(view.reservations)+view.states, 0)
				is.Equal(len(view.engines), len(view.records)) // those of the latest query alone
				for _, engine := range view.records {
					is.Equal(engine.usage, engineUsage{})
				}
			}
		})
	}
}

// Guards against a coordinator that does harm while it knows little: it has just started, or another one decides for half of the entries.
func TestCoordinatorsThatKnowLittleDoNoHarm(t *testing.T) {
	fleet := sharedFleets[1]
	for name, by := range map[string]coordinators{"two": {two: true}, "restarted": {restart: true}, "two, restarted": {two: true, restart: true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			newPlacer := func(run *streamRun) streamPlacer { return newCoordinatedPlacer(run, messageFaults{}, by) }
			local, single := fleet.references(streamLoad{}, 1)
			shared := fleet.play(streamLoad{}, 1, newPlacer)
			for _, limit := range []time.Duration{8 * time.Second, 10 * time.Second} {
				byLocal, byShared := shareOver(local.times, limit), shareOver(shared.times, limit)
				t.Logf("of %d streams %.3f take over %v, %.3f by today's placement", len(shared.times), byShared, limit, byLocal)
				is.True(byShared < byLocal)
			}
			if !by.two {
				checkSharedGain(t, local, shared, single, 0)
			}
		})
	}
}
