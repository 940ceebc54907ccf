package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/settings"
)

// loopStore is a stand-in for the platform's store: objects by kind, with watches.
type loopStore struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]json.RawMessage
	changes  []loopChange
	away     bool
}

type loopChange struct {
	kind, name string
	revision   int64
	deleted    bool
	value      json.RawMessage
}

func (s *loopStore) put(kind, name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]json.RawMessage{}
	}
	s.objects[kind][name] = json.RawMessage(value)
	s.changes = append(s.changes, loopChange{kind, name, s.revision, false, json.RawMessage(value)})
}

func (s *loopStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind := strings.TrimPrefix(r.URL.Path, "/v1/objects/")
	from, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	watching := err == nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		away, answer := s.away, s.answer(kind, from, watching)
		s.mu.Unlock()
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if answer != nil || time.Now().After(end) {
			if answer == nil {
				answer = map[string]any{"events": []any{}, "at": from}
			}
			_ = json.NewEncoder(w).Encode(answer)
			return
		}
	}
}

// answer returns the list, or the events of a watch; nil if there are none.
func (s *loopStore) answer(kind string, from int64, watching bool) map[string]any {
	object := func(c loopChange) map[string]any {
		return map[string]any{"metadata": map[string]any{"name": c.name, "revision": c.revision}, "spec": c.value}
	}
	latest := map[string]loopChange{}
	var events []any
	for _, c := range s.changes {
		if c.kind != kind {
			continue
		}
		latest[c.name] = c
		if c.revision > from {
			events = append(events, map[string]any{"deleted": c.deleted, "object": object(c)})
		}
	}
	if !watching {
		items := []any{}
		for _, c := range latest {
			items = append(items, object(c))
		}
		return map[string]any{"items": items, "has_more": false, "at": s.revision}
	}
	if len(events) == 0 {
		return nil
	}
	return map[string]any{"events": events, "at": s.revision}
}

// loopEngine is a stand-in for a model engine. It keeps copies for the other engines of its fleet.
type loopEngine struct {
	id, zone string
	server   *httptest.Server
	fleet    *loopFleet

	mu sync.Mutex
	// dieAfter breaks each stream off after that event; 0 never.
	dieAfter int
}

const loopEvents = 12

// loopFleet is what the engines share: which runs have copies where, and what ran.
type loopFleet struct {
	mu     sync.Mutex
	copies map[string]bool
	ran    map[string]int
}

func (e *loopEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	run := r.Header.Get("X-Request-Id")
	if expected := r.Header.Get("X-Expect-Instance"); expected != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if from := r.Header.Get("Kv-From"); from != "" && !e.fleet.has(e.server.Listener.Addr().String()+"/"+run, from) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.fleet.note(run, r.Header.Get("X-Kv-Backup"))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("X-Request-Id", run)
	w.Header().Set("X-Response-Signature", "by "+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := last + 1; i <= loopEvents; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, run, i)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(10 * time.Millisecond)
		e.mu.Lock()
		dies := e.dieAfter == i
		e.mu.Unlock()
		if dies {
			panic(http.ErrAbortHandler)
		}
	}
}

func (f *loopFleet) has(here, named string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return named == here && f.copies[named]
}

func (f *loopFleet) note(run, backup string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ran[run]++
	f.copies[backup+"/"+run] = true
}

type loopDay struct {
	store   *loopStore
	engines []*loopEngine
	records *httptest.Server
	fleet   *loopFleet
	entries []*Entry
	stops   []context.CancelFunc
	ended   sync.WaitGroup
	calls   sync.Map

	mu sync.Mutex
	// logs are the lines of each request.
	logs map[string]string
}

