package generation

import (
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/directory"
)

// Guards against streams cancelled at sound engines because the entry's own link is full.
func TestStreamStaysAtItsEngineWhileEntryIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{events: eventsUpTo(20), pause: 30 * time.Millisecond, end: io.EOF}},
		})
		time.AfterFunc(200*time.Millisecond, func() { f.engine.startOutage(2 * time.Second) })
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
		is.Equal(sink.events, eventsUpTo(20))
		is.Equal(len(f.engine.attempts), 1)
		is.Equal(len(f.placer.lost), 0)
		is.Equal(f.budget.spent, 0)
	})
}

// Guards against a begun stream whose attempts are used up by dials that never left the entry.
func TestUnsentAttemptsOfCutOffEntryDoNotEndBegunStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		// The first engine breaks off just after the entry is cut off.
		f := newRelayFixture(map[string][]script{
			"a": {{events: eventsUpTo(3), pause: 30 * time.Millisecond, end: io.ErrUnexpectedEOF}},
			"b": {{events: []int64{4, 5}, end: io.EOF}},
			"c": {{events: []int64{4, 5}, end: io.EOF}},
		})
		f.engine.breakDuringOutage = true
		time.AfterFunc(100*time.Millisecond, func() { f.engine.startOutage(5 * time.Second) })
		f.budget.left = 1
		var sends []any
		f.relay.options.Log = func(event string, fields ...Field) {
			if event == "attempt-ended" {
				sends = append(sends, fields[slices.IndexFunc(fields, func(f Field) bool { return f.Key == "sends" })].Value)
			}
		}
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
		is.Equal(sink.events, eventsUpTo(5))
		is.Equal(f.budget.spent-f.budget.refunded, 1)
		is.Equal(f.placer.lost, []string{"a"})
		is.Equal(len(f.engine.attempts), 3) // no dials one after the other while nothing leaves the entry
		is.True(f.engine.attempts[2].Copy != nil)
		is.Equal(sends, []any{1, 1, 2}) // the attempt that was not sent doesn't count
	})
}

// Guards against an attempt for a caller that left while its stream waited for connectivity.
func TestCallerThatLeavesCutOffEntryEndsItsStreamAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{events: eventsUpTo(3), pause: 30 * time.Millisecond, end: io.ErrUnexpectedEOF}},
			"c": {{events: []int64{4}, end: io.EOF}},
		})
		f.engine.breakDuringOutage = true
		time.AfterFunc(100*time.Millisecond, func() { f.engine.startOutage(3 * time.Second) })
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		start := time.Now()
		is.Equal(f.relay.Run(ctx, relayRequest(), &recordingSink{}), ErrCallerDisconnected)
		is.True(time.Since(start) <= time.Second+probeTimeout)
		attempts := len(f.engine.attempts)
		time.Sleep(5 * time.Second)
		is.Equal(len(f.engine.attempts), attempts)
	})
}

// setZones gives the fixture targets in availability zones, by ID.
func (f *relayFixture) setZones(zones ...[2]string) {
	f.openTargets = nil
	for _, each := range zones {
		f.openTargets = append(f.openTargets, &directory.Target{ID: each[0], Address: each[0] + ":1", AvailabilityZone: each[1]})
	}
}

// Guards against taking a dark availability zone for the loss of the entry's own connectivity.
func TestStreamLeavesDarkZoneWhileOtherZonesAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a1": {{events: eventsUpTo(5), pause: 30 * time.Millisecond}},
			"b1": {{events: []int64{6}, pause: 30 * time.Millisecond, end: io.EOF}},
		})
		f.setZones([2]string{"a1", "a"}, [2]string{"a2", "a"}, [2]string{"a3", "a"}, [2]string{"b1", "b"})
		for _, id := range []string{"a1", "a2", "a3"} {
			f.engine.setDark(id)
		}
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
		is.Equal(sink.events, eventsUpTo(6))
		is.True(sink.times[5].Sub(sink.times[4]) < 700*time.Millisecond)
	})
}

// Guards against a stream that stays at a dark engine for want of a control target.
func TestStreamLeavesDarkEngineOfServiceWithOneTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{events: eventsUpTo(5), pause: 30 * time.Millisecond}, {events: []int64{6}, end: io.EOF}},
		})
		f.setZones([2]string{"a", "a"})
		f.engine.setDark("a")
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
		is.Equal(sink.events, eventsUpTo(6))
		is.True(sink.times[5].Sub(sink.times[4]) < 700*time.Millisecond)
	})
}

