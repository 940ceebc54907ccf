package placementcontrol

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/membership"
)

// newSmallFleet returns entries before engines of one slot each.
func newSmallFleet(entries, engines int, change func(index int, options *Options)) *fleet {
	f := newFleet(entries, 2, engines, change)
	for _, engine := range f.engines {
		engine.Slots = 1
	}
	return f
}

// placed is the result of PlaceStream.
type placed struct {
	request string
	engine  *directory.Target
	err     error
	after   time.Duration
}

// placeAsync has an entry place a stream. The result comes through the channel.
func (f *fleet) placeAsync(ctx context.Context, name string, query generation.RelayQuery, results chan<- placed) {
	begun := time.Now()
	go func() {
		engine, err := f.managers[name].PlaceStream(ctx, query)
		results <- placed{query.Request, engine, err, time.Since(begun)}
	}()
}

// Guards against a stream that is sent to a full engine, and against one that doesn't get room once there is some.
func TestStreamsWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSmallFleet(4, 2, nil)
		f.run(t)
		ranked := f.ranked()
		first, stream := f.start(t, ranked[1], "first")
		_, second := f.start(t, ranked[2], "second")
		results := make(chan placed, 1)
		f.placeAsync(t.Context(), ranked[3], f.query("third"), results)
		time.Sleep(900 * time.Millisecond)
		is.Equal(len(results), 0)
		is.Equal(f.managers[ranked[0]].QueueLength(0, 9), 1)
		stream.Ended()
		third := <-results
		is.NoErr(third.err)
		is.Equal(third.engine, first)
		is.True(third.after <= 900*time.Millisecond+changeInterval+2*decideInterval+5*latency)
		queued := f.eventsOf(ranked[3], EventQueued)
		is.Equal(len(queued), 1)
		is.Equal(queued[0].Request, "third")
		is.Equal(queued[0].Position, 1)
		is.Equal(f.managers[ranked[0]].QueueLength(0, 9), 0)
		second.Ended()
	})
}

// Guards against a less urgent stream that gets room before a more urgent one that came later.
func TestUrgentStreamsGetRoomFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSmallFleet(4, 1, nil)
		f.run(t)
		ranked := f.ranked()
		_, running := f.start(t, ranked[1], "running")
		results := make(chan placed, 4)
		for i, priority := range []int{2, 2, 0, 1} {
			query := f.query(fmt.Sprint(priority, "-", i))
			query.Priority = priority
			f.placeAsync(t.Context(), ranked[i], query, results)
			time.Sleep(30 * time.Millisecond)
		}
		coordinator := f.managers[ranked[0]]
		is.Equal([]int{coordinator.QueueLength(0, 0), coordinator.QueueLength(1, 1), coordinator.QueueLength(2, 2)}, []int{1, 1, 2})
		var order []string
		for range 4 {
			running.Ended()
			next := <-results
			is.NoErr(next.err)
			order = append(order, next.request)
			for i, name := range ranked {
				if next.request[len(next.request)-1:] == fmt.Sprint(i) {
					running = f.managers[name].AddStream(next.engine, size, size.Prompt)
				}
			}
		}
		is.Equal(order, []string{"0-2", "1-3", "2-0", "2-1"})
	})
}

// Guards against a stream that loses its turn since room comes just between two of its requests, and against room that is kept for one that
// does not come again.
func TestRoomBetweenTwoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSmallFleet(4, 1, nil)
		f.run(t)
		ranked := f.ranked()
		coordinator := f.managers[ranked[0]]
		place := func(entry, id string) Answer {
			answer, err := coordinator.Place(t.Context(), f.request(entry, id, true))
			is.NoErr(err)
			return answer
		}
		first, err := coordinator.Place(t.Context(), f.request("other", "first", false))
		is.NoErr(err)
		is.True(place(ranked[1], "early").Queued)
		late := make(chan Answer, 1)
		go func() { late <- place(ranked[2], "late") }()
		time.Sleep(20 * time.Millisecond)
		released := f.request("other", "", false).Report
		released.Tickets = []uint64{first.Ticket}
		is.NoErr(coordinator.Receive(released))
		time.Sleep(2 * decideInterval)
		is.Equal(len(late), 0) // the earlier one has its turn
		is.Equal(place(ranked[1], "early").Engine, "i000")
		is.True((<-late).Queued)

		// The early one has not begun: its reservation lasts a second. Nobody repeats the late one.
		time.Sleep(2 * time.Second)
		is.Equal(coordinator.QueueLength(0, 9), 0)
		is.Equal(place(ranked[3], "next").Engine, "i000")
		is.Equal(len(coordinator.coordinated[service].waiters), 0)
	})
}

