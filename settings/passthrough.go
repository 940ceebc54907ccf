package settings

import (
	"fmt"
	"math"
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
	// AddressReuse is the shortest time from the end of a target until the platform gives its address to another
	// service. Within it a new target at an address is of the same service; with 0 none is used before it registers.
	AddressReuse time.Duration `yaml:"addressReuse"`
	// Rollouts bounds the rollouts of new versions of targets; without a share there are none.
	Rollouts Rollouts `yaml:"rollouts"`
	// SharedPlacement configures the placement of streams by one entry for all.
	SharedPlacement SharedPlacement `yaml:"sharedPlacement"`
}

// SharedPlacement configures when one entry of a service places the streams of all entries.
type SharedPlacement struct {
	// MinEntries is the number of live entries from which placement is shared; a negative value disables it.
	MinEntries int `yaml:"minEntries"`
	// MinLinkMbps is the bandwidth of the network link in Mbit/s that an entry must have to place the streams of others. An entry whose
	// bandwidth is not set has enough.
	MinLinkMbps float64 `yaml:"minLinkMbps"`
	// Calls has the targets of calls to services with few targets chosen for all entries too. It costs each call a question of some
	// milliseconds, which pays only where targets are often busy.
	Calls bool `yaml:"calls"`
}

// Rollouts bounds what a bad version gets of the requests of its service, at all entries together.
type Rollouts struct {
	// Share is the maximum share of a service's requests, from the order of a rollout to its deadline; 0 switches rollouts off.
	Share float64 `yaml:"share"`
	// Slack is the number of requests that a bad version may get beyond the share.
	Slack float64 `yaml:"slack"`
	// RollbackAfter is the time after the 50th bad response from which a bad version gets no request.
	RollbackAfter time.Duration `yaml:"rollbackAfter"`
}

// Enabled reports whether the entry carries out rollouts.
func (r Rollouts) Enabled() bool { return r.Share > 0 }

// Defaults of Passthrough, for installations that do not set their own values.
const (
	defaultRetryRatio  = 0.1
	defaultRetrySlack  = 20
	defaultRetryWindow = 10 * time.Second
	defaultStopGrace   = 8 * time.Second

	defaultRolloutSlack  = 50
	defaultRollbackAfter = 5 * time.Second

	// defaultSharedMinEntries is the number of entries from which an entry's own streams are too small a part of the load to place by.
	defaultSharedMinEntries  = 32
	defaultSharedMinLinkMbps = 50
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
	p.Rollouts = p.Rollouts.withDefaults()
	if p.SharedPlacement.MinEntries == 0 {
		p.SharedPlacement.MinEntries = defaultSharedMinEntries
	}
	if p.SharedPlacement.MinLinkMbps == 0 {
		p.SharedPlacement.MinLinkMbps = defaultSharedMinLinkMbps
	}
	return p
}

// withDefaults leaves rollouts that are switched off as they are.
func (r Rollouts) withDefaults() Rollouts {
	if !r.Enabled() {
		return r
	}
	if r.Slack == 0 {
		r.Slack = defaultRolloutSlack
	}
	if r.RollbackAfter == 0 {
		r.RollbackAfter = defaultRollbackAfter
	}
	return r
}

// IsNarrowForPlacement reports whether the entry's link is too narrow to place the streams of others. A bandwidth of 0 is unknown.
func (p Passthrough) IsNarrowForPlacement() bool {
	return p.LinkMbps > 0 && p.LinkMbps < p.SharedPlacement.MinLinkMbps
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
	if p.AddressReuse < 0 {
		addFault("passthrough.addressReuse", "%v is negative", p.AddressReuse)
	}
	p.Rollouts.validate(addFault)
	if bandwidth := p.SharedPlacement.MinLinkMbps; !(bandwidth >= 0) || math.IsInf(bandwidth, 0) {
		addFault("passthrough.sharedPlacement.minLinkMbps", "%v is not a bandwidth", bandwidth)
	}
}

func (r Rollouts) validate(addFault func(field, format string, args ...any)) {
	if !(r.Share >= 0 && r.Share <= 1) {
		addFault("passthrough.rollouts.share", "%v is not between 0 and 1", r.Share)
	}
	if !(r.Slack >= 0) || math.IsInf(r.Slack, 0) {
		addFault("passthrough.rollouts.slack", "%v is not a number of requests", r.Slack)
	}
	if r.RollbackAfter < 0 {
		addFault("passthrough.rollouts.rollbackAfter", "%v is negative", r.RollbackAfter)
	}
}
