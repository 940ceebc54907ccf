// Package azurebarrow assembles and runs an entry, the process between callers and targets, with the
// native interface. The daemon in cmd/azurebarrow is a thin wrapper around it; other programs embed an
// entry with New and Run. Package entry is the counterpart with the passthrough interface.
package azurebarrow

import (
	"context"
	"io"
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
}

// Node is one entry with the native interface.
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
	node := &Entry{
		settings:    s,
		options:     options,
		log:         options.Log.WithField("entry", s.Name),
		metrics:     metrics.New(),
		incarnation: uint64(time.Now().UnixNano()),
	}
	node.build()
	if err := node.servers.listen(node, node.newCallerHandler()); err != nil {
		return nil, err
	}
	node.mountPeerProtocols(node.servers.peerMux)
	return node, nil
}

// build creates the components in the order of their dependencies.
func (n *Entry) build() {
	platform := platformhttp.New(n.settings.Platform.URL, platformhttp.Options{})
	peerClient := newPeerClient()
	n.buildMembership(platform)
	n.configuration = n.newConfiguration(platform, n.members, peerClient)
	n.control = n.newControlPlane(platform, n.members, peerClient)
	n.buildRouting(peerClient)
	n.buildGenerations(n.members, peerClient, n.control.guardChooser(n.router))
	n.buildObjectives(n.members, peerClient)
	n.services = n.newServicePlane(n.members)
	n.registerMetrics()
}

// newCallerHandler returns the handler of the callers' requests.
func (n *Entry) newCallerHandler() http.Handler {
	return callerhttp.NewServer(callerhttp.Options{
		Configuration: n.configuration,
		Generations:   n.generations,
		Admission:     n.admission,
		Services:      n.services.handler,
		Objectives:    n.objectives,
		BodyBytes:     n.settings.Limits.BodyBytes,
		BodyTimeout:   n.settings.Limits.BodyTimeout,
		Ready:         n.ready,
		Draining:      n.draining.Load,
		Log:           n.logEvent,
	})
}

// mountPeerProtocols registers the handlers of the protocols between entries.
func (n *Entry) mountPeerProtocols(mux *http.ServeMux) {
	mux.Handle(peermembership.NewHandler(n.members))
	mux.Handle(peerquota.NewHandler(n.admission))
	mux.Handle(peertwirp.NewObjectivesServer(n.reports))
	n.control.mount(mux)
	n.services.mount(mux)
	n.recovery.mount(mux, n.generations)
}

// Run serves until ctx ends, then shuts down gracefully: it waits without a time limit until every
// accepted request has finished. It returns nil after a graceful shutdown.
func (n *Entry) Run(ctx context.Context) error {
	var group run.Group
	n.servers.addActors(&group)
	n.addActor(&group, n.metrics.Run)
	n.addActor(&group, n.members.Run)
	n.addActor(&group, n.configuration.Run)
	n.addActor(&group, n.engineStatus.Run)
	n.addActor(&group, n.admission.Run)
	n.control.addActors(n, &group)
	n.services.addActors(n, &group)
	n.addDrain(ctx, &group)
	n.log.WithFields(logrus.Fields{"caller_address": n.settings.CallerAddress, "availability_zone": n.settings.AvailabilityZone}).Info("entry started")
	err := group.Run()
	n.log.WithError(err).Info("entry stopped")
	return err
}

// addActor adds an actor that runs a job until the entry stops.
func (n *Entry) addActor(group *run.Group, job func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return job(ctx) }, func(error) { cancel() })
}

// addDrain adds the actor that waits for the end of ctx and then drains the entry; when it returns,
// the group stops the other actors.
func (n *Entry) addDrain(ctx context.Context, group *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		<-ctx.Done()
		return n.drain()
	}, func(error) { cancel() })
}

// drain stops accepting connections and waits, without a time limit, until every accepted request has
// finished.
func (n *Entry) drain() error {
	n.draining.Store(true)
	n.log.Info("entry draining")
	time.Sleep(n.options.DrainNotice)
	if defect.Enabled(defect.AbortOnDrain) {
		return n.servers.callers.server.Close()
	}
	if err := n.servers.callers.server.Shutdown(context.Background()); err != nil {
		return err
	}
	if err := n.generations.Drain(context.Background()); err != nil {
		return err
	}
	n.generations.Close()
	return n.services.drain()
}

func (n *Entry) logEvent(event string, fields ...generation.Field) {
	log := n.log
	for _, field := range fields {
		log = log.WithField(field.Key, field.Value)
	}
	log.Info(event)
}
