package settings

import (
	"fmt"
	"time"
)

// Interfaces towards callers.
const (
	// InterfaceNative is the product's own: deployments, keys and answers that outlive their entry.
	InterfaceNative = "native"
	// InterfacePassthrough serves opaque requests by the routes of the platform's configuration.
	InterfacePassthrough = "passthrough"
)

// Passthrough holds what only the passthrough interface needs. The bounds are the platform's.
type Passthrough struct {
	// ReadyAddress is host:port on which the platform asks whether the entry takes connections.
	ReadyAddress string `yaml:"readyAddress"`
	// Seeds are addresses of the peer protocol at which some entries may be found at the start.
	Seeds []string `yaml:"seeds"`
	// RetryRatio is the part of a service's requests that all entries together may send again within
	// RetryWindow; RetrySlack is the number that is always allowed.
	RetryRatio  float64       `yaml:"retryRatio"`
	RetrySlack  float64       `yaml:"retrySlack"`
	RetryWindow time.Duration `yaml:"retryWindow"`
	// StopGrace is the time between SIGTERM and SIGKILL.
	StopGrace time.Duration `yaml:"stopGrace"`
}

// Defaults of Passthrough; deployments state their own.
const (
	defaultRetryRatio  = 0.1
	defaultRetrySlack  = 20
	defaultRetryWindow = 10 * time.Second
	defaultStopGrace   = 8 * time.Second
)

func (p Passthrough) withDefaults() Passthrough {
	if p.RetryWindow == 0 {
		p.RetryWindow = defaultRetryWindow
	}
	if p.RetryRatio == 0 {
		p.RetryRatio = defaultRetryRatio
	}
	if p.RetrySlack == 0 {
		p.RetrySlack = defaultRetrySlack
	}
	if p.StopGrace == 0 {
		p.StopGrace = defaultStopGrace
	}
	return p
}

func (p Passthrough) validate(add func(field, format string, args ...any)) {
	checkAddress(add, "passthrough.readyAddress", p.ReadyAddress)
	for i, seed := range p.Seeds {
		checkAddress(add, fmt.Sprintf("passthrough.seeds[%d]", i), seed)
	}
	if p.RetryRatio < 0 {
		add("passthrough.retryRatio", "%v is negative", p.RetryRatio)
	}
	if p.RetrySlack < 0 {
		add("passthrough.retrySlack", "%v is negative", p.RetrySlack)
	}
	if p.RetryWindow < 0 {
		add("passthrough.retryWindow", "%v is negative", p.RetryWindow)
	}
	if p.StopGrace < 0 {
		add("passthrough.stopGrace", "%v is negative", p.StopGrace)
	}
}
