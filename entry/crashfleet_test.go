package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/health"
	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/service"
	"github.com/azurebarrow/azurebarrow/streamversion"
)

// Bounds of the users' deployments.
const (
	// stableWindow is the time from the crash that completes the evidence until all entries refuse.
	stableWindow = 3 * time.Second
	// evidenceCrashes is the number of crashes that must be enough evidence.
	evidenceCrashes = 5
	// maxLateArrivals is the number of requests with a crashing part that may reach engines after stableWindow.
	maxLateArrivals = 3
	// minFirstBeginShare is the share of sound requests that must begin at their first attempt.
	minFirstBeginShare = 0.5
)

// Behavior of the modelled engines and of the network between entries.
const (
	modelPrefill     = 1200 * time.Millisecond
	modelRestart     = 4 * time.Second
	modelNetwork     = 2 * time.Millisecond
	modelEngines     = 24
	modelSlots       = 64
	modelStreamTime  = 2 * time.Second
	badPart          = "bad"
	modelHistoryTime = 10 * time.Second
	modelDay         = 30 * time.Second
)

// crashFleet is a fleet of entries with real membership and relays, before engines that a part of a prompt crashes.
type crashFleet struct {
	ctx context.Context
	// client serves the streams of all entries.
	client generation.RelayEngine
	// store holds what outlives the entries; nil for none.
	store *modelStore
	// version is that of new engines.
	version string
	entries map[string]*fleetEntry
	order   []*fleetEntry

	mu      sync.Mutex
	random  *rand.Rand
	engines []*modelEngine
	// desks are the targets of plain calls.
	desks  []*modelEngine
	starts int
	// keepsIDs reports that targets of plain calls start again under the IDs that they had.
	keepsIDs bool
	// brokenShare is the share of plain calls whose connection their target breaks without crashing.
	brokenShare float64
	// soundRefused counts the refusals of sound calls, by fingerprint.
	soundRefused map[string]int
	// crashes and arrivals are the times at which requests with a bad part crashed or reached an engine, by part;
	// for bad calls, by name.
	crashes, arrivals map[string][]time.Time
	// soundSent and soundBegun count the sound requests sent from a time on and those that began at their first
	// attempt.
	soundFrom             time.Time
	soundSent, soundBegun int
}

type fleetEntry struct {
	records  *sharedCrashRecords
	members  *membership.Manager
	relay    *generation.Relay
	versions *streamversion.Manager
	// forwarder serves plain calls.
	forwarder *service.Forwarder
	// ctx ends when the entry stops.
	ctx  context.Context
	stop context.CancelFunc

	mu sync.Mutex
	// stale are the targets as the entry knows them while it doesn't follow the fleet's; nil otherwise.
	stale []*directory.Target
	// cutFromPeers and cutFromStore are set while the entry doesn't reach them.
	cutFromPeers, cutFromStore bool
}

// setOutOfStep has the entry keep stale targets, and reach no peers or not the store.
func (e *fleetEntry) setOutOfStep(stale []*directory.Target, cutFromPeers, cutFromStore bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stale, e.cutFromPeers, e.cutFromStore = stale, cutFromPeers, cutFromStore
}

func (e *fleetEntry) isCutFromPeers() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cutFromPeers
}

func (e *fleetEntry) isCutFromStore() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cutFromStore
}

// targets returns the targets as the entry knows them.
func (e *fleetEntry) targets(fleet *crashFleet) []*directory.Target {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stale != nil {
		return e.stale
	}
	return fleet.targets()
}

type modelEngine struct {
	target  *directory.Target
	crashed chan struct{}
}

// fleetProber delivers probes between the entries of a fleet after a delay.
type fleetProber struct{ fleet *crashFleet }

func (p fleetProber) Probe(ctx context.Context, peer membership.Peer, message membership.Message) (membership.Message, error) {
	to := p.fleet.entry(peer.Address)
	if to == nil {
		<-ctx.Done()
		return membership.Message{}, ctx.Err()
	}
	time.Sleep(modelNetwork)
	answer, err := to.members.HandleProbe(ctx, message)
	time.Sleep(modelNetwork)
	return answer, err
}

func (p fleetProber) ProbeVia(ctx context.Context, _, peer membership.Peer, message membership.Message) (membership.Message, error) {
	return p.Probe(ctx, peer, message)
}

