package placementcontrol

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/membership"
	callservice "github.com/azurebarrow/azurebarrow/service"
)

const plainService = "records"

// callFleet is a number of entries that share the choice of three targets of a plain service. It implements CallTransport for all of them.
type callFleet struct {
	*fleet
	calls   map[string]*Calls
	targets []*directory.Target

	callsMu sync.Mutex
	sent    []sentCall
	// answers replace those of coordinators, by name.
	answers map[string]CallAnswer
}

type sentCall struct {
	peer string
	CallRequest
}

func newCallFleet(entries, minEntries int) *callFleet {
	f := &callFleet{calls: map[string]*Calls{}, answers: map[string]CallAnswer{}}
	for i, zone := range []string{"a", "b", "c"} {
		f.targets = append(f.targets, &directory.Target{ID: fmt.Sprint("t", i), Address: fmt.Sprint("10.0.1.", i, ":80"), AvailabilityZone: zone, Slots: 6})
	}
	f.fleet = newFleet(entries, minEntries, 9, func(_ int, options *Options) {
		placed := options.Service
		options.Service = func(name string) (*directory.EngineSpec, []*directory.Target) {
			if name == plainService {
				return nil, f.targets
			}
			return placed(name)
		}
	})
	for name, manager := range f.managers {
		f.calls[name] = NewCalls(manager, CallOptions{Transport: f, NewView: func() CallView {
			return callservice.NewCallTargets(callservice.CallTargetsOptions{Seed: 5})
		}})
	}
	return f
}

// ChooseTarget implements CallTransport.
func (f *callFleet) ChooseTarget(ctx context.Context, peer membership.Peer, request CallRequest) (CallAnswer, error) {
	f.callsMu.Lock()
	f.sent = append(f.sent, sentCall{peer.Name, request})
	injectedAnswer, isInjected := f.answers[peer.Name]
	f.callsMu.Unlock()
	_, injected, err := f.deliver(ctx, peer)
	if err != nil {
		return CallAnswer{}, err
	}
	answer, err := f.calls[peer.Name].ChooseTarget(ctx, request)
	if isInjected {
		answer, err = injectedAnswer, nil
	}
	if waitErr := sleep(ctx, latency+injected.late); waitErr != nil {
		return CallAnswer{}, waitErr
	}
	return answer, err
}

func (f *callFleet) sentCalls() []sentCall {
	f.callsMu.Lock()
	defer f.callsMu.Unlock()
	return slices.Clone(f.sent)
}

func (f *callFleet) rankedForCalls() []string {
	var names []string
	for _, peer := range membership.Rank(f.live, RankKey(plainService)) {
		names = append(names, peer.Name)
	}
	return names
}

// choose has an entry choose among the targets and returns how long that took.
func (f *callFleet) choose(ctx context.Context, entry string, targets ...string) (chosen string, ended func(time.Duration), took time.Duration) {
	query := callservice.ChoiceQuery{Service: plainService, Request: "r"}
	for _, target := range f.targets {
		if len(targets) == 0 || slices.Contains(targets, target.ID) {
			query.Targets = append(query.Targets, callservice.Target{Name: target.ID, Address: target.Address})
		}
	}
	begun := time.Now()
	chosen, ended = f.calls[entry].Choose(ctx, query)
	return chosen, ended, time.Since(begun)
}

// Guards against messages, or a choice for others, where too few entries are live, the service has as many targets as there are entries, or
// it has engines.
func TestNoCallIsSharedAmongFewEntries(t *testing.T) {
	for _, each := range []struct {
		entries, minEntries int
		service             string
	}{{5, 6, plainService}, {5, -1, plainService}, {3, 2, plainService}, {12, 2, service}, {12, 2, "unknown"}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newCallFleet(each.entries, each.minEntries)
			calls := f.calls["e001"]
			is.True(!calls.IsShared(each.service))
			target, ended := calls.Choose(t.Context(), callservice.ChoiceQuery{Service: each.service, Targets: []callservice.Target{{Name: "t0"}, {Name: "t1"}}})
			is.Equal(target, "")
			is.True(ended == nil)
			is.Equal(len(f.sentCalls()), 0)
			is.Equal(calls.Stats().ChosenByFallback.Load(), int64(0))
			_, err := calls.ChooseTarget(t.Context(), CallRequest{CallState: callservice.CallState{Entry: "e002"}, Service: plainService})
			is.Equal(errors.Is(err, ErrDeclined), each.minEntries > each.entries || each.minEntries < 0)
		})
	}
}

