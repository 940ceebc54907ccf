package draining

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/matryer/is"
)

// fleet is a set of entries with their targets and the VM list.
type fleet struct {
	mu       sync.Mutex
	health   map[string]Health
	vms      []VM
	targets  []Target
	watchers map[string]*Watcher
	trackers []*Tracker
	probes   int
}

func (f *fleet) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fleet) Health(_ context.Context, address string) (Health, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probes++
	health, ok := f.health[address]
	if !ok {
		return Health{}, errors.New("no answer")
	}
	return health, nil
}

func (f *fleet) VMs(context.Context) ([]VM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms, nil
}

// peerClient calls the watchers of the fleet on behalf of the named entry.
type peerClient struct {
	fleet *fleet
	name  string
}

func (p peerClient) Exchange(_ context.Context, peer membership.Peer, reports []Report) ([]Report, error) {
	p.fleet.mu.Lock()
	watcher := p.fleet.watchers[peer.Name]
	p.fleet.mu.Unlock()
	return watcher.AnswerExchange(p.name, reports), nil
}

func startFleet(ctx context.Context, entries, targets int) *fleet {
	return startFleetWith(ctx, entries, targets, func(client peerClient) Peers { return client })
}

// startFleetWith starts a fleet whose entries reach their peers through what peers returns.
func startFleetWith(ctx context.Context, entries, targets int, peers func(peerClient) Peers) *fleet {
	f := &fleet{health: map[string]Health{}, watchers: map[string]*Watcher{}}
	for i := range targets {
		address := fmt.Sprintf("10.0.0.%d:80", i)
		f.targets = append(f.targets, Target{Name: fmt.Sprintf("t%d", i), Address: address, Probed: true})
		f.health[address] = Health{Incarnation: "1"}
	}
	var all []membership.Peer
	for i := range entries {
		all = append(all, membership.Peer{Name: fmt.Sprintf("entry-%d", i)})
	}
	for _, self := range all {
		tracker := NewTracker()
		watcher := NewWatcher(tracker, Options{
			View:    membership.Static{This: self, Peers: all},
			Health:  f,
			VMs:     f,
			Peers:   peers(peerClient{f, self.Name}),
			Targets: func() []Target { return f.targets },
		})
		f.watchers[self.Name] = watcher
		f.trackers = append(f.trackers, tracker)
	}
	for i, self := range all {
		go func() {
			// Timers of a synctest bubble that expire at one instant crash the race runtime of Go 1.26.8.
			_ = wait.For(ctx, time.Duration(i+1)*173*time.Microsecond)
			_ = f.watchers[self.Name].Run(ctx)
		}()
	}
	return f
}

func (f *fleet) drainingCount(name string) (count int) {
	for _, tracker := range f.trackers {
		if tracker.Draining(name) {
			count++
		}
	}
	return count
}

func TestDrainingReachesAllEntriesWithinBoundFromAnySource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := startFleet(ctx, 8, 6)
		time.Sleep(5 * time.Second)
		f.update(func() {
			f.health["10.0.0.0:80"] = Health{Incarnation: "1", Draining: true, TerminatesIn: time.Minute}
			f.vms = []VM{{Address: "10.0.0.1:80", Terminating: true}}
			delete(f.health, "10.0.0.2:80") // t2 answers no probe: only its refusal shows that it is draining
		})
		f.watchers["entry-0"].ObserveRefusal("t2")
		time.Sleep(PropagationLimit)
		for _, name := range []string{"t0", "t1", "t2"} {
			is.Equal(f.drainingCount(name), 8)
		}
		is.Equal(f.drainingCount("t3"), 0)
		deadline, ok := f.trackers[7].Deadline("t0")
		is.True(ok && time.Until(deadline) < time.Minute)

		f.update(func() { delete(f.health, "10.0.0.0:80") })
		time.Sleep(2 * reportValidity)
		is.Equal(f.drainingCount("t0"), 8) // a draining target that stops answering stays draining
	})
}

func TestStartingEntryLearnsDrainingTargetsBeforeItIsReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := startFleet(ctx, 8, 3)
		f.update(func() { f.health["10.0.0.0:80"] = Health{Incarnation: "1", Draining: true} })
		time.Sleep(time.Minute)
		restarted := NewTracker()
		options := f.watchers["entry-5"].options
		watcher := NewWatcher(restarted, options)
		is.True(!watcher.Ready())
		go watcher.Run(ctx)
		for !watcher.Ready() {
			time.Sleep(time.Millisecond)
		}
		is.True(restarted.Draining("t0"))
	})
}

func TestRestartedTargetIsANewIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := startFleet(ctx, 8, 3)
		time.Sleep(5 * time.Second)
		f.update(func() {
			f.health["10.0.0.0:80"] = Health{Incarnation: "1", Draining: true}
			f.vms = []VM{{Address: "10.0.0.0:80", Terminating: true}}
		})
		time.Sleep(PropagationLimit)
		is.Equal(f.drainingCount("t0"), 8)
		f.update(func() {
			f.health["10.0.0.0:80"] = Health{Incarnation: "2"}
			f.vms = nil
		})
		time.Sleep(reportValidity + PropagationLimit)
		is.Equal(f.drainingCount("t0"), 0)
		f.update(func() { f.health["10.0.0.0:80"] = Health{Incarnation: "2", Draining: true} })
		time.Sleep(PropagationLimit)
		is.Equal(f.drainingCount("t0"), 8)
	})
}

