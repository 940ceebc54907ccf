package entry

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/rollout"
	"github.com/azurebarrow/azurebarrow/settings"
	"github.com/azurebarrow/azurebarrow/standin/target"
)

// rolloutCluster is a cluster with a service whose targets have versions.
type rolloutCluster struct {
	*testCluster
	// failing is the share of failures of the new version, of 1,000.
	failing atomic.Int64
	// oldWork is how long targets take for a request.
	oldWork time.Duration
	// sent counts the requests by version.
	mu   sync.Mutex
	sent map[string]int
	// running counts the requests in progress at the targets, by version.
	running map[string]int
	// addresses are the callers' addresses of the entries that get requests.
	addresses map[int]string
	// callers are the sources of requests.
	callers sync.WaitGroup
	stopped chan struct{}
	served  atomic.Int64
	// failures counts the requests that were not served, by reason.
	failures map[string]int
}

func (c *rolloutCluster) fail(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures[reason]++
}

// requestInterval is the time between two requests.
const requestInterval = 2 * time.Millisecond

// Requests at slowPath, one of slowEvery, take slowTime at the old version.
const (
	slowPath  = "/slow"
	slowEvery = 50
	slowTime  = 3 * time.Second
)

func startRolloutCluster(t *testing.T, entries int) *rolloutCluster {
	t.Helper()
	c := &rolloutCluster{sent: map[string]int{}, running: map[string]int{}, addresses: map[int]string{}, failures: map[string]int{}, stopped: make(chan struct{}), oldWork: 3 * time.Millisecond}
	c.testCluster = startPreparedCluster(t, entries, &testCluster{rollouts: settings.Rollouts{Share: 0.1, Slack: 50, RollbackAfter: 5 * time.Second}})
	for i := range 2 {
		c.startVersion(t, i, "v1")
	}
	c.awaitTargets(t, 2)
	for i := range c.entries {
		c.addCallers(i)
	}
	c.callers.Go(c.call)
	return c
}

// stop stops the callers and the entries, before the targets stop.
func (c *rolloutCluster) stop() {
	close(c.stopped)
	c.callers.Wait()
	for _, stop := range c.stops {
		stop()
	}
	c.ended.Wait()
}

// startVersion starts a target of a version.
func (c *rolloutCluster) startVersion(t *testing.T, number int, version string) {
	t.Helper()
	options := target.Options{ID: fmt.Sprintf("i-%s-%d", version, number), Service: "desk", AvailabilityZone: "a", Slots: 64, Version: version, WorkTime: c.oldWork}
	started := c.startTarget(t, options)
	served := started.server.Config.Handler
	started.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		c.sent[version]++
		c.running[version]++
		c.mu.Unlock()
		defer func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.running[version]--
		}()
		if version == "v1" && strings.HasSuffix(r.URL.Path, slowPath) {
			time.Sleep(slowTime)
		}
		if version != "v1" && rand.Int64N(1000) < c.failing.Load() {
			w.Header().Set(target.FieldRequestID, r.Header.Get(target.FieldRequestID))
			w.Header().Set(target.FieldSignature, target.Signature(r.Header.Get(target.FieldRequestID)))
			w.Header().Set("X-Instance-Id", options.ID)
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		served.ServeHTTP(w, r)
	})
}

// awaitTargets waits until every entry knows the number of targets.
func (c *rolloutCluster) awaitTargets(t *testing.T, count int) {
	t.Helper()
	for _, entry := range c.entries {
		c.await(t, "targets", func() bool { return len(entry.directory.Snapshot().Targets["desk"]) == count })
	}
}

// await waits for a condition.
func (c *rolloutCluster) await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 3000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("not in time: %s; sent %v; status %+v; events %s", what, c.sentCopy(), c.status(), c.events())
}

// addCallers has the callers send to an entry too.
func (c *rolloutCluster) addCallers(entry int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses[entry] = c.entries[entry].settings.CallerAddress
}

// nextAddress returns the address of the entry that gets a request.
func (c *rolloutCluster) nextAddress(number int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	entries := slices.Sorted(maps.Keys(c.addresses))
	if len(entries) == 0 {
		return "127.0.0.1:1" // where nothing listens
	}
	return c.addresses[entries[number%len(entries)]]
}

