package placementcontrol

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/routing"
)

// Guards against messages, or other choices than before, where too few entries are live.
func TestNothingIsSharedAmongFewEntries(t *testing.T) {
	for _, minEntries := range []int{6, -1} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(5, minEntries, 9, nil)
			f.run(t)
			alone := routing.NewPlacement(routing.PlacementOptions{AvailabilityZone: "a", Seed: 2})
			for i := range 20 {
				engine, stream := f.start(t, "e002", fmt.Sprint(i))
				is.Equal(engine, alone.Place(f.query(fmt.Sprint(i))))
				expected := alone.AddStream(engine, size, size.Prompt)
				time.Sleep(300 * time.Millisecond)
				stream.EventArrived()
				expected.EventArrived()
			}
			time.Sleep(5 * time.Second)
			is.Equal(len(f.sentRequests())+len(f.sentReports()), 0)
			_, err := f.managers["e001"].Place(t.Context(), Request{Report: Report{Entry: "e002", Service: service}})
			is.True(errors.Is(err, ErrDeclined))
			is.True(errors.Is(f.managers["e001"].Receive(Report{Entry: "e002", Service: service}), ErrDeclined))
			is.Equal(len(f.events["e001"])+len(f.events["e002"]), 0)
		})
	}
}

// Guards against streams of several entries at the same engine while another one is idle.
func TestStreamsOfAllEntriesKeepApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const entries, engines = 8, 24
		f := newFleet(entries, 2, engines, nil)
		f.run(t)
		used := map[string]int{}
		var running []generation.PlacedStream
		for i := range engines {
			engine, stream := f.start(t, peerOf(i%entries).Name, fmt.Sprint(i))
			used[engine.ID]++
			running = append(running, stream)
			if i%5 == 0 {
				time.Sleep(200 * time.Millisecond) // some reservations become states
			}
		}
		is.Equal(len(used), engines)
		for _, stream := range running {
			stream.EventArrived() // an engine has no room for a prompt beside a whole one
		}
		time.Sleep(2 * changeInterval)
		// Streams at the same moment, before any state includes one of them.
		chosen := make(chan string, entries)
		for i := range entries {
			go func() {
				engine, _ := f.managers[peerOf(i).Name].PlaceStream(t.Context(), f.query(fmt.Sprint("again", i)))
				chosen <- engine.ID
			}()
		}
		again := map[string]bool{}
		for range entries {
			again[<-chosen] = true
		}
		is.Equal(len(again), entries)
	})
}

// Guards against a lost coordinator that delays streams for longer than 60 ms, or more streams than the first two and one after each pause,
// and against one that isn't used again.
func TestLostCoordinator(t *testing.T) {
	for name, injected := range map[string]fault{"silent": {silent: true}, "late": {late: 200 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(4, 2, 9, nil)
				coordinator, entry := f.ranked()[0], f.ranked()[2]
				f.setFault(coordinator, injected)
				f.run(t)
				delayed := map[time.Duration]int{}
				begun := time.Now()
				for i := range 1500 { // 15 s and more
					at := time.Since(begun).Truncate(time.Second)
					engine, took := f.place(t, entry, f.query(fmt.Sprint(i)))
					is.True(took <= placeTimeout)
					if took > 0 {
						delayed[at]++
					}
					stream := f.managers[entry].AddStream(engine, size, size.Prompt)
					time.Sleep(10 * time.Millisecond)
					stream.Ended()
				}
				t.Logf("streams delayed, by second: %v", delayed)
				is.Equal(delayed, map[time.Duration]int{0: 2, time.Second: 1, 3 * time.Second: 1, 7 * time.Second: 1, 11 * time.Second: 1})
				events := f.eventsOf(entry, EventFallback)
				is.True(len(events) <= 2*17) // a second and reason
				total := 0
				for _, event := range events {
					total += event.Count
				}
				is.True(total > 1400)

				f.setFault(coordinator, fault{})
				time.Sleep(maxPause)
				for i := range 5 {
					_, took := f.place(t, entry, f.query(fmt.Sprint("back", i)))
					is.Equal(took, 2*latency)
				}
				is.Equal(f.managers[entry].Stats().PlacedByCoordinator.Load(), int64(5))
			})
		})
	}
}

