package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/internal/defect"
	"github.com/azurebarrow/azurebarrow/invariant"
	"github.com/azurebarrow/azurebarrow/membership"
)

const (
	// LeaseName is the name of the lease that the Controller and the StatusWriter share.
	LeaseName = "control"
	// MaxCommandDuration is the maximum time from sending a command to its last effect at the target.
	MaxCommandDuration = 3 * time.Second
	// commandTimeout is the timeout of one call to a target, another entry or the platform. It is
	// shorter than MaxCommandDuration, since a command that is in flight when its call times out may still
	// arrive and take effect.
	commandTimeout = 2 * time.Second
	// reconcileInterval is the interval between two passes over the targets.
	reconcileInterval = 2 * time.Second
	// maxParallelTargets is the maximum number of concurrent calls to targets or entries.
	maxParallelTargets = 16
	// leaseCandidates is the number of entries that try to acquire the lease.
	leaseCandidates = 2
	// defaultLoadsPerSecond is the rate of the weight store when none is configured.
	defaultLoadsPerSecond = 1.0
	// loadBudgetShare is the share of the weight store's rate that a lease holder uses. The rest, and
	// all of the store's burst but one load, is reserved for late commands of a former holder that
	// was paused.
	loadBudgetShare = 0.8
)

// Reasons why a command was not sent, or was refused by its target.
var (
	// ErrLeaseExpired: the lease is not held, or expires too soon.
	ErrLeaseExpired = errors.New("control: the lease has lapsed")
	// ErrFormerHolder: a command of the former holder may still be in flight.
	ErrFormerHolder = errors.New("control: a former holder's orders may still take effect")
	// ErrFenced: the target has seen a higher fencing token.
	ErrFenced = errors.New("control: the target refused an old fencing token")
	// ErrWeightsInUse: a stream uses the weights, or an entry did not answer whether one does.
	ErrWeightsInUse = errors.New("control: the weights are in use")
	// ErrLoadRateLimited: the rate limit of the weight store allows no load in this pass.
	ErrLoadRateLimited = errors.New("control: over the weight store's rate")
)

// Configuration provides the configuration in force.
type Configuration interface {
	Snapshot() *config.Snapshot
}

// Engines reads the state of engines and sends them commands.
type Engines interface {
	Inventory(ctx context.Context, address string) (Inventory, error)
	// Send sends a command. It returns ErrFenced when the engine refuses the fencing token.
	Send(ctx context.Context, address string, command Command) error
}

// Usage asks an entry whether any of its streams uses given weights, on whichever target.
type Usage interface {
	WeightsInUse(ctx context.Context, peer membership.Peer, weights Weights) (bool, error)
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	EventCommandSent      EventKind = "order-sent"
	EventCommandNotSent   EventKind = "order-not-sent"
	EventLeaseFailed      EventKind = "lease-failed"
	EventStatusWritten    EventKind = "status-written"
	EventStatusNotWritten EventKind = "status-not-written"
)

// Event reports one action of a Controller or StatusWriter, for logs and metrics.
type Event struct {
	Kind    EventKind
	Subject string
	Command Command
	Err     error
}

// Options configures a Controller.
type Options struct {
	Configuration Configuration
	View          membership.View
	Lease         *Lease
	Engines       Engines
	Usage         Usage
	// TargetDraining reports whether a target is draining; it may be nil.
	TargetDraining func(target string) bool
	// EntryDraining reports whether this entry is draining and must release the lease; it may be nil.
	EntryDraining func() bool
	// LoadsPerSecond is the rate limit of the weight store, which must allow bursts of two loads;
	// 0 means one load per second.
	LoadsPerSecond float64
	// Observe is called with each event; it may be nil and must not block.
	Observe func(Event)
}

// Controller reconciles the engines with the declared deployments while this entry holds the lease.
type Controller struct {
	options      Options
	commandCount int
	passCount    int
	// passMu is locked during a pass over the targets.
	passMu sync.Mutex

	mu sync.Mutex
	// term is the state that is reset when this entry acquires the lease again.
	term   leaseTerm
	states []TargetState
}

// leaseTerm is the state for one period of holding the lease, identified by its fencing token.
type leaseTerm struct {
	token  Token
	budget *rate.Limiter
	// surplusSince holds the time since which loaded weights have not been desired.
	surplusSince map[surplusKey]time.Time
}

// surplusKey identifies weights that a target has loaded although no deployment needs them there.
type surplusKey struct {
	target  string
	weights Weights
}

