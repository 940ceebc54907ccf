package service

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/internal/defect"
)

// ForwardedCall is one attempt by a caller at a call whose content is opaque to the entry. Nothing is
// recorded about it: the attempt has an ID of its own and arrived on one connection, so that the
// entry which read it decides alone what may be repeated.
type ForwardedCall struct {
	// ID identifies the caller's attempt.
	ID string
	// Fingerprint identifies the work, independent of the ID.
	Fingerprint string
	Service     string
	// Route is the name of the route.
	Route string
	// Versions restricts the targets by their software versions; nil for any.
	Versions VersionChoice
	// Repeatable reports that the call may run more than once.
	Repeatable bool
	// MaxAttempts limits the number of targets that may run the call.
	MaxAttempts int
	Deadline    time.Time
	// Objective is the latency objective: the time within which an answer is on time; 0 means none.
	Objective time.Duration
	// Payload is the call in the form that the Sender expects.
	Payload any
}

// VersionChoice is the port to the choice of the software version that may run a call.
type VersionChoice interface {
	// Allows reports whether a target of the version may get the next attempt.
	Allows(version string) bool
	// FallBack widens the choice since no target was found. It returns false if it can't.
	FallBack() bool
}

// SendVerdict says what is known about an attempt that has ended.
type SendVerdict int

// Verdicts.
const (
	// SendAnswered: the target ran the call successfully.
	SendAnswered SendVerdict = iota
	// SendFailed: the target ran the call and answered with a failure.
	SendFailed
	// SendNotRun: the target did not run the call.
	SendNotRun
	// SendAddressMismatch: another target answers at the address; the call was not run.
	SendAddressMismatch
	// SendUnknown: the target may have run the call.
	SendUnknown
)

// String returns the verdict as it is written to logs.
func (v SendVerdict) String() string {
	return [...]string{"answered", "failed", "not-run", "misdirected", "unknown"}[v]
}

// SendResult is the outcome of one attempt.
type SendResult struct {
	Verdict SendVerdict
	// Answer is the target's answer to the caller; nil unless the verdict is SendAnswered or
	// SendFailed.
	Answer any
	Err    error
	// ConnectionLost reports that the target's connection ended before its answer was whole, as it does when the
	// target crashes.
	ConnectionLost bool
	// NoPath reports that this entry found no path to targets, which says nothing about the target.
	NoPath bool
	// AskedPause is the time for which the target wants no further request of this entry; 0 if it asked for none.
	AskedPause time.Duration
	// Withdrawn reports that the attempt was not sent since the target's version may not get it any more, which says nothing about the
	// target.
	Withdrawn bool
}

// Sender sends a call to a target once, without retries.
type Sender interface {
	Send(ctx context.Context, target Target, call *ForwardedCall) SendResult
}

// ForwarderOptions are the dependencies of a Forwarder.
type ForwarderOptions struct {
	Sender    Sender
	Directory Directory
	Budget    generation.RetryBudget
	// Limits are the limits that targets name; nil for none.
	Limits Limits
	// CrashRecords hold the crashes of targets under calls; nil for none.
	CrashRecords CrashRecords
	// SharedChoice chooses the targets of attempts for all entries together; nil for none.
	SharedChoice SharedChoice
	// Seed initializes the random generator, so that random choices can be reproduced.
	Seed uint64
	// Log is called at the end of each attempt; nil discards the events.
	Log func(event string, call *ForwardedCall, target string, sent SendResult)
}

// Limits is the port to the limits that targets name, which all entries share.
type Limits interface {
	// Take takes one request from this entry's share of a target's limit; false if none is left.
	Take(target string) bool
	// RetryAfter returns when a call to the service may find room.
	RetryAfter(service string) time.Duration
}

// unlimited is Limits without any.
type unlimited struct{}

func (unlimited) Take(string) bool                { return true }
func (unlimited) RetryAfter(string) time.Duration { return forwardRetryAfter }

// Forwarder forwards opaque calls to targets. It is safe for concurrent use.
type Forwarder struct {
	options ForwarderOptions

	mu    sync.Mutex
	pools map[string]*pool

	poisonRefused atomic.Int64
}