// Guards against streams that are delayed together while one tries whether the coordinator is back.
func TestOnlyOneStreamTriesALostCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(4, 2, 9, nil)
		coordinator, entry := f.ranked()[0], f.ranked()[1]
		f.setFault(coordinator, fault{silent: true})
		for i := range 2 {
			f.place(t, entry, f.query(fmt.Sprint(i)))
		}
		time.Sleep(minPause)
		took := make(chan time.Duration, 10)
		for i := range 10 {
			go func() {
				begun := time.Now()
				_, _ = f.managers[entry].PlaceStream(t.Context(), f.query(fmt.Sprint("all", i)))
				took <- time.Since(begun)
			}()
		}
		delayed := 0
		for range 10 {
			if <-took > 0 {
				delayed++
			}
		}
		is.Equal(delayed, 1)
	})
}

// Guards against peers of a former build, or that decline for another reason, which are asked for each stream, and against a stream that asks
// too many of them.
func TestDecliningPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(20, 2, 9, nil)
		ranked := f.ranked()
		entry := ranked[19]
		declined := fmt.Errorf("status 404: %w", ErrDeclined)
		for _, name := range ranked[:3] {
			f.setFault(name, fault{err: declined})
		}
		_, took := f.place(t, entry, f.query("first"))
		is.Equal(took, 3*latency+2*latency)
		is.Equal(len(f.sentRequests()), 4)
		_, took = f.place(t, entry, f.query("second"))
		is.Equal(took, 2*latency)
		is.Equal(f.sentRequests()[4].peer, ranked[3])

		f.setFault(ranked[0], fault{}) // as a new build
		time.Sleep(declineTTL)
		f.place(t, entry, f.query("third"))
		is.Equal(f.sentRequests()[5].peer, ranked[0])

		for _, name := range ranked[:19] {
			f.setFault(name, fault{err: declined})
		}
		time.Sleep(declineTTL)
		before := len(f.sentRequests())
		_, took = f.place(t, entry, f.query("all"))
		is.True(took <= placeTimeout)
		is.Equal(len(f.sentRequests())-before, maxDeclines)
		for i := range 10 {
			_, took = f.place(t, entry, f.query(fmt.Sprint("next", i)))
			is.Equal(took, 0*latency)
		}
		is.Equal(len(f.sentRequests())-before, maxDeclines)
		// The rest are asked after a pause; then this entry is the first that has not declined.
		time.Sleep(declinedPause)
		f.place(t, entry, f.query("self"))
		is.Equal(len(f.sentRequests())-before, 19)
		is.Equal(f.managers[entry].Stats().PlacedBySelf.Load(), int64(1))
	})
}

// Guards against an entry that coordinates although it must not.
func TestEntriesThatDoNotCoordinate(t *testing.T) {
	for name, change := range map[string]func(options *Options){
		"narrow link":   func(options *Options) { options.NarrowLink = true },
		"shutting down": func(options *Options) { options.Stopping = func() bool { return true } },
		"few entries": func(options *Options) {
			options.View = membership.Static{This: options.View.Self(), Peers: []membership.Peer{options.View.Self()}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				first := membership.Rank([]membership.Peer{peerOf(0), peerOf(1), peerOf(2)}, RankKey(service))[0].Name
				f := newFleet(3, 2, 9, func(index int, options *Options) {
					if peerOf(index).Name == first {
						change(options)
					}
				})
				f.run(t)
				for i := range 3 {
					for _, name := range f.ranked() {
						f.start(t, name, fmt.Sprint(name, i))
						time.Sleep(500 * time.Millisecond)
					}
				}
				is.Equal(f.managers[first].CoordinatedCount(), 0)
				second := f.ranked()[1]
				is.Equal(f.managers[second].CoordinatedCount(), 1)
				is.Equal(f.managers[second].Stats().PlacedBySelf.Load(), int64(3))
				is.Equal(f.managers[f.ranked()[2]].Stats().PlacedByCoordinator.Load(), int64(3))
			})
		})
	}
}

