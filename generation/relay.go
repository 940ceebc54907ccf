package generation

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/health"
	"github.com/azurebarrow/azurebarrow/internal/wait"
)

// RelayOptions configure a Relay.
type RelayOptions struct {
	Engine RelayEngine
	Placer RelayPlacer
	Budget RetryBudget
	// Limits are the limits that targets name; nil for none.
	Limits TargetLimits
	// Targets returns the targets of a service that accept new work.
	Targets func(service string) []*directory.Target
	// AddressMismatch is called on an address mismatch: the target with the ID found, empty when unknown,
	// answered at target's address. Nil ignores mismatches.
	AddressMismatch func(target *directory.Target, found string)
	// Stopping reports whether this process is about to exit; nil means that it never is.
	Stopping func() bool
	// Versions shares the versions that began streams; nil shares none.
	Versions StreamVersions
	// Prompts locates the cached prompts of streams that callers resume; nil locates none.
	Prompts PromptLocator
	// Connectivity tells whether the entry reaches targets at all; nil for one that probes with Engine.
	Connectivity *Connectivity
	// Detour is the way through peers around links that are lost; nil for none.
	Detour RelayDetour
	// CrashRecords holds the crashes of targets before they began to answer; nil keeps them in this entry only.
	CrashRecords RelayCrashRecords
	// Log receives events; nil discards them.
	Log func(event string, fields ...Field)
}

// Relay passes opaque streams from engines to callers. It resumes a broken stream at another engine
// after the last event, from a KV cache copy if there is one. No state of a stream outlives its
// caller's connection. It is safe for concurrent use.
type Relay struct {
	options      RelayOptions
	connectivity *Connectivity
	monitors     *targetMonitors
	spread       versionSpread
	stats        Stats
}

// NewRelay returns a Relay.
func NewRelay(options RelayOptions) *Relay {
	if options.Log == nil {
		options.Log = func(string, ...Field) {}
	}
	if options.CrashRecords == nil {
		options.CrashRecords = &relayLocalRecords{health.NewCrashes()}
	}
	if options.Limits == nil {
		options.Limits = unlimitedTargets{}
	}
	if options.Stopping == nil {
		options.Stopping = func() bool { return false }
	}
	if options.Versions == nil {
		options.Versions = unsharedVersions{}
	}
	if options.Prompts == nil {
		options.Prompts = unknownPrompts{}
	}
	if options.AddressMismatch == nil {
		options.AddressMismatch = func(*directory.Target, string) {}
	}
	r := &Relay{options: options}
	r.connectivity = options.Connectivity
	if r.connectivity == nil {
		r.connectivity = NewConnectivity(ConnectivityOptions{Connect: options.Engine.Probe, Log: options.Log})
	}
	r.monitors = newTargetMonitors(r.connectivity, options.Targets, options.Detour)
	return r
}

// Stats returns the counters.
func (r *Relay) Stats() *Stats { return &r.stats }

// relayRun is one request while it is relayed. Only the caller's goroutine uses it.
type relayRun struct {
	relay   *Relay
	request *RelayRequest
	sink    RelaySink
	// arrivedAt is when the request arrived.
	arrivedAt time.Time
	// lastEvent is the ID of the last event that the caller has.
	lastEvent int64
	// headSent is true once the caller has the head of the answer, which is head.
	headSent bool
	head     any
	// lastWithoutID is true while the caller's last event has no ID: a target can't continue after it.
	lastWithoutID bool
	// attempts counts all attempts; attemptsRun those that a target may have run, except those
	// whose target was lost.
	attempts, attemptsRun int
	// noTargetSince is when a begun stream found no target; zero while it has one.
	noTargetSince time.Time
	// unsentAttempts counts the attempts since the last one that left this process.
	unsentAttempts int
	// mayHaveRun is true once a target may have run the request.
	mayHaveRun bool
	// kvCopy is the KV cache copy from which the next attempt resumes; nil for none. releaseCopy
	// stops counting the backup of the latest attempt at its holder.
	kvCopy      *KVCacheCopy
	releaseCopy func()
	// cachedAt is the engine that prefilled the prompt for an earlier connection of the caller;
	// empty when unknown.
	cachedAt string
	// exclude are the targets that the next attempt avoids; failed are those of them that ran the stream and lost it.
	exclude, failed []string
	// brokenAt are the targets at which an attempt's connection broke off.
	brokenAt []*directory.Target
	// moves counts the attempts that were given up as stalled. moveClaimed reports that the retry budget has paid for the next
	// attempt.
	moves       int
	moveClaimed bool
	// moveRefusals counts the refusals in a row since the stream was moved.
	moveRefusals int
	// onTrial is true while the request is let through although parts of its prompt are refused.
	onTrial bool
	// version is the software version that began the stream; versionSharedAt is when other entries were told last.
	version         streamVersion
	versionSharedAt time.Time
	// versionChanged is set when the version's name has changed since it was shared.
	versionChanged bool
	// versionChecked is when it was last checked whether the version must be shared.
	versionChecked time.Time
	// lastAnswer is the last failure that a target answered with.
	lastAnswer *RelayTargetError
}