// Guards against waiting streams that take all connections of the coordinator, or repeat their requests all the time once it holds no more.
func TestManyWaitingStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams = 500
		is := is.New(t)
		f := newSmallFleet(8, 1, nil)
		f.run(t)
		ranked := f.ranked()
		coordinator := f.managers[ranked[0]]
		_, running := f.start(t, ranked[1], "running")
		ctx, cancel := context.WithCancel(t.Context())
		results := make(chan placed, streams)
		for i := range streams {
			query := f.query(fmt.Sprint(i))
			query.Objective, query.Deadline = 1000*time.Second, time.Now().Add(4000*time.Second)
			f.placeAsync(ctx, ranked[1+i%7], query, results)
		}
		time.Sleep(2 * time.Second)
		is.Equal(coordinator.QueueLength(0, 9), streams)
		is.Equal(coordinator.held.Load(), int64(maxHeld))
		before := len(f.sentRequests())
		time.Sleep(2 * time.Second)
		perSecond := (len(f.sentRequests()) - before) / 2
		t.Logf("%d requests a second of %d streams", perSecond, streams)
		is.True(perSecond <= streams*int(time.Second/minRepeatInterval))
		running.Ended()
		is.NoErr((<-results).err)
		cancel()
		for range streams - 1 {
			is.True(errors.Is((<-results).err, context.Canceled))
		}
		time.Sleep(repeatWithin + 2*decideInterval)
		is.Equal(coordinator.QueueLength(0, 9), 0)
		is.Equal(coordinator.held.Load(), int64(0))
	})
}

// Guards against streams that wait although they can't be served in time, and against ones that are sent then.
func TestStreamsAreRefusedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSmallFleet(4, 1, nil)
		f.run(t)
		ranked := f.ranked()
		f.start(t, ranked[1], "running") // for ever
		const streams = 40
		results := make(chan placed, streams)
		for i := range streams {
			f.placeAsync(t.Context(), ranked[i%4], f.query(fmt.Sprint(i)), results)
			time.Sleep(100 * time.Millisecond)
		}
		for range streams {
			result := <-results
			var noRoom *generation.NoRoomError
			is.True(errors.As(result.err, &noRoom))
			is.Equal(result.engine, nil)
			is.True(noRoom.RetryAfter >= 200*time.Millisecond && noRoom.RetryAfter <= 8*time.Second)
			is.True(result.after <= 3*4*time.Second) // three times the objective
		}
		refused := 0
		for _, name := range ranked {
			refused += len(f.eventsOf(name, EventRefusedEarly))
			is.Equal(f.managers[name].QueueLength(0, 9), 0)
		}
		is.Equal(refused, streams)

		// A stream that the caller has in part neither waits nor is refused.
		query := f.query("resumed")
		query.Begun = true
		engine, took := f.place(t, ranked[3], query)
		is.Equal(engine, f.engines[0])
		is.Equal(took, 2*latency)
	})
}

// Guards against room for a stream whose caller has left, or whose entry is lost.
func TestWaitingCallersThatLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSmallFleet(4, 1, nil)
		f.run(t)
		ranked := f.ranked()
		coordinator := f.managers[ranked[0]]
		_, running := f.start(t, ranked[1], "running")
		ctx, cancel := context.WithCancel(t.Context())
		results := make(chan placed, 2)
		f.placeAsync(ctx, ranked[2], f.query("left"), results)
		f.placeAsync(ctx, ranked[0], f.query("left the coordinator"), results)
		time.Sleep(600 * time.Millisecond)
		is.Equal(coordinator.QueueLength(0, 9), 2)
		cancel()
		for range 2 {
			is.True(errors.Is((<-results).err, context.Canceled))
		}
		synctest.Wait()
		is.Equal(coordinator.QueueLength(0, 9), 0)

		// An entry that is lost repeats nothing.
		answer, err := coordinator.Place(t.Context(), f.request(ranked[3], "of a lost entry", false))
		is.NoErr(err)
		is.True(answer.Queued)
		is.Equal(coordinator.QueueLength(0, 9), 1)
		time.Sleep(300 * time.Millisecond)
		running.Ended()
		f.place(t, ranked[2], f.query("next")) // gets the room
		time.Sleep(300 * time.Millisecond)
		is.Equal(coordinator.QueueLength(0, 9), 0)
	})
}

