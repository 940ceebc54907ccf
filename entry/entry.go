// Package entry assembles and runs an entry with the passthrough interface, which forwards opaque HTTP
// requests along the routes of the platform's configuration. Programs embed one with New and Run. The
// root package is the counterpart with the native interface.
package entry

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/oklog/run"

	"github.com/azurebarrow/azurebarrow/adapters/callerlimit"
	"github.com/azurebarrow/azurebarrow/adapters/crashprobe"
	"github.com/azurebarrow/azurebarrow/adapters/metrics"
	"github.com/azurebarrow/azurebarrow/adapters/passthrough"
	"github.com/azurebarrow/azurebarrow/adapters/peerexchange"
	"github.com/azurebarrow/azurebarrow/adapters/peertwirp/directorypeer"
	"github.com/azurebarrow/azurebarrow/adapters/peertwirp/peermembership"
	"github.com/azurebarrow/azurebarrow/adapters/peertwirp/retrypeer"
	"github.com/azurebarrow/azurebarrow/adapters/placementpeer"
	"github.com/azurebarrow/azurebarrow/adapters/promptpeer"
	"github.com/azurebarrow/azurebarrow/adapters/rolloutpeer"
	"github.com/azurebarrow/azurebarrow/adapters/streamversionpeer"
	"github.com/azurebarrow/azurebarrow/adapters/targethttp"
	"github.com/azurebarrow/azurebarrow/admission"
	"github.com/azurebarrow/azurebarrow/detour"
	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/placementcontrol"
	"github.com/azurebarrow/azurebarrow/platform"
	"github.com/azurebarrow/azurebarrow/promptindex"
	"github.com/azurebarrow/azurebarrow/rolloutcontrol"
	"github.com/azurebarrow/azurebarrow/routing"
	"github.com/azurebarrow/azurebarrow/service"
	"github.com/azurebarrow/azurebarrow/settings"
	"github.com/azurebarrow/azurebarrow/streamversion"
)

// Options configures what the settings file does not: it is set by the embedding program.
type Options struct {
	// Log is called with each log event, one per decision; nil discards them.
	Log func(event string, fields ...generation.Field)
	// DialTarget opens the connections to targets; nil dials them from this host.
	DialTarget func(ctx context.Context, network, address string) (net.Conn, error)
}

// Entry is one entry with the passthrough interface.
type Entry struct {
	settings  settings.Settings
	options   Options
	log       func(event string, fields ...generation.Field)
	members   *membership.Manager
	directory *directory.Manager
	// transfers counts what this entry's directory feed sends to other entries.
	transfers *directorypeer.Transfers
	pool      *targethttp.Pool
	// connectivity and router know which paths to targets work; exchanges sends requests through peers.
	connectivity *generation.Connectivity
	router       *detour.Router
	exchanges    *peerexchange.Client
	paths        *passthrough.Paths
	placement    *routing.Placement
	// sharedPlacement places streams with the other entries, on top of placement.
	sharedPlacement *placementcontrol.Manager
	// callChoice chooses the targets of calls with the other entries.
	callChoice *callChoice
	relay      *generation.Relay
	forwarder  *service.Forwarder
	retries    *admission.SharedRetryBudget
	// retryTotals sums up the retries of all entries, if the peers choose this entry for it.
	retryTotals  *admission.RetryTotals
	peerClient   *http.Client
	crashRecords *sharedCrashRecords
	limits       *sendLimits
	versions     *streamversion.Manager
	prompts      *promptindex.Manager
	// rollouts is nil if the entry carries out none.
	rollouts *rolloutcontrol.Manager
	callers  *callerListener
	// callerLimits limits what callers make the entry hold.
	callerLimits *callerlimit.Limiter
	ready        boundServer
	peers        boundServer
	admin        boundServer
	metrics      *metrics.Set
	counters     counters

	shutdown *shutdown
	// stopped ends when the requests in progress must be answered, since the process is about to exit; stop ends it.
	stopped context.Context
	stop    context.CancelFunc
	// running is the number of callers' requests in progress.
	running atomic.Int64
	// outdatedAt is when the directory was outdated last, in nanoseconds.
	outdatedAt atomic.Int64
}

// boundServer is an HTTP server with its listener, which is open before the server runs.
type boundServer struct {
	listener net.Listener
	server   *http.Server
	limiter  *callerlimit.Limiter
}

// minExpectedEntries is the number of entries among which the constant part of the retry budget is
// divided until more entries are known.
const minExpectedEntries = 4

