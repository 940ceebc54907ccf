package cluster

import (
	"context"
	"net"
	"slices"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/standin/engine"
	"github.com/azurebarrow/azurebarrow/standin/platform"
	"github.com/azurebarrow/azurebarrow/standin/service"
)

// Default names of a cluster's resources.
const (
	DefaultGeneration = "drafting"
	DefaultService    = "records"
	DefaultModel      = "ranch"
	DefaultVersion    = "v1"
	DefaultCustomer   = "c1"
)

// Path prefixes of the default service's routes.
const (
	// AtMostOncePath serves POST calls that must not run more than once.
	AtMostOncePath = "/weighings"
	// InteractivePath serves latency-sensitive lookups.
	InteractivePath = "/last-weight"
	// IdempotentPath serves calls that may run more than once.
	IdempotentPath = "/reports"
)

// DeploymentOptions describes one deployment and its targets.
type DeploymentOptions struct {
	Name string
	Type v1.DeploymentType
	// Targets is the number of targets, spread over the availability zones.
	Targets int
	// Prefix starts the targets' names. The default is "e" for engines and "s" for services.
	Prefix     string
	Model      string
	Version    string
	Engine     engine.Options
	Service    service.Options
	Recovery   v1.Recovery
	Routes     []v1.Route
	Objectives []v1.Objective
}

// Options configures a cluster. New fills empty fields with defaults.
type Options struct {
	Seed int64
	// Entries is the number of entries, spread over Zones.
	Entries int
	Zones   []string
	// Processes runs each entry as a process of Binary instead of in this process. Only processes can
	// be killed or stopped.
	Processes bool
	Binary    string
	// Environment is added to the environment of the entries' processes.
	Environment []string
	// Directory holds the entries' settings and logs; empty for a temporary directory.
	Directory   string
	Platform    platform.Options
	VMListLag   time.Duration
	Customers   []string
	Deployments []DeploymentOptions
	// Direct omits the forwarders in front of the targets, for measurements of latency and throughput.
	Direct bool
	// DrainNotice is how long a draining entry reports not ready before it stops accepting connections.
	DrainNotice time.Duration
	// DialTarget opens the connections to targets of an entry that runs in this process; nil dials them from this host.
	DialTarget func(ctx context.Context, entry, network, address string) (net.Conn, error)
}

// DefaultRoutes returns the routes of the default service, one of each class.
func DefaultRoutes() []v1.Route {
	return []v1.Route{
		{Method: "POST", Prefix: AtMostOncePath, Class: v1.ClassAtMostOnce},
		{Prefix: InteractivePath, Class: v1.ClassInteractive},
		{Prefix: IdempotentPath, Class: v1.ClassIdempotent},
	}
}

// Generation returns the default deployment of engines.
func Generation(engines int, options engine.Options) DeploymentOptions {
	return DeploymentOptions{Name: DefaultGeneration, Type: v1.DeploymentGeneration, Targets: engines, Engine: options}
}

// Service returns the default deployment of services.
func Service(targets int, options service.Options) DeploymentOptions {
	return DeploymentOptions{Name: DefaultService, Type: v1.DeploymentService, Targets: targets, Service: options, Routes: DefaultRoutes()}
}

func (o Options) withDefaults() Options {
	if len(o.Zones) == 0 {
		o.Zones = []string{"a", "b", "c"}
	}
	if len(o.Customers) == 0 {
		o.Customers = []string{DefaultCustomer}
	}
	if o.Platform == (platform.Options{}) {
		o.Platform = platform.DefaultOptions()
	}
	o.Deployments = slices.Clone(o.Deployments)
	for i := range o.Deployments {
		o.Deployments[i] = o.Deployments[i].withDefaults()
	}
	return o
}

func (d DeploymentOptions) withDefaults() DeploymentOptions {
	if d.Type == "" {
		d.Type = v1.DeploymentGeneration
	}
	generation := d.Type == v1.DeploymentGeneration
	if d.Prefix == "" {
		d.Prefix = "s"
		if generation {
			d.Prefix = "e"
		}
	}
	if generation && d.Model == "" {
		d.Model, d.Version = DefaultModel, DefaultVersion
	}
	if generation && d.Engine.Concurrency == 0 {
		d.Engine = engine.DefaultOptions()
	}
	if d.Recovery.Prefer == "" {
		d.Recovery.Prefer = v1.PreferLatency
	}
	return d
}