// Guards against engines that are reserved for requests which were given up while the coordinator was paused.
func TestRequestsThatWereGivenUpReserveNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSmallFleet(4, 1, nil)
		ranked := f.ranked()
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := f.managers[ranked[0]].Place(ctx, f.request(ranked[1], "given up", false))
		is.True(errors.Is(err, context.Canceled))
		answer, err := f.managers[ranked[0]].Place(t.Context(), f.request(ranked[2], "next", false))
		is.NoErr(err)
		is.Equal(answer.Engine, "i000")
	})
}

// Guards against a stream that is placed without room since its caller returns with the same request ID after a refusal, or sends several
// requests with it at once.
func TestRefusedRequestsThatReturnArePlacedByTheCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const requests = 6
		f := newSmallFleet(4, 1, nil)
		f.run(t)
		ranked := f.ranked()
		f.setFault(ranked[0], fault{answer: &Answer{Refused: true, RetryAfter: 200 * time.Millisecond}})
		results := make(chan placed, requests)
		for _, pause := range []time.Duration{200 * time.Millisecond, 0} {
			for range requests {
				f.placeAsync(t.Context(), ranked[2], f.query("same"), results)
				time.Sleep(pause)
			}
			for range requests {
				result := <-results
				var noRoom *generation.NoRoomError
				is.True(errors.As(result.err, &noRoom))
			}
		}
	})
}

// request returns the message of an entry without streams.
func (f *fleet) request(entry, id string, queued bool) Request {
	return Request{
		Report: Report{Entry: entry, Incarnation: 1, Sequence: time.Now().UnixNano(), Service: service}, Zone: "a", ID: id, Size: size,
		Objective: 4 * time.Second, TimeLeft: 20 * time.Second, Queued: queued,
	}
}

// Guards against a request that takes the answer of another one with the same ID, such as that of a caller that has returned.
func TestRequestsWithTheSameID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSmallFleet(4, 1, nil)
		f.run(t)
		ranked := f.ranked()
		coordinator := f.managers[ranked[0]]
		_, running := f.start(t, ranked[1], "running")
		results := make(chan placed, 2)
		f.placeAsync(t.Context(), ranked[2], f.query("same"), results)
		time.Sleep(500 * time.Millisecond)
		f.placeAsync(t.Context(), ranked[3], f.query("same"), results)
		former := <-results
		var noRoom *generation.NoRoomError
		is.True(errors.As(former.err, &noRoom))
		is.Equal(coordinator.QueueLength(0, 9), 1)
		running.Ended()
		is.NoErr((<-results).err)
		is.Equal(coordinator.QueueLength(0, 9), 0)
	})
}

// Guards against a stream that is refused, or loses its place, because another customer uses the same request ID.
func TestRequestsOfTwoCustomersWithTheSameID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSmallFleet(4, 1, nil)
		f.run(t)
		ranked := f.ranked()
		_, running := f.start(t, ranked[1], "running")
		results := make(chan placed, 2)
		for i, customer := range []string{"north", "south"} {
			query := f.query("1")
			query.Customer = customer
			f.placeAsync(t.Context(), ranked[2+i], query, results)
			time.Sleep(400 * time.Millisecond)
		}
		is.Equal(f.managers[ranked[0]].QueueLength(0, 9), 2)
		for i := range 2 {
			running.Ended()
			result := <-results
			is.NoErr(result.err)
			running = f.managers[ranked[2+i]].AddStream(result.engine, size, size.Prompt)
		}
		is.Equal(f.managers[ranked[0]].QueueLength(0, 9), 0)
	})
}