// NewController returns a Controller; Run starts it.
func NewController(options Options) *Controller {
	if options.LoadsPerSecond == 0 {
		options.LoadsPerSecond = defaultLoadsPerSecond
	}
	return &Controller{options: options}
}

// Run maintains the lease and reconciles until ctx is done, then releases the lease.
func (c *Controller) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { runPeriodically(ctx, c.options.Lease.RenewInterval(), c.stepLease) })
	loops.Go(func() { runPeriodically(ctx, reconcileInterval, c.Reconcile) })
	loops.Wait()
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), commandTimeout)
	defer cancel()
	c.release(call)
	return ctx.Err()
}

// release releases the lease after any pass in progress has ended.
func (c *Controller) release(ctx context.Context) {
	c.passMu.Lock()
	defer c.passMu.Unlock()
	if err := c.options.Lease.Release(ctx); err != nil {
		c.notify(Event{Kind: EventLeaseFailed, Subject: LeaseName, Err: err})
	}
}

// runPeriodically calls step immediately and then at a fixed interval until ctx is done.
func runPeriodically(ctx context.Context, interval time.Duration, step func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		step(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// stepLease renews the lease if it is held, else tries to acquire it if this entry is a candidate.
// A draining entry releases it instead.
func (c *Controller) stepLease(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if c.options.EntryDraining != nil && c.options.EntryDraining() {
		c.release(call)
		return
	}
	_, held := c.options.Lease.Held()
	if !held && !c.isCandidate() {
		return
	}
	if err := c.options.Lease.Step(call); err != nil {
		c.notify(Event{Kind: EventLeaseFailed, Subject: LeaseName, Err: err})
	}
}

// isCandidate reports whether this entry is among the first live entries in the rendezvous order of
// the lease.
func (c *Controller) isCandidate() bool {
	self := c.options.View.Self().Name
	ranked := membership.Rank(c.options.View.Live(), LeaseName)
	for _, peer := range ranked[:min(len(ranked), leaseCandidates)] {
		if peer.Name == self {
			return true
		}
	}
	return false
}

// Reconcile observes every engine and sends the commands that are due. It does nothing unless this
// entry holds the lease.
func (c *Controller) Reconcile(ctx context.Context) {
	c.passMu.Lock()
	defer c.passMu.Unlock()
	grant, held := c.options.Lease.Held()
	if !held && !defect.Enabled(defect.FencingDropped) {
		return
	}
	c.startTerm(grant.Token)
	states := c.observeTargets(ctx)
	c.trackSurplus(states)
	c.setStates(states)
	actions := Plan(states, c.surplusAge)
	c.passCount++
	pass, cancel := context.WithTimeout(ctx, reconcileInterval)
	defer cancel()
	for i := range actions {
		// Each pass starts at another action, so that the load budget is shared fairly.
		c.execute(ctx, pass, actions[(i+c.passCount)%len(actions)], states)
	}
}

// startTerm resets the state that depends on the fencing token when the token has changed.
func (c *Controller) startTerm(token Token) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term.token == token && c.term.budget != nil {
		return
	}
	budget := rate.NewLimiter(rate.Limit(c.options.LoadsPerSecond*loadBudgetShare), 1)
	budget.Allow() // a former holder may just have used it
	c.term = leaseTerm{token: token, budget: budget, surplusSince: map[surplusKey]time.Time{}}
}

// observeTargets reads the inventory of every engine, several at a time.
func (c *Controller) observeTargets(ctx context.Context) []TargetState {
	states := desiredStates(c.options.Configuration.Snapshot())
	slots := make(chan struct{}, maxParallelTargets)
	var calls sync.WaitGroup
	for i := range states {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			c.observeTarget(ctx, &states[i])
		})
	}
	calls.Wait()
	return states
}

func (c *Controller) observeTarget(ctx context.Context, state *TargetState) {
	call, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	inventory, err := c.options.Engines.Inventory(call, state.Target.Spec.Address)
	state.Inventory, state.Observed = inventory, err == nil
	state.Draining = c.options.TargetDraining != nil && c.options.TargetDraining(state.Target.Metadata.Name)
}

// trackSurplus records since when loaded weights have not been desired.
func (c *Controller) trackSurplus(states []TargetState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.term.surplusSince
	c.term.surplusSince = map[surplusKey]time.Time{}
	for _, state := range states {
		for _, weights := range surplus(state) {
			key := surplusKey{state.Target.Metadata.Name, weights}
			since, known := previous[key]
			if !known {
				since = time.Now()
			}
			c.term.surplusSince[key] = since
		}
	}
}

