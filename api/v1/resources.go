package v1

// Model declares a model and the versions of it that may be loaded.
type Model struct {
	TypeMeta `json:",inline" yaml:",inline"`
	Metadata Metadata  `json:"metadata" yaml:"metadata"`
	Spec     ModelSpec `json:"spec" yaml:"spec"`
	Status   Status    `json:"status,omitzero" yaml:"status,omitempty"`
}

// ModelSpec is the part that operators write of a Model.
type ModelSpec struct {
	Versions []ModelVersion `json:"versions" yaml:"versions"`
}

// ModelVersion is one set of a model's weights.
type ModelVersion struct {
	Name string `json:"name" yaml:"name"`
	// WeightBytes is the size of the weights in the weight store.
	WeightBytes int64 `json:"weightBytes,omitempty" yaml:"weightBytes,omitempty"`
}

// TargetType selects the protocol that a target speaks.
type TargetType string

// Types of targets.
const (
	TargetEngine  TargetType = "engine"
	TargetService TargetType = "service"
)

// Target declares one engine or service instance.
type Target struct {
	TypeMeta `json:",inline" yaml:",inline"`
	Metadata Metadata   `json:"metadata" yaml:"metadata"`
	Spec     TargetSpec `json:"spec" yaml:"spec"`
	Status   Status     `json:"status,omitzero" yaml:"status,omitempty"`
}

// TargetSpec is the part that operators write of a Target.
type TargetSpec struct {
	Type TargetType `json:"type" yaml:"type"`
	// Address is host:port, with an IP address as the host.
	Address          string `json:"address" yaml:"address"`
	AvailabilityZone string `json:"availabilityZone" yaml:"availabilityZone"`
	// Concurrency is the number of streams or calls that the target can run at once without a loss
	// of performance.
	Concurrency  int          `json:"concurrency,omitempty" yaml:"concurrency,omitempty"`
	Capabilities Capabilities `json:"capabilities,omitzero" yaml:"capabilities,omitempty"`
}

// Capabilities lists the optional features that a target supports.
type Capabilities struct {
	// Resume: a running stream can be reopened from a given token index.
	Resume bool `json:"resume,omitempty" yaml:"resume,omitempty"`
	// CancelAcknowledged: the target acknowledges that a cancelled stream has stopped.
	CancelAcknowledged bool `json:"cancelAcknowledged,omitempty" yaml:"cancelAcknowledged,omitempty"`
	// CacheEvents: the target publishes the changes of its prefix cache.
	CacheEvents bool `json:"cacheEvents,omitempty" yaml:"cacheEvents,omitempty"`
	// Deduplicates: the service runs at most one call for each request key.
	Deduplicates bool `json:"deduplicates,omitempty" yaml:"deduplicates,omitempty"`
}

// Customer declares a customer's API keys and limits.
type Customer struct {
	TypeMeta `json:",inline" yaml:",inline"`
	Metadata Metadata     `json:"metadata" yaml:"metadata"`
	Spec     CustomerSpec `json:"spec" yaml:"spec"`
	Status   Status       `json:"status,omitzero" yaml:"status,omitempty"`
}

// CustomerSpec is the part that operators write of a Customer.
type CustomerSpec struct {
	// APIKeyHashes are the SHA-256 digests of the customer's API keys, in lower-case hexadecimal.
	APIKeyHashes []string `json:"apiKeyHashes" yaml:"apiKeyHashes"`
	// Concurrency limits the requests that run at once; 0 means no limit.
	Concurrency int `json:"concurrency,omitempty" yaml:"concurrency,omitempty"`
	// TokensPerSecond limits the rate of generated tokens; 0 means no limit.
	TokensPerSecond float64 `json:"tokensPerSecond,omitempty" yaml:"tokensPerSecond,omitempty"`
}