// Guards against a begun stream that outlives its deadline when no engine is ever reachable again.
func TestBegunStreamEndsByDeadlineWhenAllEnginesAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{"a": {{events: eventsUpTo(5), pause: 30 * time.Millisecond}}})
		time.AfterFunc(200*time.Millisecond, func() { f.engine.startOutage(time.Hour) })
		request := relayRequest()
		err := f.relay.Run(t.Context(), request, &recordingSink{})
		is.True(errors.Is(err, ErrRelayBroken) || errors.Is(err, ErrRelayDeadline))
		is.True(!time.Now().After(request.Deadline))
		time.Sleep(targetProbeTimeout) // for the probes in progress
		is.Equal(f.budget.spent, f.budget.refunded)
	})
}

// Guards against a refusal that waits for connectivity: the caller may still get its answer elsewhere.
func TestNewStreamIsRefusedSoonWhenNoTargetIsReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(nil)
		f.engine.startOutage(time.Hour)
		start := time.Now()
		var givenUp *GivenUpError
		is.True(errors.As(f.relay.Run(t.Context(), relayRequest(), &recordingSink{}), &givenUp))
		is.True(!givenUp.MayHaveRun)
		is.True(time.Since(start) <= maxTotalAttempts*fakeDialTimeout)
		time.Sleep(targetProbeTimeout) // for the probes in progress

		refusing := newRelayFixture(nil)
		start = time.Now()
		is.True(errors.As(refusing.relay.Run(t.Context(), relayRequest(), &recordingSink{}), &givenUp))
		is.Equal(time.Since(start), time.Duration(0))
	})
}

// Guards against the outage counting as the engine's silence, while its connection recovers from lost packets.
func TestStreamStaysWhileItsEventsAreLateAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{events: eventsUpTo(20), pause: 30 * time.Millisecond, end: io.EOF}},
		})
		f.engine.eventDelay = 400 * time.Millisecond
		time.AfterFunc(200*time.Millisecond, func() { f.engine.startOutage(2 * time.Second) })
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
		is.Equal(sink.events, eventsUpTo(20))
		is.Equal(len(f.engine.attempts), 1)
	})
}

// Guards against detection that is numb after an outage, because the outage counted as a gap between events.
func TestEngineThatDiesAfterOutageIsLeftInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{events: eventsUpTo(8), pause: 30 * time.Millisecond}}, // two of them after the outage
			"c": {{events: []int64{9}, end: io.EOF}},
		})
		time.AfterFunc(200*time.Millisecond, func() { f.engine.startOutage(2 * time.Second) })
		time.AfterFunc(2300*time.Millisecond, func() { f.engine.setDark("a") })
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
		is.Equal(sink.events, eventsUpTo(9))
		is.True(sink.times[8].Sub(sink.times[7]) < 700*time.Millisecond)
	})
}

// Guards against a verdict that stays withheld when an engine dies while the entry is cut off.
func TestEngineThatDiesDuringOutageIsLeftSoonAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{events: eventsUpTo(5), pause: 30 * time.Millisecond}},
			"c": {{events: []int64{6}, end: io.EOF}},
		})
		start := time.Now()
		time.AfterFunc(200*time.Millisecond, func() { f.engine.startOutage(2 * time.Second) })
		f.engine.setDark("a")
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
		is.Equal(sink.events, eventsUpTo(6))
		is.True(sink.times[5].Sub(start) < 2200*time.Millisecond+700*time.Millisecond)
	})
}

// Guards against a probe whose timeout passed while this process was paused, or whose first packet was lost.
func TestStreamStaysWhenTheRepeatedProbeIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{events: eventsUpTo(3), pause: 400 * time.Millisecond, end: io.EOF}},
		})
		f.engine.failProbes = 1
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
		is.Equal(len(f.engine.attempts), 1)
	})
}

// Guards against a full link whose delay exceeds the limit of a probe for the engine but not for its control target.
func TestStreamStaysWhileTheLinkIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{events: eventsUpTo(5), pause: 400 * time.Millisecond, end: io.EOF}},
		})
		f.engine.probeDelay = map[string]time.Duration{"a": 75 * time.Millisecond, "b": 55 * time.Millisecond, "c": 55 * time.Millisecond}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), &recordingSink{}))
		is.Equal(len(f.engine.attempts), 1)
		is.Equal(len(f.placer.lost), 0)
	})
}

// Guards against a stream that stays at a crashed engine whose host refuses connections.
func TestStreamLeavesEngineWhoseHostRefusesWhileOthersAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{events: eventsUpTo(5), pause: 30 * time.Millisecond}},
			"c": {{events: []int64{6}, end: io.EOF}},
		})
		f.engine.refused = map[string]bool{"a": true}
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
		is.Equal(sink.events, eventsUpTo(6))
		is.True(sink.times[5].Sub(sink.times[4]) < 300*time.Millisecond)
		is.True(f.engine.probeCount() <= 1+maxControlTargets)
	})
}