// surplusAge returns for how long the target has had loaded weights that are not desired.
func (c *Controller) surplusAge(target string, weights Weights) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, known := c.term.surplusSince[surplusKey{target, weights}]
	if !known {
		return 0
	}
	return time.Since(since)
}

// execute sends the command of one action. pass limits the wait for the weight store's budget: when
// it is done, the targets are observed again.
func (c *Controller) execute(ctx, pass context.Context, action Action, states []TargetState) {
	if action.Kind == CommandLoad && c.term.budget.Wait(pass) != nil {
		c.notify(Event{Kind: EventCommandNotSent, Subject: action.Target, Command: Command{Kind: action.Kind, Weights: action.Weights}, Err: ErrLoadRateLimited})
		return
	}
	state := findState(states, action.Target)
	command, err := c.sendCommand(ctx, action, state)
	event := Event{Kind: EventCommandSent, Subject: action.Target, Command: command, Err: err}
	if err != nil {
		event.Kind = EventCommandNotSent
	}
	c.notify(event)
}

func findState(states []TargetState, name string) TargetState {
	for _, state := range states {
		if state.Target.Metadata.Name == name {
			return state
		}
	}
	return TargetState{}
}

// sendCommand makes the checks of one command and sends it. The lease is checked last, directly before the
// call, since the other checks may be slow and this process may have been paused during them.
func (c *Controller) sendCommand(ctx context.Context, action Action, state TargetState) (Command, error) {
	command := Command{Kind: action.Kind, Weights: action.Weights}
	if action.Kind == CommandSetRole {
		command.Role = RoleServe
	}
	if action.Kind == CommandUnload {
		if err := c.checkUnused(ctx, action.Weights); err != nil {
			return command, err
		}
	}
	token, err := c.checkLease(state.Fencing)
	if err != nil {
		return command, err
	}
	command.Fence = token
	c.commandCount++
	command.ID = fmt.Sprintf("%d-%d", token, c.commandCount)
	call, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return command, c.options.Engines.Send(call, state.Target.Spec.Address, command)
}

// checkLease returns the fencing token under which a command may be sent now. Targets that ignore
// tokens are protected by time limits instead: the former holder's last command must have taken
// effect, and this one must take effect before the lease expires.
func (c *Controller) checkLease(fencing v1.FencingMode) (Token, error) {
	grant, held := c.options.Lease.Held()
	sameTerm := held && grant.Token == c.term.token
	if !sameTerm && !defect.Enabled(defect.FencingDropped) {
		return 0, ErrLeaseExpired
	}
	if fencing != v1.FencingEnforced && !defect.Enabled(defect.FencingDropped) {
		if grant.Remaining < MaxCommandDuration {
			return 0, ErrLeaseExpired
		}
		if grant.FormerHolderMayAct && time.Since(grant.AcquiredAt) < MaxCommandDuration {
			return 0, ErrFormerHolder
		}
	}
	err := invariant.Check(sameTerm, invariant.CommandUnderLease, "order under token %d without the lease", c.term.token)
	if err != nil && !defect.Enabled(defect.FencingDropped) {
		return 0, err
	}
	return c.term.token, nil
}

// checkUnused asks every live entry whether a stream uses the weights, on whichever target: a stream
// whose engine fails needs them on another target. An entry that does not answer counts as using
// them.
func (c *Controller) checkUnused(ctx context.Context, weights Weights) error {
	live := c.options.View.Live()
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	answers := make(chan error, len(live))
	for _, peer := range live {
		go func() { answers <- c.checkUnusedBy(ctx, peer, weights) }()
	}
	var first error
	for range live {
		if err := <-answers; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (c *Controller) checkUnusedBy(ctx context.Context, peer membership.Peer, weights Weights) error {
	used, err := c.options.Usage.WeightsInUse(ctx, peer, weights)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrWeightsInUse, peer.Name, err)
	}
	if used {
		return fmt.Errorf("%w by %s", ErrWeightsInUse, peer.Name)
	}
	return nil
}

func (c *Controller) setStates(states []TargetState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.states = states
}

// States returns what the last pass observed, or nil while this entry does not hold the lease.
func (c *Controller) States() []TargetState {
	if _, held := c.options.Lease.Held(); !held {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.states
}

func (c *Controller) notify(event Event) {
	if c.options.Observe != nil {
		c.options.Observe(event)
	}
}