func TestOutdatedVMListDoesNotApplyToNewIncarnation(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tracker := NewTracker()
	tracker.SetTargets([]Target{{Name: "t", Address: "a", Probed: true}})
	list := []VM{{Address: "a", Terminating: true}}
	tracker.ObserveHealth("t", Health{Incarnation: "1"}, now)
	is.True(tracker.ObserveVMs(list, now))
	tracker.ObserveHealth("t", Health{Incarnation: "2"}, now)
	tracker.ObserveVMs(list, now)
	is.True(!tracker.Draining("t")) // the list still reports the former incarnation
	tracker.ObserveVMs(nil, now)
	tracker.ObserveVMs([]VM{{Address: "a", Terminating: true, TerminatesIn: time.Minute}}, now)
	is.True(tracker.Draining("t"))
	tracker.ObserveHealth("t", Health{Incarnation: "3"}, now)
	is.True(tracker.Draining("t")) // a VM whose deadline is ahead still drains after a restart of its process
}

func TestReportsSurviveAPauseOfThisProcess(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tracker := NewTracker()
	tracker.SetTargets([]Target{{Name: "t", Address: "a"}})
	tracker.Tick(now)
	tracker.ObserveReports([]Report{{Target: "t", Address: "a", Source: SourceTarget, ValidUntil: now.Add(reportValidity)}}, now)
	woken := now.Add(time.Hour)
	tracker.Tick(woken)
	is.True(tracker.Draining("t"))
	for range 20 {
		woken = woken.Add(tickInterval)
		tracker.Tick(woken)
	}
	is.True(!tracker.Draining("t")) // the report was not renewed after the pause
}

func TestProbesPerEntryStayConstantAsTheFleetGrows(t *testing.T) {
	probes := func(entries, targets int) (count int) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			f := startFleet(ctx, entries, targets)
			time.Sleep(20 * time.Second)
			cancel()
			synctest.Wait()
			count = f.probes / entries
		})
		return count
	}
	is := is.New(t)
	is.True(probes(32, 96) <= probes(8, 24)*11/10)
}

// partlyHanging are peers of which some don't answer until the call is cut.
type partlyHanging struct {
	peerClient
	hanging map[string]bool
	calls   *atomic.Int64
}

func (p partlyHanging) Exchange(ctx context.Context, peer membership.Peer, reports []Report) ([]Report, error) {
	if p.hanging[peer.Name] || p.hanging[p.name] {
		_ = wait.For(ctx, probeTimeout-time.Duration(p.calls.Add(1)%1000)*time.Microsecond)
		return nil, context.DeadlineExceeded
	}
	return p.peerClient.Exchange(ctx, peer, reports)
}

// Guards against reports that stop at partners which are refused, hang or are gone, and so reach no further entry in time.
func TestDrainingReachesAllEntriesInTimeBesideHangingPeers(t *testing.T) {
	for _, entries := range []int{8, 76, 195} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				hanging, calls := map[string]bool{}, &atomic.Int64{}
				for i := range entries / 3 {
					hanging[fmt.Sprintf("entry-%d", 3*i+1)] = true
				}
				f := startFleetWith(ctx, entries, 6, func(client peerClient) Peers { return partlyHanging{client, hanging, calls} })
				time.Sleep(5 * time.Second)
				f.watchers["entry-0"].ObserveRefusal("t2")
				f.update(func() { delete(f.health, "10.0.0.2:80") })
				time.Sleep(PropagationLimit)
				late := 0
				for name, watcher := range f.watchers {
					if !hanging[name] && !watcher.tracker.Draining("t2") {
						late++
					}
				}
				is.Equal(late, 0)
			})
		})
	}
}

// countingPeers counts the reports that each entry sends, as request or answer.
type countingPeers struct {
	peerClient
	counts *sentCounts
}

type sentCounts struct {
	mu   sync.Mutex
	sent map[string]int
}

func (p countingPeers) Exchange(ctx context.Context, peer membership.Peer, reports []Report) ([]Report, error) {
	answer, err := p.peerClient.Exchange(ctx, peer, reports)
	p.counts.mu.Lock()
	defer p.counts.mu.Unlock()
	p.counts.sent[p.name] += len(reports)
	p.counts.sent[peer.Name] += len(answer)
	return answer, err
}

// Guards against links that are full of reports while the targets of a zone begin to drain one after the other.
func TestReportsOfADrainingZoneTakeASmallPartOfTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const entries, targets, zone = 76, 224, 75
		counts := &sentCounts{sent: map[string]int{}}
		f := startFleetWith(ctx, entries, targets, func(client peerClient) Peers { return countingPeers{client, counts} })
		time.Sleep(time.Second)
		for i := range zone {
			f.update(func() {
				f.health[f.targets[i].Address] = Health{Incarnation: "1", Draining: true, TerminatesIn: time.Minute}
			})
			time.Sleep(time.Second / zone)
		}
		time.Sleep(time.Second)
		counts.mu.Lock()
		defer counts.mu.Unlock()
		busiest := 0
		for _, sent := range counts.sent {
			busiest = max(busiest, sent)
		}
		const encodedBytes, linkBytesPerSecond, seconds = 68, 1_250_000, 2
		is.Equal(max(busiest*encodedBytes, seconds*linkBytesPerSecond/10), seconds*linkBytesPerSecond/10)
	})
}
