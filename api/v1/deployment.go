package v1

// DeploymentType selects what the targets of a deployment run.
type DeploymentType string

// Types of deployments.
const (
	// DeploymentGeneration streams generations from model engines.
	DeploymentGeneration DeploymentType = "generation"
	// DeploymentService forwards plain calls to a service.
	DeploymentService DeploymentType = "service"
)

// RecoveryPreference selects what to optimize for when an engine may be lost.
type RecoveryPreference string

// Recovery preferences.
const (
	// PreferLatency starts a new attempt as soon as the engine is suspected.
	PreferLatency RecoveryPreference = "latency"
	// PreferCost confirms the loss before it spends compute on a new attempt.
	PreferCost RecoveryPreference = "cost"
)

// CallClass selects whether a call to a service may be retried or hedged.
type CallClass string

// Classes of calls.
const (
	// ClassInteractive calls are idempotent and latency-sensitive: they may be retried and hedged.
	ClassInteractive CallClass = "interactive"
	// ClassIdempotent calls may be retried.
	ClassIdempotent CallClass = "idempotent"
	// ClassAtMostOnce calls run at most once, even after failures.
	ClassAtMostOnce CallClass = "at-most-once"
)

// FencingMode states whether a deployment's targets check the fencing tokens of commands.
type FencingMode string

// Fencing modes.
const (
	FencingEnforced FencingMode = "enforced"
	FencingIgnored  FencingMode = "ignored"
)

// Deployment declares a model or service, the targets that run it and the customers it serves.
type Deployment struct {
	TypeMeta `json:",inline" yaml:",inline"`
	Metadata Metadata       `json:"metadata" yaml:"metadata"`
	Spec     DeploymentSpec `json:"spec" yaml:"spec"`
	Status   Status         `json:"status,omitzero" yaml:"status,omitempty"`
}

// DeploymentSpec is the part that operators write of a Deployment.
type DeploymentSpec struct {
	Type DeploymentType `json:"type" yaml:"type"`
	// Model, Version and Adapters apply to generation deployments only.
	Model    string          `json:"model,omitempty" yaml:"model,omitempty"`
	Version  string          `json:"version,omitempty" yaml:"version,omitempty"`
	Adapters []AdapterWeight `json:"adapters,omitempty" yaml:"adapters,omitempty"`
	// Targets names the Target resources that may run this deployment.
	Targets   []string         `json:"targets" yaml:"targets"`
	Customers []CustomerAccess `json:"customers,omitempty" yaml:"customers,omitempty"`
	Recovery  Recovery         `json:"recovery,omitzero" yaml:"recovery,omitempty"`
	// Routes assigns classes to a service's calls; the route with the longest matching prefix applies.
	Routes     []Route     `json:"routes,omitempty" yaml:"routes,omitempty"`
	Fencing    FencingMode `json:"fencing,omitempty" yaml:"fencing,omitempty"`
	Objectives []Objective `json:"objectives,omitempty" yaml:"objectives,omitempty"`
}

// AdapterWeight is an adapter and its weight in the distribution of the requests that name no
// adapter.
type AdapterWeight struct {
	Name   string `json:"name" yaml:"name"`
	Weight int    `json:"weight" yaml:"weight"`
}

// CustomerAccess permits a customer to use a deployment.
type CustomerAccess struct {
	Name string `json:"name" yaml:"name"`
	// Priority is the highest priority that the customer may request, from 0 (lowest) to 9 (highest).
	Priority int `json:"priority" yaml:"priority"`
}

// Recovery is a deployment's policy for lost engines and disconnected callers.
type Recovery struct {
	Prefer RecoveryPreference `json:"prefer,omitempty" yaml:"prefer,omitempty"`
	// DuplicationBudget limits the tokens that are generated twice, as a fraction of the delivered
	// tokens.
	DuplicationBudget float64 `json:"duplicationBudget,omitempty" yaml:"duplicationBudget,omitempty"`
	// DetachedGrace is how long a generation continues after its caller has disconnected.
	DetachedGrace Duration `json:"detachedGrace,omitempty" yaml:"detachedGrace,omitempty"`
}

// Route assigns a class to the calls whose method and path match.
type Route struct {
	// Method is an HTTP method; an empty one matches all methods.
	Method string    `json:"method,omitempty" yaml:"method,omitempty"`
	Prefix string    `json:"prefix" yaml:"prefix"`
	Class  CallClass `json:"class" yaml:"class"`
	// Timeout limits the time from the arrival of the request to the response.
	Timeout Duration `json:"timeout,omitempty" yaml:"timeout,omitempty"`
}

// ObjectiveKind selects what an Objective measures.
type ObjectiveKind string

// Kinds of objectives.
const (
	ObjectiveAnswered           ObjectiveKind = "answered"
	ObjectiveTimeToFirstToken   ObjectiveKind = "timeToFirstToken"
	ObjectiveResumeLatency      ObjectiveKind = "resumeLatency"
	ObjectiveInteractiveLatency ObjectiveKind = "interactiveLatency"
)

// Objective is a service-level objective: the required fraction of good events.
type Objective struct {
	Kind ObjectiveKind `json:"kind" yaml:"kind"`
	// Share is the required fraction of good events, below 1.
	Share float64 `json:"share" yaml:"share"`
	// Threshold is the highest latency of a good event; it applies to latency objectives only.
	Threshold Duration `json:"threshold,omitempty" yaml:"threshold,omitempty"`
}