// Guards against calls of several entries that wait at one target while others are idle, and against ends, times and exclusions that don't
// reach the coordinator.
func TestCallsOfAllEntriesKeepApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCallFleet(18, 2)
		coordinator := f.rankedForCalls()[0]
		chosen := map[string]int{}
		var mu sync.Mutex
		var group sync.WaitGroup
		for i := range 18 { // as many as there are slots
			group.Go(func() {
				target, ended, took := f.choose(t.Context(), peerOf(i).Name)
				mu.Lock()
				defer mu.Unlock()
				chosen[target]++
				is.True(took <= 2*latency)
				is.True((took == 0) == (peerOf(i).Name == coordinator))
				time.AfterFunc(20*time.Millisecond, func() { ended(20 * time.Millisecond) })
			})
		}
		group.Wait()
		is.Equal(chosen, map[string]int{"t0": 6, "t1": 6, "t2": 6})
		time.Sleep(time.Second)
		entry := f.rankedForCalls()[3]
		target, ended, _ := f.choose(t.Context(), entry, "t1", "t2")
		is.True(target != "t0")
		sent := f.sentCalls()
		last := sent[len(sent)-1]
		is.Equal(last.peer, coordinator)
		is.Equal(last.Exclude, []string{"t0"})
		is.Equal(len(last.Ended), 1)
		is.Equal(len(last.Running), 0)
		is.Equal(len(last.Times), 1)
		is.Equal(last.Times[0].Took, 20*time.Millisecond)
		_, _, _ = f.choose(t.Context(), entry)
		sent = f.sentCalls()
		last = sent[len(sent)-1]
		is.Equal(len(last.Ended)+len(last.Times), 0)
		is.Equal(len(last.Running), 1)
		ended(0) // not answered
		_, _, _ = f.choose(t.Context(), entry)
		sent = f.sentCalls()
		last = sent[len(sent)-1]
		is.Equal(len(last.Ended), 1)
		is.Equal(len(last.Times), 0)
		is.Equal(f.calls[coordinator].CoordinatedCount(), 1)
		is.Equal(f.calls[entry].CoordinatedCount(), 0)
		is.Equal(f.calls[entry].Stats().ChosenByCoordinator.Load(), int64(4))
		is.Equal(f.calls[coordinator].Stats().ChosenBySelf.Load(), int64(1))
	})
}

// Guards against a coordinator that is lost, paused, late or broken and delays more calls than the first two and one after each pause, or a
// call by more than 15 ms, and against one that isn't used again.
func TestLostCoordinatorOfCalls(t *testing.T) {
	for name, injected := range map[string]fault{"silent": {silent: true}, "late": {late: 20 * time.Millisecond}, "broken": {err: errBroken}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newCallFleet(5, 2)
				coordinator, entry := f.rankedForCalls()[0], f.rankedForCalls()[2]
				f.setFault(coordinator, injected)
				ctx, cancel := context.WithCancel(t.Context())
				var group sync.WaitGroup
				group.Go(func() { _ = f.calls[entry].Run(ctx) })
				begun := time.Now()
				delayed := 0
				for time.Since(begun) < 15*time.Second {
					target, ended, took := f.choose(t.Context(), entry)
					is.Equal(target, "")
					is.True(ended == nil)
					is.True(took <= callTimeout)
					if took > 0 {
						delayed++
					}
					time.Sleep(10 * time.Millisecond)
				}
				is.Equal(delayed, 6) // at 0 and 10 ms, and after 1, 2, 4 and 4 s more
				events := map[string]int{}
				for _, event := range f.eventsOf(entry, EventFallback) {
					events[event.Reason]++
				}
				is.Equal(len(events), 2) // of the failures, and of the pauses after them
				for _, count := range events {
					is.True(count <= 16)
				}
				f.setFault(coordinator, fault{})
				time.Sleep(maxPause)
				target, _, _ := f.choose(t.Context(), entry)
				is.True(target != "")
				// Placement requests have more time, so that its failures are not theirs.
				_, took := f.place(t, entry, f.query("s"))
				is.Equal(took > 0, entry != f.ranked()[0])
				cancel()
				group.Wait()
			})
		})
	}
}

