package directory

import (
	"slices"
	"strconv"
	"strings"
)

// provisionalVersionPrefix begins the version of a provisional target. Only the store names the software of a target, and one that
// replaced another may run a newer one. Until it registers, its version is one of its own, which no other target has.
const provisionalVersionPrefix = "unregistered/"

// provisionalVersion returns the version of a provisional target.
func provisionalVersion(target *Target) string {
	if target.StartUnknown {
		return provisionalVersionPrefix + target.ID
	}
	return provisionalVersionPrefix + target.ID + "/" + strconv.FormatInt(target.StartedMs, 10)
}

// IsProvisionalVersion reports whether the version is that of a target that had not registered.
func IsProvisionalVersion(version string) bool {
	return strings.HasPrefix(version, provisionalVersionPrefix)
}

// RegisteredVersion returns the version under which a target has registered that had the given one before; the given one if it has not,
// or if it is none of a provisional target.
func RegisteredVersion(version string, targets []*Target) string {
	if !IsProvisionalVersion(version) {
		return version
	}
	registered := slices.IndexFunc(targets, func(t *Target) bool {
		unknownStart := *t
		unknownStart.StartUnknown = true
		return !t.Provisional && (provisionalVersion(t) == version || provisionalVersion(&unknownStart) == version)
	})
	if registered < 0 {
		return version
	}
	return targets[registered].Version
}
