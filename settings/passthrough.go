package settings

import (
	"fmt"
	"time"
)

// Interfaces that an entry can offer to callers.
const (
	// InterfaceNative is the project's own API: callers name a deployment, may send an idempotency
	// key, and get their answer even if the entry that accepted the request fails.
	InterfaceNative = "native"
	// InterfacePassthrough forwards opaque HTTP requests along the routes of the platform's
	// configuration.
	InterfacePassthrough = "passthrough"
)

// Passthrough holds the settings of the passthrough interface. Its limits are set by the platform.
type Passthrough struct {
	// ReadyAddress is the host:port of the readiness endpoint, on which the platform checks whether the
	// entry accepts connections.
	ReadyAddress string `yaml:"readyAddress"`
	// Seeds are peer addresses to contact at the start in order to discover the other entries.
	Seeds []string `yaml:"seeds"`
	// RetryRatio, RetrySlack and RetryWindow define the retry budget of a service, shared by all
	// entries: within RetryWindow they may retry RetryRatio of its requests, and RetrySlack requests
	// regardless of the ratio.
	RetryRatio  float64       `yaml:"retryRatio"`
	RetrySlack  float64       `yaml:"retrySlack"`
	RetryWindow time.Duration `yaml:"retryWindow"`
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s, of which control traffic uses a share; 0
	// means that it is not limited.
	LinkMbps float64 `yaml:"linkMbps"`
	// StopGrace is the time that the platform leaves between SIGTERM and SIGKILL.
	StopGrace time.Duration `yaml:"stopGrace"`
}

// Defaults of Passthrough, for installations that do not set their own values.
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

// LinkBytesPerSecond returns LinkMbps in bytes per second.
func (p Passthrough) LinkBytesPerSecond() float64 {
	const bytesPerMegabit = 1e6 / 8
	return p.LinkMbps * bytesPerMegabit
}

func (p Passthrough) validate(addFault func(field, format string, args ...any)) {
	checkAddress(addFault, "passthrough.readyAddress", p.ReadyAddress)
	for i, seed := range p.Seeds {
		checkAddress(addFault, fmt.Sprintf("passthrough.seeds[%d]", i), seed)
	}
	if p.RetryRatio < 0 {
		addFault("passthrough.retryRatio", "%v is negative", p.RetryRatio)
	}
	if p.RetrySlack < 0 {
		addFault("passthrough.retrySlack", "%v is negative", p.RetrySlack)
	}
	if p.RetryWindow < 0 {
		addFault("passthrough.retryWindow", "%v is negative", p.RetryWindow)
	}
	if p.LinkMbps < 0 {
		addFault("passthrough.linkMbps", "%v is negative", p.LinkMbps)
	}
	if p.StopGrace < 0 {
		addFault("passthrough.stopGrace", "%v is negative", p.StopGrace)
	}
}
