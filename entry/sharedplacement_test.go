package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/settings"
	"github.com/azurebarrow/azurebarrow/standin/target"
)

// placementCluster is a cluster whose entries share the placement of the service "long".
type placementCluster struct {
	*testCluster
	long []*standinTarget
	// slots are the slots of each engine, events the events of a stream.
	slots, events int
}

func startPlacementCluster(t *testing.T, entries, engines int, c *placementCluster, options settings.SharedPlacement) *placementCluster {
	t.Helper()
	c.testCluster = startPreparedCluster(t, entries, &testCluster{sharedPlacement: options})
	for i := range engines {
		c.long = append(c.long, c.startTarget(t, target.Options{
			ID: fmt.Sprintf("i-long-%d", i), Service: "long", AvailabilityZone: "a", Slots: c.slots, Events: c.events, EventInterval: 50 * time.Millisecond,
		}))
	}
	c.awaitOrFail(t, "engines and entries", func() bool {
		for _, entry := range c.entries {
			if len(entry.directory.Snapshot().Targets["long"]) != engines || len(entry.members.Live()) != entries {
				return false
			}
		}
		return true
	})
	return c
}

func (c *placementCluster) awaitOrFail(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("not in time: ", what)
}

// stream runs a stream of the service "long" through an entry, and reports whether it is complete.
func (c *placementCluster) stream(entry int, id string) bool {
	response, text, err := c.request(entry, "POST", "/long/"+id, id, "k1", "prompt")
	return err == nil && response.StatusCode == http.StatusOK && strings.HasSuffix(text, target.Event("/long/"+id, c.events))
}

// placements returns the number of streams that any entry placed as the coordinator, and by itself without one.
func (c *placementCluster) placements() (shared, fallback int64) {
	for _, entry := range c.entries {
		stats := entry.sharedPlacement.Stats()
		shared += stats.PlacedByCoordinator.Load() + stats.PlacedBySelf.Load()
		fallback += stats.PlacedByFallback.Load()
	}
	return shared, fallback
}

// streamsByEngine returns the engines that ran streams of a round, with their number.
func (c *placementCluster) streamsByEngine(t *testing.T, round string) map[int]int {
	used := map[int]int{}
	for i, engine := range c.long {
		for id := range engine.runs(t) {
			if strings.HasPrefix(id, round) {
				used[i]++
			}
		}
	}
	return used
}