// Guards against entries that are partitioned from each other, so that each group has a coordinator, and can't place streams, or don't get
// together again.
func TestTwoCoordinators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8, 2, 16, nil)
		first := f.ranked()[0]
		var rest []membership.Peer
		for _, peer := range f.live {
			if peer.Name != first {
				rest = append(rest, peer)
			}
		}
		// One entry in two believes that the first one is dead.
		for i, name := range f.ranked() {
			if i%2 == 1 {
				f.managers[name].options.View = membership.Static{This: f.managers[name].options.View.Self(), Peers: rest}
			}
		}
		f.run(t)
		for i := range 16 {
			_, stream := f.start(t, f.ranked()[i%8], fmt.Sprint(i))
			time.Sleep(50 * time.Millisecond)
			stream.EventArrived()
		}
		is.Equal(f.managers[first].CoordinatedCount(), 1)
		is.Equal(f.managers[f.ranked()[1]].CoordinatedCount(), 1)
		for _, manager := range f.managers {
			is.Equal(manager.Stats().PlacedByFallback.Load(), int64(0))
		}
	})
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(4, 2, 8, nil)
		f.run(t)
		all := f.live
		former := f.ranked()[0]
		f.start(t, f.ranked()[3], "before")
		f.mu.Lock()
		f.live = slices.DeleteFunc(slices.Clone(all), func(peer membership.Peer) bool { return peer.Name == former })
		f.mu.Unlock()
		latter := f.ranked()[0]
		f.start(t, f.ranked()[2], "meanwhile")
		is.Equal(f.managers[latter].CoordinatedCount(), 1)
		f.mu.Lock()
		f.live = all
		f.mu.Unlock()
		f.start(t, f.ranked()[3], "after")
		time.Sleep(coordinationTTL + 2*keepInterval)
		is.Equal(f.managers[former].CoordinatedCount(), 1)
		is.Equal(f.managers[latter].CoordinatedCount(), 0)
		events := f.eventsOf(latter, EventCoordinator)
		is.Equal(events[len(events)-1].Role, RoleStopped)
	})
}

// Guards against streams at engines that their entry may not use, and against more than two queries for one attempt.
func TestUnusableEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(4, 2, 9, nil)
		coordinator, entry := f.ranked()[0], f.ranked()[1]
		known := f.engines[:2:2]
		f.managers[entry].options.Service = func(string) (*directory.EngineSpec, []*directory.Target) { return spec, known }
		for i := range 40 {
			query := f.query(fmt.Sprint(i))
			query.Engines = known
			before := len(f.sentRequests())
			engine, took := f.place(t, entry, query)
			is.True(slices.Contains(known, engine))
			is.True(len(f.sentRequests())-before <= maxQueries)
			is.True(took <= placeTimeout)
			time.Sleep(20 * time.Millisecond)
		}
		stats := f.managers[entry].Stats()
		is.True(stats.PlacedByFallback.Load() > 0 && stats.PlacedByCoordinator.Load() > 0)

		// Engines that the entry knows and can't use for the stream are excluded beforehand.
		f.managers[entry].options.Service = f.managers[coordinator].options.Service
		query := f.query("excluded")
		query.Engines = f.engines[3:]
		query.Exclude = []string{"i004"}
		query.Fits = func(engine *directory.Target) bool { return engine.ID != "i005" }
		engine, _ := f.place(t, entry, query)
		sent := f.sentRequests()
		is.Equal(sent[len(sent)-1].Exclude, []string{"i004", "i000", "i001", "i002", "i005"})
		is.True(slices.Contains(f.engines[6:], engine) || engine.ID == "i003")

		// The limits of the entry: the engine is refused after the choice.
		query = f.query("limited")
		before := len(f.sentRequests())
		for range 5 {
			engine, _ := f.place(t, entry, query)
			is.True(!slices.Contains(query.Exclude, engine.ID))
			query.Exclude = append(query.Exclude, engine.ID)
		}
		is.Equal(len(f.sentRequests())-before, maxQueries)

		// Invalid answers.
		for _, answer := range []Answer{{Engine: "none", Address: "x"}, {Engine: "i001", Address: "x"}, {Ticket: 7}, {}} {
			f.setFault(coordinator, fault{answer: &answer})
			_, took := f.place(t, entry, f.query(fmt.Sprint(answer)))
			is.True(took <= placeTimeout)
		}
	})
}

// Guards against a stream of a certain version that the coordinator, which knows of no versions, places.
func TestStreamsOfCertainVersionsArePlacedLocally(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(4, 2, 9, nil)
		query := f.query("s")
		query.Begun = true
		query.Fits = func(engine *directory.Target) bool { return engine.ID == "i004" }
		engine, _ := f.place(t, f.ranked()[2], query)
		is.Equal(engine.ID, "i004")
		is.Equal(len(f.sentRequests()), 0)
		query.Fits = nil
		f.place(t, f.ranked()[2], query)
		is.Equal(len(f.sentRequests()), 1)
	})
}