// Guards against streams that are held by a coordinator which is lost, shuts down, or never decides.
func TestCoordinatorsThatAreLostWhileStreamsWait(t *testing.T) {
	for name, each := range map[string]struct {
		change func(f *fleet, coordinator string)
		// within limits how long the stream waits after the change.
		within time.Duration
		source func(stats *Stats) int64
	}{
		"lost": {func(f *fleet, coordinator string) { f.setFault(coordinator, fault{silent: true}) }, repeatTimeout,
			func(stats *Stats) int64 { return stats.PlacedByFallback.Load() }},
		"broken": {func(f *fleet, coordinator string) { f.setFault(coordinator, fault{err: errBroken}) }, repeatTimeout,
			func(stats *Stats) int64 { return stats.PlacedByFallback.Load() }},
		"never decides": {func(f *fleet, coordinator string) { f.setFault(coordinator, fault{answer: &Answer{Queued: true}}) }, 13 * time.Second,
			func(stats *Stats) int64 { return stats.PlacedByFallback.Load() }},
		"no engine": {func(f *fleet, coordinator string) { f.setFault(coordinator, fault{answer: &Answer{}}) }, 2 * repeatTimeout,
			func(stats *Stats) int64 { return stats.PlacedByFallback.Load() }},
		"shuts down": {func(f *fleet, coordinator string) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.stopping = coordinator
		}, repeatTimeout, func(stats *Stats) int64 { return stats.PlacedByCoordinator.Load() }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newSmallFleet(4, 1, nil)
				for name, manager := range f.managers {
					manager.options.Stopping = func() bool {
						f.mu.Lock()
						defer f.mu.Unlock()
						return f.stopping == name
					}
				}
				f.run(t)
				ranked := f.ranked()
				f.start(t, ranked[2], "running")
				results := make(chan placed, 1)
				f.placeAsync(t.Context(), ranked[3], f.query("waits"), results)
				time.Sleep(600 * time.Millisecond)
				before := len(f.sentRequests())
				each.change(f, ranked[0])
				changed := time.Now()
				result := <-results
				is.NoErr(result.err)
				is.Equal(result.engine, f.engines[0])
				is.True(time.Since(changed) <= each.within)
				is.Equal(each.source(f.managers[ranked[3]].Stats()), int64(1))
				is.True(len(f.sentRequests())-before <= int(each.within/minRepeatInterval)+1)
			})
		})
	}
}

// Guards against a stream that is placed by the engines that its entry knew when it began to wait.
func TestEnginesThatChangeWhileStreamsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSmallFleet(4, 2, nil)
		f.run(t)
		ranked := f.ranked()
		for i, request := range []string{"first", "second"} {
			_, stream := f.start(t, ranked[1+i], request)
			stream.EventArrived() // only their slots keep others out
		}
		results := make(chan placed, 1)
		f.placeAsync(t.Context(), ranked[3], f.query("waits"), results)
		time.Sleep(600 * time.Millisecond)
		restarted := *f.engines[1]
		restarted.StartedMs = 7
		appeared := *f.engines[1]
		appeared.ID, appeared.Address = "i-new", "10.0.0.9:80"
		f.mu.Lock()
		f.engines = []*directory.Target{f.engines[0], &restarted, &appeared}
		f.mu.Unlock()
		result := <-results
		is.NoErr(result.err)
		is.Equal(result.engine, &appeared)
		is.Equal(f.managers[ranked[3]].Stats().PlacedByFallback.Load(), int64(0))

		// A stream that may not go to all engines keeps to those that its query has, as they are now.
		query := f.query("certain")
		query.Engines = []*directory.Target{f.engines[0], &appeared}
		f.placeAsync(t.Context(), ranked[3], query, results)
		f.managers[ranked[3]].AddStream(&appeared, size, 0)
		time.Sleep(600 * time.Millisecond)
		newVersion := appeared
		newVersion.ID, newVersion.Version = "i-v2", "v2"
		again := *f.engines[0]
		again.Slots, again.StartedMs = 2, 8
		f.mu.Lock()
		f.engines = []*directory.Target{&again, &restarted, &appeared, &newVersion}
		f.mu.Unlock()
		result = <-results
		is.NoErr(result.err)
		is.Equal(result.engine, &again)
	})
}

