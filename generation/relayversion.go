package generation

import (
	"errors"
	"slices"

	"github.com/azurebarrow/azurebarrow/directory"
)

// streamVersion is the software version of the engine that made a stream's first event. What engines of two versions
// write doesn't fit together, and engines don't check it. The zero value is of a stream without an event.
type streamVersion struct {
	name  string
	known bool
}

// errOtherVersion: an engine turned out to be of another version than the one that began the stream.
var errOtherVersion = errors.New("the engine has another version than the one that began the stream")

// servesOneVersion reports whether all targets have the same version, as far as the directory knows.
func servesOneVersion(targets []*directory.Target) bool {
	return !slices.ContainsFunc(targets, func(t *directory.Target) bool { return t.Version != targets[0].Version })
}

// fits returns the function that reports whether a stream of the version may go on at a target; nil if it may at any of
// the targets. While several versions serve, a target whose version is not known is left out: an empty one, or that of a
// replacement that is not in the store yet.
func (v streamVersion) fits(targets []*directory.Target) func(*directory.Target) bool {
	if !v.known || len(targets) == 0 || targets[0].Version == v.name && servesOneVersion(targets) {
		return nil
	}
	return func(target *directory.Target) bool {
		return target.Version == v.name && v.name != "" && !target.Provisional
	}
}

// versionOf returns the version of a stream that the target begins.
func versionOf(target *directory.Target) streamVersion {
	return streamVersion{name: target.Version, known: true}
}

// targets returns the available targets at which the stream may go on.
func (run *relayRun) targets() []*directory.Target {
	available := run.relay.options.Targets(run.request.Service)
	fits := run.version.fits(available)
	if fits == nil {
		return available
	}
	return slices.DeleteFunc(slices.Clone(available), func(target *directory.Target) bool { return !fits(target) })
}

// bindVersion binds the stream to the version of the attempt's target at the attempt's first event. It returns an error
// if the stream is bound to another version: the target may have started again under its ID since the attempt was sent.
func (a *activeAttempt) bindVersion() error {
	run := a.run
	now := versionOf(a.target)
	for _, target := range run.relay.options.Targets(run.request.Service) {
		if target.ID == a.target.ID && target.Address == a.target.Address {
			now = versionOf(target)
		}
	}
	if run.version.known && run.version != now {
		return errOtherVersion
	}
	run.version = now
	return nil
}