// call sends requests to the entries in turn until the test ends.
func (c *rolloutCluster) call() {
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-c.stopped:
			return
		case <-ticker.C:
		}
		address, path := c.nextAddress(number), "/ledger/x"
		if number%slowEvery == 0 {
			path = "/ledger" + slowPath
		}
		c.callers.Go(func() {
			response, _, err := requestAt(address, "POST", path, fmt.Sprint("c", number), "k1", "")
			switch {
			case err != nil:
				c.fail(err.Error())
			case response.StatusCode == http.StatusOK:
				c.served.Add(1)
			default:
				c.fail(response.Status)
			}
		})
	}
}

func (c *rolloutCluster) order(to string, seconds int) {
	c.store.Put("rollouts", "desk", json.RawMessage(fmt.Sprintf(`{"service":"desk","to":%q,"duration_s":%d}`, to, seconds)))
}

// status returns the status in the store.
func (c *rolloutCluster) status() rollout.Status {
	recorder := httptest.NewRecorder()
	c.storeHandler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/v1/objects/rollouts/desk", nil))
	var object struct{ Status rollout.Status }
	_ = json.Unmarshal(recorder.Body.Bytes(), &object)
	return object.Status
}

func (c *rolloutCluster) sentCopy() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := map[string]int{}
	for version, count := range c.sent {
		sent[version] = count
	}
	return sent
}

