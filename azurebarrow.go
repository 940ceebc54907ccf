// Package azurebarrow puts an entry together: the process between callers and targets. The daemon
// in cmd/azurebarrow is a thin wrapper; a program of one's own embeds an entry by New and Run.
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

// Options are what an embedder may replace.
type Options struct {
	// Log receives the entry's log; nil discards it.
	Log *logrus.Logger
	// DrainNotice is how long an entry that leaves shows not-ready before it stops to accept, so
	// that the balancer sees it in time.
	DrainNotice time.Duration
}

// Node is one entry.
type Node struct {
	settings settings.Settings
	options  Options
	log      *logrus.Entry
	metrics  *metrics.Set
	draining atomic.Bool

	// incarnation tells this start of the process from others of the same name.
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

// New returns an entry that is not running yet. The settings must have passed their check.
func New(s settings.Settings, options Options) (*Node, error) {
	if options.Log == nil {
		options.Log = logrus.New()
		options.Log.SetOutput(io.Discard)
	}
	s = s.WithDefaults()
	node := &Node{
		settings:    s,
		options:     options,
		log:         options.Log.WithField("entry", s.Name),
		metrics:     metrics.New(),
		incarnation: uint64(time.Now().UnixNano()),
	}
	node.build()
	if err := node.servers.listen(node, node.newCallers()); err != nil {
		return nil, err
	}
	node.mountPeerProtocols(node.servers.peerMux)
	return node, nil
}

// build creates the parts, each after those that it uses.
func (n *Node) build() {
	platform := platformhttp.New(n.settings.Platform.URL, platformhttp.Options{})
	peers := newPeerClient()
	n.buildMembership(platform)
	n.configuration = n.newConfiguration(platform, n.members, peers)
	n.control = n.newControlPlane(platform, n.members, peers)
	n.buildRouting(peers)
	n.buildGenerations(n.members, peers, n.control.guard(n.router))
	n.buildObjectives(n.members, peers)
	n.services = n.newServicePlane(n.members)
	n.registerMetrics()
}

// newCallers returns the handler of the callers' address.
func (n *Node) newCallers() http.Handler {
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

// mountPeerProtocols adds the handlers of what entries ask each other.
func (n *Node) mountPeerProtocols(mux *http.ServeMux) {
	mux.Handle(peermembership.NewHandler(n.members))
	mux.Handle(peerquota.NewHandler(n.admission))
	mux.Handle(peertwirp.NewObjectivesServer(n.reports))
	n.control.mount(mux)
	n.services.mount(mux)
	n.recovery.mount(mux, n.generations)
}

// Run serves until ctx ends, then shuts down gracefully: it lets every accepted request finish,
// however long that takes, and returns nil.
func (n *Node) Run(ctx context.Context) error {
	var group run.Group
	n.servers.addTo(&group)
	n.addActor(&group, n.metrics.Run)
	n.addActor(&group, n.members.Run)
	n.addActor(&group, n.configuration.Run)
	n.addActor(&group, n.engineStatus.Run)
	n.addActor(&group, n.admission.Run)
	n.control.addTo(n, &group)
	n.services.addTo(n, &group)
	n.addDrain(ctx, &group)
	n.log.WithFields(logrus.Fields{"caller_address": n.settings.CallerAddress, "availability_zone": n.settings.AvailabilityZone}).Info("entry started")
	err := group.Run()
	n.log.WithError(err).Info("entry stopped")
	return err
}

// addActor runs a job for as long as the entry runs.
func (n *Node) addActor(group *run.Group, job func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return job(ctx) }, func(error) { cancel() })
}

// addDrain adds the actor that waits for the end of ctx and drains the entry; when it returns, the
// other actors are stopped.
func (n *Node) addDrain(ctx context.Context, group *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		<-ctx.Done()
		return n.drain()
	}, func(error) { cancel() })
}

// drain stops accepting and waits, without a limit, for every accepted request.
func (n *Node) drain() error {
	n.draining.Store(true)
	n.log.Info("entry draining")
	time.Sleep(n.options.DrainNotice)
	if defect.Enabled(defect.DrainTimeout) {
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

func (n *Node) logEvent(event string, fields ...generation.Field) {
	entry := n.log
	for _, field := range fields {
		entry = entry.WithField(field.Key, field.Value)
	}
	entry.Info(event)
}
