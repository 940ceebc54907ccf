// Package directory keeps the configuration of the operator and the targets of each service, as one entry
// knows them. A Manager reads the objects from the platform's store, or from the feeds of other entries
// that read it, and publishes immutable snapshots. Targets whose objects expire while the store is
// unavailable stay in use.
package directory

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/defect"
)

// Class is the kind of the requests of a route. It determines whether they may be retried.
type Class int

// Classes.
const (
	// AtMostOnce: a request must run at most once.
	AtMostOnce Class = iota
	// Idempotent: a request may run more than once.
	Idempotent
	// Stream: the response is a stream of events.
	Stream
)

// String returns the name of the class for logs.
func (c Class) String() string {
	switch c {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	}
	return "at-most-once"
}

// Route determines how the requests for one host and path prefix are handled.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Class      Class
	// Services are the services that may run the requests, with their weights.
	Services []WeightedService
	// Timeout limits the time from the request to the end of the response.
	Timeout time.Duration
	// LatencyObjective is the objective for the time until the response, or until the first event of a
	// stream.
	LatencyObjective time.Duration
	// GapObjective is the objective for the longest pause between two events of a stream.
	GapObjective time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// MaxAttempts limits the number of targets to which one request of a caller may be dispatched.
	MaxAttempts int
	// Public is set if callers need no key.
	Public bool
	// Resumable is set if a broken stream may be resumed at another target, after its last event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Class == Idempotent || r.Class == Stream && r.Resumable
}