// startDay starts a store, three engines, a records service and entries on loopback.
func startDay(t *testing.T, entries int) *loopDay {
	t.Helper()
	day := &loopDay{store: &loopStore{objects: map[string]map[string]json.RawMessage{}}, fleet: &loopFleet{copies: map[string]bool{}, ran: map[string]int{}}, logs: map[string]string{}}
	store := httptest.NewServer(day.store)
	t.Cleanup(store.Close)
	for i, zone := range []string{"a", "b", "c"} {
		engine := &loopEngine{id: fmt.Sprintf("i-%d", i), zone: zone, fleet: day.fleet}
		engine.server = httptest.NewServer(engine)
		t.Cleanup(engine.server.Close)
		day.engines = append(day.engines, engine)
		day.store.put("servers", engine.id, fmt.Sprintf(`{"service":"drafts","address":%q,"zone":%q,"slots":64,"state":"ready","born":%d}`,
			engine.server.Listener.Addr(), zone, i+1))
	}
	day.records = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count, _ := day.calls.LoadOrStore(r.Header.Get("X-Request-Id"), new(int))
		*count.(*int)++
		if r.Header.Get("X-Tenant") != "ranch" || r.Header.Get("Authorization") != "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Response-Signature", "records")
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		_, _ = w.Write(append([]byte(r.RequestURI+" "), body...))
	}))
	t.Cleanup(day.records.Close)
	day.store.put("servers", "i-r", fmt.Sprintf(`{"service":"records","address":%q,"zone":"a","slots":6,"state":"ready"}`, day.records.Listener.Addr()))
	day.configure(1, "k1")
	var seeds []string
	for i := range entries {
		day.startEntry(t, i, store.URL, seeds)
		seeds = append(seeds, day.entries[0].settings.PeerAddress)
	}
	t.Cleanup(func() {
		for _, stop := range day.stops {
			stop()
		}
		day.ended.Wait()
	})
	return day
}

