package generation

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/internal/defect"
)

// streamVersion is the software version of the engine that made a stream's first event. What engines of two versions
// write doesn't fit together, and engines don't check it. The zero value is of a stream without an event.
type streamVersion struct {
	name  string
	known bool
}

// versionCheckInterval is the time between checks whether a second version has come while a stream runs.
const versionCheckInterval = 500 * time.Millisecond

// errOtherVersion: an engine turned out to be of another version than the one that began the stream.
var errOtherVersion = errors.New("the engine has another version than the one that began the stream")

// servesOneVersion reports whether all targets have the same version, as far as the directory knows.
func servesOneVersion(targets []*directory.Target) bool {
	return !slices.ContainsFunc(targets, func(t *directory.Target) bool { return t.Version != targets[0].Version })
}

// versionSpread remembers whether a service's targets have one version. Their slice changes only with the directory. It
// is safe for concurrent use.
type versionSpread struct {
	mu        sync.Mutex
	byService map[string]spreadOf
}

type spreadOf struct {
	targets []*directory.Target
	one     bool
}

func (s *versionSpread) servesOne(service string, targets []*directory.Target) bool {
	if len(targets) == 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.byService[service]
	if len(last.targets) == len(targets) && &last.targets[0] == &targets[0] {
		return last.one
	}
	last = spreadOf{targets: targets, one: servesOneVersion(targets)}
	if s.byService == nil {
		s.byService = map[string]spreadOf{}
	}
	s.byService[service] = last
	return last.one
}

// servesOneVersion reports whether all available targets of the request's service have the same version.
func (run *relayRun) servesOneVersion() bool {
	service := run.request.Service
	return run.relay.spread.servesOne(service, run.relay.options.Targets(service))
}

// fits returns the function that reports whether a stream of the version may go on at a target; nil if it may at any of
// the targets. While several versions serve, a target without a version is left out. A provisional target has a version of its own.
func (v streamVersion) fits(targets []*directory.Target) func(*directory.Target) bool {
	if defect.Enabled(defect.VersionIgnored) {
		return nil
	}
	if !v.known || len(targets) == 0 || targets[0].Version == v.name && servesOneVersion(targets) {
		return nil
	}
	return func(target *directory.Target) bool {
		return target.Version == v.name && v.name != ""
	}
}

// minVersionTargets is the number of targets from which a version takes new streams while several versions serve: a
// stream whose only target is lost or replaced can't go on.
const minVersionTargets = 2

// fitsNew returns the function that reports whether a target may begin a stream; nil if any of the targets may. Provisional targets
// soon register under a version.
func fitsNew(targets []*directory.Target) func(*directory.Target) bool {
	counts := map[string]int{}
	for _, target := range targets {
		counts[target.Version]++
	}
	lasting := func(target *directory.Target) bool { return counts[target.Version] >= minVersionTargets }
	if !slices.ContainsFunc(targets, lasting) {
		return nil
	}
	return func(target *directory.Target) bool { return target.Provisional || lasting(target) }
}

// updateVersion replaces the version of a target that had not registered by the one under which it has registered since.
func (run *relayRun) updateVersion(targets []*directory.Target) {
	if name := directory.RegisteredVersion(run.version.name, targets); name != run.version.name {
		run.log("stream-version-registered", Field{"version", name}, Field{"before", run.version.name})
		run.version.name = name
		run.versionChanged = true
	}
}

// placementFits returns the function that reports whether the next attempt may be placed at a target; nil for any.
func (run *relayRun) placementFits(available []*directory.Target) func(*directory.Target) bool {
	run.updateVersion(available)
	if run.version.known || run.servesOneVersion() {
		return run.version.fits(available)
	}
	return fitsNew(available)
}

// allowedTargets returns the targets that the request may go to by their versions. A started stream stays on its version.
func (run *relayRun) allowedTargets(available []*directory.Target) []*directory.Target {
	if run.version.known || run.request.Versions == nil {
		return available
	}
	return slices.DeleteFunc(slices.Clone(available), func(target *directory.Target) bool { return !run.request.Versions.Allows(target.Version) })
}

// fallBack has the request allow more versions, and reports whether it does.
func (run *relayRun) fallBack() bool {
	return !run.version.known && run.request.Versions != nil && run.request.Versions.FallBack()
}

// versionOf returns the version of a stream that the target begins.
func versionOf(target *directory.Target) streamVersion {
	return streamVersion{name: target.Version, known: true}
}

// targets returns the available targets at which the stream may go on.
func (run *relayRun) targets() []*directory.Target {
	available := run.relay.options.Targets(run.request.Service)
	run.updateVersion(available)
	fits := run.version.fits(available)
	if fits == nil {
		return available
	}
	return slices.DeleteFunc(slices.Clone(available), func(target *directory.Target) bool { return !fits(target) })
}

// mayFitOnceRegistered reports whether a provisional target may turn out to have the stream's version.
func (run *relayRun) mayFitOnceRegistered() bool {
	available := run.relay.options.Targets(run.request.Service)
	return run.version.known && slices.ContainsFunc(available, func(t *directory.Target) bool { return directory.IsProvisionalVersion(t.Version) })
}

