// Package directory holds what an entry believes about its deployment: the operator's configuration
// and the targets that exist. Readers get immutable snapshots; one goroutine replaces them.
package directory

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/defect"
)

// Class tells what may be repeated of a route's requests.
type Class int

// Classes.
const (
	// AtMostOnce: a caller's attempt runs at most once.
	AtMostOnce Class = iota
	// Idempotent: a request may run more than once.
	Idempotent
	// Stream: the answer is a stream of events.
	Stream
)

// String returns the class as it stands in logs.
func (c Class) String() string {
	switch c {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	}
	return "at-most-once"
}

// Route says how requests of one host and path prefix are handled.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Class      Class
	// Services are the services that may run the requests, by weight.
	Services []WeightedService
	// Timeout bounds the time until the final answer.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer, or a stream's first event, is on time.
	LatencyObjective time.Duration
	// GapObjective is the longest pause between events with which a stream is on time.
	GapObjective time.Duration
	// Priority is the rank of the route; 0 goes first.
	Priority int
	// MaxAttempts bounds the targets that one request of a caller may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may continue at another target after their last event.
	Resumable bool
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Class == Idempotent || r.Class == Stream && r.Resumable
}

// WeightedService is one service of a route and its part of the requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// PickService returns the service for a request; at is a uniform number in [0, 1).
func (r *Route) PickService(at float64) string {
	total := 0.0
	for _, each := range r.Services {
		total += each.Weight
	}
	left := at * total
	for _, each := range r.Services {
		left -= each.Weight
		if left < 0 {
			return each.Service
		}
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[len(r.Services)-1].Service
}

// Service declares a set of equal targets.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one target, of all entries together.
	MaxConnections int
	// Engine is set for model engines.
	Engine *EngineSpec
}

// EngineSpec says what the model engines of a service can do.
type EngineSpec struct {
	// Slots is the number of streams in a batch.
	Slots int
	// MemoryTokens is the capacity for running requests and cached prompts.
	MemoryTokens int
	// Backups tells that a run's memory can be copied to another engine while it grows.
	Backups bool
	// Moves tells that it can be copied on order as well.
	Moves bool
	// EventTokens is the number of tokens in one event.
	EventTokens int
	// Models are the models that the engines run.
	Models []string
}

// Customer is one caller of the system.
type Customer struct {
	Name string
	// Priority precedes the route's if it is not nil.
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operator's configuration. It must not be changed once it was
// handed to New or Apply.
type Configuration struct {
	Version  int64
	Limits   Limits
	Services map[string]Service
	// Customers are the callers by key.
	Customers map[string]Customer
	// NeedsKeys tells that callers need a key, except on public routes.
	NeedsKeys bool
	// routes are the routes by host, the longest prefix first.
	routes map[string][]*Route
}

// NewConfiguration returns a configuration of the given routes.
func NewConfiguration(version int64, routes []*Route) *Configuration {
	c := &Configuration{
		Version:   version,
		Services:  map[string]Service{},
		Customers: map[string]Customer{},
		routes:    map[string][]*Route{},
	}
	for _, route := range routes {
		c.routes[route.Host] = append(c.routes[route.Host], route)
	}
	for _, ofHost := range c.routes {
		slices.SortStableFunc(ofHost, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return c
}

// Match returns the route with the longest prefix of the path, nil if there is none.
func (c *Configuration) Match(host, path string) *Route {
	for _, route := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Target is one incarnation of an engine or service instance.
type Target struct {
	// ID names the target; one that starts again may keep it.
	ID string
	// Born is when the incarnation started, in Unix milliseconds; 0 when unknown.
	Born             int64
	Service          string
	Address          string
	AvailabilityZone string
	// Version is the version of the target's software.
	Version string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Leaving targets get no new work.
	Leaving bool
	// Gone targets have lost their entry in the platform's store.
	Gone bool
	// Seen is when this entry learned of the incarnation.
	Seen time.Time
	// Provisional targets have no entry yet: they were met at the address of their predecessor.
	Provisional bool
}

// Key names the incarnation among the targets that this entry deals with.
func (t *Target) Key() string { return t.ID + "@" + t.Address }

// SameIncarnation tells whether two entries speak of the same start of the same process. Of a
// provisional one the start is not known.
func (t *Target) SameIncarnation(other *Target) bool {
	if t.ID != other.ID || t.Address != other.Address {
		return false
	}
	return t.Born == other.Born || t.Provisional || other.Provisional
}

// Snapshot is what an entry believes at one moment.
type Snapshot struct {
	// Configuration is nil before the first one is known.
	Configuration *Configuration
	// Targets are the known targets of each service, in the order of their IDs.
	Targets map[string][]*Target
	// TargetsKnown tells that the targets were listed at least once.
	TargetsKnown bool
	// open are the targets of each service that may get new work.
	open map[string][]*Target
	// ConfigurationRevision and TargetsRevision are the store's revisions that the snapshot reflects.
	ConfigurationRevision, TargetsRevision int64
}

// Ready tells whether requests can be served from the snapshot.
func (s *Snapshot) Ready() bool { return s.Configuration != nil && s.TargetsKnown }

// Open returns the targets of a service that may get new work. The list is the same for as long as the
// snapshot, and must not be changed.
func (s *Snapshot) Open(service string) []*Target { return s.open[service] }

// openOf returns the targets that may get new work. If there is none, it returns those that lost their
// entry in the store a moment ago: entries lapse when the store is away, though their targets live.
func openOf(targets []*Target) []*Target {
	var open, lapsed []*Target
	for _, target := range targets {
		switch {
		case target.Leaving && !defect.Enabled(defect.LeavingIgnored):
		case target.Gone:
			lapsed = append(lapsed, target)
		default:
			open = append(open, target)
		}
	}
	if len(open) == 0 {
		return lapsed
	}
	return open
}