// New returns an entry whose listeners are open and which serves once Run is called. The settings must
// be valid: settings.Load or settings.Check has returned no findings for them.
func New(s settings.Settings, options Options) (*Entry, error) {
	if options.Log == nil {
		options.Log = func(string, ...generation.Field) {}
	}
	e := &Entry{settings: s.WithDefaults(), options: options, log: options.Log, metrics: metrics.New(), retryTotals: admission.NewRetryTotals(), crashRecords: newSharedCrashRecords(options.Log)}
	e.shutdown = newShutdown(e.settings.Passthrough.StopGrace)
	e.stopped, e.stop = context.WithCancel(context.Background())
	e.callerLimits = callerlimit.New(callerlimit.Options{
		MemoryBytes: e.settings.Limits.CallerMemoryBytes, Connections: e.settings.Limits.CallerConnections,
		DefersForwarding: true, Listener: "callers", Log: e.log,
	})
	e.buildMembership()
	e.buildLimits()
	e.buildDirectory()
	handler := e.buildCallerHandler()
	e.registerMetrics()
	if err := e.listen(handler); err != nil {
		return nil, err
	}
	return e, nil
}

// buildMembership creates the membership view; the entries discover each other through the seeds.
func (e *Entry) buildMembership() {
	seeds := make([]membership.Peer, 0, len(e.settings.Passthrough.Seeds))
	for _, address := range e.settings.Passthrough.Seeds {
		if address != e.settings.PeerAddress {
			seeds = append(seeds, membership.Peer{Address: address})
		}
	}
	e.members = membership.NewManager(membership.Options{
		Self: membership.Peer{
			Name:             e.settings.Name,
			Address:          e.settings.PeerAddress,
			AvailabilityZone: e.settings.AvailabilityZone,
			Incarnation:      uint64(time.Now().UnixNano()),
		},
		Prober:   peermembership.NewProber(&http.Client{Transport: peermembership.NewTransport()}),
		Seeds:    seeds,
		Seed:     rand.Uint64(),
		OnNotice: e.receiveNotice, RetainedKinds: retainedNotices,
	})
	e.crashRecords.isFirst = func(key string) bool { return membership.Rank(e.members.Live(), key)[0].Name == e.settings.Name }
	// Broadcast waits for the goroutine that owns the membership; requests must not wait for it.
	e.crashRecords.broadcast = func(notice membership.Notice) { go e.members.Broadcast(notice) }
}

// watchLinkShare is the share of the VM's link at which large changes are read from the store. Where links carry 10 Mbit/s,
// the second of two configurations of a megabyte in a row still arrives within the 3 s in which it must be in force.
const watchLinkShare = 0.6

// buildDirectory creates the managers of the platform's objects: the prompt locations and the
// directory of routes and targets. The directory also follows the feeds of peers.
func (e *Entry) buildDirectory() {
	store := platform.NewStore(e.settings.Platform.URL, platform.StoreOptions{
		WatchBytesPerSecond: watchLinkShare * e.settings.Passthrough.LinkBytesPerSecond(),
		Serving:             func() bool { return e.directory.Snapshot().Ready() },
	})
	dialer := net.Dialer{Timeout: peerDialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: peerIdleTimeout,
	}
	e.peerClient = &http.Client{Transport: transport}
	feedTransport := transport.Clone()
	feedTransport.DisableCompression = false
	e.prompts = promptindex.NewManager(promptindex.Options{
		Entry: e.settings.Name,
		Store: store,
		Live:  func() int { return len(e.members.Live()) },
		Peers: promptpeer.NewClient(e.peerClient),
		View:  e.members,
		Found: func(prompt, peer, engine string) {
			e.log("prompt-found-at-peer", generation.Field{Key: "prompt", Value: prompt}, generation.Field{Key: "peer", Value: peer},
				generation.Field{Key: "target", Value: engine})
		},
		Log: func(event string, err error) {
			e.log(event, generation.Field{Key: "error", Value: err})
		},
	})
	e.versions = streamversion.NewManager(streamversion.Options{
		View: e.members, Transport: streamversionpeer.NewClient(e.peerClient), Store: store, Observe: e.logStreamVersions,
	})
	e.buildRollouts(store)
	e.transfers = &directorypeer.Transfers{Report: e.logTransfer}
	e.directory = directory.NewManager(directory.Options{
		Store:      store,
		StoreEra:   store.Era,
		Decoder:    platform.Decoder{},
		Rollouts:   e.rolloutDecoder(),
		Peers:      directorypeer.NewClient(&http.Client{Transport: feedTransport}),
		View:       e.members,
		Identifier: platform.NewEngineReports(),
		Observe:    e.observeDirectory,

		AddressReuse: e.settings.Passthrough.AddressReuse,
		Uptime:       bootTime,
	})
}

