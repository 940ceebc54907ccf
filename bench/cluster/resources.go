package cluster

import (
	"encoding/json"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/config"
)

// APIKey returns the API key that the cluster gives a customer.
func APIKey(customer string) string { return "key-" + customer }

// resource is a type that Apply can store.
type resource interface {
	*v1.Deployment | *v1.Model | *v1.Target | *v1.Customer
}

// Apply stores a resource in the platform without a version check, as an operator's unconditional
// write does.
func Apply[R resource](c *Cluster, value R) error {
	kind, name := setTypeMeta(value)
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	c.Platform.Put(kind, name, text)
	return nil
}

// setTypeMeta sets the resource's API version and kind, and returns its kind and name.
func setTypeMeta(value any) (kind, name string) {
	switch r := value.(type) {
	case *v1.Deployment:
		r.TypeMeta = typeMeta(v1.KindDeployment)
		return r.Kind, r.Metadata.Name
	case *v1.Model:
		r.TypeMeta = typeMeta(v1.KindModel)
		return r.Kind, r.Metadata.Name
	case *v1.Target:
		r.TypeMeta = typeMeta(v1.KindTarget)
		return r.Kind, r.Metadata.Name
	case *v1.Customer:
		r.TypeMeta = typeMeta(v1.KindCustomer)
		return r.Kind, r.Metadata.Name
	}
	return "", ""
}

func typeMeta(kind string) v1.TypeMeta { return v1.TypeMeta{APIVersion: v1.APIVersion, Kind: kind} }

// applyTarget stores a target with all capabilities of its stand-in.
func (c *Cluster) applyTarget(t *Target, concurrency int, deduplicates bool) error {
	declared := &v1.Target{Metadata: v1.Metadata{Name: t.Name}}
	declared.Spec = v1.TargetSpec{
		Type:             v1.TargetEngine,
		Address:          t.Address(),
		AvailabilityZone: t.Zone,
		Concurrency:      concurrency,
		Capabilities:     v1.Capabilities{Resume: true, CancelAcknowledged: true, CacheEvents: true},
	}
	if t.engine == nil {
		declared.Spec.Type = v1.TargetService
		declared.Spec.Capabilities = v1.Capabilities{Deduplicates: deduplicates}
	}
	return Apply(c, declared)
}

func (c *Cluster) applyCustomer(name string) error {
	return Apply(c, &v1.Customer{
		Metadata: v1.Metadata{Name: name},
		Spec:     v1.CustomerSpec{APIKeyHashes: []string{config.HashAPIKey(APIKey(name))}},
	})
}

// applyDeployment stores a deployment with its present targets and all customers.
func (c *Cluster) applyDeployment(d DeploymentOptions) error {
	declared := &v1.Deployment{Metadata: v1.Metadata{Name: d.Name}}
	spec := &declared.Spec
	spec.Type = d.Type
	spec.Recovery = d.Recovery
	spec.Routes = d.Routes
	spec.Objectives = d.Objectives
	spec.Fencing = v1.FencingEnforced
	if d.Type == v1.DeploymentGeneration {
		spec.Model, spec.Version = d.Model, d.Version
		if err := Apply(c, &v1.Model{
			Metadata: v1.Metadata{Name: d.Model},
			Spec:     v1.ModelSpec{Versions: []v1.ModelVersion{{Name: d.Version}}},
		}); err != nil {
			return err
		}
	}
	for _, t := range c.Targets {
		if t.Deployment == d.Name {
			spec.Targets = append(spec.Targets, t.Name)
		}
	}
	for i, customer := range c.options.Customers {
		spec.Customers = append(spec.Customers, v1.CustomerAccess{Name: customer, Priority: customerPriority(i)})
	}
	return Apply(c, declared)
}

// highestPriority is the priority of the first customer. Each further customer has one less, down to 0.
const highestPriority = 9

func customerPriority(index int) int { return max(0, highestPriority-index) }
