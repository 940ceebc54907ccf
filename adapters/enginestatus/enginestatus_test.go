package enginestatus

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/routing"
)

// fakeSink records the reports of the poller.
type fakeSink struct {
	load      routing.LoadReport
	events    []routing.CacheEvent
	summaries int
	resync    bool
	restarts  int
}

func (s *fakeSink) Assigned(targets []string) []string { return targets }

func (s *fakeSink) ReportRestarted(string) { s.restarts++ }

func (s *fakeSink) ReportLoad(_ string, load routing.LoadReport) { s.load = load }

func (s *fakeSink) ReportCacheEvents(_ string, events []routing.CacheEvent, _ uint64) bool {
	s.events = append(s.events, events...)
	return s.resync
}

func (s *fakeSink) ReportCacheSummary(string, uint64, []routing.PrefixHash) { s.summaries++ }

func TestPollReadsLoadSummaryAndEvents(t *testing.T) {
	is := is.New(t)
	asked := ""
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"ageMs":900,"running":3,"queued":1,"concurrency":16,"cacheBytes":5}`)
	})
	mux.HandleFunc("GET /v1/cache/summary", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"sequence":8,"prefixes":["00000000000000ff"]}`)
	})
	mux.HandleFunc("GET /v1/cache/events", func(w http.ResponseWriter, r *http.Request) {
		asked = r.URL.Query().Get("after")
		fmt.Fprint(w, `{"events":[{"sequence":9,"kind":"added","prefix":"00000000000000fe"}],"last":9}`)
	})
	inventory := `{"incarnation":"1","role":"serve","loaded":[{"model":"m","version":"v1","adapter":""}]}`
	mux.HandleFunc("GET /v1/inventory", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, inventory)
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	target := &v1.Target{Spec: v1.TargetSpec{
		Address:      server.Listener.Addr().String(),
		Capabilities: v1.Capabilities{CacheEvents: true},
	}}
	recorder := &fakeSink{resync: true}
	inventories := NewInventories()
	poller := NewPoller(nil, nil, recorder, inventories)
	position := cachePosition{resync: true}
	poller.poll(t.Context(), "t", target, &position)
	is.Equal(recorder.load, routing.LoadReport{Running: 3, Queued: 1, Concurrency: 16, Age: 900 * time.Millisecond})
	is.Equal(recorder.events, []routing.CacheEvent{{Sequence: 9, Kind: routing.CacheAdded, Prefix: 0xfe}})
	is.Equal(asked, "8")
	poller.poll(t.Context(), "t", target, &position)
	is.Equal(asked, "9")
	is.True(inventories.Serves("t", &generation.Request{Model: "m", Version: "v1"}))
	is.True(!inventories.Serves("t", &generation.Request{Model: "m", Version: "v2"}))
	is.True(inventories.Serves("other", &generation.Request{Model: "m", Version: "v2"})) // no inventory is known
	is.Equal(recorder.restarts, 0)
	inventory = `{"incarnation":"2","role":"idle","loaded":[{"model":"m","version":"v1","adapter":""}]}`
	poller.poll(t.Context(), "t", target, &position)
	is.Equal(recorder.restarts, 1)
	is.True(!inventories.Serves("t", &generation.Request{Model: "m", Version: "v1"}))
	is.Equal(recorder.summaries, 1) // a gap was reported, but summaryInterval has not passed
}

// singleTargetSink is a sink that needs the reports of one target only.
type singleTargetSink struct {
	fakeSink
	name string
}

func (f *singleTargetSink) Assigned(targets []string) []string {
	return slices.DeleteFunc(slices.Clone(targets), func(name string) bool { return name != f.name })
}

type fixedTargets struct{ snapshot *config.Snapshot }

func (f fixedTargets) Snapshot() *config.Snapshot { return f.snapshot }

func TestOnlyEnginesThatTheSinkNeedsArePolled(t *testing.T) {
	is := is.New(t)
	snapshot := config.NewSnapshot(1)
	for _, name := range []string{"a", "b", "service"} {
		snapshot.Targets[name] = &v1.Target{Spec: v1.TargetSpec{Type: v1.TargetEngine}}
	}
	snapshot.Targets["service"].Spec.Type = v1.TargetService
	all := NewPoller(nil, fixedTargets{snapshot}, &fakeSink{}, nil)
	is.Equal(len(all.polledEngines()), 2) // targets of type service are not polled
	one := NewPoller(nil, fixedTargets{snapshot}, &singleTargetSink{name: "b"}, nil)
	is.Equal(len(one.polledEngines()), 1)
	is.True(one.polledEngines()["b"] != nil)
}