// WeightedService is a service of a route. Its share of the requests is proportional to Weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// PickService returns the service for a request, at random by weight. random is uniform in [0, 1).
func (r *Route) PickService(random float64) string {
	total := 0.0
	for _, each := range r.Services {
		total += each.Weight
	}
	remaining := random * total
	for _, each := range r.Services {
		remaining -= each.Weight
		if remaining < 0 {
			return each.Service
		}
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[len(r.Services)-1].Service
}

// Service is a set of equivalent targets.
type Service struct {
	Name string
	// MaxConnections limits the connections of all entries together to one target.
	MaxConnections int
	// Engine is set for model engines.
	Engine *EngineSpec
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	// Slots is the maximum number of streams in a batch.
	Slots int
	// MemoryTokens is the KV cache capacity in tokens, for running requests and cached prompts.
	MemoryTokens int
	// ContinuousKVCopy is set if the KV cache of a run can be copied to another engine while it grows.
	ContinuousKVCopy bool
	// KVCopyOnCommand is set if the KV cache of a run can also be copied on command.
	KVCopyOnCommand bool
	// EventTokens is the number of tokens in one event.
	EventTokens int
	// Models are the models that the engines run.
	Models []string
}

// Customer is a customer of the operator, whose callers authenticate with a key.
type Customer struct {
	Name string
	// Priority replaces the priority of the route if it is not nil.
	Priority *int
}

// Limits restrict the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operator's configuration. It must not be changed once a Manager
// has it.
type Configuration struct {
	Version  int64
	Limits   Limits
	Services map[string]Service
	// Customers are the customers by key.
	Customers map[string]Customer
	// KeysRequired is set if callers need a key, except on public routes.
	KeysRequired bool
	// routes are the routes by host, those with the longest path prefix first.
	routes map[string][]*Route
	// streamServices are the services of routes whose responses are streams.
	streamServices map[string]bool
	// routedServices are the services of routes.
	routedServices map[string]bool
}

// NewConfiguration returns a configuration with the given routes and no services or customers. The hosts
// of the routes must be in lower case.
func NewConfiguration(version int64, routes []*Route) *Configuration {
	c := &Configuration{
		Version:   version,
		Services:  map[string]Service{},
		Customers: map[string]Customer{},
		routes:    map[string][]*Route{},

		streamServices: map[string]bool{},
		routedServices: map[string]bool{},
	}
	for _, route := range routes {
		c.routes[route.Host] = append(c.routes[route.Host], route)
		for _, weighted := range route.Services {
			c.routedServices[weighted.Service] = true
			if route.Class == Stream {
				c.streamServices[weighted.Service] = true
			}
		}
	}
	for _, hostRoutes := range c.routes {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return c
}

// names reports whether the configuration names the service, by itself or in a route.
func (c *Configuration) names(service string) bool {
	_, listed := c.Services[service]
	return listed || c.routedServices[service]
}

// StreamServices returns the services of routes whose responses are streams.
func (c *Configuration) StreamServices() iter.Seq[string] { return maps.Keys(c.streamServices) }

// Match returns the route of the host whose path prefix is the longest that matches, nil if there is
// none. The host is compared without regard to case.
func (c *Configuration) Match(host, path string) *Route {
	for _, route := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Target is one incarnation of an engine or service instance: the process from one start to its end. It
// registers itself by an object in the platform's store.
type Target struct {
	// ID identifies the target. It may stay the same when the target restarts.
	ID string
	// StartedMs is when the incarnation started, in Unix milliseconds; 0 if unknown.
	StartedMs        int64
	Service          string
	Address          string
	AvailabilityZone string
	// Version is the version of the target's software; see RegisteredVersion for that of a provisional target.
	Version string
	// Slots is the number of requests that the target runs at the same time.
	Slots int
	// Draining is set if the target is draining: it takes no new work.
	Draining bool
	// Unregistered is set if the target is unregistered: its object in the platform's store has expired or was
	// deleted.
	Unregistered bool
	// FirstSeen is when this entry first learned of the incarnation.
	FirstSeen time.Time
	// Provisional is set if the target has no object in the store yet. It answered at the address of the
	// target that it replaces.
	Provisional bool
	// StartUnknown is set for a provisional target that didn't report its start. StartedMs is then a guess.
	StartUnknown bool
}

// Key identifies the target by ID and address.
func (t *Target) Key() string { return t.ID + "@" + t.Address }

// SameIncarnation reports whether t and other are the same incarnation of the same target. A start that
// isn't known is not compared.
func (t *Target) SameIncarnation(other *Target) bool {
	if t.ID != other.ID || t.Address != other.Address {
		return false
	}
	return t.StartedMs == other.StartedMs || t.StartUnknown || other.StartUnknown
}

// Snapshot is an immutable state of the directory.
type Snapshot struct {
	// Configuration is nil until the first one is known.
	Configuration *Configuration
	// Targets are the known targets of each service, in the order of their IDs.
	Targets map[string][]*Target
	// TargetsKnown is set once the targets have been listed.
	TargetsKnown bool
	// available are the targets of each service that may get new work.
	available map[string][]*Target
	// byID are all known targets.
	byID map[string]*Target
	// ConfigurationRevision and TargetsRevision are the revisions of the store that the snapshot reflects.
	ConfigurationRevision, TargetsRevision int64
	// rollouts are the orders of rollouts by service.
	rollouts map[string]*Rollout
}

// Ready reports whether the snapshot is sufficient to serve requests.
func (s *Snapshot) Ready() bool { return s.Configuration != nil && s.TargetsKnown }

// KnownTargets returns the known targets of a service, in the order of their IDs.
func (s *Snapshot) KnownTargets(service string) []*Target { return s.Targets[service] }

// AvailableTargets returns the targets of a service that may get new work. Every call on a snapshot returns
// the same slice, which must not be changed.
func (s *Snapshot) AvailableTargets(service string) []*Target { return s.available[service] }

// Target returns the target with the ID; nil if it is not known.
func (s *Snapshot) Target(id string) *Target { return s.byID[id] }

// MayGetWork reports whether the target with the ID, at the address, may get new work.
func (s *Snapshot) MayGetWork(id, address string) bool {
	known := s.byID[id]
	switch {
	case known == nil || known.Address != address:
		return false
	case !known.Draining && !known.Unregistered:
		return true
	}
	return slices.Contains(s.available[known.Service], known)
}

// availableTargets returns the targets that may get new work. If there are none, it returns the
// unregistered ones that aren't draining: objects expire while the store is unavailable, although their
// targets run.
func availableTargets(targets []*Target) []*Target {
	var available, unregistered []*Target
	for _, target := range targets {
		switch {
		case target.Draining && !defect.Enabled(defect.DrainingIgnored):
		case target.Unregistered:
			unregistered = append(unregistered, target)
		default:
			available = append(available, target)
		}
	}
	if len(available) == 0 {
		return unregistered
	}
	return available
}