// Guards against streams that leave their engines because something on the way refuses the connections of this entry.
func TestStreamStaysAtItsEngineWhileAllConnectionsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{events: eventsUpTo(5), pause: 300 * time.Millisecond, end: io.EOF}},
		})
		f.engine.refused = map[string]bool{"a": true, "b": true, "c": true}
		sink := &recordingSink{}
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
		is.Equal(sink.events, eventsUpTo(5))
		is.Equal(len(f.engine.attempts), 1)
	})
}

// Guards against crashes and losses recorded for connections that broke because the entry is cut off.
func TestCutOffEntryRecordsNoCrashOfItsTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFixture(map[string][]script{
			"a": {{pause: 2500 * time.Millisecond, end: io.ErrUnexpectedEOF}},
			"b": {{end: io.EOF}}, "c": {{end: io.EOF}},
		})
		f.engine.breakDuringOutage = true
		f.engine.startOutage(4 * time.Second)
		f.engine.openDuringOutage = 1
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), &recordingSink{}))
		is.Equal(f.relay.options.CrashRecords.(*relayLocalRecords).crashes.Count("f", time.Now()), 0)
		is.Equal(len(f.placer.lost), 0)
	})
}

// Guards against a storm of connections when all targets of an entry seem silent at once.
func TestCutOffEntryMakesOneControlCheckForAllStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const targets, streamsPerTarget, outage = 24, 2, 2 * time.Second
		scripts := map[string][]script{}
		var zones [][2]string
		for i := range targets {
			id := "t" + strconv.Itoa(i)
			zones = append(zones, [2]string{id, strconv.Itoa(i % 3)})
			for stream := range streamsPerTarget {
				pause := time.Duration(30+i+stream) * time.Millisecond
				scripts[id] = append(scripts[id], script{events: eventsUpTo(20), pause: pause, end: io.EOF})
			}
		}
		f := newRelayFixture(scripts)
		f.setZones(zones...)
		f.relay.options.Placer = &spreadingPlacer{}
		var events []string
		f.relay.connectivity.options.Log = func(event string, _ ...Field) { events = append(events, event) }
		time.AfterFunc(200*time.Millisecond, func() { f.engine.startOutage(outage) })
		var running sync.WaitGroup
		for i := range targets * streamsPerTarget {
			running.Go(func() {
				// No two streams have timers that expire at the same instant: two goroutines of a bubble that receive from such
				// timers crash the race runtime (Go 1.26.8).
				time.Sleep(time.Duration(i) * time.Nanosecond)
				sink := &recordingSink{}
				is.NoErr(f.relay.Run(t.Context(), relayRequest(), sink))
				is.Equal(sink.events, eventsUpTo(20))
			})
		}
		running.Wait()
		is.Equal(len(f.engine.attempts), targets*streamsPerTarget)
		is.Equal(events, []string{"connectivity-lost", "connectivity-regained"})
		is.Equal(f.relay.connectivity.Losses(), int64(1))
		const perTarget = 2 * int(outage/silentProbeInterval+1)
		const controls = maxControlTargets * int(outage/probeTimeout+1)
		is.True(f.engine.probeCount() <= targets*perTarget+controls)
	})
}

// spreadingPlacer places streams at all targets in turn.
type spreadingPlacer struct {
	firstPlacer
	mu     sync.Mutex
	placed int
}

func (p *spreadingPlacer) PlaceStream(_ context.Context, query RelayQuery) (*directory.Target, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placed++
	return query.Engines[p.placed%len(query.Engines)], nil
}

func TestJudgeTarget(t *testing.T) {
	for _, each := range []struct {
		name  string
		found examination
		want  reachability
	}{
		{"target answers", examination{target: probeAnswered}, reachable},
		{"target answers, controls don't", examination{target: probeAnswered, controls: controlResult{sent: 2}}, reachable},
		{"refused, one control answers", examination{target: probeRefused, controls: controlResult{sent: 2, answered: 1}}, unreachable},
		{"refused, no control answers", examination{target: probeRefused, controls: controlResult{sent: 2}}, undetermined},
		{"refused, no control target", examination{target: probeRefused}, unreachable},
		{"one control answers", examination{target: probeUnanswered, controls: controlResult{sent: 2, answered: 1}}, unreachable},
		{"no control answers", examination{target: probeUnanswered, controls: controlResult{sent: 2}}, undetermined},
		{"no control target", examination{target: probeUnanswered}, unreachable},
		{"process was paused", examination{target: probeUnanswered, controls: controlResult{sent: 2, answered: 1}, took: 5 * time.Second}, undetermined},
	} {
		t.Run(each.name, func(t *testing.T) { is.New(t).Equal(judgeTarget(each.found), each.want) })
	}
}

