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

// coordinatedPlacer has the entries ask a SharedView by messages.
type coordinatedPlacer struct {
	run     *streamRun
	view    *SharedView
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

// delivery is a message on its way.
type delivery struct {
	at  time.Time
	run func(at time.Time)
}

// coordinated returns a placer constructor whose messages have the faults.
func coordinated(faults messageFaults) func(*streamRun) streamPlacer {
	return func(run *streamRun) streamPlacer { return newCoordinatedPlacer(run, faults) }
}

func newCoordinatedPlacer(run *streamRun, faults messageFaults) *coordinatedPlacer {
	p := &coordinatedPlacer{
		run: run, faults: faults, random: rand.New(rand.NewPCG(run.seed, 9)),
		view: NewSharedView(SharedViewOptions{Model: run.model, Seed: run.seed, Now: func() time.Time { return run.now }}),
	}
	for range run.live {
		p.entries = append(p.entries, &coordinatedEntry{})
	}
	return p
}

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
	name, sequence, tickets := p.run.live[index].Name, entry.sequence, slices.Clone(entry.tickets)
	load, samples := chooser.Load(""), chooser.TakePaceSamples("")
	return func() { p.view.Update(name, 1, sequence, load, samples, tickets) }
}

// place implements streamPlacer.
func (p *coordinatedPlacer) place(index int, query generation.RelayQuery, start func(*directory.Target)) {
	entry, self, sent := p.entries[index], p.run.live[index], p.run.now
	update := p.report(index)
	answered := false
	p.send(sent, func(at time.Time) {
		update()
		engine, ticket, _, ok := p.view.Place(SharedQuery{RelayQuery: query, Entry: self.Name, AvailabilityZone: self.AvailabilityZone})
		p.send(at, func(time.Time) {
			if answered || !ok {
				return
			}
			answered = true
			p.placed++
			entry.tickets, entry.ticketsAt = append(entry.tickets, ticket), append(entry.ticketsAt, p.run.now)
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
		since := p.run.now.Sub(entry.lastReport)
		if entry.dirty && since >= modelReportInterval || entry.streams > 0 && since >= modelIdleInterval {
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
	self := run.live[:1]
	single := NewPlacement(PlacementOptions{
		AvailabilityZone: self[0].AvailabilityZone, Seed: run.seed, Model: run.model, Now: func() time.Time { return run.now },
		Entries: func() (membership.Peer, []membership.Peer) { return self[0], self },
	})
	for i := range run.choosers {
		run.choosers[i] = single
	}
	return singlePlacer{localPlacer{run.choosers}, single}
}

// sharedFleets are the fleets for which shared placement is compared with today's.
var sharedFleets = []modelledFleet{{30, 60, 16}, {84, 120, 35}, {195, 248, 60}, {300, 400, 105}}

// sharedComparison holds the times of streams by what chooses their engines: entries by themselves, the view, or one Placement.
type sharedComparison struct{ local, shared, single []time.Duration }

// compareShared plays the load of the fleet with each placement.
func compareShared(fleet modelledFleet, load streamLoad) (comparison sharedComparison) {
	load.entries, load.engines, load.perSecond, load.model = fleet.entries, fleet.engines, fleet.perSecond, DefaultPlacementModel
	times := func(newPlacer func(*streamRun) streamPlacer) (all []time.Duration) {
		load.newPlacer = newPlacer
		for load.seed = range uint64(3) {
			all = append(all, load.simulate().times...)
		}
		slices.Sort(all)
		return all
	}
	return sharedComparison{times(nil), times(coordinated(messageFaults{})), times(newSinglePlacer)}
}

func TestSharedTrial(t *testing.T) {
	is := is.New(t)
	speeds := func(engine int, _ time.Duration) float64 { return []float64{0.6, 1, 1.6}[engine*7%10%3] }
	slowed := func(engine int, at time.Duration) float64 {
		if engine*7%5 < 2 && at > 6*time.Second && at < 18*time.Second {
			return 0.2
		}
		return 1
	}
	for name, load := range map[string]streamLoad{"zone": {}, "speeds": {speedOf: speeds}, "slowed": {speedOf: slowed}, "crashes": {crashes: true}} {
		for _, fleet := range sharedFleets {
			switch name {
			case "speeds":
				fleet.perSecond *= 0.55
			case "slowed":
				fleet.perSecond *= 0.4
			}
			c := compareShared(fleet, load)
			over := func(limit time.Duration) [3]float64 {
				return [3]float64{shareOver(c.local, limit), shareOver(c.shared, limit), shareOver(c.single, limit)}
			}
			t.Logf("%s %v: %d over 8 %.3f over 10 %.3f", name, fleet, len(c.shared), over(8*time.Second), over(10*time.Second))
		}
	}
	is.True(true)
}
