// Package v1 defines the resources with which operators configure what azurebarrow serves, decodes
// them from YAML and JSON, and validates them.
//
// A resource consists of apiVersion, kind, metadata, spec (written by operators) and status (written
// by the system). Resources are stored in the platform's object API; see platform.Object.
package v1

import "time"

// APIVersion is the value of apiVersion in every resource of this package.
const APIVersion = "azurebarrow.dev/v1"

// Kinds of resources.
const (
	KindDeployment = "Deployment"
	KindModel      = "Model"
	KindTarget     = "Target"
	KindCustomer   = "Customer"
)

// Kinds returns all kinds of this package, in the order in which they are applied.
func Kinds() []string {
	return []string{KindModel, KindTarget, KindCustomer, KindDeployment}
}

// Metadata identifies a resource. UID, Generation and Revision are set by the platform.
type Metadata struct {
	Name string `json:"name" yaml:"name"`
	// UID distinguishes a resource from a later one that was created under the same name.
	UID string `json:"uid,omitempty" yaml:"uid,omitempty"`
	// Generation is incremented by each change of spec; it starts at 1.
	Generation int64 `json:"generation,omitempty" yaml:"generation,omitempty"`
	// Revision is the platform's version of the stored object; conditional updates compare it.
	Revision int64 `json:"revision,omitempty" yaml:"revision,omitempty"`
}

// TypeMeta identifies the schema of a resource.
type TypeMeta struct {
	APIVersion string `json:"apiVersion" yaml:"apiVersion"`
	Kind       string `json:"kind" yaml:"kind"`
}

// Duration is a time.Duration that YAML and JSON represent as a string such as "300ms".
type Duration time.Duration

// MarshalText formats d as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses d as time.ParseDuration does.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// ConditionType names one aspect of a resource's state.
type ConditionType string

// Types of the conditions that the system writes.
const (
	// ConditionAccepted reports whether the newest revision passed validation.
	ConditionAccepted ConditionType = "Accepted"
	// ConditionInForce reports whether every live entry uses the accepted revision.
	ConditionInForce ConditionType = "InForce"
	// ConditionDegraded reports whether the resource has unresolved references or fewer ready targets
	// than it declares.
	ConditionDegraded ConditionType = "Degraded"
)

// Condition is one observed aspect of a resource.
type Condition struct {
	Type               ConditionType `json:"type" yaml:"type"`
	Status             bool          `json:"status" yaml:"status"`
	Reason             string        `json:"reason,omitempty" yaml:"reason,omitempty"`
	Message            string        `json:"message,omitempty" yaml:"message,omitempty"`
	ObservedGeneration int64         `json:"observedGeneration,omitempty" yaml:"observedGeneration,omitempty"`
	LastTransition     time.Time     `json:"lastTransition,omitempty" yaml:"lastTransition,omitempty"`
}

// Status is the part of a resource that the system writes.
type Status struct {
	ObservedGeneration int64       `json:"observedGeneration,omitempty" yaml:"observedGeneration,omitempty"`
	Conditions         []Condition `json:"conditions,omitempty" yaml:"conditions,omitempty"`
	// LastAccepted is the spec in use, as JSON, while the newest spec fails validation.
	LastAccepted string `json:"lastAccepted,omitempty" yaml:"lastAccepted,omitempty"`
}