// Guards against streams that wait at an entry which shuts down until it cuts them off: it has 8 s left, and a stream may wait for 9.5 s.
func TestNoStreamWaitsAtAnEntryThatShutsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSmallFleet(4, 1, nil)
		ranked := f.ranked()
		f.managers[ranked[3]].options.Stopping = func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.stopping == ranked[3]
		}
		f.run(t)
		f.start(t, ranked[1], "running")
		results := make(chan placed, 1)
		f.placeAsync(t.Context(), ranked[3], f.query("waits"), results)
		time.Sleep(600 * time.Millisecond)
		f.mu.Lock()
		f.stopping = ranked[3]
		f.mu.Unlock()
		result := <-results
		is.NoErr(result.err)
		is.Equal(result.engine, f.engines[0])
		is.True(result.after <= 600*time.Millisecond+repeatTimeout)
		_, took := f.place(t, ranked[3], f.query("accepted later"))
		is.Equal(took, 2*latency)
		is.Equal(f.managers[ranked[3]].Stats().PlacedByFallback.Load(), int64(2))
		time.Sleep(repeatWithin + 2*decideInterval)
		is.Equal(f.managers[ranked[0]].QueueLength(0, 9), 0)
	})
}

// Guards against streams that wait, and messages for them, once their entry sees fewer live entries than share placement.
func TestNoStreamWaitsAmongTooFewEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSmallFleet(4, 1, nil)
		ranked := f.ranked()
		f.managers[ranked[3]].options.MinEntries = 4
		f.run(t)
		f.start(t, ranked[1], "running")
		results := make(chan placed, 1)
		f.placeAsync(t.Context(), ranked[3], f.query("waits"), results)
		time.Sleep(600 * time.Millisecond)
		f.mu.Lock()
		f.live = slices.DeleteFunc(slices.Clone(f.live), func(peer membership.Peer) bool { return peer.Name == ranked[2] })
		f.mu.Unlock()
		before := len(f.sentRequests())
		result := <-results
		is.NoErr(result.err)
		is.Equal(result.engine, f.engines[0])
		is.True(result.after <= 600*time.Millisecond+repeatTimeout)
		is.Equal(len(f.sentRequests()), before)
	})
}

// Guards against a stream whose limit of three times its objective starts again after each engine that refuses it, and after each coordinator.
func TestTheWaitOfAStreamIsLimitedOverItsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSmallFleet(4, 1, nil)
		f.run(t)
		ranked := f.ranked()
		_, running := f.start(t, ranked[1], "running")
		query := f.query("waits")
		query.Arrived = time.Now()
		for attempt := 0; ; attempt++ {
			is.True(attempt < 5)
			results := make(chan placed, 1)
			f.placeAsync(t.Context(), ranked[3], query, results)
			timer := time.AfterFunc(5*time.Second, running.Ended)
			result := <-results
			if result.err != nil {
				var noRoom *generation.NoRoomError
				is.True(errors.As(result.err, &noRoom))
				timer.Stop()
				break
			}
			f.managers[ranked[3]].AddStream(result.engine, size, size.Prompt).Ended() // the engine refuses it
			_, running = f.start(t, ranked[1], fmt.Sprint("running", attempt))
		}
		is.True(time.Since(query.Arrived) <= waitObjectives*query.Objective)
	})
}

// Guards against streams that are refused or wait, although engines have room for them, since prompts that fit no engine wait.
func TestLargePromptsDoNotHoldUpOthers(t *testing.T) {
	for _, waiting := range []int{1, 20} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			const engines = 6
			f := newFleet(4, 2, engines, nil)
			f.run(t)
			ranked := f.ranked()
			for i := range engines {
				_, stream := f.start(t, ranked[1], fmt.Sprint("running", i))
				stream.EventArrived()
			}
			time.Sleep(time.Second)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			large := make(chan placed, waiting)
			for i := range waiting {
				query := f.query(fmt.Sprint("large", i))
				query.Size.Prompt = 50_000
				query.Objective = 20 * time.Second
				f.placeAsync(ctx, ranked[2], query, large)
			}
			time.Sleep(9500 * time.Millisecond) // so that no room has become free for 5 s
			is.True(f.managers[ranked[0]].QueueLength(0, 9) > 0)
			for i := range engines {
				query := f.query(fmt.Sprint("small", i))
				query.Priority = i % 2
				_, took := f.place(t, ranked[3], query)
				is.Equal(took, 2*latency)
			}
		})
	}
}