// Guards against streams of several entries that meet at one engine while another one is idle, and against streams that are lost with the
// coordinator.
func TestEntriesSharePlacementOnLoopback(t *testing.T) {
	const entries, engines, maxRounds = 4, 8, 10
	is := is.New(t)
	c := startPlacementCluster(t, entries, engines, &placementCluster{slots: 64, events: 30}, settings.SharedPlacement{MinEntries: entries - 1})
	// On a busy machine the coordinator may not answer within 60 ms. Such a round shows nothing.
	clean := false
	for round := 0; round < maxRounds && !clean; round++ {
		before, fallbackBefore := c.placements()
		var streams sync.WaitGroup
		for i := range engines {
			id := fmt.Sprintf("round%d-%d", round, i)
			streams.Go(func() {
				if !c.stream(i*i%entries, id) { // the entries get different numbers of streams
					t.Error("not complete: ", id)
				}
			})
			time.Sleep(20 * time.Millisecond)
		}
		streams.Wait()
		shared, fallback := c.placements()
		clean = fallback == fallbackBefore
		used := c.streamsByEngine(t, fmt.Sprintf("round%d-", round))
		t.Logf("round %d: %d streams placed by the coordinator, %d by their entries; by engine: %v", round, shared-before, fallback-fallbackBefore, used)
		if clean {
			is.Equal(shared-before, int64(engines))
			is.Equal(len(used), engines)
		}
	}
	is.True(clean)

	coordinator := -1
	for i, entry := range c.entries {
		if entry.sharedPlacement.CoordinatedCount() > 0 {
			coordinator = i
		}
	}
	is.True(coordinator >= 0)
	_ = c.entries[coordinator].peers.server.Close() // all that the entry runs ends with the first of its servers
	rest := []int{}
	for i := range c.entries {
		if i != coordinator {
			rest = append(rest, i)
		}
	}
	var streams sync.WaitGroup
	for i := range 12 {
		streams.Go(func() {
			if !c.stream(rest[i%len(rest)], fmt.Sprint("lost-", i)) {
				t.Error("not complete after the loss of the coordinator")
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	streams.Wait()
	c.awaitOrFail(t, "another coordinator", func() bool {
		before, _ := c.placements()
		if !c.stream(rest[0], fmt.Sprint("then-", time.Now().UnixNano())) {
			t.Error("not complete")
		}
		after, _ := c.placements()
		return after > before
	})
}

// Guards against messages about placement where it is not shared.
func TestPlacementIsNotSharedByDefaultOnLoopback(t *testing.T) {
	is := is.New(t)
	c := startPlacementCluster(t, 2, 2, &placementCluster{slots: 64, events: 5}, settings.SharedPlacement{})
	for i := range 4 {
		is.True(c.stream(i%2, fmt.Sprint("s", i)))
	}
	shared, fallback := c.placements()
	is.Equal(shared+fallback, int64(0))
	for _, entry := range c.entries {
		stats := entry.sharedPlacement.Stats()
		is.Equal(stats.ReportsSent.Load()+stats.RequestsReceived.Load()+stats.ReportsReceived.Load()+stats.Declined.Load(), int64(0))
	}
}

// waiting returns the number of streams that wait for room.
func (c *placementCluster) waiting() int {
	count := 0
	for _, entry := range c.entries {
		count += entry.sharedPlacement.QueueLength(0, 9)
	}
	return count
}

// Guards against streams that are sent to full engines instead of waiting for room, and against room for a stream whose caller has left.
func TestStreamsWaitForRoomOnLoopback(t *testing.T) {
	const entries, engines = 4, 2
	is := is.New(t)
	c := startPlacementCluster(t, entries, engines, &placementCluster{slots: 1, events: 24}, settings.SharedPlacement{MinEntries: entries})
	var streams sync.WaitGroup
	results := make([]bool, 2*engines)
	for i := range results {
		streams.Go(func() { results[i] = c.stream(i%entries, fmt.Sprint("s", i)) })
		time.Sleep(30 * time.Millisecond)
	}
	c.awaitOrFail(t, "waiting streams", func() bool { return c.waiting() > 0 })
	ctx, cancel := context.WithCancel(t.Context())
	left := make(chan error, 1)
	go func() {
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.entries[3].settings.CallerAddress+"/long/left", strings.NewReader("prompt"))
		request.Host = "h.example"
		for name, value := range map[string]string{"X-Request-Id": "left", "X-Deadline-Ms": "9000", "X-Token-Usage": "100,60", "Authorization": "Bearer k1"} {
			request.Header.Set(name, value)
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
		left <- err
	}()
	time.Sleep(100 * time.Millisecond)
	cancel()
	<-left
	streams.Wait()
	c.awaitOrFail(t, "an empty queue", func() bool { return c.waiting() == 0 })
	shared, fallback := c.placements()
	queued, refused := int64(0), int64(0)
	for _, entry := range c.entries {
		queued += entry.sharedPlacement.Stats().Queued.Load()
		refused += entry.sharedPlacement.Stats().RefusedEarly.Load()
	}
	complete := int64(0)
	for _, each := range results {
		if each {
			complete++
		}
	}
	used := c.streamsByEngine(t, "s")
	t.Logf("%d placed by the coordinator, %d by their entries, %d queued, %d refused, %d complete; by engine: %v", shared, fallback, queued, refused, complete, used)
	is.True(queued >= engines)
	is.True(complete+refused >= int64(len(results)))
	is.Equal(len(c.streamsByEngine(t, "left")), 0)
}