// StreamVersions is the port to the versions that began streams, which entries share. No request is held up for long.
type StreamVersions interface {
	// ShareVersion has other entries know the version that began the stream of a request, before its first event goes
	// to the caller. It returns how many know it.
	ShareVersion(ctx context.Context, request *RelayRequest, version string) (peers int)
	// FindVersion returns the version that began the stream which the request resumes; false if it is not known.
	FindVersion(ctx context.Context, request *RelayRequest) (version string, found bool)
	// IsOnlyVersion reports whether every stream of the service that a caller may take up began at the version. It is false also if
	// what served before is not known.
	IsOnlyVersion(service, version string) bool
	// ConfirmOnlyVersion reports whether other entries, or the store, know of no other version than the one that IsOnlyVersion reports:
	// this entry may have been cut off, or paused, while another one joined.
	ConfirmOnlyVersion(ctx context.Context, request *RelayRequest, version string) bool
	// EndStream is called when the stream of a request whose version was shared has ended here.
	EndStream(request *RelayRequest, complete bool)
}

// unsharedVersions is StreamVersions of an entry without others.
type unsharedVersions struct{}

func (unsharedVersions) ShareVersion(context.Context, *RelayRequest, string) int { return 0 }
func (unsharedVersions) FindVersion(context.Context, *RelayRequest) (string, bool) {
	return "", false
}
func (unsharedVersions) IsOnlyVersion(string, string) bool { return true }
func (unsharedVersions) ConfirmOnlyVersion(context.Context, *RelayRequest, string) bool {
	return true
}
func (unsharedVersions) EndStream(*RelayRequest, bool) {}

// versionRenewal is the time after which the version of a running stream is shared once more: those who hold it forget it after
// twice as long.
const versionRenewal = time.Minute

// errVersionUnknown: a caller takes a stream up, several versions may have begun it, and it is not known which of them did.
var errVersionUnknown = errors.New("the version that began the stream is not known")

// recoverVersion binds a stream that its caller takes up to the version that began it. It returns a *GivenUpError if that
// is not known and matters: two versions in one stream are worse than a refusal.
func (run *relayRun) recoverVersion(ctx context.Context) error {
	if run.request.LastEvent < 0 {
		return nil
	}
	if run.findVersion(ctx) {
		return nil
	}
	targets := run.relay.options.Targets(run.request.Service)
	if len(targets) == 0 {
		return run.failureError(ErrNoTarget)
	}
	if only := versionOf(targets[0]); run.isOnlyVersion(only) {
		if run.relay.options.Versions.ConfirmOnlyVersion(ctx, run.request, only.name) {
			run.version = only
			return nil
		}
		if run.findVersion(ctx) { // the store, read for the confirmation, may know the stream
			return nil
		}
	}
	run.relay.stats.VersionsUnknown.Add(1)
	run.log("stream-version-unknown", Field{"resumes", run.request.Resumes})
	return &GivenUpError{RetryAfter: retryAfter, Cause: errVersionUnknown}
}

// findVersion binds the stream to the version that is known to have begun it. It returns false if none is.
func (run *relayRun) findVersion(ctx context.Context) bool {
	name, found := run.relay.options.Versions.FindVersion(ctx, run.request)
	if found {
		run.version = streamVersion{name: name, known: true}
		run.log("stream-version-found", Field{"version", name}, Field{"resumes", run.request.Resumes})
	}
	return found
}

// isOnlyVersion reports whether every stream of the request's service belongs to the version.
func (run *relayRun) isOnlyVersion(version streamVersion) bool {
	return run.servesOneVersion() && run.relay.options.Versions.IsOnlyVersion(run.request.Service, version.name)
}

// shareVersion has other entries know the version of the stream, once streams of several versions may be taken up.
func (run *relayRun) shareVersion(ctx context.Context) {
	now := time.Now()
	run.updateVersion(run.relay.options.Targets(run.request.Service))
	isDue := run.versionSharedAt.IsZero() || run.versionChanged || now.Sub(run.versionSharedAt) >= versionRenewal
	isCorrection := run.versionChanged && !run.versionSharedAt.IsZero()
	if !run.version.known || !isDue || !isCorrection && run.isOnlyVersion(run.version) {
		return
	}
	run.versionSharedAt, run.versionChanged = now, false
	peers := run.relay.options.Versions.ShareVersion(ctx, run.request, run.version.name)
	run.log("stream-version-shared", Field{"version", run.version.name}, Field{"peers", peers})
}

// bindVersion binds the stream to the version of the attempt's target at the attempt's first event. It returns an error
// if the stream is bound to another version: the target may have started again under its ID since the attempt was sent.
func (a *activeAttempt) bindVersion() error {
	run := a.run
	now := versionOf(a.target)
	available := run.relay.options.Targets(run.request.Service)
	run.updateVersion(available)
	for _, target := range available {
		if target.ID == a.target.ID && target.Address == a.target.Address {
			now = versionOf(target)
		}
	}
	if run.version.known && run.version != now && !defect.Enabled(defect.VersionIgnored) {
		return errOtherVersion
	}
	run.version = now
	return nil
}