// Guards against a caller that has left and is waited for, and against its leaving being taken for a fault of the coordinator.
func TestCallersThatLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(4, 2, 9, nil)
		coordinator, entry := f.ranked()[0], f.ranked()[1]
		f.setFault(coordinator, fault{silent: true})
		for i := range 5 {
			ctx, cancel := context.WithTimeout(t.Context(), 45*time.Millisecond)
			go func() {
				time.Sleep(40 * time.Millisecond)
				cancel()
			}()
			begun := time.Now()
			engine, err := f.managers[entry].PlaceStream(ctx, f.query(fmt.Sprint(i)))
			is.True(errors.Is(err, context.Canceled))
			is.Equal(engine, nil)
			is.Equal(time.Since(begun), 40*time.Millisecond)
		}
		f.setFault(coordinator, fault{})
		_, took := f.place(t, entry, f.query("next"))
		is.Equal(took, 2*latency) // the coordinator is not taken for lost
	})
}

// Guards against reports that are too frequent, against a state that is not kept known, and against messages of an entry without streams.
func TestReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(4, 2, 9, nil)
		f.run(t)
		coordinator, entry := f.ranked()[0], f.ranked()[1]
		time.Sleep(5 * time.Second)
		is.Equal(len(f.sentReports()), 0)
		engine, stream := f.start(t, entry, "s")
		for range 40 { // 4 s of changes
			release := f.managers[entry].AddCopy(engine, size)
			time.Sleep(100 * time.Millisecond)
			release()
		}
		reports := f.sentReports()
		is.True(len(reports) >= 18 && len(reports) <= 27) // the changes come every 100 ms
		for i, report := range reports {
			is.Equal(report.peer, coordinator)
			is.Equal(report.Sequence, int64(i+2))
			is.True(i == 0 || report.at.Sub(reports[i-1].at) >= changeInterval)
		}
		is.Equal(len(reports[0].Tickets), 1)
		is.Equal(len(reports[1].Tickets), 0) // the ticket has arrived

		time.Sleep(500 * time.Millisecond)
		before := len(f.sentReports())
		time.Sleep(10 * time.Second)
		is.Equal(len(f.sentReports())-before, 10)
		stream.Ended()
		time.Sleep(500 * time.Millisecond)
		reports = f.sentReports()
		is.Equal(len(reports)-before, 11)
		is.Equal(len(reports[len(reports)-1].Engines), 0) // the last one reports that nothing is left
		time.Sleep(10 * time.Second)
		is.Equal(len(f.sentReports()), len(reports))
		is.Equal(f.managers[coordinator].StateAge(), 0*time.Second)
	})
}

// Guards against a lost coordinator that gets a report at each change, and against observations that are lost with a message.
func TestReportsToALostCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(4, 2, 9, nil)
		coordinator, entry := f.ranked()[0], f.ranked()[1]
		f.run(t)
		engine, stream := f.start(t, entry, "s")
		time.Sleep(time.Second)
		f.setFault(coordinator, fault{err: errBroken})
		before := len(f.sentReports())
		for range 100 { // 10 events bring one observation
			time.Sleep(30 * time.Millisecond)
			stream.EventArrived()
			f.managers[entry].AddCopy(engine, size)()
		}
		is.True(len(f.sentReports())-before <= 4)
		f.setFault(coordinator, fault{})
		time.Sleep(3 * time.Second)
		reports := f.sentReports()[before:]
		var observed int
		for _, report := range reports {
			if observed = len(report.Paces); observed >= 10 {
				break
			}
		}
		is.True(observed >= 10)
		is.Equal(len(reports[len(reports)-1].Paces), 0) // they have arrived
	})
}

// recordedView records what the coordinator knows.
type recordedView struct {
	View
	mu      *sync.Mutex
	updates map[string]Report
}

func (v recordedView) Update(entry string, incarnation uint64, sequence int64, load []routing.EngineLoad, samples []routing.PaceSample, tickets []uint64) {
	v.mu.Lock()
	if sequence > v.updates[entry].Sequence {
		v.updates[entry] = Report{Entry: entry, Incarnation: incarnation, Sequence: sequence, Engines: load, Tickets: tickets}
	}
	v.mu.Unlock()
	v.View.Update(entry, incarnation, sequence, load, samples, tickets)
}