// fleetVersions carries records of versions between the entries of a fleet. It implements streamversion.Transport.
type fleetVersions struct {
	fleet *crashFleet
	from  *fleetEntry
}

func (v fleetVersions) Put(ctx context.Context, peer membership.Peer, record streamversion.Record) error {
	to, err := v.reach(ctx, peer)
	if err == nil {
		to.versions.Put(record)
	}
	return err
}

func (v fleetVersions) Get(ctx context.Context, peer membership.Peer, stream, customer string) (streamversion.Record, bool, error) {
	to, err := v.reach(ctx, peer)
	if err != nil {
		return streamversion.Record{}, false, err
	}
	record, found := to.versions.Get(stream, customer)
	return record, found, nil
}

func (v fleetVersions) Serving(ctx context.Context, peer membership.Peer) (map[string][]string, bool, error) {
	to, err := v.reach(ctx, peer)
	if err != nil {
		return nil, false, err
	}
	serving, known := to.versions.Serving()
	return serving, known, nil
}

// reach returns the peer's entry after the network's delay; an entry that has ended doesn't answer.
func (v fleetVersions) reach(ctx context.Context, peer membership.Peer) (*fleetEntry, error) {
	to := v.fleet.entry(peer.Address)
	if to == nil || to.ctx.Err() != nil || to.isCutFromPeers() || v.from.isCutFromPeers() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(2 * modelNetwork)
	return to, nil
}

func (f *crashFleet) entry(address string) *fleetEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries[address]
}

func newCrashFleet(ctx context.Context, size int) *crashFleet {
	return newFleet(ctx, size, func(f *crashFleet) generation.RelayEngine { return modelEngineClient{f} })
}

// newFleet returns a running fleet whose streams are served by a client.
func newFleet(ctx context.Context, size int, client func(*crashFleet) generation.RelayEngine) *crashFleet {
	f := &crashFleet{ctx: ctx, entries: map[string]*fleetEntry{}, crashes: map[string][]time.Time{}, arrivals: map[string][]time.Time{}, soundRefused: map[string]int{}, random: rand.New(rand.NewPCG(1, uint64(size)))}
	f.client = client(f)
	for range modelEngines {
		f.engines = append(f.engines, f.newEngine())
	}
	for range modelDesks {
		f.desks = append(f.desks, f.newEngine())
	}
	for i := range size {
		f.startEntry(i)
	}
	return f
}

// startSpacing is the time between the starts of what two entries store, so that their timers differ.
const startSpacing = 173 * time.Microsecond

// startEntry starts the entry of an index, with a new incarnation if it ran before.
func (f *crashFleet) startEntry(i int) {
	address := fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)
	e := &fleetEntry{records: newSharedCrashRecords(func(string, ...generation.Field) {})}
	e.members = membership.NewManager(membership.Options{
		Self:     membership.Peer{Name: fmt.Sprintf("e%03d", i), Address: address, Incarnation: uint64(time.Now().UnixNano())},
		Prober:   fleetProber{f},
		Seeds:    []membership.Peer{{Address: "10.0.0.0:7000"}, {Address: "10.0.0.1:7000"}, {Address: "10.0.0.2:7000"}},
		Seed:     uint64(i),
		OnNotice: e.records.receive, RetainedKinds: retainedNotices,
	})
	versions := streamversion.Options{View: e.members, Transport: fleetVersions{f, e}}
	if f.store != nil {
		versions.Store = storeOfEntry{f.store, fmt.Sprintf("e%03d", i), e.isCutFromStore}
	}
	e.versions = streamversion.NewManager(versions)
	e.records.isDown = func(target health.CrashedTarget) bool { return f.desk(target.ID) == nil && f.engine(target.ID) == nil }
	e.records.isFirst = func(key string) bool { return membership.Rank(e.members.Live(), key)[0].Address == address }
	e.records.broadcast = func(notice membership.Notice) { go e.members.Broadcast(notice) }
	e.relay = generation.NewRelay(generation.RelayOptions{
		Engine: f.client, Placer: modelPlacer{f}, Budget: unlimitedRetries{}, CrashRecords: e.records,
		Targets: func(string) []*directory.Target { return e.targets(f) }, Versions: sharedVersions{e.versions},
	})
	e.forwarder = service.NewForwarder(service.ForwarderOptions{
		Sender: modelCallSender{f}, Directory: modelCallSender{f}, Budget: unlimitedRetries{}, Seed: uint64(i),
		CrashRecords: e.records,
	})
	ctx, cancel := context.WithCancel(f.ctx)
	e.ctx, e.stop = ctx, cancel
	go func() { _ = e.members.Run(ctx) }()
	if f.store != nil {
		go func() {
			// Goroutines of a synctest bubble that receive from timers which expire at one instant crash the race runtime (Go 1.26.8).
			if wait.For(ctx, time.Duration(i+1)*startSpacing) == nil {
				_ = e.versions.Run(ctx)
			}
		}()
		go f.observeServing(e)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries[address] = e
	if i < len(f.order) {
		f.order[i] = e
		return
	}
	f.order = append(f.order, e)
}