// Guards against streams that get no room since more long prompts than the coordinator looks at wait before them.
func TestStreamsBehindLargePromptsGetRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const large = 30
		f := newFleet(4, 2, 1, nil)
		f.engines[0].Slots = 2
		f.run(t)
		ranked := f.ranked()
		var running generation.PlacedStream
		for i := range f.engines[0].Slots {
			_, running = f.start(t, ranked[1], fmt.Sprint("running", i))
			running.EventArrived()
			time.Sleep(time.Second)
		}
		for i := range large {
			query := f.query(fmt.Sprint("large", i))
			query.Size.Prompt = 50_000 + 100*i
			query.Objective = 20 * time.Second
			f.placeAsync(t.Context(), ranked[2], query, make(chan placed, 1))
		}
		time.Sleep(100 * time.Millisecond)
		results := make(chan placed, 1)
		query := f.query("small")
		query.Priority, query.Objective, query.Size.Prompt = 1, 20*time.Second, 600
		f.placeAsync(t.Context(), ranked[3], query, results)
		time.Sleep(400 * time.Millisecond)
		is.Equal(f.managers[ranked[0]].QueueLength(1, 1), 1)
		running.Ended()
		result := <-results
		is.NoErr(result.err)
		is.Equal(result.engine, f.engines[0])
		is.True(result.after <= 600*time.Millisecond+changeInterval+2*decideInterval)
	})
}

// Guards against streams that are placed at a version that may not get them any more, and ones that are placed without room or not at all when
// engines return, since they have waited for longer than their engines are known.
func TestWaitingStreamsFollowTheEngines(t *testing.T) {
	for name, each := range map[string]struct {
		// available are the engines of the service after a while, allowed those of them that the stream may be placed at then. The streams at the
		// engines of ends end after that, and the stream gets room at the engine with the number chosen.
		available, allowed, ends []int
		chosen                   int
	}{
		"engine returns":  {available: []int{0, 1, 2}, allowed: []int{0, 1, 2}, chosen: 2},
		"version refused": {available: []int{0, 1}, allowed: []int{0}, ends: []int{1, 0}, chosen: 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				all := engineFleet(3)
				enginesOf := func(numbers []int) *[]*directory.Target {
					var engines []*directory.Target
					for _, number := range numbers {
						engines = append(engines, all[number])
					}
					return &engines
				}
				for _, engine := range all {
					engine.Slots = 1
				}
				var available, allowed atomic.Pointer[[]*directory.Target]
				available.Store(enginesOf([]int{0, 1}))
				allowed.Store(available.Load())
				f := newFleet(4, 2, 0, func(_ int, options *Options) {
					options.Service = func(string) (*directory.EngineSpec, []*directory.Target) { return spec, *available.Load() }
				})
				f.engines = *available.Load()
				f.run(t)
				ranked := f.ranked()
				running := map[string]generation.PlacedStream{}
				for i := range f.engines {
					engine, stream := f.start(t, ranked[1], fmt.Sprint("running", i))
					running[engine.ID] = stream
				}
				query := f.query("waits")
				query.Latest = func() ([]*directory.Target, func(*directory.Target) bool) { return *allowed.Load(), nil }
				results := make(chan placed, 1)
				f.placeAsync(t.Context(), ranked[3], query, results)
				time.Sleep(600 * time.Millisecond)
				allowed.Store(enginesOf(each.allowed))
				available.Store(enginesOf(each.available))
				for _, number := range each.ends {
					time.Sleep(repeatTimeout)
					is.Equal(len(results), 0)
					running[all[number].ID].Ended()
				}
				result := <-results
				is.NoErr(result.err)
				is.Equal(result.engine, all[each.chosen])
				is.True(result.after <= 2*time.Second)
				stats := f.managers[ranked[3]].Stats()
				is.Equal(stats.PlacedByCoordinator.Load(), int64(1))
				is.Equal(stats.PlacedByFallback.Load(), int64(0))
			})
		})
	}
}

// Guards against a stream that waits although none of its engines is left, and keeps its caller from another version.
func TestNoStreamWaitsWithoutAnEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSmallFleet(4, 1, nil)
		f.run(t)
		ranked := f.ranked()
		f.start(t, ranked[1], "running")
		var isRefused atomic.Bool
		query := f.query("waits")
		query.Latest = func() ([]*directory.Target, func(*directory.Target) bool) {
			if isRefused.Load() {
				return nil, nil
			}
			return f.engines, nil
		}
		results := make(chan placed, 1)
		f.placeAsync(t.Context(), ranked[3], query, results)
		time.Sleep(600 * time.Millisecond)
		isRefused.Store(true)
		result := <-results
		is.NoErr(result.err)
		is.Equal(result.engine, nil)
		is.True(result.after <= 600*time.Millisecond+repeatTimeout)
		is.Equal(f.managers[ranked[0]].QueueLength(0, 9), 0)
	})
}