// Run relays a stream until it is complete, or returns why it is not: a *RelayTargetError, a
// *GivenUpError, a *PoisonError, ErrCallerDisconnected, ErrRelayDeadline or ErrRelayBroken. If it returns
// an error after sink.Begin, the caller's connection must be aborted.
func (r *Relay) Run(ctx context.Context, request *RelayRequest, sink RelaySink) error {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	run := &relayRun{relay: r, request: request, sink: sink, arrivedAt: time.Now(), lastEvent: request.LastEvent, releaseCopy: func() {}}
	defer func() { run.releaseCopy() }()
	r.options.Budget.Earn(request.Service)
	if err := run.recoverVersion(ctx); err != nil {
		return err
	}
	run.cachedAt = run.locatePrompt(ctx)
	err := run.runAttempts(ctx)
	if !run.versionSharedAt.IsZero() {
		r.options.Versions.EndStream(request, err == nil)
	}
	r.options.Prompts.RecordEnd(request.Affinity, err == nil)
	return err
}

// locatePrompt returns the engine that has prefilled the prompt before. A request without a last
// event may be a reconnect as well, but most are new streams: for these only this entry's own index
// is searched.
func (run *relayRun) locatePrompt(ctx context.Context) string {
	prompts := run.relay.options.Prompts
	if run.request.LastEvent >= 0 {
		return prompts.FindShared(ctx, run.request.Affinity)
	}
	return prompts.FindLocal(run.request.Affinity)
}

// runAttempts makes attempts until the stream is complete or can't be resumed.
func (run *relayRun) runAttempts(ctx context.Context) error {
	request := run.request
	for {
		changed := run.relay.options.CrashRecords.Changed()
		if err := run.rejectPoison(); err != nil {
			return err
		}
		if err := run.awaitConnectivity(ctx); err != nil {
			return run.finalError(contextEnding(ctx), err)
		}
		if err := run.awaitBudget(ctx); err != nil {
			return run.finalError(contextEnding(ctx), err)
		}
		target, err := run.chooseTarget(ctx)
		if ctx.Err() == nil && err != nil {
			return run.failureError(err)
		}
		if target == nil {
			if run.awaitTarget(ctx) {
				continue
			}
			if ctx.Err() != nil {
				return run.finalError(contextEnding(ctx), ctx.Err())
			}
			return run.failureError(ErrNoTarget)
		}
		if err := run.rejectPoisonSince(changed); err != nil {
			return err
		}
		run.noTargetSince = time.Time{}
		if run.attempts > 0 && !run.moveClaimed && !run.relay.options.Budget.Spend(request.Service, run.retryUrgency()) {
			return run.failureError(errBudgetSpent)
		}
		run.moveClaimed = false
		ending, err := run.runAttempt(ctx, target)
		input := retryInput{
			ending: ending, resumable: run.resumable(),
			attemptsRun: run.attemptsRun, maxAttempts: request.MaxAttempts, attempts: run.attempts,
			moved: run.hasMoved(), remaining: time.Until(request.Deadline),
		}
		if ending == endingBroken {
			input.attemptsRun = run.countAttempts(ctx)
		}
		step := nextStep(input)
		run.log("attempt-ended", Field{"target", target.ID}, Field{"ending", ending}, Field{"last_event", run.lastEvent},
			Field{"sends", run.attempts}, Field{"again", step == stepRetry}, Field{"error", err})
		if ending == endingComplete {
			return nil
		}
		if step == stepFinish {
			return run.finalError(ending, err)
		}
		run.awaitRoom(ctx, ending)
	}
}

