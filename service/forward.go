package service

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/internal/defect"
)

// Forward is one attempt of a caller at a plain call whose content is opaque. Nothing of it is
// recorded: the attempt has an ID of its own and arrived on one connection, so that the entry which
// read it decides alone what may be repeated.
type Forward struct {
	// ID names the caller's attempt.
	ID      string
	Service string
	// Repeatable calls may run more than once.
	Repeatable bool
	// MaxAttempts bounds the targets that run the call.
	MaxAttempts int
	Deadline    time.Time
	// Objective is the time within which an answer is on time.
	Objective time.Duration
	// Payload is the call as the sender sends it.
	Payload any
}

// SendVerdict tells what is known of a send.
type SendVerdict int

// Verdicts.
const (
	// SendAnswered: the target ran the call well.
	SendAnswered SendVerdict = iota
	// SendFailed: the target ran the call and answers with a failure.
	SendFailed
	// SendNotRun: the target did not run the call.
	SendNotRun
	// SendMisdirected: another target has the address; the call was not run.
	SendMisdirected
	// SendUnknown: the target may have run the call.
	SendUnknown
)

// String returns the verdict as it stands in logs.
func (v SendVerdict) String() string {
	return [...]string{"answered", "failed", "not-run", "misdirected", "unknown"}[v]
}

// Sent is the outcome of one send.
type Sent struct {
	Verdict SendVerdict
	// Answer is the target's answer, for the caller; nil unless answered or failed.
	Answer any
	Err    error
}

// Sender sends calls to targets, each once.
type Sender interface {
	Send(ctx context.Context, target Target, call *Forward) Sent
}

// ForwarderOptions are the ports of a Forwarder.
type ForwarderOptions struct {
	Sender    Sender
	Directory Directory
	Budget    generation.RetryBudget
	// Seed makes random choices repeatable.
	Seed uint64
	// Log receives one event for each decision; nil discards them.
	Log func(event string, call *Forward, target string, sent Sent)
}

// Forwarder passes plain calls on. It is safe for concurrent use.
type Forwarder struct {
	options ForwarderOptions

	mu    sync.Mutex
	pools map[string]*pool
}

// NewForwarder returns a Forwarder.
func NewForwarder(options ForwarderOptions) *Forwarder {
	if options.Log == nil {
		options.Log = func(string, *Forward, string, Sent) {}
	}
	return &Forwarder{options: options, pools: map[string]*pool{}}
}