// Limits of the connections to peers.
const (
	peerDialTimeout = 200 * time.Millisecond
	peerIdleTimeout = 10 * time.Second
)

// peerHandler serves the protocols between entries.
func (e *Entry) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peermembership.NewHandler(e.members))
	mux.Handle(directorypeer.NewHandler(e.directory.Feed(), e.transfers))
	mux.Handle(retrypeer.NewHandler(e.retryTotals))
	mux.Handle(streamversionpeer.NewHandler(e.versions))
	mux.Handle(promptpeer.NewHandler(e.prompts))
	if e.rollouts != nil {
		mux.Handle(rolloutpeer.NewHandler(e.rollouts))
	}
	placementpeer.Register(mux, e.sharedPlacement)
	placementpeer.RegisterCalls(mux, e.callChoice)
	e.exchangeHandler().Register(mux, e.countRunning)
	return mux
}

// buildCallerHandler creates the components that serve callers and returns their handler.
func (e *Entry) buildCallerHandler() http.Handler {
	e.buildPaths()
	e.crashRecords.isDown = crashprobe.New(e.pool, e.router).IsDown
	targets := passthrough.NewTargets(e.pool, e.paths, e.directory, e.limits, e.log)
	var engine generation.RelayEngine = targets
	var sender service.Sender = targets
	available := func(name string) []*directory.Target { return e.directory.Snapshot().AvailableTargets(name) }
	if e.rollouts != nil {
		engine, sender, available = observedEngine{targets}, observedSender{targets}, e.availableTargets
		targets.LimitAvailable(e.rollouts.Available)
	}
	limits := e.settings.Passthrough
	e.retries = admission.NewSharedRetryBudget(admission.SharedRetryLimits{
		Ratio: limits.RetryRatio, Slack: limits.RetrySlack, Window: limits.RetryWindow,
	}, func() int { return max(minExpectedEntries, len(e.members.Live())) }, nil)
	e.placement = routing.NewPlacement(routing.PlacementOptions{
		AvailabilityZone: e.settings.AvailabilityZone,
		Entries: func() (membership.Peer, []membership.Peer) {
			return e.members.Self(), e.members.Live()
		},
		ReportPace: func(engine string, slowness float64) {
			e.log("target-pace", generation.Field{Key: "target", Value: engine}, generation.Field{Key: "slowness", Value: math.Round(10*slowness) / 10})
		},
		Seed: rand.Uint64(),
	})
	e.buildSharedPlacement(available)
	e.buildCallChoice()
	e.relay = generation.NewRelay(generation.RelayOptions{
		Engine:          engine,
		Placer:          e.sharedPlacement,
		Budget:          e.retries,
		Limits:          e.limits,
		Targets:         available,
		AddressMismatch: e.directory.ReportAddressMismatch,
		Connectivity:    e.connectivity,
		Detour:          relayDetour{e.router},
		CrashRecords:    e.crashRecords,
		Stopping:        e.shutdown.stopping,
		Versions:        sharedVersions{e.versions},
		Prompts:         e.prompts,
		Log:             e.log,
	})
	e.forwarder = service.NewForwarder(service.ForwarderOptions{
		Sender:    sender,
		Directory: targets,
		Budget:    e.retries,
		Limits:    e.limits,
		Seed:      uint64(time.Now().UnixNano()),
		Log:       e.logAttempt,

		CrashRecords: e.crashRecords,
		SharedChoice: e.callChoice,
	})
	handler := passthrough.NewHandler(passthrough.Options{
		Snapshot:  e.directory.Snapshot,
		Relay:     e.relay,
		Forwarder: e.forwarder,
		WaitReady: e.directory.WaitReady,

		RequestMemoryBytes: e.callerLimits.SharedBytes(),
		Draining:           e.shutdown.stopping,
		Accepts: func(route *directory.Route, outputTokens int, deadline time.Time) bool {
			return e.shutdown.accepts(route, outputTokens, deadline, time.Now())
		},
		StreamBegan:  e.streamBegan,
		BeginRequest: e.beginRequest(),
		Stopped:      e.stopped,
		Log:          e.log,
		Observe:      e.observeRequest,
	})
	return e.countRunning(handler)
}

