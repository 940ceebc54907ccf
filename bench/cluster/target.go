package cluster

import (
	"net/http"
	"time"

	"github.com/azurebarrow/azurebarrow/standin/engine"
	"github.com/azurebarrow/azurebarrow/standin/fault"
	"github.com/azurebarrow/azurebarrow/standin/server"
	"github.com/azurebarrow/azurebarrow/standin/service"
)

// standIn is the common interface of the engine and service stand-ins.
type standIn interface {
	http.Handler
	Faults() *fault.Set
	Apply(fault.Fault)
}

// Target is a stand-in engine or service that runs in this process.
type Target struct {
	Name       string
	Zone       string
	Deployment string
	// Server serves the stand-in. Link is the forwarder in front of it, nil with Options.Direct.
	Server *server.Server
	Link   *Forwarder

	standIn standIn
	engine  *engine.Engine
	service *service.Service
}

// Engine returns the engine, or nil for a service.
func (t *Target) Engine() *engine.Engine { return t.engine }

// Service returns the service, or nil for an engine.
func (t *Target) Service() *service.Service { return t.service }

// Address returns the address that entries connect to: that of Link, if there is one.
func (t *Target) Address() string {
	if t.Link == nil {
		return t.Server.Address()
	}
	return t.Link.Address()
}

// Kill closes all connections and refuses new ones. An engine also loses its running streams.
func (t *Target) Kill() {
	if t.engine != nil {
		t.engine.Die(0)
	}
	t.Server.Kill(0)
}

// Return makes a killed target listen again.
func (t *Target) Restart() error { return t.Server.Start() }

// Running reports whether the target accepts connections.
func (t *Target) Running() bool { return t.Server.Running() }

// Pause suspends the target until Continue.
func (t *Target) Pause() { t.standIn.Faults().Add(fault.Fault{Kind: fault.Pause}) }

// Continue ends all pauses.
func (t *Target) Continue() { t.standIn.Faults().Remove(fault.Pause) }

// Apply injects a fault.
func (t *Target) Apply(f fault.Fault) { t.standIn.Apply(f) }

// ClearFaults ends all faults.
func (t *Target) ClearFaults() { t.standIn.Faults().Clear() }

func (t *Target) close() {
	if t.engine != nil {
		t.engine.Close()
	}
	if t.Link != nil {
		t.Link.Close()
	}
	t.Server.Close()
}

func newEngineTarget(name, zone, deployment string, options engine.Options, direct bool) (*Target, error) {
	t := &Target{Name: name, Zone: zone, Deployment: deployment}
	options.Name = name
	options.OnDie = func(after time.Duration) { t.Server.Kill(after) }
	t.engine = engine.New(options)
	t.standIn = t.engine
	return t, t.start(direct)
}

func newServiceTarget(name, zone, deployment string, options service.Options, direct bool) (*Target, error) {
	t := &Target{Name: name, Zone: zone, Deployment: deployment}
	options.Name = name
	options.OnDie = func(after time.Duration) { t.Server.Kill(after) }
	t.service = service.New(options)
	t.standIn = t.service
	return t, t.start(direct)
}

func (t *Target) start(direct bool) error {
	var err error
	if t.Server, err = serve(t.standIn); err != nil || direct {
		return err
	}
	t.Link, err = NewForwarder(t.Server.Address())
	return err
}