const (
	// maxTargetWait limits the wait of a begun stream for a target; output continues within 4 s of a loss.
	maxTargetWait = 4 * time.Second
	// targetPollInterval is the time after which such a stream looks for a target again.
	targetPollInterval = 50 * time.Millisecond
)

// awaitTarget has a stream that its caller has in part wait while none of the targets that can continue it takes it, and reports
// whether to look again: their limits and pauses last for parts of a second. A stream without such a target ends at once, unless
// provisional targets may turn out to be of its version.
func (run *relayRun) awaitTarget(ctx context.Context) bool {
	if !run.headSent || len(run.targets()) == 0 && !run.mayFitOnceRegistered() {
		return false
	}
	if run.noTargetSince.IsZero() {
		run.noTargetSince = time.Now()
	}
	return (run.hasMoved() || time.Since(run.noTargetSince) < maxTargetWait) && wait.For(ctx, targetPollInterval) == nil
}

// resumable reports whether another target can continue the stream where it is now.
func (run *relayRun) resumable() bool { return run.request.Resumable && !run.lastWithoutID }

// awaitConnectivity has a stream that its caller has in part wait while the entry's own connectivity is lost:
// an attempt would fail, and hold a part of the retry budget meanwhile.
func (run *relayRun) awaitConnectivity(ctx context.Context) error {
	hasDetour := run.relay.options.Detour != nil
	if !run.headSent || run.unsentAttempts == 0 && (hasDetour || !run.relay.connectivity.IsLost()) {
		return nil
	}
	if hasDetour {
		// A peer may help before connectivity is back.
		return wait.For(ctx, regainBackoff(run.unsentAttempts))
	}
	return run.relay.connectivity.awaitRegained(ctx, run.controlCandidates, regainBackoff(run.unsentAttempts))
}

func (run *relayRun) controlCandidates() []*directory.Target {
	return run.relay.monitors.controlCandidates(run.request.Service)
}

// isUnsent reports whether nothing of an attempt left this process because the entry's own connectivity is
// lost. It checks only for a stream that its caller has in part: any other one needs its answer soon.
func (run *relayRun) isUnsent(a *activeAttempt, ending relayEnding, err error) bool {
	var refused *RelayRefusedError
	if !run.headSent || ending != endingRefused || !errors.As(err, &refused) || !refused.Unreachable {
		return false
	}
	return run.relay.connectivity.CheckLost(a.target, run.controlCandidates, a.startedAt)
}

// checkRegained starts a check for regained connectivity, unless one was started just before.
func (run *relayRun) checkRegained(suspect *directory.Target) {
	shared := run.relay.connectivity
	if now := time.Now(); shared.ClaimRegainCheck(now) {
		go shared.CheckLost(suspect, run.controlCandidates, now)
	}
}

// errBudgetSpent: the service's retry budget allows no further attempt.
var errBudgetSpent = errors.New("generation: retry budget spent")

func (run *relayRun) log(event string, fields ...Field) {
	fields = append([]Field{{"request", run.request.ID}, {"service", run.request.Service}}, fields...)
	run.relay.options.Log(event, fields...)
}

// retryUrgency returns what the next attempt saves.
func (run *relayRun) retryUrgency() RetryUrgency {
	switch {
	case run.kvCopy != nil:
		return RetryResume
	case run.headSent:
		return RetryPrefill
	}
	return RetryRestart
}

// finalError returns the error of a request whose last attempt ended with ending.
func (run *relayRun) finalError(ending relayEnding, err error) error {
	switch ending {
	case endingCallerDisconnected:
		return ErrCallerDisconnected
	case endingUnwanted:
		return err
	case endingDeadline:
		if !run.mayHaveRun {
			return run.failureError(ErrRelayDeadline)
		}
		return ErrRelayDeadline
	}
	return run.failureError(err)
}