// listen opens the listeners of all servers.
func (e *Entry) listen(callers http.Handler) error {
	var err error
	if e.callers, err = newCallerListener(e.settings.CallerAddress, callers, e.callerLimits, e.log); err != nil {
		return merry.Prepend(err, "callerAddress")
	}
	if err := e.ready.open(e.settings.Passthrough.ReadyAddress, e.readyHandler(), callerlimit.New(callerlimit.ForOperators("ready", e.log))); err != nil {
		return merry.Prepend(err, "passthrough.readyAddress")
	}
	if err := e.peers.open(e.settings.PeerAddress, e.peerHandler(), callerlimit.New(callerlimit.ForPeers(e.log))); err != nil {
		return merry.Prepend(err, "peerAddress")
	}
	if err := e.admin.open(e.settings.AdminAddress, e.adminHandler(), callerlimit.New(callerlimit.ForOperators("admin", e.log))); err != nil {
		return merry.Prepend(err, "adminAddress")
	}
	callerlimit.RegisterMetrics(e.metrics, e.callerLimits, e.ready.limiter, e.peers.limiter, e.admin.limiter)
	return nil
}

func (b *boundServer) open(address string, handler http.Handler, limiter *callerlimit.Limiter) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	b.listener = limiter.NewListener(listener)
	b.server = &http.Server{Handler: handler, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: defaultHeaderBytes}
	limiter.Configure(b.server)
	b.limiter = limiter
	return nil
}

func (b *boundServer) addActor(group *run.Group) {
	group.Add(func() error { return b.server.Serve(b.listener) }, func(error) { _ = b.server.Close() })
}

// Run serves until ctx ends, then shuts down gracefully within settings.Passthrough.StopGrace.
func (e *Entry) Run(ctx context.Context) error {
	var group run.Group
	group.Add(e.callers.run, func(error) { e.callers.close() })
	e.ready.addActor(&group)
	e.peers.addActor(&group)
	e.admin.addActor(&group)
	addActor(&group, e.metrics.Run)
	addActor(&group, e.members.Run)
	addActor(&group, e.directory.Run)
	addActor(&group, e.prompts.Run)
	addActor(&group, e.versions.Run)
	addActor(&group, e.sharedPlacement.Run)
	addActor(&group, e.callChoice.Run)
	if e.rollouts != nil {
		addActor(&group, e.rollouts.Run)
	}
	addActor(&group, e.maintain)
	addActor(&group, e.router.Run)
	addActor(&group, func(ctx context.Context) error {
		return e.retries.ExchangeTotals(ctx, retrypeer.NewClient(e.peerClient), e.members, e.logRetryTotals)
	})
	drainCtx, cancel := context.WithCancel(ctx)
	group.Add(func() error { <-drainCtx.Done(); return e.drain() }, func(error) { cancel() })
	e.log("entry-started", generation.Field{Key: "name", Value: e.settings.Name},
		generation.Field{Key: "zone", Value: e.settings.AvailabilityZone},
		generation.Field{Key: "callers", Value: e.settings.CallerAddress},
		generation.Field{Key: "peers", Value: e.settings.PeerAddress},
		generation.Field{Key: "admin", Value: e.settings.AdminAddress},
		generation.Field{Key: "store", Value: e.settings.Platform.URL},
		generation.Field{Key: "caller_memory", Value: e.callerLimits.MemoryBytes()},
		generation.Field{Key: "caller_connections", Value: e.callerLimits.MaxConnections()})
	err := group.Run()
	e.log("entry-stopped", generation.Field{Key: "error", Value: err}, generation.Field{Key: "running", Value: e.running.Load()})
	return err
}

// addActor adds an actor that runs a job until the entry stops.
func addActor(group *run.Group, job func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return job(ctx) }, func(error) { cancel() })
}

// drain starts the shutdown and returns when the process should exit.
func (e *Entry) drain() error {
	e.shutdown.begin(time.Now())
	e.log("entry-draining", generation.Field{Key: "running", Value: e.running.Load()})
	for !e.shutdown.shouldExit(time.Now(), e.running.Load) {
		time.Sleep(drainPollInterval)
	}
	e.stop()
	return nil
}

// isReady reports whether the entry may accept connections: it is not draining and has a configuration.
func (e *Entry) isReady() bool {
	return !e.shutdown.stopping() && e.directory.Snapshot().Ready()
}

func (e *Entry) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !e.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

func (e *Entry) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", e.metrics.Handler())
	mux.HandleFunc("POST /prompt-parts/allow", func(w http.ResponseWriter, r *http.Request) {
		if !e.crashRecords.allow(r.FormValue("parts")) {
			http.Error(w, "no such parts are refused: "+r.FormValue("parts"), http.StatusNotFound)
		}
	})
	if e.rollouts != nil {
		mux.HandleFunc("GET /rollouts", e.serveRollouts)
	}
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}
