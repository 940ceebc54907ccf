// Package azurebarrow assembles and runs an entry, the process between callers and targets, with the
// native interface. The daemon in cmd/azurebarrow is a thin wrapper around it; other programs embed an
// entry with New and Run. Package entry is the counterpart with the passthrough interface.
package azurebarrow

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/azurebarrow/azurebarrow/adapters/callerhttp"
	"github.com/azurebarrow/azurebarrow/adapters/enginestatus"
	"github.com/azurebarrow/azurebarrow/adapters/metrics"
	"github.com/azurebarrow/azurebarrow/adapters/peertwirp"
	"github.com/azurebarrow/azurebarrow/adapters/peertwirp/peermembership"
	"github.com/azurebarrow/azurebarrow/adapters/peertwirp/peerquota"
	"github.com/azurebarrow/azurebarrow/adapters/platformhttp"
	"github.com/azurebarrow/azurebarrow/admission"
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/internal/defect"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/routing"
	"github.com/azurebarrow/azurebarrow/settings"
	"github.com/azurebarrow/azurebarrow/slo"
)

// Options configures what the settings file does not: it is set by the embedding program.
type Options struct {
	// Log receives the entry's log lines; nil discards them.
	Log *logrus.Logger
	// DrainNotice is how long a draining entry reports not-ready before it stops accepting
	// connections, so that the load balancer notices in time.
	DrainNotice time.Duration
	// DialTarget opens the connections to targets; nil dials them from this host.
	DialTarget func(ctx context.Context, network, address string) (net.Conn, error)
}

// Entry is one entry with the native interface.
type Entry struct {
	settings settings.Settings
	options  Options
	log      *logrus.Entry
	metrics  *metrics.Set
	draining atomic.Bool

	// incarnation distinguishes this start of the process from other starts under the same name.
	incarnation uint64

	members       *membership.Manager
	router        *routing.Router
	engineStatus  *enginestatus.Poller
	admission     *admission.Controller
	configuration *config.Manager
	generations   *generation.Manager
	recovery      recovery
	control       *controlPlane
	services      *servicePlane
	links         *targetLinks
	objectives    *slo.Recorder
	reports       *slo.Collector
	servers       servers
}

// New returns an entry whose listeners are open and which serves once Run is called. The settings must
// be valid: settings.Load or settings.Check has returned no findings for them.
func New(s settings.Settings, options Options) (*Entry, error) {
	if options.Log == nil {
		options.Log = logrus.New()
		options.Log.SetOutput(io.Discard)
	}
	s = s.WithDefaults()
	entry := &Entry{
		settings:    s,
		options:     options,
		log:         options.Log.WithField("entry", s.Name),
		metrics:     metrics.New(),
		incarnation: uint64(time.Now().UnixNano()),
	}
	entry.build()
	if err := entry.servers.listen(entry, entry.newCallerHandler()); err != nil {
		return nil, err
	}
	entry.mountPeerProtocols(entry.servers.peerMux)
	return entry, nil
}

// build creates the components in the order of their dependencies.
func (e *Entry) build() {
	platform := platformhttp.New(e.settings.Platform.URL, platformhttp.Options{})
	peerClient := newPeerClient()
	e.buildMembership(platform)
	e.configuration = e.newConfiguration(platform, e.members, peerClient)
	e.control = e.newControlPlane(platform, e.members, peerClient)
	e.buildRouting(peerClient)
	e.links = e.newTargetLinks()
	e.buildGenerations(e.members, peerClient, e.control.guardChooser(e.router))
	e.buildObjectives(e.members, peerClient)
	e.services = e.newServicePlane(e.members)
	e.registerMetrics()
}

// newCallerHandler returns the handler of the callers' requests.
func (e *Entry) newCallerHandler() http.Handler {
	return callerhttp.NewServer(callerhttp.Options{
		Configuration: e.configuration,
		Generations:   e.generations,
		Admission:     e.admission,
		Services:      e.services.handler,
		Objectives:    e.objectives,
		MaxBodyBytes:  e.settings.Limits.BodyBytes,
		BodyTimeout:   e.settings.Limits.BodyTimeout,
		Ready:         e.ready,
		Draining:      e.draining.Load,
		Log:           e.logEvent,
	})
}

// mountPeerProtocols registers the handlers of the protocols between entries.
func (e *Entry) mountPeerProtocols(mux *http.ServeMux) {
	mux.Handle(peermembership.NewHandler(e.members))
	mux.Handle(peerquota.NewHandler(e.admission))
	mux.Handle(peertwirp.NewObjectivesServer(e.reports))
	e.control.mount(mux)
	e.services.mount(mux)
	e.recovery.mount(mux, e.generations)
	e.links.mount(mux)
}

// Run serves until ctx ends, then shuts down gracefully: it waits without a time limit until every
// accepted request has finished. It returns nil after a graceful shutdown.
func (e *Entry) Run(ctx context.Context) error {
	var group run.Group
	e.servers.addActors(&group)
	e.addActor(&group, e.metrics.Run)
	e.addActor(&group, e.members.Run)
	e.addActor(&group, e.configuration.Run)
	e.addActor(&group, e.engineStatus.Run)
	e.addActor(&group, e.admission.Run)
	e.control.addActors(e, &group)
	e.services.addActors(e, &group)
	e.links.addActors(e, &group)
	e.addDrain(ctx, &group)
	e.log.WithFields(logrus.Fields{"caller_address": e.settings.CallerAddress, "availability_zone": e.settings.AvailabilityZone}).Info("entry started")
	err := group.Run()
	e.log.WithError(err).Info("entry stopped")
	return err
}

// addActor adds an actor that runs a job until the entry stops.
func (e *Entry) addActor(group *run.Group, job func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return job(ctx) }, func(error) { cancel() })
}

// addDrain adds the actor that waits for the end of ctx and then drains the entry; when it returns,
// the group stops the other actors.
func (e *Entry) addDrain(ctx context.Context, group *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		<-ctx.Done()
		return e.drain()
	}, func(error) { cancel() })
}

// drain stops accepting connections and waits, without a time limit, until every accepted request has
// finished.
func (e *Entry) drain() error {
	e.draining.Store(true)
	e.log.Info("entry draining")
	time.Sleep(e.options.DrainNotice)
	if defect.Enabled(defect.AbortOnDrain) {
		return e.servers.callers.server.Close()
	}
	if err := e.servers.callers.server.Shutdown(context.Background()); err != nil {
		return err
	}
	if err := e.generations.Drain(context.Background()); err != nil {
		return err
	}
	e.generations.Close()
	err := e.services.drain()
	e.links.drain()
	return err
}

func (e *Entry) logEvent(event string, fields ...generation.Field) {
	log := e.log
	for _, field := range fields {
		log = log.WithField(field.Key, field.Value)
	}
	log.Info(event)
}