// Guards against reservations that are not released, and against a coordinator whose state depends on lost, late or repeated messages.
func TestLateAndRepeatedMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		updates := map[string]Report{}
		enginesOf := func(entry string) []routing.EngineLoad {
			mu.Lock()
			defer mu.Unlock()
			return updates[entry].Engines
		}
		f := newFleet(4, 2, 9, func(index int, options *Options) {
			newView := options.NewView
			options.NewView = func() View { return recordedView{newView(), &mu, updates} }
		})
		f.run(t)
		coordinator, entry := f.ranked()[0], f.ranked()[1]
		var streams []func()
		for i := range 6 {
			_, stream := f.start(t, entry, fmt.Sprint(i))
			streams = append(streams, stream.Ended)
			time.Sleep(30 * time.Millisecond)
		}
		time.Sleep(time.Second)
		// All messages once more, the latest first.
		messages := f.sentReports()
		slices.Reverse(messages)
		for _, message := range messages {
			is.NoErr(f.managers[coordinator].Receive(message.Report))
		}
		for _, request := range f.sentRequests() {
			_, err := f.managers[coordinator].Place(t.Context(), request.Request)
			is.NoErr(err)
		}
		known := 0
		for _, engine := range enginesOf(entry) {
			known += engine.Streams
		}
		is.Equal(known, 6)
		for _, end := range streams {
			end()
		}
		time.Sleep(2 * time.Second)
		is.Equal(len(enginesOf(entry)), 0)

		// An engine that is not used is released by the next message.
		f.place(t, entry, f.query("unused"))
		query := f.query("unused")
		query.Exclude = []string{"i000"}
		f.place(t, entry, query)
		sent := f.sentRequests()
		is.Equal(len(sent[len(sent)-1].Tickets), 1)
	})
}

// Guards against messages that grow without bound.
func TestMessagesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(4, 2, 1000, nil)
		entry := f.ranked()[1]
		for i, engine := range f.engines {
			f.managers[entry].AddStream(engine, size, i)
		}
		f.place(t, entry, f.query("s"))
		sent := f.sentRequests()[0]
		is.Equal(len(sent.Engines), maxEngines)
		var names []string
		for _, end := range []string{"a", "b"} {
			query := f.query(strings.Repeat("n", 60_000) + end)
			query.Affinity = query.Request
			f.place(t, entry, query)
			sent := f.sentRequests()
			names = append(names, sent[len(sent)-1].ID, sent[len(sent)-1].Affinity)
		}
		is.Equal(len(names[0]), maxNameBytes)
		is.Equal(names[0], names[1])
		is.True(names[0] != names[2])
		query := f.query("narrow")
		query.Fits = func(engine *directory.Target) bool { return engine.ID == "i999" }
		engine, _ := f.place(t, entry, query) // too many to exclude
		is.Equal(engine.ID, "i999")
		is.Equal(len(f.sentRequests()), 3)
	})
}

// Guards against streams that are sent to engines which have ended, by a coordinator that has not heard from the store: they have no load, and
// each entry that is sent there is refused. Such an entry neither asks nor coordinates.
func TestEntriesWithAnOutdatedListOfEnginesPlaceLocally(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		outdated := map[int]bool{}
		f := newFleet(4, 2, 9, func(index int, options *Options) { options.IsOutdated = func() bool { return outdated[index] } })
		ranked := f.ranked()
		indexOf := func(name string) int {
			return slices.IndexFunc(f.live, func(peer membership.Peer) bool { return peer.Name == name })
		}
		f.place(t, ranked[2], f.query("shared"))
		is.Equal(len(f.sentRequests()), 1)
		outdated[indexOf(ranked[2])] = true
		f.place(t, ranked[2], f.query("local"))
		is.Equal(len(f.sentRequests()), 1) // it didn't ask
		outdated[indexOf(ranked[2])], outdated[indexOf(ranked[0])] = false, true
		_, err := f.managers[ranked[0]].Place(t.Context(), f.request(ranked[2], "x", false))
		is.True(errors.Is(err, ErrDeclined))
		f.place(t, ranked[2], f.query("other coordinator"))
		requests := f.sentRequests()
		is.Equal(requests[len(requests)-1].peer, ranked[1])
	})
}
