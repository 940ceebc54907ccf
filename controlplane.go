package azurebarrow

import (
	"fmt"
	"net/http"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/azurebarrow/azurebarrow/adapters/enginecontrol"
	"github.com/azurebarrow/azurebarrow/adapters/peertwirp/configpeer"
	"github.com/azurebarrow/azurebarrow/adapters/peertwirp/leavingpeer"
	"github.com/azurebarrow/azurebarrow/adapters/peertwirp/usagepeer"
	"github.com/azurebarrow/azurebarrow/adapters/platformhttp"
	"github.com/azurebarrow/azurebarrow/adapters/vmlist"
	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/control"
	"github.com/azurebarrow/azurebarrow/draining"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/membership"
)

// controlPlane detects draining targets, sends commands to the engines and writes their status.
type controlPlane struct {
	configuration   *config.Manager
	drainingTargets *draining.Tracker
	watcher         *draining.Watcher
	controller      *control.Controller
	status          *control.StatusWriter
	weights         *weightUse
}

func (e *Entry) newControlPlane(platform *platformhttp.Client, view membership.View, client *http.Client) *controlPlane {
	c := &controlPlane{
		configuration:   e.configuration,
		drainingTargets: draining.NewTracker(),
		weights:         newWeightUse(),
	}
	engines := enginecontrol.New(e.options.DialTarget)
	watcherOptions := draining.Options{
		View:    view,
		Health:  engines,
		Peers:   leavingpeer.NewClient(client),
		Targets: c.targets,
		Observe: e.logDraining,
	}
	if url := e.settings.VMList.URL; url != "" {
		watcherOptions.VMs = vmlist.New(url, client)
	}
	c.watcher = draining.NewWatcher(c.drainingTargets, watcherOptions)
	holder := fmt.Sprintf("%s/%d", e.settings.Name, e.incarnation)
	lease := control.NewLease(platform, control.LeaseName, holder)
	c.controller = control.NewController(control.Options{
		Configuration:  e.configuration,
		View:           view,
		Lease:          lease,
		Engines:        engines,
		Usage:          usagepeer.NewClient(e.settings.Name, c.weights.inUse, client),
		TargetDraining: c.drainingTargets.Draining,
		EntryDraining:  e.draining.Load,
		Observe:        e.logControl,
	})
	c.status = control.NewStatusWriter(control.StatusOptions{
		Store:        platform,
		Resources:    e.configuration,
		Reporter:     configpeer.NewClient(client),
		View:         view,
		Lease:        lease,
		TargetStates: c.controller.States,
		Observe:      e.logControl,
	})
	return c
}

// targets returns the targets of the current configuration for the watcher of draining targets.
func (c *controlPlane) targets() []draining.Target {
	snapshot := c.configuration.Snapshot()
	targets := make([]draining.Target, 0, len(snapshot.Targets))
	for name, target := range snapshot.Targets {
		targets = append(targets, draining.Target{
			Name:    name,
			Address: target.Spec.Address,
			Probed:  target.Spec.Type == v1.TargetEngine,
		})
	}
	return targets
}

// mount registers the handlers of the control plane's peer protocols.
func (c *controlPlane) mount(mux *http.ServeMux) {
	mux.Handle(configpeer.NewHandler(c.configuration))
	mux.Handle(leavingpeer.NewHandler(c.watcher))
	mux.Handle(usagepeer.NewHandler(c.weights.inUse))
}

// addActors adds the background jobs of the control plane.
func (c *controlPlane) addActors(n *Entry, group *run.Group) {
	n.addActor(group, c.watcher.Run)
	n.addActor(group, c.controller.Run)
	n.addActor(group, c.status.Run)
}

// guardChooser wraps a chooser so that draining targets get no new work and the weights in use are
// counted.
func (c *controlPlane) guardChooser(chooser generation.Chooser) generation.Chooser {
	return &guardedChooser{chooser: chooser, drainingTargets: c.drainingTargets, weights: c.weights}
}

func (e *Entry) logDraining(event draining.Event) {
	log := e.log.WithField("source", event.Source)
	if event.Err != nil {
		log.WithError(event.Err).Debug(string(event.Kind))
		return
	}
	log.Info(string(event.Kind))
}

func (e *Entry) logControl(event control.Event) {
	log := e.log.WithField("subject", event.Subject)
	if event.Command.Kind != "" {
		log = log.WithFields(logrus.Fields{
			"order": event.Command.Kind, "order_id": event.Command.ID, "fence": event.Command.Fence,
			"model": event.Command.Weights.Model, "version": event.Command.Weights.Version, "adapter": event.Command.Weights.Adapter,
		})
	}
	if event.Err != nil {
		log.WithError(event.Err).Warn(string(event.Kind))
		return
	}
	log.Info(string(event.Kind))
}