// Guards against times and ends that are lost with a message, or that grow while the coordinator doesn't answer.
func TestReportsOutliveALostMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCallFleet(5, 2)
		coordinator, entry := f.rankedForCalls()[0], f.rankedForCalls()[2]
		for range 100 {
			_, ended, _ := f.choose(t.Context(), entry, "t0")
			ended(30 * time.Millisecond)
		}
		var endeds []func(time.Duration)
		for range 40 {
			_, ended, _ := f.choose(t.Context(), entry, "t0")
			endeds = append(endeds, ended)
		}
		for _, ended := range endeds {
			ended(30 * time.Millisecond)
		}
		f.setFault(coordinator, fault{err: errBroken})
		_, _, _ = f.choose(t.Context(), entry)
		f.setFault(coordinator, fault{})
		_, _, _ = f.choose(t.Context(), entry)
		sent := f.sentCalls()
		last := sent[len(sent)-1]
		is.Equal(len(last.Times), maxCallTimes)
		is.Equal(len(last.Ended), 40)
		// What was not reported in time is forgotten.
		_, ended, _ := f.choose(t.Context(), entry, "t0")
		time.Sleep(callTicketTTL)
		ended(0)
		_, _, _ = f.choose(t.Context(), entry)
		sent = f.sentCalls()
		is.Equal(len(sent[len(sent)-1].Ended), 0)
	})
}

// Guards against peers that decline and are asked for every call, and against calls that are delayed where all decline.
func TestDecliningCoordinatorsOfCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCallFleet(20, 2)
		ranked := f.rankedForCalls()
		entry := ranked[19]
		for _, name := range ranked[:3] {
			f.setFault(name, fault{err: ErrDeclined})
		}
		target, _, _ := f.choose(t.Context(), entry)
		is.True(target != "")
		is.Equal(len(f.sentCalls()), 4)
		target, _, _ = f.choose(t.Context(), entry)
		is.True(target != "")
		is.Equal(len(f.sentCalls()), 5)
		for _, name := range ranked[:19] {
			f.setFault(name, fault{err: ErrDeclined})
		}
		delayed := 0
		for range 100 {
			target, _, took := f.choose(t.Context(), entry)
			is.True(took <= callTimeout)
			is.Equal(target, "")
			if took > 0 {
				delayed++
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(delayed, 1) // twelve peers in a row declined
	})
}

// Guards against answers that name no target, an unknown one, or one that the entry can't use, which must cost one question at most.
func TestNonsenseOfACoordinatorOfCalls(t *testing.T) {
	for name, answer := range map[string]CallAnswer{"empty": {}, "unknown": {Target: "x", Ticket: 7}, "excluded": {Target: "t0", Ticket: 8}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newCallFleet(5, 2)
				coordinator, entry := f.rankedForCalls()[0], f.rankedForCalls()[2]
				f.answers[coordinator] = answer
				for i := range 3 {
					target, ended, took := f.choose(t.Context(), entry, "t1", "t2")
					is.Equal(target, "")
					is.True(ended == nil)
					is.Equal(took, 2*latency)
					is.Equal(len(f.sentCalls()), i+1)
				}
				is.Equal(f.calls[entry].Stats().ChosenByFallback.Load(), int64(3))
				if answer.Target != "" {
					is.Equal(f.sentCalls()[1].Ended, []uint64{answer.Ticket}) // the coordinator must not count it
				}
			})
		})
	}
}

// Guards against a caller that leaves and makes its coordinator seem lost, or leaves a call counted.
func TestCallerThatLeavesSaysNothingOfTheCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCallFleet(5, 2)
		entry := f.rankedForCalls()[2]
		for range 5 {
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(latency, cancel)
			target, ended, _ := f.choose(ctx, entry)
			is.Equal(target, "")
			is.True(ended == nil)
		}
		is.Equal(f.calls[entry].Stats().ChosenByFallback.Load(), int64(0))
		target, _, _ := f.choose(t.Context(), entry)
		is.True(target != "")
	})
}

