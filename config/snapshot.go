// Package config keeps the configuration of an entry current. A Manager reads the resources (deployments,
// models, targets and customers) from the platform's store, or from other entries that read it, validates
// them, and publishes immutable snapshots. A resource never reverts to an older revision, and an invalid
// revision leaves the last accepted one in force.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
)

// Snapshot is an immutable state of the configuration. Its resources must not be changed.
type Snapshot struct {
	// Revision is the platform's revision that the snapshot reflects.
	Revision int64
	// The maps hold the resources by name.
	Deployments map[string]*v1.Deployment
	Models      map[string]*v1.Model
	Targets     map[string]*v1.Target
	Customers   map[string]*v1.Customer

	customersByKeyHash map[string]*v1.Customer
}

// NewSnapshot returns an empty snapshot of the given revision.
func NewSnapshot(revision int64) *Snapshot {
	return &Snapshot{
		Revision:           revision,
		Deployments:        map[string]*v1.Deployment{},
		Models:             map[string]*v1.Model{},
		Targets:            map[string]*v1.Target{},
		Customers:          map[string]*v1.Customer{},
		customersByKeyHash: map[string]*v1.Customer{},
	}
}

// Index builds the index of customers by API key. Call it once, after the maps are filled. If two
// customers declare the same key, it belongs to the first one by name, so that all entries agree.
func (s *Snapshot) Index() {
	for _, name := range slices.Sorted(maps.Keys(s.Customers)) {
		customer := s.Customers[name]
		for _, hash := range customer.Spec.APIKeyHashes {
			if _, taken := s.customersByKeyHash[hash]; !taken {
				s.customersByKeyHash[hash] = customer
			}
		}
	}
}

// add adds the resource to the map of its kind.
func (s *Snapshot) add(resource v1.Resource) {
	name := resource.Meta().Name
	switch typed := resource.(type) {
	case *v1.Deployment:
		s.Deployments[name] = typed
	case *v1.Model:
		s.Models[name] = typed
	case *v1.Target:
		s.Targets[name] = typed
	case *v1.Customer:
		s.Customers[name] = typed
	}
}

// CustomerByAPIKey returns the customer that owns the API key, nil if there is none.
func (s *Snapshot) CustomerByAPIKey(key string) *v1.Customer {
	return s.customersByKeyHash[HashAPIKey(key)]
}

// HashAPIKey returns the hexadecimal SHA-256 hash of an API key, as customers list it in their
// APIKeyHashes.
func HashAPIKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