func (d *loopDay) configure(version int, key string) {
	d.store.put("config", "main", fmt.Sprintf(`{"version":%d,"routes":[
	 {"name":"drafts","hostname":"h.example","path_prefix":"/drafts/","kind":"streaming","timeout_ms":10000,"target_latency_ms":4500,"service":"drafts","max_attempts":5,"stream_resume":true,"target_gap_ms":700},
	 {"name":"book","hostname":"h.example","path_prefix":"/book/","kind":"non_idempotent","timeout_ms":800,"target_latency_ms":100,"service":"records","max_attempts":1}],
	 "services":[{"name":"drafts","engine":{"slots":64,"kv_capacity":55000,"backups":true,"models":[{"name":"m"}]}},{"name":"records"}],
	 "limits":{"idle_timeout_ms":15000},"tenants":[{"name":"ranch","api_keys":[%q]}]}`, version, key))
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func (d *loopDay) startEntry(t *testing.T, index int, store string, seeds []string) {
	t.Helper()
	s := settings.Settings{
		Name: fmt.Sprintf("e%d", index), AvailabilityZone: "a", Interface: settings.InterfacePassthrough,
		CallerAddress: freeAddress(t), PeerAddress: freeAddress(t), AdminAddress: freeAddress(t),
		Platform: settings.Platform{URL: store},
		Passthrough: settings.Passthrough{
			ReadyAddress: freeAddress(t), Seeds: seeds, RetryRatio: 0.8, RetrySlack: 150, StopGrace: 2 * time.Second,
		},
	}
	if findings := settings.Check("test", s); len(findings) > 0 {
		t.Fatal(findings)
	}
	entry, err := New(s, Options{Log: func(event string, fields ...generation.Field) { d.note(event, fields) }})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	d.entries = append(d.entries, entry)
	d.stops = append(d.stops, stop)
	d.ended.Go(func() { _ = entry.Run(ctx) })
	for range 400 {
		if entry.isReady() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("entry is not ready")
}

// note keeps the events of each request.
func (d *loopDay) note(event string, fields []generation.Field) {
	var id, line string
	for _, field := range fields {
		if field.Key == "request" {
			id = fmt.Sprint(field.Value)
		}
		line += fmt.Sprintf(" %s=%v", field.Key, field.Value)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.logs[id] += event + line + "\n"
}

func (d *loopDay) request(entry int, method, path, id, key, body string) (*http.Response, string, error) {
	request, err := http.NewRequest(method, "http://"+d.entries[entry].settings.CallerAddress+path, strings.NewReader(body))
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

func wholeStream(id string) string {
	var text strings.Builder
	for i := 1; i <= loopEvents; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s-%d\n\n", i, id, i)
	}
	return text.String()
}

func TestDayOnLoopback(t *testing.T) {
	is := is.New(t)
	day := startDay(t, 2)

	response, text, err := day.request(0, "POST", "/drafts/x", "s1", "k1", "prompt")
	is.NoErr(err)
	is.Equal(text, wholeStream("s1"))
	is.True(strings.HasPrefix(response.Header.Get("X-Response-Signature"), "by i-"))

	response, text, err = day.request(1, "POST", "/book/crate%2F7?q=1", "c1", "k1", "312 kg")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(text, "/book/crate%2F7?q=1 312 kg") // path, query and body unchanged
	is.Equal(response.Header.Get("X-Response-Signature"), "records")

	response, _, err = day.request(0, "POST", "/book/x", "c2", "other", "")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusUnauthorized)
	response, _, err = day.request(0, "GET", "/nowhere", "c3", "k1", "")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusNotFound)
	_, ran := day.calls.Load("c2")
	is.True(!ran)
}

func TestStreamOutlivesItsEngineOnLoopback(t *testing.T) {
	is := is.New(t)
	day := startDay(t, 1)
	day.engines[0].mu.Lock()
	day.engines[0].dieAfter = 5
	day.engines[0].mu.Unlock()
	for i := range 6 {
		id := fmt.Sprintf("s%d", i)
		_, text, err := day.request(0, "POST", "/drafts/x", id, "k1", "prompt")
		is.NoErr(err)
		is.Equal(text, wholeStream(id)) // every event once, in order
	}
	// From the lines of a request that met the dead engine one can tell what happened to it.
	explained := false
	day.mu.Lock()
	defer day.mu.Unlock()
	for _, text := range day.logs {
		broke := strings.Index(text, "ending=broken")
		resumed := strings.Index(text, "after_event=5 copy_at=i-")
		ended := strings.Index(text, "reason=stream complete")
		explained = explained || broke > 0 && resumed > broke && ended > resumed
	}
	is.True(explained)
}

func TestConfigurationAndOutageOnLoopback(t *testing.T) {
	is := is.New(t)
	day := startDay(t, 3)
	day.configure(4, "k2")
	deadline := time.Now().Add(2 * time.Second) // the bound of the deployments
	for entry := range day.entries {
		for day.entries[entry].directory.Snapshot().Configuration.Version != 4 {
			is.True(time.Now().Before(deadline))
			time.Sleep(5 * time.Millisecond)
		}
		response, _, err := day.request(entry, "POST", "/book/x", fmt.Sprintf("old%d", entry), "k1", "")
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusUnauthorized) // the key is revoked
	}
	day.store.mu.Lock()
	day.store.away = true
	day.store.mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	for entry := range day.entries {
		response, _, err := day.request(entry, "POST", "/book/x", fmt.Sprintf("new%d", entry), "k2", "")
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK) // serves on without the store
	}
}

func TestGracefulShutdownOnLoopback(t *testing.T) {
	is := is.New(t)
	day := startDay(t, 1)
	type result struct {
		text string
		err  error
	}
	results := make(chan result, 1)
	go func() {
		_, text, err := day.request(0, "POST", "/drafts/x", "s1", "k1", "prompt")
		results <- result{text, err}
	}()
	time.Sleep(50 * time.Millisecond)
	day.stops[0]()
	time.Sleep(20 * time.Millisecond)
	is.True(!day.entries[0].isReady())
	response, _, err := day.request(0, "POST", "/book/x", "c1", "k1", "")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK) // taken on: it ends in time
	is.True(response.Close)
	got := <-results
	is.NoErr(got.err)
	is.Equal(got.text, wholeStream("s1")) // nothing is cut
}