func (f *crashFleet) newEngine() *modelEngine {
	f.starts++
	id := fmt.Sprintf("i-%d", f.starts)
	return &modelEngine{target: &directory.Target{ID: id, Address: id + ":1", Version: f.version, StartedMs: time.Now().UnixMilli()}, crashed: make(chan struct{})}
}

func (f *crashFleet) targets() []*directory.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*directory.Target, 0, len(f.engines))
	for _, engine := range f.engines {
		list = append(list, engine.target)
	}
	return list
}

func (f *crashFleet) engine(id string) *modelEngine {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, engine := range f.engines {
		if engine.target.ID == id {
			return engine
		}
	}
	return nil
}

// crash ends an engine with all of its streams because of a part; another incarnation appears after modelRestart.
func (f *crashFleet) crash(engine *modelEngine, part string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	index := slices.Index(f.engines, engine)
	if index < 0 {
		return
	}
	f.engines = slices.Delete(f.engines, index, index+1)
	f.crashes[part] = append(f.crashes[part], time.Now())
	close(engine.crashed)
	time.AfterFunc(modelRestart, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		successor := f.newEngine()
		successor.target.Version = engine.target.Version
		f.engines = append(f.engines, successor)
	})
}

// modelEngineClient implements generation.RelayEngine.
type modelEngineClient struct{ fleet *crashFleet }

func (c modelEngineClient) Open(ctx context.Context, attempt generation.RelayAttempt) (generation.RelayStream, error) {
	engine := c.fleet.engine(attempt.Target.ID)
	if engine == nil {
		return nil, &generation.RelayRefusedError{Unreachable: true, Cause: errors.New("connection refused")}
	}
	attempt.Request.Payload.(*modelRequest).attempts.Add(1)
	bad := ""
	for _, part := range attempt.Request.SharedParts {
		if strings.HasPrefix(part, badPart) {
			bad = part
		}
	}
	if bad != "" {
		c.fleet.mu.Lock()
		c.fleet.arrivals[bad] = append(c.fleet.arrivals[bad], time.Now())
		c.fleet.mu.Unlock()
	}
	return &modelStream{ctx: ctx, fleet: c.fleet, engine: engine, bad: bad}, nil
}

func (modelEngineClient) CopyKVCache(context.Context, *directory.Target, string, *directory.Target) (string, error) {
	return "", errors.New("no copies")
}
func (modelEngineClient) FreeCopy(context.Context, *directory.Target, string) error { return nil }
func (modelEngineClient) Probe(context.Context, *directory.Target) error            { return nil }

// modelStream sends one event after modelPrefill and ends after modelStreamTime, unless its engine crashes.
type modelStream struct {
	ctx    context.Context
	fleet  *crashFleet
	engine *modelEngine
	// bad is the part that crashes the engine; empty for none.
	bad    string
	events int64
}

func (s *modelStream) Head() any { return nil }
func (s *modelStream) Close()    {}

func (s *modelStream) Next() (generation.RelayEvent, error) {
	pause := modelPrefill
	if s.events > 0 {
		pause = modelStreamTime
	}
	select {
	case <-time.After(pause):
	case <-s.engine.crashed:
		return generation.RelayEvent{}, io.ErrUnexpectedEOF
	case <-s.ctx.Done():
		return generation.RelayEvent{}, s.ctx.Err()
	}
	switch {
	case s.bad != "":
		s.fleet.crash(s.engine, s.bad)
		return generation.RelayEvent{}, io.ErrUnexpectedEOF
	case s.events > 0:
		return generation.RelayEvent{}, io.EOF
	}
	s.events++
	return generation.RelayEvent{ID: s.events}, nil
}