// Guards against memory that streams take while they wait: a state has up to 64 KB.
func TestWaitingStreamsKeepNoStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSmallFleet(4, 1, nil)
		f.run(t)
		ranked := f.ranked()
		coordinator := f.managers[ranked[0]]
		f.start(t, ranked[1], "running")
		results := make(chan placed, 1)
		f.placeAsync(t.Context(), ranked[1], f.query("waits"), results)
		time.Sleep(600 * time.Millisecond)
		coordinator.coordinatedMu.Lock()
		waiting, kept := 0, 0
		for _, w := range coordinator.coordinated[service].waiters {
			waiting++
			kept += len(w.request.Engines) + len(w.request.Paces) + len(w.request.Tickets)
		}
		coordinator.coordinatedMu.Unlock()
		is.Equal(waiting, 1)
		is.Equal(kept, 0)
	})
}

// Guards against room that no stream gets since no message reports it: that of an entry that is lost.
func TestRoomOfALostEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSmallFleet(4, 1, nil)
		f.run(t)
		ranked := f.ranked()
		lost := f.request("lost", "x", false)
		answer, err := f.managers[ranked[0]].Place(t.Context(), lost)
		is.NoErr(err)
		is.Equal(answer.Engine, "i000") // reserved for a second
		_, took := f.place(t, ranked[2], f.query("waits"))
		is.True(took >= 900*time.Millisecond && took <= ticketTTL+2*decideInterval+5*latency)
	})
}

// Guards against waiting streams that are forgotten on either side, under random load above the room.
func TestEveryWaitingStreamIsAnswered(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			const entries, engines, streams = 12, 10, 600
			f := newSmallFleet(entries, engines, nil)
			f.run(t)
			random := rand.New(rand.NewPCG(seed, 3))
			var running sync.WaitGroup
			var mu sync.Mutex
			atEngine, most, ran, refused, left := map[string]int{}, 0, 0, 0, 0
			for i := range streams {
				name := peerOf(random.IntN(entries)).Name
				query := f.query(fmt.Sprint(i))
				query.Priority = 2 * random.IntN(2)
				lasts := time.Duration(1000+random.IntN(3000)) * time.Millisecond
				patience := 25 * time.Second
				if random.IntN(10) == 0 {
					patience = time.Duration(random.IntN(3000)) * time.Millisecond
				}
				running.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), patience)
					defer cancel()
					engine, err := f.managers[name].PlaceStream(ctx, query)
					var noRoom *generation.NoRoomError
					mu.Lock()
					defer mu.Unlock()
					switch {
					case errors.As(err, &noRoom):
						refused++
						return
					case ctx.Err() != nil:
						left++
						return
					case err != nil || engine == nil:
						t.Error(engine, err)
						return
					}
					ran++
					stream := f.managers[name].AddStream(engine, size, size.Prompt)
					atEngine[engine.ID]++
					most = max(most, atEngine[engine.ID])
					mu.Unlock()
					time.Sleep(lasts / 2)
					stream.EventArrived()
					time.Sleep(lasts / 2)
					stream.Ended()
					mu.Lock()
					atEngine[engine.ID]--
				})
				time.Sleep(time.Duration(random.ExpFloat64() * float64(130*time.Millisecond))) // twice what the engines serve
			}
			running.Wait()
			time.Sleep(time.Second)
			t.Logf("seed %d: %d ran, %d refused, %d left; at most %d streams at an engine", seed, ran, refused, left, most)
			is.Equal(ran+refused+left, streams)
			is.Equal(most, 1)
			is.True(ran > streams/3)
			for _, manager := range f.managers {
				is.Equal(manager.QueueLength(0, 9), 0)
				manager.coordinatedMu.Lock()
				for _, c := range manager.coordinated {
					is.Equal(c.queue.Len(), 0)
				}
				manager.coordinatedMu.Unlock()
				is.Equal(manager.Stats().PlacedByFallback.Load(), int64(0))
			}
		})
	}
}
