package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/settings"
	"github.com/azurebarrow/azurebarrow/standin/fault"
	standinplatform "github.com/azurebarrow/azurebarrow/standin/platform"
	"github.com/azurebarrow/azurebarrow/standin/target"
)

// streamEvents is the number of events of a stream, streamEventInterval the time between two.
const (
	streamEvents        = 12
	streamEventInterval = 10 * time.Millisecond
)

// standinTarget is a running stand-in target.
type standinTarget struct {
	address string
	server  *httptest.Server
	// log is the path of the file in which the target records what it does.
	log string
}

// inject activates a fault in the target.
func (s *standinTarget) inject(t *testing.T, injected fault.Fault) {
	t.Helper()
	body, err := json.Marshal(injected)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post("http://"+s.address+"/faults", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		t.Fatal("fault not taken: ", response.Status)
	}
}

// breakStreams makes the target reset the connection of each stream in the middle of the event.
func (s *standinTarget) breakStreams(t *testing.T, event int) {
	t.Helper()
	body := fmt.Sprintf(`{"kind":%q,"after":%d}`, fault.ResetStream, event)
	response, err := http.Post("http://"+s.address+"/faults", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
}

// runs returns the requests that the target has started to run, by request ID.
func (s *standinTarget) runs(t *testing.T) map[string]target.Record {
	t.Helper()
	records, err := target.ReadLog(s.log)
	if err != nil {
		t.Fatal(err)
	}
	runs := map[string]target.Record{}
	for _, record := range records {
		if record.What == target.Began {
			runs[record.Request] = record
		}
	}
	return runs
}

// testCluster is a store, targets and entries on loopback.
type testCluster struct {
	store   *standinplatform.Platform
	engines []*standinTarget
	records *standinTarget
	entries []*Entry
	// links are the links of the entries to the targets; nil if they dial the targets themselves.
	links []*targetLinks
	stops []context.CancelFunc
	ended sync.WaitGroup
	// rollouts are the bounds of rollouts in the settings of the entries.
	rollouts settings.Rollouts
	// sharedPlacement is in the settings of the entries; the zero value is the default.
	sharedPlacement settings.SharedPlacement
	// callerMemory is what callers may make an entry hold, in bytes; 0 is the default.
	callerMemory int64
	storeURL     string
	// storeHandler is the store's interface.
	storeHandler http.Handler

	mu sync.Mutex
	// logs holds the log lines of the entries, by request ID.
	logs map[string]string
	// storeCalls counts the calls to the store by method and path.
	storeCalls map[string]int
	// storeDown makes the store reject all calls, and statusDown the writes of a status.
	storeDown, statusDown bool
}

// serveStore serves the store's interface and counts the calls.
func (c *testCluster) serveStore(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	c.storeCalls[r.Method+" "+r.URL.Path]++
	isDown := c.storeDown || c.statusDown && strings.HasSuffix(r.URL.Path, "/status")
	c.mu.Unlock()
	if isDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	c.storeHandler.ServeHTTP(w, r)
}

// startCluster starts a store, three engines, a records service and entries on loopback.
func startCluster(t *testing.T, entries int) *testCluster {
	t.Helper()
	return startClusterWithLinks(t, entries, nil)
}

// startClusterWithLinks is startCluster with links to the targets for each entry; nil for none.
func startClusterWithLinks(t *testing.T, entries int, links []*targetLinks) *testCluster {
	t.Helper()
	return startPreparedCluster(t, entries, &testCluster{links: links})
}

// startPreparedCluster is startCluster for a cluster whose options are set.
func startPreparedCluster(t *testing.T, entries int, cluster *testCluster) *testCluster {
	t.Helper()
	cluster.store, cluster.logs, cluster.storeCalls = standinplatform.New(standinplatform.Options{}), map[string]string{}, map[string]int{}
	cluster.storeHandler = cluster.store.UsersAPIHandler()
	store := httptest.NewServer(http.HandlerFunc(cluster.serveStore))
	t.Cleanup(store.Close)
	cluster.storeURL = store.URL
	for i, zone := range []string{"a", "b", "c"} {
		cluster.engines = append(cluster.engines, cluster.startTarget(t, target.Options{
			ID: fmt.Sprintf("i-%d", i), Service: "drafts", AvailabilityZone: zone, Slots: 64,
			Events: streamEvents, EventInterval: streamEventInterval,
		}))
	}
	cluster.records = cluster.startTarget(t, target.Options{ID: "i-r", Service: "records", AvailabilityZone: "a", Slots: 6})
	cluster.configure(1, "k1")
	var seeds []string
	for i := range entries {
		cluster.startEntry(t, i, store.URL, seeds)
		seeds = append(seeds, cluster.entries[0].settings.PeerAddress)
	}
	t.Cleanup(func() {
		for _, stop := range cluster.stops {
			stop()
		}
		cluster.ended.Wait()
	})
	return cluster
}

// startTarget starts a target and writes its object into the store.
func (c *testCluster) startTarget(t *testing.T, options target.Options) *standinTarget {
	t.Helper()
	started := &standinTarget{log: filepath.Join(t.TempDir(), "records")}
	log, err := target.OpenLog(started.log)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(nil)
	started.address = server.Listener.Addr().String()
	options.Advertise = started.address
	options.Log = log
	started.server = server
	server.Config.Handler = target.New(options)
	server.Start()
	t.Cleanup(server.Close)
	c.register(started, options, "ready")
	return started
}

// register writes the object of a target into the store.
func (c *testCluster) register(started *standinTarget, options target.Options, state string) {
	version := ""
	if options.Version != "" {
		version = fmt.Sprintf(`,"version":%q`, options.Version)
	}
	c.store.Put(target.ObjectKind, options.ID, json.RawMessage(fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"slots":%d,"state":%q%s}`,
		options.Service, started.address, options.AvailabilityZone, options.Slots, state, version)))
}

func (c *testCluster) configure(version int, key string) {
	c.store.Put("config", "main", json.RawMessage(fmt.Sprintf(`{"version":%d,"routes":[
	 {"name":"drafts","hostname":"h.example","path_prefix":"/drafts/","kind":"streaming","timeout_ms":10000,"target_latency_ms":4500,"service":"drafts","max_attempts":5,"stream_resume":true,"target_gap_ms":700},
	 {"name":"long","hostname":"h.example","path_prefix":"/long/","kind":"streaming","timeout_ms":10000,"target_latency_ms":1500,"service":"long","max_attempts":5,"stream_resume":true,"target_gap_ms":700},
	 {"name":"book","hostname":"h.example","path_prefix":"/book/","kind":"non_idempotent","timeout_ms":800,"target_latency_ms":100,"service":"records","max_attempts":1},
	 {"name":"hold","hostname":"h.example","path_prefix":"/hold/","kind":"non_idempotent","timeout_ms":800,"target_latency_ms":100,"service":"desk","max_attempts":1},
	 {"name":"ledger","hostname":"h.example","path_prefix":"/ledger/","kind":"non_idempotent","timeout_ms":9000,"target_latency_ms":100,"service":"desk","max_attempts":1},
	 {"name":"search","hostname":"h.example","path_prefix":"/search/","kind":"idempotent","timeout_ms":9000,"target_latency_ms":100,"service":"desk","max_attempts":2},
	 {"name":"find","hostname":"h.example","path_prefix":"/find/","kind":"idempotent","timeout_ms":800,"target_latency_ms":100,"service":"desk","max_attempts":2}],
	 "services":[{"name":"drafts","engine":{"slots":64,"kv_capacity":55000,"backups":true,"models":[{"name":"m"}]}},{"name":"long","engine":{"slots":64,"kv_capacity":55000,"backups":true,"models":[{"name":"m"}]}},{"name":"records"},{"name":"desk"}],
	 "limits":{"idle_timeout_ms":15000},"tenants":[{"name":"ranch","api_keys":[%q]}]}`, version, key)))
}

// freeAddress returns a loopback address with a port that was free just now.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// newEntry returns an entry with addresses of its own. Between the choice of a port and its use, another connection of
// this machine may take the port; then others are chosen.
func (c *testCluster) newEntry(t *testing.T, index int, store string, seeds []string) *Entry {
	t.Helper()
	const maxChoices = 5
	for choice := 1; ; choice++ {
		s := settings.Settings{
			Name: fmt.Sprintf("e%d", index), AvailabilityZone: "a", Interface: settings.InterfacePassthrough,
			CallerAddress: freeAddress(t), PeerAddress: freeAddress(t), AdminAddress: freeAddress(t),
			Platform: settings.Platform{URL: store}, Limits: settings.Limits{CallerMemoryBytes: c.callerMemory},
			Passthrough: settings.Passthrough{
				ReadyAddress: freeAddress(t), Seeds: seeds, RetryRatio: 0.8, RetrySlack: 150, StopGrace: 2 * time.Second,
				Rollouts: c.rollouts, SharedPlacement: c.sharedPlacement,
			},
		}
		if findings := settings.Check("test", s); len(findings) > 0 {
			t.Fatal(findings)
		}
		options := Options{Log: func(event string, fields ...generation.Field) { c.recordEvent(event, fields) }}
		if c.links != nil {
			options.DialTarget = c.links[index].dial
		}
		entry, err := New(s, options)
		if err == nil {
			return entry
		}
		if !errors.Is(err, syscall.EADDRINUSE) || choice == maxChoices {
			t.Fatal(err)
		}
	}
}

func (c *testCluster) startEntry(t *testing.T, index int, store string, seeds []string) {
	t.Helper()
	entry := c.newEntry(t, index, store, seeds)
	ctx, stop := context.WithCancel(context.Background())
	c.entries = append(c.entries, entry)
	c.stops = append(c.stops, stop)
	c.ended.Go(func() { _ = entry.Run(ctx) })
	for range 400 {
		if entry.isReady() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("entry is not ready")
}

// recordEvent appends a log event to the lines of its request.
func (c *testCluster) recordEvent(event string, fields []generation.Field) {
	var id, line string
	for _, field := range fields {
		if field.Key == "request" {
			id = fmt.Sprint(field.Value)
		}
		line += fmt.Sprintf(" %s=%v", field.Key, field.Value)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logs[id] += event + line + "\n"
}

func (c *testCluster) request(entry int, method, path, id, key, body string) (*http.Response, string, error) {
	return requestAt(c.entries[entry].settings.CallerAddress, method, path, id, key, body)
}

// requestAt sends a request to the entry at the address.
func requestAt(address, method, path, id, key, body string) (*http.Response, string, error) {
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	request.Host = "h.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "9000")
	request.Header.Set("X-Token-Usage", "100,60")
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(bufio.NewReader(response.Body))
	return response, string(text), err
}

func expectedStream(path string) string {
	var text strings.Builder
	for id := 1; id <= streamEvents; id++ {
		text.WriteString(target.Event(path, id))
	}
	return text.String()
}

func TestRequestsOnLoopback(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 2)

	response, text, err := cluster.request(0, "POST", "/drafts/x", "s1", "k1", "prompt")
	is.NoErr(err)
	is.Equal(text, expectedStream("/drafts/x"))
	is.Equal(response.Header.Get(target.FieldSignature), target.Signature("s1"))

	response, text, err = cluster.request(1, "POST", "/book/crate%2F7?q=1", "c1", "k1", "312 kg")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(text, target.CallBody("POST", "/book/crate%2F7?q=1", "312 kg")) // path, query and body unchanged
	is.Equal(response.Header.Get(target.FieldSignature), target.Signature("c1"))
	is.Equal(cluster.records.runs(t)["c1"].Customer, "ranch")
	is.True(!cluster.records.runs(t)["c1"].KeyLeaked)

	response, _, err = cluster.request(0, "POST", "/book/x", "c2", "other", "")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusUnauthorized)
	response, _, err = cluster.request(0, "GET", "/nowhere", "c3", "k1", "")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusNotFound)
	_, ran := cluster.records.runs(t)["c2"]
	is.True(!ran)
}

// Guards against sends of one call at several entries that the logs don't show to be the same call.
func TestSendsOfOneCallAreLoggedWithOneFingerprintAtEveryEntry(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 2)
	for _, each := range []struct {
		entry    int
		id, body string
	}{{0, "first", "312 kg"}, {1, "again", "312 kg"}, {1, "other", "313 kg"}} {
		_, _, err := cluster.request(each.entry, "POST", "/book/crate", each.id, "k1", each.body)
		is.NoErr(err)
	}
	fingerprint := func(id string) string {
		cluster.mu.Lock()
		defer cluster.mu.Unlock()
		_, rest, found := strings.Cut(cluster.logs[id], "fingerprint=")
		is.True(found)
		text, _, _ := strings.Cut(rest, " ")
		return text
	}
	is.True(fingerprint("first") != "")
	is.Equal(fingerprint("first"), fingerprint("again"))
	is.True(fingerprint("first") != fingerprint("other"))
}

func TestBrokenStreamsResumeOnLoopback(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 1)
	cluster.engines[0].breakStreams(t, 6)
	for i := range 6 {
		id := fmt.Sprintf("s%d", i)
		_, text, err := cluster.request(0, "POST", "/drafts/x", id, "k1", "prompt")
		is.NoErr(err)
		is.Equal(text, expectedStream("/drafts/x")) // every event once, in order
	}
	// The log lines of a request that was at the faulty engine explain what happened to it.
	explained := false
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	for _, text := range cluster.logs {
		broke := strings.Index(text, "ending=broken")
		resumed := strings.Index(text, "after_event=5 copy_at=i-")
		ended := strings.Index(text, "reason=stream complete")
		explained = explained || broke > 0 && resumed > broke && ended > resumed
	}
	is.True(explained)
}

func TestConfigurationAndOutageOnLoopback(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 3)
	cluster.configure(4, "k2")
	deadline := time.Now().Add(2 * time.Second) // time limit for a configuration to reach all entries
	for entry := range cluster.entries {
		for cluster.entries[entry].directory.Snapshot().Configuration.Version != 4 {
			is.True(time.Now().Before(deadline))
			time.Sleep(5 * time.Millisecond)
		}
		response, _, err := cluster.request(entry, "POST", "/book/x", fmt.Sprintf("old%d", entry), "k1", "")
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusUnauthorized) // the key is revoked
	}
	cluster.store.Apply(fault.Fault{Kind: fault.Outage})
	time.Sleep(500 * time.Millisecond)
	for entry := range cluster.entries {
		response, _, err := cluster.request(entry, "POST", "/book/x", fmt.Sprintf("new%d", entry), "k2", "")
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK) // entries keep serving without the store
	}
}

func TestGracefulShutdownOnLoopback(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 1)
	type result struct {
		text string
		err  error
	}
	results := make(chan result, 1)
	go func() {
		_, text, err := cluster.request(0, "POST", "/drafts/x", "s1", "k1", "prompt")
		results <- result{text, err}
	}()
	time.Sleep(50 * time.Millisecond)
	cluster.stops[0]()
	time.Sleep(20 * time.Millisecond)
	is.True(!cluster.entries[0].isReady())
	response, _, err := cluster.request(0, "POST", "/book/x", "c1", "k1", "")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK) // accepted, since it finishes in time
	is.True(response.Close)
	got := <-results
	is.NoErr(got.err)
	is.Equal(got.text, expectedStream("/drafts/x")) // the stream was not aborted
}