// modelPlacer chooses engines at random. It implements generation.RelayPlacer.
type modelPlacer struct{ fleet *crashFleet }

func (p modelPlacer) PlaceStream(_ context.Context, query generation.RelayQuery) (*directory.Target, error) {
	fitting := slices.DeleteFunc(slices.Clone(query.Engines), func(engine *directory.Target) bool { return query.Fits != nil && !query.Fits(engine) })
	if len(fitting) == 0 {
		return nil, nil
	}
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return fitting[p.fleet.random.IntN(len(fitting))], nil
}
func (modelPlacer) Backup(generation.RelayQuery, *directory.Target) *directory.Target { return nil }
func (modelPlacer) AddStream(*directory.Target, generation.StreamSize, int) generation.PlacedStream {
	return modelPlaced{}
}
func (modelPlacer) AddCopy(*directory.Target, generation.StreamSize) func() { return func() {} }
func (modelPlacer) ReportLost(*directory.Target)                            {}
func (modelPlacer) ReportRefused(*directory.Target)                         {}
func (modelPlacer) ReportAlive(*directory.Target)                           {}

type modelPlaced struct{}

func (modelPlaced) EventArrived() {}
func (modelPlaced) Ended()        {}

type unlimitedRetries struct{}

func (unlimitedRetries) Earn(string)                                {}
func (unlimitedRetries) Spend(string, generation.RetryUrgency) bool { return true }
func (unlimitedRetries) Refund(string)                              {}

// modelRequest counts the attempts of a request that reached an engine. It implements generation.RelaySink.
type modelRequest struct {
	attempts atomic.Int64
	// begunAt is the number of the attempt that began to answer; 0 if none did.
	begunAt int64
}

func (r *modelRequest) Begin(any) error                   { r.begunAt = r.attempts.Load(); return nil }
func (r *modelRequest) Event(generation.RelayEvent) error { return nil }

// send sends a request with the shared parts to an entry and returns whether it began at its first attempt.
func (f *crashFleet) send(e *fleetEntry, id string, parts ...string) bool {
	sent := &modelRequest{}
	request := &generation.RelayRequest{
		ID: id, Fingerprint: "fingerprint of " + id, SharedParts: parts, Service: "drafts", LastEvent: -1,
		Deadline: time.Now().Add(25 * time.Second), FirstEventObjective: 4500 * time.Millisecond, MaxAttempts: 5, Resumable: true,
		Payload: sent,
	}
	_ = e.relay.Run(f.ctx, request, sent) // the sink tells whether it began
	return sent.begunAt == 1
}

// generate sends requests at random entries until the fleet's context ends.
func (f *crashFleet) generate(kind string, perSecond float64, parts func(number int) []string, ended func(sent time.Time, began bool)) {
	for number := 0; f.ctx.Err() == nil; number++ {
		f.mu.Lock()
		pause := time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second))
		e := f.order[f.random.IntN(len(f.order))]
		f.mu.Unlock()
		time.Sleep(pause)
		sent := time.Now()
		go func() { ended(sent, f.send(e, fmt.Sprintf("%s-%d", kind, number), parts(number)...)) }()
	}
}

// lateArrivals returns how many requests with a bad part reached engines later than stableWindow after the crash that
// completed the evidence.
func (f *crashFleet) lateArrivals(part string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes[part]) < evidenceCrashes {
		return 0
	}
	from := f.crashes[part][evidenceCrashes-1].Add(stableWindow)
	late := 0
	for _, at := range f.arrivals[part] {
		if at.After(from) {
			late++
		}
	}
	return late
}