// NotRunError proves that no target ran the call, and none will.
type NotRunError struct {
	// RetryAfter is when another try may succeed.
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *NotRunError) Error() string { return fmt.Sprintf("service: call not run: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// UnknownOutcomeError tells that a target may have run the call and its answer is lost.
type UnknownOutcomeError struct{ Cause error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("service: outcome unknown: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// errNoTarget: the service has no target that may get the call.
var errNoTarget = errors.New("no target available")

const (
	// forwardRetryAfter is when a caller whose call was not run may come back: targets answer within
	// tens of milliseconds, so that places are free again by then.
	forwardRetryAfter = 100 * time.Millisecond
	// maxNotRun bounds the targets that may refuse one call.
	maxNotRun = 3
	// hedgeObjectiveShare is the part of the objective after which a second target is asked at the
	// latest; the rest is for its answer.
	hedgeObjectiveShare = 0.5
)

// forwardState is what the next step of a call depends on.
type forwardState struct {
	repeatable bool
	// running counts the sends under way; ran those that ended and may have run; refused the others.
	running, ran, refused int
	maxAttempts           int
	last                  SendVerdict
}

// maySendAgain tells whether the call may go to another target after a send that did not answer it.
func (s forwardState) maySendAgain() bool {
	if defect.Enabled(defect.RepeatUnsafe) {
		return s.ran < s.maxAttempts
	}
	if s.last == SendNotRun || s.last == SendMisdirected {
		return s.refused < maxNotRun && (s.repeatable || s.ran == 0)
	}
	return s.repeatable && s.ran+s.running < s.maxAttempts
}

// forwarding is one call on its way.
type forwarding struct {
	forwarder *Forwarder
	pool      *pool
	call      *Forward
	state     forwardState
	tried     []string
	results   chan forwardResult
	cancels   []context.CancelFunc
	// failure is the last failure that a target answered.
	failure any
	hedged  bool
}

type forwardResult struct {
	lease *lease
	since time.Time
	sent  Sent
}

// Do passes a call on and returns the target's answer, which may be a failure of its own; or a
// *NotRunError, an *UnknownOutcomeError, or the error of ctx if the caller has gone.
func (f *Forwarder) Do(ctx context.Context, call *Forward) (any, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	f.options.Budget.Earn(call.Service)
	w := &forwarding{
		forwarder: f,
		pool:      f.pool(call.Service),
		call:      call,
		state:     forwardState{repeatable: call.Repeatable, maxAttempts: max(1, call.MaxAttempts)},
		results:   make(chan forwardResult, maxNotRun+max(1, call.MaxAttempts)+1),
	}
	defer w.cancelAll()
	if !w.send(ctx) {
		return nil, &NotRunError{RetryAfter: forwardRetryAfter, Cause: errNoTarget}
	}
	return w.await(ctx)
}

func (w *forwarding) await(ctx context.Context) (any, error) {
	timer := time.NewTimer(w.hedgeDelay())
	defer timer.Stop()
	for {
		select {
		case result := <-w.results:
			w.settle(result)
			if result.sent.Verdict == SendAnswered {
				return result.sent.Answer, nil
			}
			if w.again(ctx) || w.state.running > 0 {
				continue
			}
			return w.giveUp(result.sent.Err)
		case <-timer.C:
			w.hedge(ctx)
		case <-ctx.Done():
			return nil, &UnknownOutcomeError{Cause: ctx.Err()}
		}
	}
}

// again sends the call once more if its state and the budget allow.
func (w *forwarding) again(ctx context.Context) bool {
	return w.state.maySendAgain() && w.forwarder.options.Budget.Spend(w.call.Service, generation.RetryRestart) && w.send(ctx)
}

// hedge asks a second target when the first one is late.
func (w *forwarding) hedge(ctx context.Context) {
	if w.hedged || !w.state.repeatable || w.state.ran+w.state.running >= w.state.maxAttempts {
		return
	}
	w.hedged = true
	if w.forwarder.options.Budget.Spend(w.call.Service, generation.RetryRestart) {
		w.send(ctx)
	}
}

func (w *forwarding) hedgeDelay() time.Duration {
	delay := w.pool.hedgeDelay()
	if w.call.Objective > 0 {
		delay = min(delay, time.Duration(hedgeObjectiveShare*float64(w.call.Objective)))
	}
	return delay
}

// giveUp returns the outcome of a call that no target has answered well.
func (w *forwarding) giveUp(cause error) (any, error) {
	switch {
	case w.failure != nil:
		return w.failure, nil
	case w.state.ran == 0, defect.Enabled(defect.NotRunPerAttempt):
		return nil, &NotRunError{RetryAfter: forwardRetryAfter, Cause: cause}
	}
	return nil, &UnknownOutcomeError{Cause: cause}
}

// send starts a send to a target that has not got the call yet.
func (w *forwarding) send(ctx context.Context) bool {
	lease, ok := w.pool.chooseForward(w.tried)
	if !ok {
		return false
	}
	w.tried = append(w.tried, lease.target.Name)
	w.state.running++
	ctx, cancel := context.WithCancel(ctx)
	w.cancels = append(w.cancels, cancel)
	since := time.Now()
	go func() {
		sent := w.forwarder.options.Sender.Send(ctx, lease.target, w.call)
		w.results <- forwardResult{lease: lease, since: since, sent: sent}
	}()
	return true
}

// settle takes the end of a send into account.
func (w *forwarding) settle(result forwardResult) {
	w.state.running--
	w.state.last = result.sent.Verdict
	switch result.sent.Verdict {
	case SendAnswered:
		result.lease.done(resultGood)
		w.pool.addLatency(time.Since(result.since))
	case SendFailed:
		w.state.ran++
		w.failure = result.sent.Answer
		result.lease.done(resultBad)
	case SendNotRun, SendMisdirected:
		w.state.refused++
		result.lease.done(resultBad)
	default:
		w.state.ran++
		result.lease.done(resultBad)
	}
	w.forwarder.options.Log("call-send-ended", w.call, result.lease.target.Name, result.sent)
}

// cancelAll ends the sends that are still under way; their leases end with them.
func (w *forwarding) cancelAll() {
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

// Sweep forgets targets that are gone and have no call under way.
func (f *Forwarder) Sweep() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, pool := range f.pools {
		pool.sweep()
	}
}

// sweep forgets targets that the directory does not name.
func (p *pool) sweep() {
	named := map[string]bool{}
	for _, target := range p.directory.Targets(p.deployment) {
		named[target.Name] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, state := range p.state {
		if !named[name] && state.running == 0 {
			delete(p.state, name)
		}
	}
}

func (f *Forwarder) pool(service string) *pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	present, ok := f.pools[service]
	if !ok {
		present = newPool(f.options.Directory, service, func() int { return 1 }, f.options.Seed)
		f.pools[service] = present
	}
	return present
}

// chooseForward returns a lease on the target with the fewest calls. A target whose breaker is
// half-open gets a call as its probe.
func (p *pool) chooseForward(tried []string) (*lease, bool) {
	targets := p.directory.Targets(p.deployment)
	p.mu.Lock()
	now := time.Now()
	for _, target := range targets {
		if !contains(tried, target.Name) && p.stateOf(target.Name).breaker.TryProbe(now) {
			defer p.mu.Unlock()
			return p.take(target, false, true), true
		}
	}
	p.mu.Unlock()
	return p.choose(tried, false)
}

// abandon ends a lease whose call was cancelled. A probe that was not answered in time has failed.
func (l *lease) abandon() {
	if l.probe {
		l.done(resultBad)
		return
	}
	l.done(resultNone)
}