// failureError returns the error of a request that is not retried.
func (run *relayRun) failureError(cause error) error {
	switch {
	case run.headSent:
		return ErrRelayBroken
	case run.lastAnswer != nil:
		return run.lastAnswer
	}
	after := retryAfter
	var noRoom *NoRoomError
	switch {
	case errors.As(cause, &noRoom):
		after = noRoom.RetryAfter
	case errors.Is(cause, ErrNoTarget):
		after = run.relay.options.Limits.RetryAfter(run.request.Service)
	}
	return &GivenUpError{MayHaveRun: run.mayHaveRun, RetryAfter: after, Cause: cause}
}

func (run *relayRun) streamSize() StreamSize {
	return StreamSize{Prompt: run.request.PromptTokens, Output: run.request.OutputTokens}
}

func (run *relayRun) placementQuery() RelayQuery {
	engines, fits := run.placementEngines()
	return RelayQuery{
		Service:   run.request.Service,
		Request:   run.request.ID,
		Customer:  run.request.Customer,
		Priority:  run.request.Priority,
		Arrived:   run.arrivedAt,
		Objective: run.request.FirstEventObjective,
		Deadline:  run.request.Deadline,
		Begun:     run.headSent || run.request.LastEvent >= 0 || run.mayHaveRun,
		Engines:   engines,
		Spec:      run.request.Spec,
		Size:      run.streamSize(),
		Affinity:  run.request.Affinity,
		CachedAt:  run.cachedAt,
		Exclude:   run.exclude,
		Fits:      fits,
		Latest:    run.placementEngines,
	}
}

// placementEngines returns the targets that the next attempt may go to now.
func (run *relayRun) placementEngines() (engines []*directory.Target, fits func(*directory.Target) bool) {
	engines = run.allowedTargets(run.relay.options.Targets(run.request.Service))
	return engines, run.placementFits(engines)
}

// backupQuery is the query for the holder of a KV cache copy of a run at the target.
func (run *relayRun) backupQuery(target *directory.Target) RelayQuery {
	query := run.placementQuery()
	query.Fits = versionOf(target).fits(query.Engines)
	return query
}

// chooseTarget returns the target of the next attempt: the copy holder, or else the cheapest
// target. It returns nil if there is none.
func (run *relayRun) chooseTarget(ctx context.Context) (*directory.Target, error) {
	query := run.placementQuery()
	if run.kvCopy != nil {
		if target := run.copyHolderCandidate(run.kvCopy); target != nil && run.relay.options.Limits.Take(target.ID) {
			return target, nil
		}
		run.discardCopy()
	}
	target, err := run.placeWithinLimits(ctx, query)
	if target == nil && err == nil && !run.version.known {
		query.Fits = nil // any version is better than none
		query.Latest = func() ([]*directory.Target, func(*directory.Target) bool) {
			engines, _ := run.placementEngines()
			return engines, nil
		}
		target, err = run.placeWithinLimits(ctx, query)
	}
	if err != nil || target != nil {
		return target, err
	}
	if run.fallBack() {
		return run.chooseTarget(ctx)
	}
	if len(run.exclude) > len(run.failed) {
		run.exclude = slices.Clone(run.failed) // one that refused, since a copy was not there, say, may take the stream now
		target, err = run.placeWithinLimits(ctx, run.placementQuery())
	}
	if target == nil && err == nil && len(run.exclude) > 0 {
		exclude, failed := run.exclude, run.failed
		run.exclude, run.failed = nil, nil
		if target, err = run.placeWithinLimits(ctx, run.placementQuery()); target == nil {
			run.exclude, run.failed = exclude, failed // a later look prefers the others again
		}
	}
	return target, err
}

// placeWithinLimits returns the cheapest target whose limit allows a request, and takes it from the limit.
func (run *relayRun) placeWithinLimits(ctx context.Context, query RelayQuery) (*directory.Target, error) {
	query.Exclude = slices.Clone(query.Exclude)
	for {
		target, err := run.relay.options.Placer.PlaceStream(ctx, query)
		if err != nil || target == nil || run.relay.options.Limits.Take(target.ID) {
			return target, err
		}
		query.Exclude = append(query.Exclude, target.ID)
	}
}

func (run *relayRun) discardCopy() {
	run.kvCopy = nil
	run.releaseCopy()
	run.releaseCopy = func() {}
}