// Requests whose prompts share one part crash each engine that begins to answer them, and no two of them are alike.
func TestPromptPartThatCrashesEnginesIsRefusedByTheWholeFleet(t *testing.T) {
	for _, size := range []int{8, 59, 76} {
		t.Run(fmt.Sprintf("%d_entries", size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				f := newCrashFleet(ctx, size)
				go f.generate("sound", 20, func(number int) []string {
					return []string{"system", fmt.Sprintf("customer-%d", number%10), fmt.Sprintf("session-%d", number)}
				}, func(sent time.Time, began bool) {
					f.mu.Lock()
					defer f.mu.Unlock()
					if f.soundFrom.IsZero() || sent.Before(f.soundFrom) {
						return
					}
					f.soundSent++
					if began {
						f.soundBegun++
					}
				})
				time.Sleep(modelHistoryTime)
				go f.generate("bad", 3, func(int) []string { return []string{"system", "customer-3", badPart} }, func(time.Time, bool) {})
				time.Sleep(2 * stableWindow)
				f.mu.Lock()
				f.soundFrom = time.Now()
				f.mu.Unlock()
				time.Sleep(modelDay)
				cancel()
				time.Sleep(time.Minute) // until all goroutines have ended
				t.Logf("%d crashes, %d requests with the part later than %v after the fifth; %d of %d sound requests begun",
					len(f.crashes[badPart]), f.lateArrivals(badPart), stableWindow, f.soundBegun, f.soundSent)
				is.True(f.lateArrivals(badPart) <= maxLateArrivals)
				is.True(float64(f.soundBegun) >= minFirstBeginShare*float64(f.soundSent))
			})
		})
	}
}

// Guards against entries that let requests through because they were not there when the verdict fell.
func TestEntryThatStartsAfterTheVerdictRefusesThePart(t *testing.T) {
	for _, size := range []int{8, 59, 76} {
		t.Run(fmt.Sprintf("%d_entries", size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				f := newCrashFleet(ctx, size)
				time.Sleep(modelHistoryTime)
				verdict := health.RefusedParts{Parts: []string{badPart}, Targets: evidenceCrashes}
				f.order[size/2].records.crashes.RefuseParts(verdict.Parts, verdict.Targets, time.Now())
				f.order[size/2].records.publishVerdict(verdict, true)
				time.Sleep(time.Minute)
				f.order[1].stop()
				f.startEntry(1)
				time.Sleep(stableWindow)
				refused := f.order[1].records.Judge(health.Work{Fingerprint: "f", SharedParts: []string{"system", badPart}}).Refused
				cancel()
				time.Sleep(time.Minute) // until all goroutines have ended
				is.True(refused)
			})
		})
	}
}

// Guards against a verdict that comes too late for the requests that wait for their first event at many engines.
func TestBurstOfRequestsWithACrashingPartIsStoppedByTheVerdict(t *testing.T) {
	for _, size := range []int{8, 59, 76} {
		t.Run(fmt.Sprintf("%d_entries", size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				f := newCrashFleet(ctx, size)
				go f.generate("sound", 20, func(number int) []string {
					return []string{"system", fmt.Sprintf("session-%d", number)}
				}, func(time.Time, bool) {})
				time.Sleep(modelHistoryTime)
				go f.generate("bad", 15, func(int) []string { return []string{"system", badPart} }, func(time.Time, bool) {})
				time.Sleep(2*stableWindow + modelDay)
				cancel()
				time.Sleep(time.Minute) // until all goroutines have ended
				t.Logf("%d crashes, %d late arrivals", len(f.crashes[badPart]), f.lateArrivals(badPart))
				is.True(f.lateArrivals(badPart) <= maxLateArrivals)
			})
		})
	}
}

// Guards against verdicts that wait in the gossip behind the crashes that are their evidence.
func TestManyPartsThatCrashEnginesAtOnceAreAllRefusedInTime(t *testing.T) {
	const parts = 8
	for _, size := range []int{4, 8, 59, 76} {
		t.Run(fmt.Sprintf("%d_entries", size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				f := newCrashFleet(ctx, size)
				go f.generate("sound", 20, func(number int) []string {
					return []string{"system", fmt.Sprintf("session-%d", number)}
				}, func(time.Time, bool) {})
				time.Sleep(modelHistoryTime)
				go f.generate("bad", 4*parts, func(number int) []string {
					return []string{"system", fmt.Sprintf("%s-%d", badPart, number%parts)}
				}, func(time.Time, bool) {})
				time.Sleep(2*stableWindow + modelDay)
				cancel()
				time.Sleep(time.Minute) // until all goroutines have ended
				for i := range parts {
					part := fmt.Sprintf("%s-%d", badPart, i)
					t.Logf("%s: %d crashes, %d late arrivals", part, len(f.crashes[part]), f.lateArrivals(part))
					is.True(f.lateArrivals(part) <= maxLateArrivals)
				}
			})
		})
	}
}
