// Package cluster runs a small installation on loopback for experiments and scenarios. The
// platform, the VM list and the targets are stand-ins in this process; the entries run in this
// process or as separate processes.
package cluster

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/standin/platform"
	"github.com/azurebarrow/azurebarrow/standin/server"
	"github.com/azurebarrow/azurebarrow/standin/vmlist"
)

// Cluster is a running installation: the platform, the VM list, targets and entries.
type Cluster struct {
	Platform       *platform.Platform
	PlatformServer *server.Server
	VMList         *vmlist.List
	VMListServer   *server.Server
	Targets        []*Target
	Entries        []*Entry

	options            Options
	temporaryDirectory bool
	closers            []func()
}

// readyTimeout limits how long Start waits for all entries to become ready.
const readyTimeout = 20 * time.Second

// Start starts the platform, the VM list, the targets and the entries, and waits until every entry
// is ready.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	c, err := New(options)
	if err != nil {
		return nil, err
	}
	if err := c.startAll(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// New starts the platform and the VM list, and stores the customers. It starts no targets and no
// entries.
func New(options Options) (*Cluster, error) {
	c := &Cluster{options: options.withDefaults()}
	if err := c.startPlatform(); err != nil {
		c.Close()
		return nil, err
	}
	for _, customer := range c.options.Customers {
		if err := c.applyCustomer(customer); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

func (c *Cluster) startPlatform() error {
	if c.options.Directory == "" {
		directory, err := os.MkdirTemp("", "azurebarrow-bench-")
		if err != nil {
			return err
		}
		c.options.Directory, c.temporaryDirectory = directory, true
	}
	c.Platform = platform.New(c.options.Platform)
	c.VMList = vmlist.New(vmlist.Options{Lag: c.options.VMListLag})
	var err error
	if c.PlatformServer, err = serve(c.Platform); err != nil {
		return err
	}
	c.closers = append(c.closers, c.PlatformServer.Close)
	c.Platform.OnDie = c.PlatformServer.Kill
	if c.VMListServer, err = serve(c.VMList); err != nil {
		return err
	}
	c.closers = append(c.closers, c.VMListServer.Close)
	c.VMList.OnDie = c.VMListServer.Kill
	return nil
}

func (c *Cluster) startAll(ctx context.Context) error {
	for _, deployment := range c.options.Deployments {
		if err := c.AddDeployment(deployment); err != nil {
			return err
		}
	}
	if err := c.prepareEntries(c.options.Entries); err != nil {
		return err
	}
	for _, entry := range c.Entries {
		if err := entry.Start(); err != nil {
			return err
		}
	}
	return c.WaitReady(ctx)
}

// AddDeployment starts a deployment's targets and stores the deployment in the platform.
func (c *Cluster) AddDeployment(d DeploymentOptions) error {
	d = d.withDefaults()
	for i := range d.Targets {
		name := fmt.Sprintf("%s%d", d.Prefix, i+1)
		zone := c.options.Zones[i%len(c.options.Zones)]
		if _, err := c.AddTarget(d, name, zone); err != nil {
			return err
		}
	}
	return c.applyDeployment(d)
}

// AddTarget starts one target and stores it in the platform. Redeclare then adds it to its
// deployment.
func (c *Cluster) AddTarget(d DeploymentOptions, name, zone string) (*Target, error) {
	d = d.withDefaults()
	var target *Target
	var err error
	if d.Type == v1.DeploymentGeneration {
		options := d.Engine
		options.Seed = c.options.Seed + int64(len(c.Targets))
		target, err = newEngineTarget(name, zone, d.Name, options, c.options.Direct)
	} else {
		target, err = newServiceTarget(name, zone, d.Name, d.Service, c.options.Direct)
	}
	if err != nil {
		return nil, err
	}
	c.Targets = append(c.Targets, target)
	c.VMList.Set(vmlist.VM{Address: target.Address(), AvailabilityZone: zone, State: vmlist.Live})
	return target, c.applyTarget(target, d.Engine.Concurrency, d.Service.Deduplicate)
}

// Redeclare stores a deployment again, with its present targets and the given options.
func (c *Cluster) UpdateDeployment(d DeploymentOptions) error {
	return c.applyDeployment(d.withDefaults())
}

// Target returns a target by name, or nil.
func (c *Cluster) Target(name string) *Target {
	for _, t := range c.Targets {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// Engines returns the engines of all deployments.
func (c *Cluster) Engines() []*Target {
	return slices.DeleteFunc(slices.Clone(c.Targets), func(t *Target) bool { return t.engine == nil })
}

// Services returns the services of all deployments.
func (c *Cluster) Services() []*Target {
	return slices.DeleteFunc(slices.Clone(c.Targets), func(t *Target) bool { return t.service == nil })
}

// Entry returns an entry by name, or nil.
func (c *Cluster) Entry(name string) *Entry {
	for _, e := range c.Entries {
		if e.Name == name {
			return e
		}
	}
	return nil
}

// Addresses returns the caller addresses of all entries.
func (c *Cluster) Addresses() []string {
	var list []string
	for _, e := range c.Entries {
		list = append(list, e.CallerAddress)
	}
	return list
}

// Directory returns the directory of the entries' settings and logs.
func (c *Cluster) Directory() string { return c.options.Directory }

// WaitReady waits until every running entry is ready.
func (c *Cluster) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, e := range c.Entries {
		if !e.Running() {
			continue
		}
		if err := e.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Close stops the cluster. It kills entry processes without draining them: call Entry.Terminate first
// where that matters.
func (c *Cluster) Close() {
	for _, e := range c.Entries {
		e.close()
	}
	for _, t := range c.Targets {
		t.close()
	}
	for _, closer := range slices.Backward(c.closers) {
		closer()
	}
	if c.temporaryDirectory {
		_ = os.RemoveAll(c.options.Directory)
	}
}

// serve starts a server for the handler on a free address.
func serve(handler http.Handler) (*server.Server, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	s := server.New(address, handler)
	return s, s.Start()
}