func TestJudgeSilence(t *testing.T) {
	limits := silenceLimits{probeAfter: 120 * time.Millisecond, probeInterval: 300 * time.Millisecond, stallTimeout: 490 * time.Millisecond}
	longInterval := silenceLimits{probeAfter: 560 * time.Millisecond, probeInterval: 560 * time.Millisecond, stallTimeout: 3800 * time.Millisecond}
	numb := silenceLimits{probeAfter: time.Second, probeInterval: 300 * time.Millisecond, stallTimeout: 490 * time.Millisecond}
	const ms = time.Millisecond
	for _, each := range []struct {
		name string
		in   silenceInput
		want silenceStep
	}{
		{"before the first probe", silenceInput{limits: limits, silence: 20 * ms}, silenceStep{probeIn: 100 * ms, checkIn: 100 * ms}},
		{"first probe due", silenceInput{limits: limits, silence: 120 * ms}, silenceStep{checkIn: 300 * ms}},
		{"between probes", silenceInput{limits: limits, silence: 400 * ms, hasProbe: true, probeAnswered: true, sinceProbe: 100 * ms},
			silenceStep{probeIn: 200 * ms, checkIn: 90 * ms}},
		{"stalled", silenceInput{limits: limits, silence: 490 * ms, hasProbe: true, probeAnswered: true, sinceProbe: 100 * ms},
			silenceStep{stalled: true}},
		{"silent too long, but the probe was not answered", silenceInput{limits: limits, silence: 490 * ms, hasProbe: true, sinceProbe: 100 * ms},
			silenceStep{probeIn: 200 * ms, checkIn: 200 * ms}},
		{"silent too long, last answer too old", silenceInput{limits: longInterval, silence: 3800 * ms, hasProbe: true, probeAnswered: true, sinceProbe: 400 * ms},
			silenceStep{probeIn: -100 * ms, checkIn: 300 * ms}},
		{"silent too long without a probe", silenceInput{limits: numb, silence: 490 * ms}, silenceStep{checkIn: 300 * ms}},
	} {
		t.Run(each.name, func(t *testing.T) { is.New(t).Equal(judgeSilence(each.in), each.want) })
	}
}

func TestChooseControlTargets(t *testing.T) {
	target := func(id, zone, service string) *directory.Target {
		return &directory.Target{ID: id, Address: id + ":1", AvailabilityZone: zone, Service: service}
	}
	suspect := target("s", "a", "drafts")
	for _, each := range []struct {
		name       string
		suspect    *directory.Target
		candidates []*directory.Target
		want       []string
	}{
		{"none", suspect, nil, nil},
		{"only the suspect", suspect, []*directory.Target{suspect, suspect}, nil},
		{"same zone if there is no other", suspect, []*directory.Target{suspect, target("t", "a", "drafts")}, []string{"t"}},
		{"different zones", suspect, []*directory.Target{suspect, target("t", "a", "drafts"), target("u", "b", "drafts"), target("v", "b", "drafts"), target("w", "c", "drafts")},
			[]string{"u", "w"}},
		{"the suspect's zone rather than one zone twice", suspect, []*directory.Target{target("u", "b", "drafts"), target("v", "b", "drafts"), target("t", "a", "drafts")},
			[]string{"u", "t"}},
		{"different services", suspect, []*directory.Target{target("u", "b", "drafts"), target("w", "c", "drafts"), target("x", "c", "lookup")},
			[]string{"u", "x"}},
		{"without a suspect", nil, []*directory.Target{suspect, target("t", "a", "drafts"), target("u", "b", "drafts")}, []string{"s", "u"}},
	} {
		t.Run(each.name, func(t *testing.T) {
			var got []string
			for _, chosen := range chooseControlTargets(each.suspect, each.candidates, 0) {
				got = append(got, chosen.ID)
			}
			is.New(t).Equal(got, each.want)
		})
	}
}

// Guards against a loss that is declared by a check which was overtaken by an answered probe.
func TestAnsweredProbeRefutesEarlierCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := NewConnectivity(ConnectivityOptions{})
		check := &controlCheck{startedAt: time.Now(), result: controlResult{sent: 2}}
		time.Sleep(probeTimeout)
		c.recordProbe(probeAnswered, time.Now())
		c.recordLoss(check)
		is.True(!c.IsLost())
		c.recordLoss(&controlCheck{startedAt: time.Now().Add(time.Millisecond), result: controlResult{sent: 2}})
		is.True(c.IsLost())
	})
}

func TestRegainBackoff(t *testing.T) {
	is := is.New(t)
	is.Equal(regainBackoff(0), time.Duration(0))
	is.Equal(regainBackoff(1), minRegainBackoff)
	is.Equal(regainBackoff(2), 2*minRegainBackoff)
	is.Equal(regainBackoff(100), maxRegainBackoff)
}
