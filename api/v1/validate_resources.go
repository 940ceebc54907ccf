package v1

import (
	"fmt"
	"net/netip"
	"regexp"
)

var apiKeyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// maxTargetConcurrency is far above what a target runs at once, and safe to add up.
const maxTargetConcurrency = 1 << 24

func (c *checker) checkModel(spec ModelSpec) {
	c.require(len(spec.Versions) > 0, "spec.versions", "must name at least one version")
	names := uniqueValues[string]{}
	for i, version := range spec.Versions {
		path := fmt.Sprintf("spec.versions[%d]", i)
		c.checkName(path+".name", version.Name)
		names.check(c, path+".name", version.Name)
		c.require(version.WeightBytes >= 0, path+".weightBytes", "must not be negative, is %d", version.WeightBytes)
	}
}

func (c *checker) checkTarget(spec TargetSpec) {
	switch spec.Type {
	case TargetEngine:
		c.require(!spec.Capabilities.Deduplicates, "spec.capabilities.deduplicates", "applies to services only")
	case TargetService:
		c.require(!spec.Capabilities.Resume, "spec.capabilities.resume", "applies to engines only")
		c.require(!spec.Capabilities.CancelAcknowledged, "spec.capabilities.cancelAcknowledged", "applies to engines only")
		c.require(!spec.Capabilities.CacheEvents, "spec.capabilities.cacheEvents", "applies to engines only")
	default:
		c.addFinding("spec.type", "must be engine or service, is %q", spec.Type)
	}
	address, err := netip.ParseAddrPort(spec.Address)
	ok := err == nil && address.Port() != 0 && isHost(address.Addr().Unmap())
	c.require(ok, "spec.address", "must be host:port, the host an IP number, is %q", spec.Address)
	c.checkName("spec.availabilityZone", spec.AvailabilityZone)
	c.require(spec.Concurrency >= 0, "spec.concurrency", "must not be negative, is %d", spec.Concurrency)
	c.require(spec.Concurrency <= maxTargetConcurrency, "spec.concurrency", "must not exceed %d, is %d", maxTargetConcurrency, spec.Concurrency)
}

// isHost reports whether the address is that of one host. The unspecified address reaches the entry itself.
func isHost(address netip.Addr) bool { return !address.IsUnspecified() && !address.IsMulticast() }

func (c *checker) checkCustomer(spec CustomerSpec) {
	c.require(len(spec.APIKeyHashes) > 0, "spec.apiKeyHashes", "must hold at least one hash")
	hashes := uniqueValues[string]{}
	for i, hash := range spec.APIKeyHashes {
		path := fmt.Sprintf("spec.apiKeyHashes[%d]", i)
		c.require(apiKeyHashPattern.MatchString(hash), path, "must be a SHA-256 sum of 64 lower-case hexadecimal digits")
		hashes.check(c, path, hash)
	}
	c.require(spec.Concurrency >= 0, "spec.concurrency", "must not be negative, is %d", spec.Concurrency)
	c.require(spec.TokensPerSecond >= 0, "spec.tokensPerSecond", "must not be negative, is %v", spec.TokensPerSecond)
}