// events returns the log lines of the rollouts.
func (c *rolloutCluster) events() string {
	c.testCluster.mu.Lock()
	defer c.testCluster.mu.Unlock()
	var lines []string
	for _, line := range strings.Split(c.logs[""], "\n") {
		if strings.HasPrefix(line, "rollout-") {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "\n")
}

// coordinator returns the number of the entry that coordinates the rollout; -1 for none.
func (c *rolloutCluster) coordinator(running func(entry int) bool) int {
	for i, entry := range c.entries {
		if running(i) && len(entry.rollouts.Coordinated()) > 0 {
			return i
		}
	}
	return -1
}

func always(int) bool { return true }

// Guards against a good version that does not get its requests in time, and against requests in progress at the old one, or later ones,
// once the store says that it is no longer needed.
func TestGoodVersionSucceedsOnLoopback(t *testing.T) {
	is := is.New(t)
	c := startRolloutCluster(t, 3)
	defer c.stop()
	c.order("v2", 20)
	for i := range 2 {
		c.startVersion(t, i, "v2")
	}
	c.await(t, "succeeded", func() bool { return c.status().State == rollout.StateSucceeded })
	is.Equal(c.status().To, "v2")
	c.mu.Lock()
	is.Equal(c.running["v1"], 0) // the old targets stop at once
	c.mu.Unlock()
	before := c.sentCopy()
	time.Sleep(300 * time.Millisecond)
	after := c.sentCopy()
	is.Equal(after["v1"], before["v1"])
	is.True(after["v2"] > before["v2"])
	c.mu.Lock()
	is.Equal(c.failures, map[string]int{})
	c.mu.Unlock()
	t.Logf("sent %v, served %d; events:\n%s", after, c.served.Load(), c.events())
}

// Guards against a bad version that stays, and against requests to it after the rollback.
func TestBadVersionIsRolledBackOnLoopback(t *testing.T) {
	is := is.New(t)
	c := startRolloutCluster(t, 3)
	defer c.stop()
	c.failing.Store(300)
	c.order("v2", 30)
	for i := range 2 {
		c.startVersion(t, i, "v2")
	}
	c.await(t, "rolled back", func() bool { return c.status().State == rollout.StateRolledBack })
	time.Sleep(rollout.MaxShareAge) // within which every entry reports
	before := c.sentCopy()
	time.Sleep(300 * time.Millisecond)
	after := c.sentCopy()
	is.Equal(after["v2"], before["v2"])
	is.True(after["v1"] > before["v1"])
	is.True(float64(after["v2"]) <= 0.1*float64(after["v1"]+after["v2"])+50)
	t.Logf("sent %v; events:\n%s", after, c.events())
}

// Guards against a rollout that ends with its coordinator, at each stage at which that may be lost.
func TestCoordinatorIsLostOnLoopback(t *testing.T) {
	c := startRolloutCluster(t, 6)
	defer c.stop()
	c.order("v2", 120)
	lost := map[int]bool{}
	isRunning := func(entry int) bool { return !lost[entry] }
	for _, stage := range []rollout.Stage{rollout.Waiting, rollout.Canary, rollout.Shift, rollout.Drain} {
		if stage == rollout.Canary {
			for i := range 2 {
				c.startVersion(t, i, "v2")
			}
		}
		var coordinator int
		c.await(t, "coordinator in "+string(stage), func() bool {
			if coordinator = c.coordinator(isRunning); coordinator < 0 {
				return false
			}
			coordinated := c.entries[coordinator].rollouts.Coordinated()
			return len(coordinated) > 0 && coordinated[0].Stage == stage
		})
		c.kill(coordinator)
		lost[coordinator] = true
	}
	c.await(t, "succeeded", func() bool { return c.status().State == rollout.StateSucceeded })
	c.await(t, "end of the coordination", func() bool { return c.coordinator(isRunning) < 0 })
	t.Logf("sent %v; events:\n%s", c.sentCopy(), c.events())
}

// kill stops an entry without any word to the others.
func (c *rolloutCluster) kill(index int) {
	c.mu.Lock()
	delete(c.addresses, index)
	c.mu.Unlock()
	// All that the entry runs ends with the first of its servers.
	_ = c.entries[index].peers.server.Close()
}

// Guards against a verdict that is lost since the store did not take its status at once.
func TestStatusIsWrittenOnceTheStoreTakesIt(t *testing.T) {
	is := is.New(t)
	c := startRolloutCluster(t, 3)
	defer c.stop()
	c.failing.Store(500)
	c.order("v2", 60)
	c.await(t, "running", func() bool { return c.status().State == rollout.StateRunning })
	c.testCluster.mu.Lock()
	c.statusDown = true
	c.testCluster.mu.Unlock()
	c.startVersion(t, 0, "v2")
	c.await(t, "verdict", func() bool { return strings.Contains(c.events(), "stage=rolled_back") })
	time.Sleep(time.Second) // the share reaches all entries
	before := c.sentCopy()
	time.Sleep(time.Second)
	is.Equal(c.sentCopy()["v2"], before["v2"])
	is.Equal(c.status().State, rollout.StateRunning)
	lost := c.coordinator(always)
	c.kill(lost) // the verdict outlives the coordinator
	time.Sleep(time.Second)
	c.testCluster.mu.Lock()
	c.statusDown = false
	c.testCluster.mu.Unlock()
	c.await(t, "rolled back", func() bool { return c.status().State == rollout.StateRolledBack })
	is.Equal(c.sentCopy()["v2"], before["v2"])
	t.Logf("sent %v; events:\n%s", c.sentCopy(), c.events())
}

// Guards against a verdict that is lost with all entries, and against entries that send to a bad version as they start.
func TestAllEntriesAreKilledOnLoopback(t *testing.T) {
	is := is.New(t)
	c := startRolloutCluster(t, 3)
	defer c.stop()
	c.failing.Store(500)
	c.order("v2", 60)
	c.startVersion(t, 0, "v2")
	c.await(t, "rolled back", func() bool { return c.status().State == rollout.StateRolledBack })
	for i := range c.entries {
		c.kill(i)
	}
	before := c.sentCopy()["v2"]
	time.Sleep(rollout.MaxShareAge)
	for i := range 3 {
		var seeds []string
		if i > 0 {
			seeds = []string{c.entries[3].settings.PeerAddress}
		}
		c.startEntry(t, 3+i, c.storeURL, seeds)
		c.addCallers(3 + i)
	}
	time.Sleep(2 * time.Second)
	is.Equal(c.status().State, rollout.StateRolledBack)
	is.True(c.sentCopy()["v2"] <= before+1) // one may have been in transit
}