// PoisonRefused returns the number of calls that were refused because they crash targets.
func (f *Forwarder) PoisonRefused() int64 { return f.poisonRefused.Load() }

// NewForwarder returns a Forwarder with the given options.
func NewForwarder(options ForwarderOptions) *Forwarder {
	if options.Log == nil {
		options.Log = func(string, *ForwardedCall, string, SendResult) {}
	}
	if options.Limits == nil {
		options.Limits = unlimited{}
	}
	if options.CrashRecords == nil {
		options.CrashRecords = noCrashRecords{}
	}
	return &Forwarder{options: options, pools: map[string]*pool{}}
}

// NotRunError reports that no target ran the call and none will.
type NotRunError struct {
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *NotRunError) Error() string { return fmt.Sprintf("service: call not run: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports that a target may have run the call and that its answer was lost.
type UnknownOutcomeError struct{ Cause error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("service: outcome unknown: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// errNoTarget: no target of the service may receive the call.
var errNoTarget = errors.New("no target available")

const (
	// noPathRetryAfter is the Retry-After of a call for which this entry found no path: lost links are checked more
	// often than that.
	noPathRetryAfter = 500 * time.Millisecond
	// forwardRetryAfter is the Retry-After of a call that was not run: targets answer within tens of
	// milliseconds, so that they have capacity again by then.
	forwardRetryAfter = 100 * time.Millisecond
	// maxNotRunAttempts limits the attempts at one call that end without running it.
	maxNotRunAttempts = 3
	// maxAttempts limits the attempts that may have run a call, whatever its route allows: each call holds room for the
	// results of all of them.
	maxAttempts = 64
	// hedgeObjectiveRatio is the fraction of the objective after which a hedge is sent at the latest;
	// the rest is left for its answer.
	hedgeObjectiveRatio = 0.5
)

// forwardState is the state that decides the next step of a call.
type forwardState struct {
	repeatable bool
	// running counts the attempts in progress, possiblyRan the ended ones that may have run the call,
	// notRun the ended ones that did not run it.
	running, possiblyRan, notRun int
	maxAttempts                  int
	lastVerdict                  SendVerdict
}

// mayRetry reports whether the call may be sent to another target after an attempt that did not
// answer it.
func (s forwardState) mayRetry() bool {
	if defect.Enabled(defect.RetryUnsafe) {
		return s.possiblyRan < s.maxAttempts
	}
	if s.lastVerdict == SendNotRun || s.lastVerdict == SendAddressMismatch {
		return s.notRun < maxNotRunAttempts && (s.repeatable || s.possiblyRan == 0)
	}
	return s.repeatable && s.possiblyRan+s.running < s.maxAttempts
}

// mayHedge reports whether the call may be sent to another target while an attempt is in progress.
func (s forwardState) mayHedge() bool {
	return s.repeatable && s.possiblyRan+s.running < s.maxAttempts
}

// forwardRun is the state of one call of Forwarder.Do.
type forwardRun struct {
	forwarder *Forwarder
	pool      *pool
	call      *ForwardedCall
	state     forwardState
	tried     []string
	results   chan forwardResult
	cancels   []context.CancelFunc
	// failureAnswer is the last failure that a target answered with.
	failureAnswer any
	// hedgeTried reports that a hedge was tried, hedged that one was sent.
	hedgeTried, hedged bool
	// onTrial reports that the call is let through although it is refused: it is sent once.
	onTrial bool
	// noPath reports that this entry found no path to targets.
	noPath bool
	// poison is the reason why the call is not sent any more; nil if it may be.
	poison error
}

type forwardResult struct {
	lease *lease
	start time.Time
	sent  SendResult
}

// Do forwards a call and returns the target's answer, which may be a failure that the target reports.
// Any error is a *NotRunError, a *generation.PoisonError or an *UnknownOutcomeError; the last wraps the error of
// ctx if the caller disconnected or the deadline passed.
func (f *Forwarder) Do(ctx context.Context, call *ForwardedCall) (any, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	f.options.Budget.Earn(call.Service)
	attempts := min(max(1, call.MaxAttempts), maxAttempts)
	w := &forwardRun{
		forwarder: f,
		pool:      f.pool(call.Service),
		call:      call,
		state:     forwardState{repeatable: call.Repeatable, maxAttempts: attempts},
		results:   make(chan forwardResult, maxNotRunAttempts+attempts+1),
	}
	defer w.cancelRunning()
	if !w.startAttempt(ctx) {
		if w.poison != nil {
			return nil, w.poison
		}
		return nil, &NotRunError{RetryAfter: f.options.Limits.RetryAfter(call.Service), Cause: errNoTarget}
	}
	return w.await(ctx)
}

func (w *forwardRun) await(ctx context.Context) (any, error) {
	timer := time.NewTimer(w.hedgeDelay())
	defer timer.Stop()
	changed := w.forwarder.options.CrashRecords.Changed()
	for {
		select {
		case <-changed:
			changed = w.forwarder.options.CrashRecords.Changed()
			if err := w.checkPoison(); err != nil {
				return nil, err
			}
		case result := <-w.results:
			w.recordResult(result)
			w.recordEvidence(ctx, result)
			if result.sent.Verdict == SendAnswered {
				return result.sent.Answer, nil
			}
			if w.retry(ctx) || w.state.running > 0 {
				continue
			}
			return w.failedResult(result.sent.Err)
		case <-timer.C:
			w.sendHedge(ctx)
			if w.mayHedge() {
				timer.Reset(hedgeRetryDelay)
			}
		case <-ctx.Done():
			return nil, &UnknownOutcomeError{Cause: ctx.Err()}
		}
	}
}

// retry sends the call to another target if the state of the call and the retry budget allow it.
func (w *forwardRun) retry(ctx context.Context) bool {
	return !w.onTrial && !w.noPath && w.state.mayRetry() && w.startExtraAttempt(ctx, generation.RetryRestart)
}

func (w *forwardRun) mayHedge() bool { return !w.hedged && !w.onTrial && w.state.mayHedge() }

// sendHedge sends the call to a second target when the first one is late, if the retry budget allows
// it.
func (w *forwardRun) sendHedge(ctx context.Context) {
	if !w.mayHedge() {
		return
	}
	w.hedged = w.startExtraAttempt(ctx, hedgeUrgency(w.hedgeTried))
	w.hedgeTried = true
}

// hedgeUrgency returns the urgency of a hedge. One that is tried again has the lowest: calls that
// wait try again all the time, while one that failed has a single try, and must find some budget left.
func hedgeUrgency(tried bool) generation.RetryUrgency {
	if tried {
		return generation.RetryPrefill
	}
	return generation.RetryRestart
}

// startExtraAttempt sends the call to another target, within the retry budget.
func (w *forwardRun) startExtraAttempt(ctx context.Context, urgency generation.RetryUrgency) bool {
	budget, service := w.forwarder.options.Budget, w.call.Service
	if !budget.Spend(service, urgency) {
		return false
	}
	if !w.startAttempt(ctx) {
		budget.Refund(service)
		return false
	}
	return true
}

func (w *forwardRun) hedgeDelay() time.Duration {
	delay := w.pool.hedgeDelay()
	if w.call.Objective > 0 {
		delay = min(delay, time.Duration(hedgeObjectiveRatio*float64(w.call.Objective)))
	}
	return delay
}

// failedResult returns the outcome of a call that no target answered successfully.
func (w *forwardRun) failedResult(cause error) (any, error) {
	switch {
	case w.failureAnswer != nil:
		return w.failureAnswer, nil
	case w.poison != nil:
		return nil, w.poison
	case w.noPath && w.state.possiblyRan == 0:
		return nil, &NotRunError{RetryAfter: noPathRetryAfter, Cause: cause}
	case w.state.possiblyRan == 0, defect.Enabled(defect.NotRunPerAttempt):
		return nil, &NotRunError{RetryAfter: forwardRetryAfter, Cause: cause}
	}
	return nil, &UnknownOutcomeError{Cause: cause}
}

// startAttempt sends the call to a target that has not received it yet. It returns false if there is
// none, or if the call is refused.
func (w *forwardRun) startAttempt(ctx context.Context) bool {
	if w.poison = w.checkPoison(); w.poison != nil {
		return false
	}
	lease, ok := w.chooseTarget(ctx)
	if !ok {
		return false
	}
	w.state.running++
	ctx, cancel := context.WithCancel(ctx)
	w.cancels = append(w.cancels, cancel)
	start := time.Now()
	go func() {
		sent := w.forwarder.options.Sender.Send(ctx, lease.target, w.call)
		lease.reportEnd(sent.Verdict, time.Since(start))
		w.results <- forwardResult{lease: lease, start: start, sent: sent}
	}()
	return true
}

// chooseTarget returns a lease on a target that has not received the call yet and whose limit allows it.
func (w *forwardRun) chooseTarget(ctx context.Context) (*lease, bool) {
	for isAsked := false; ; isAsked = true {
		lease, isObsolete := w.chooseForward(ctx, isAsked)
		if isObsolete {
			return nil, false
		}
		if lease == nil {
			if w.call.Versions != nil && w.call.Versions.FallBack() {
				continue
			}
			return nil, false
		}
		w.tried = append(w.tried, lease.target.Name)
		if w.forwarder.options.Limits.Take(lease.target.Name) {
			return lease, true
		}
		lease.reportEnd(SendNotRun, 0)
		lease.abandon()
	}
}

// recordResult updates the state of the call and of the target at the end of an attempt.
func (w *forwardRun) recordResult(result forwardResult) {
	w.state.running--
	w.state.lastVerdict = result.sent.Verdict
	switch result.sent.Verdict {
	case SendAnswered:
		result.lease.release(targetSucceeded)
		w.pool.addLatency(time.Since(result.start))
	case SendFailed:
		w.state.possiblyRan++
		w.failureAnswer = result.sent.Answer
		result.lease.release(targetFailed)
	case SendNotRun, SendAddressMismatch:
		w.state.notRun++
		w.noPath = w.noPath || result.sent.NoPath
		if result.sent.NoPath || result.sent.AskedPause > 0 || result.sent.Withdrawn {
			// None of these shows that the target fails; a pause keeps requests away by itself.
			result.lease.release(noTargetResult)
			break
		}
		result.lease.release(targetFailed)
	default:
		w.state.possiblyRan++
		result.lease.release(targetFailed)
	}
	w.forwarder.options.Log("call-send-ended", w.call, result.lease.target.Name, result.sent)
}

// cancelRunning cancels the attempts in progress; their leases are released when they end.
func (w *forwardRun) cancelRunning() {
	for _, cancel := range w.cancels {
		cancel()
	}
	if w.state.running == 0 {
		return
	}
	running := w.state.running
	go func() {
		for range running {
			result := <-w.results
			result.lease.abandon()
		}
	}()
}

// Sweep drops the state of targets that the directory no longer lists and that have no call in
// progress.
func (f *Forwarder) Sweep() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, pool := range f.pools {
		pool.sweep()
	}
}

// sweep drops the state of targets that the directory no longer lists and that have no call in
// progress.
func (p *pool) sweep() {
	listed := map[string]bool{}
	for _, target := range p.directory.Targets(p.deployment) {
		listed[target.Name] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, state := range p.states {
		if !listed[name] && state.running == 0 {
			delete(p.states, name)
		}
	}
}

func (f *Forwarder) pool(service string) *pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	existing, ok := f.pools[service]
	if !ok {
		existing = newPool(f.options.Directory, service, func() int { return 1 }, f.options.Seed)
		f.pools[service] = existing
	}
	return existing
}

// allowedTargets returns the targets whose version the call may go to.
func (p *pool) allowedTargets(versions VersionChoice) []Target {
	targets := p.directory.Targets(p.deployment)
	if versions != nil {
		targets = slices.DeleteFunc(slices.Clone(targets), func(target Target) bool { return !versions.Allows(target.Version) })
	}
	return targets
}

// leaseDueProbe returns a lease on a target whose breaker is half-open: it receives a call as its probe.
func (p *pool) leaseDueProbe(targets []Target, tried []string) (*lease, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, target := range targets {
		if !contains(tried, target.Name) && p.stateOf(target.Name).breaker.TryProbe(now) {
			return p.newLease(target, false, true), true
		}
	}
	return nil, false
}

// abandon releases a lease whose call was cancelled. A probe that was not answered in time counts as
// failed.
func (l *lease) abandon() {
	if l.probe {
		l.release(targetFailed)
		return
	}
	l.release(noTargetResult)
}
