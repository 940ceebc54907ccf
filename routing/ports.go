// Package routing chooses the target of an attempt. Router compares a few candidates by an estimate of
// the cost, expressed as time: queueing, prefill of the part of the prompt that the target has not
// cached, slowdown of the target's other streams, and cross-zone latency. Placement chooses engines for
// relayed streams by the KV cache that they need.
package routing

import (
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/generation"
)

// Configuration is the port to the current configuration.
type Configuration interface {
	Snapshot() *config.Snapshot
}

// DrainState is the port to the drain state of targets.
type DrainState interface {
	// Draining reports whether the target is draining and must get no new work.
	Draining(target string) bool
	// CheckNewWork asserts at dispatch that the target has not been draining for too long, and returns
	// an error otherwise.
	CheckNewWork(target string) error
}

// Health is the port to the failure detection of targets.
type Health interface {
	// Suspected reports whether this entry itself failed to reach the target.
	Suspected(target string) bool
}

// Inventory is the port to the models, versions and adapters that the targets have loaded.
type Inventory interface {
	// Serves reports whether the target runs the request's model, version and adapter in a role that
	// accepts requests. It returns true when nothing is known about the target.
	Serves(target string, request *generation.Request) bool
}

// CacheEventKind is the kind of a prefix cache event.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheAdded   CacheEventKind = "added"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent is a change of a target's prefix cache.
type CacheEvent struct {
	Sequence uint64
	Kind     CacheEventKind
	Prefix   PrefixHash
}