// Guards against two coordinators at the same time that do more harm than to know half of the calls each, and against a former coordinator
// that keeps its role, or events that repeat.
func TestCoordinatorOfCallsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCallFleet(8, 2)
		ranked := f.rankedForCalls()
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for _, calls := range f.calls {
			group.Go(func() { _ = calls.Run(ctx) })
		}
		all := f.live
		for round := range 4 {
			for _, entry := range slices.Concat(ranked[3:], ranked[3:]) {
				target, ended, _ := f.choose(t.Context(), entry)
				is.True(target != "")
				ended(30 * time.Millisecond)
			}
			// Every other round the entries don't see the first one, and it still answers those that do.
			live := all
			if round%2 == 0 {
				live = slices.DeleteFunc(slices.Clone(all), func(peer membership.Peer) bool { return peer.Name == ranked[0] })
			}
			f.mu.Lock()
			f.live = live
			f.mu.Unlock()
		}
		is.Equal(f.calls[ranked[0]].CoordinatedCount()+f.calls[ranked[1]].CoordinatedCount(), 2)
		time.Sleep(coordinationTTL + 2*maintainInterval)
		for _, name := range ranked[:2] {
			is.Equal(f.calls[name].CoordinatedCount(), 0)
			events := f.eventsOf(name, EventCoordinator)
			is.Equal(len(events), 2)
			is.Equal(events[0].Role, RoleCoordinating)
			is.Equal(events[1].Role, RoleStopped)
		}
		is.Equal(len(f.eventsOf(ranked[4], EventCoordinator)), 4)
		cancel()
		group.Wait()
	})
}

// Guards against an entry that coordinates while it shuts down.
func TestStoppingEntryDeclinesCalls(t *testing.T) {
	is := is.New(t)
	f := newCallFleet(5, 2)
	f.managers["e001"].options.Stopping = func() bool { return true }
	_, err := f.calls["e001"].ChooseTarget(t.Context(), CallRequest{CallState: callservice.CallState{Entry: "e002"}, Service: plainService})
	is.True(errors.Is(err, ErrDeclined))
	is.Equal(f.calls["e001"].Stats().Declined.Load(), int64(1))
}

// answeringTransport answers each request at once.
type answeringTransport struct{}

func (answeringTransport) ChooseTarget(context.Context, membership.Peer, CallRequest) (CallAnswer, error) {
	return CallAnswer{Target: "t1", Ticket: 7}, nil
}

// Guards against garbage for each call of an entry, most of all where the choice isn't shared. Beside the message, which takes several
// dozen allocations, an attempt needs its context and timer, the lists of tickets, times and targets, and the function that reports its end.
func TestChoiceOfATargetAllocatesLittle(t *testing.T) {
	is := is.New(t)
	few := newCallFleet(5, 6).calls["e001"]
	is.Equal(testing.AllocsPerRun(100, func() { few.IsShared(plainService) }), 0.0)
	f := newCallFleet(5, 2)
	entry := f.calls[f.rankedForCalls()[2]]
	entry.options.Transport = answeringTransport{}
	query := callservice.ChoiceQuery{Service: plainService, Request: "r", Connected: func(target string) bool { return target == "t1" }}
	for _, target := range f.targets {
		query.Targets = append(query.Targets, callservice.Target{Name: target.ID})
	}
	allocations := testing.AllocsPerRun(1000, func() {
		_, ended := entry.Choose(t.Context(), query)
		ended(30 * time.Millisecond)
	})
	t.Logf("%v allocations", allocations)
	is.True(allocations <= 20)
	is.Equal(testing.AllocsPerRun(100, func() { entry.IsShared(plainService) }), 0.0)
}

// Guards against a message that every coordinator refuses since it is too large: it would be sent again and again.
func TestTimesOfManyTargetsAreLimited(t *testing.T) {
	is := is.New(t)
	f := newCallFleet(5, 2)
	calls := f.calls["e001"]
	const targets = 300
	for i := range targets * maxCallTimes {
		calls.recordEnd(plainService, ticket{uint64(i), "e002", time.Now()}, fmt.Sprint("target", i%targets), time.Millisecond)
	}
	state := calls.takeState(plainService, "e002")
	is.Equal(len(state.Times), maxAllCallTimes)
	is.Equal(state.Times[len(state.Times)-1].Target, fmt.Sprint("target", targets-1))
	calls.recordSent(&CallRequest{CallState: state, Service: plainService}, "e002", errBroken)
	is.Equal(len(calls.takeState(plainService, "e002").Times), maxAllCallTimes)
}
