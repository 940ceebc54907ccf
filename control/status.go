package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"
)

const (
	// statusInterval is the interval between two comparisons of stored and desired statuses.
	statusInterval = 500 * time.Millisecond
	// laggingTimeout is how long the writer waits for lagging entries before it writes a status that
	// names them. The wait lets most changes cost a single write.
	laggingTimeout = 2 * time.Second
	// statusWritesPerSecond and statusBurst limit the status writer's share of the writes that the
	// platform accepts, since claims and leases have priority.
	statusWritesPerSecond = 5
	statusBurst           = 10
	// statusBackoff is the backoff after a write to the platform failed or got no answer.
	statusBackoff = 5 * time.Second
	// maxNamedEntries is the maximum number of lagging entries that a message names.
	maxNamedEntries = 10
)

// Reasons of status conditions.
const (
	reasonValid                = "Valid"
	reasonRefused              = "Refused"
	reasonInForceEverywhere    = "InForceEverywhere"
	reasonLagging              = "EntriesLag"
	reasonNotAccepted          = "NotAccepted"
	reasonHealthy              = "Healthy"
	reasonUnresolvedReferences = "UnresolvedReferences"
	reasonTargetsNotReady      = "TargetsNotReady"
)

// Resources provides the known state of every resource and the revision in force on this entry.
type Resources interface {
	States() []config.ResourceState
	KnownRevision() int64
}

// Reporter asks an entry which configuration it has in force.
type Reporter interface {
	// Report returns the revision in force on the peer; ready is false when it has none.
	Report(ctx context.Context, peer membership.Peer) (revision int64, ready bool, err error)
}

// StatusOptions configures a StatusWriter.
type StatusOptions struct {
	Store     Store
	Resources Resources
	Reporter  Reporter
	View      membership.View
	Lease     *Lease
	// TargetStates returns the states that the Controller observed last; it may be nil.
	TargetStates func() []TargetState
	// Observe is called with each event; it may be nil and must not block.
	Observe func(Event)
}

// StatusWriter writes the status of every resource while this entry holds the lease.
type StatusWriter struct {
	options StatusOptions
	budget  *rate.Limiter
	// backoffUntil is when writes may resume after a failed one.
	backoffUntil time.Time
	// reported holds the last report of each entry, by name.
	reported map[string]revisionReport
	// waiting holds, for each resource, since when its status has waited for lagging entries.
	waiting map[v1.ResourceKey]waitingSince
}

// revisionReport is the revision that a process of an entry reported to have in force. It tells nothing of a later process.
type revisionReport struct {
	incarnation uint64
	revision    int64
}

// waitingSince is the start of a wait for entries that lag behind a spec revision.
type waitingSince struct {
	specRevision int64
	since        time.Time
}

// NewStatusWriter returns a StatusWriter; Run starts it.
func NewStatusWriter(options StatusOptions) *StatusWriter {
	return &StatusWriter{
		options:  options,
		budget:   rate.NewLimiter(statusWritesPerSecond, statusBurst),
		reported: map[string]revisionReport{},
		waiting:  map[v1.ResourceKey]waitingSince{},
	}
}

// Run writes the statuses that are due until ctx is done.
func (w *StatusWriter) Run(ctx context.Context) error {
	runPeriodically(ctx, statusInterval, w.Step)
	return ctx.Err()
}

// Step writes the statuses that are due. It does nothing unless this entry holds the lease.
func (w *StatusWriter) Step(ctx context.Context) {
	if _, held := w.options.Lease.Held(); !held || time.Now().Before(w.backoffUntil) {
		return
	}
	states := w.options.Resources.States()
	w.queryLagging(ctx, states)
	readiness := readinessOf(w.options.TargetStates)
	for _, state := range states {
		if !w.writeIfDue(ctx, state, readiness) {
			return
		}
	}
}

// queryLagging asks each entry that is not known to have the newest spec in force for its revision.
func (w *StatusWriter) queryLagging(ctx context.Context, states []config.ResourceState) {
	var newest int64
	for _, state := range states {
		newest = max(newest, state.SpecRevision)
	}
	ctx, cancel := context.WithTimeout(ctx, statusInterval)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	slots := make(chan struct{}, maxParallelTargets)
	self := w.options.View.Self()
	w.reported[self.Name] = revisionReport{self.Incarnation, w.options.Resources.KnownRevision()}
	for _, peer := range w.options.View.Live() {
		mu.Lock()
		lags := w.lags(peer, newest)
		mu.Unlock()
		if peer.Name == self.Name || !lags {
			continue
		}
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			revision, ready, err := w.options.Reporter.Report(ctx, peer)
			if err != nil || !ready {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			w.reported[peer.Name] = revisionReport{peer.Incarnation, revision}
		})
	}
	calls.Wait()
}

// lags reports whether an entry is not known to have the revision in force.
func (w *StatusWriter) lags(peer membership.Peer, revision int64) bool {
	report, ok := w.reported[peer.Name]
	isFormer := report.incarnation != peer.Incarnation && peer.Name != w.options.View.Self().Name
	return !ok || isFormer || report.revision < revision
}

// lagging returns the names of the live entries that don't have the revision in force.
func (w *StatusWriter) lagging(revision int64) []string {
	var names []string
	for _, peer := range w.options.View.Live() {
		if w.lags(peer, revision) {
			names = append(names, peer.Name)
		}
	}
	return names
}

// writeIfDue writes the status of one resource if it has changed. It returns false when no further
// status can be written in this step.
func (w *StatusWriter) writeIfDue(ctx context.Context, state config.ResourceState, readiness readiness) bool {
	lagging := w.lagging(state.SpecRevision)
	if w.awaitsLagging(state, lagging) {
		return true
	}
	stored, ok := storedStatus(state.Value)
	if !ok {
		return true // not a JSON object: a status cannot be added
	}
	wanted := desiredStatus(state, lagging, readiness.countFor(state), stored, time.Now())
	if sameStatus(stored, wanted) {
		return true
	}
	if !w.budget.Allow() {
		return false
	}
	return w.write(ctx, state, wanted)
}

// awaitsLagging reports whether to delay the status, since lagging entries may have the spec in force soon.
func (w *StatusWriter) awaitsLagging(state config.ResourceState, lagging []string) bool {
	if len(lagging) == 0 {
		delete(w.waiting, state.Key)
		return false
	}
	began, known := w.waiting[state.Key]
	if !known || began.specRevision != state.SpecRevision {
		w.waiting[state.Key] = waitingSince{state.SpecRevision, time.Now()}
		return true
	}
	return time.Since(began.since) < laggingTimeout
}

// write stores the status if the object still has the revision that was read, so that it never
// reverts a newer spec. It returns false when no further status can be written in this step.
func (w *StatusWriter) write(ctx context.Context, state config.ResourceState, status v1.Status) bool {
	value, err := withStatus(state.Value, status)
	if err != nil {
		w.notify(Event{Kind: EventStatusNotWritten, Subject: state.Key.String(), Err: err})
		return true
	}
	if _, held := w.options.Lease.Held(); !held {
		return false
	}
	call, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	_, err = w.options.Store.Put(call, state.Key.Kind, state.Key.Name, state.Revision, value)
	if err == nil {
		w.notify(Event{Kind: EventStatusWritten, Subject: state.Key.String()})
		return true
	}
	// After a conflict or a lost response the watch delivers the newest object, and the next Step
	// compares again.
	w.notify(Event{Kind: EventStatusNotWritten, Subject: state.Key.String(), Err: err})
	if errors.Is(err, objects.ErrUnavailable) || errors.Is(err, objects.ErrUnknownOutcome) {
		w.backoffUntil = time.Now().Add(statusBackoff)
		return false
	}
	return true
}

func (w *StatusWriter) notify(event Event) {
	if w.options.Observe != nil {
		w.options.Observe(event)
	}
}

// storedStatus returns the status of a stored value. ok is false when the value is not a JSON object.
func storedStatus(value []byte) (status v1.Status, ok bool) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(value, &fields) != nil || fields == nil { // nil for null
		return v1.Status{}, false
	}
	if json.Unmarshal(fields["status"], &status) != nil {
		return v1.Status{}, true // absent or unreadable: it will be written
	}
	return status, true
}

// errNoObject: a stored value is no JSON object, so that it can have no status.
var errNoObject = errors.New("control: the value is not a JSON object")

// withStatus returns a stored value with its status replaced and every other field unchanged.
func withStatus(value []byte, status v1.Status) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(value, &fields); err != nil {
		return nil, err
	}
	if fields == nil {
		return nil, errNoObject
	}
	encoded, err := json.Marshal(status)
	if err != nil {
		return nil, err
	}
	fields["status"] = encoded
	return json.Marshal(fields)
}

func sameStatus(a, b v1.Status) bool {
	first, _ := json.Marshal(a)
	second, _ := json.Marshal(b)
	return bytes.Equal(first, second)
}

// desiredStatus returns the status that the resource should have. Conditions that are unchanged from the
// stored status keep their transition time.
func desiredStatus(state config.ResourceState, lagging []string, degraded targetCounts, stored v1.Status, now time.Time) v1.Status {
	status := v1.Status{ObservedGeneration: state.Generation, LastAccepted: lastAccepted(state)}
	for _, condition := range []v1.Condition{
		acceptedCondition(state),
		inForceCondition(state, lagging),
		degradedCondition(state, degraded),
	} {
		condition.ObservedGeneration = state.Generation
		condition.LastTransition = lastTransition(condition, stored, now)
		status.Conditions = append(status.Conditions, condition)
	}
	return status
}

// lastAccepted returns the spec in force of a resource whose newest spec is refused, as JSON, or ""
// when there is none. It is stored in the status so that the spec survives a restart of all entries.
func lastAccepted(state config.ResourceState) string {
	if len(state.Refused) == 0 || state.Accepted == nil {
		return ""
	}
	spec, err := json.Marshal(state.Accepted.SpecValue())
	if err != nil {
		return ""
	}
	return string(spec)
}

// lastTransition returns when the condition last changed: now, unless the stored status already has it.
func lastTransition(condition v1.Condition, stored v1.Status, now time.Time) time.Time {
	for _, former := range stored.Conditions {
		if former.Type == condition.Type && former.Status == condition.Status {
			return former.LastTransition
		}
	}
	return now.UTC().Truncate(time.Second)
}

func acceptedCondition(state config.ResourceState) v1.Condition {
	if len(state.Refused) == 0 {
		return v1.Condition{Type: v1.ConditionAccepted, Status: true, Reason: reasonValid}
	}
	return v1.Condition{Type: v1.ConditionAccepted, Reason: reasonRefused, Message: state.Refused.Error()}
}

func inForceCondition(state config.ResourceState, lagging []string) v1.Condition {
	condition := v1.Condition{Type: v1.ConditionInForce}
	switch {
	case len(state.Refused) > 0:
		condition.Reason = reasonNotAccepted
	case len(lagging) > 0:
		condition.Reason = reasonLagging
		condition.Message = laggingMessage(lagging)
	default:
		condition.Status, condition.Reason = true, reasonInForceEverywhere
	}
	return condition
}

func laggingMessage(lagging []string) string {
	named := lagging[:min(len(lagging), maxNamedEntries)]
	message := "lagging: " + strings.Join(named, ", ")
	if more := len(lagging) - len(named); more > 0 {
		message += fmt.Sprintf(" and %d more", more)
	}
	return message
}

func degradedCondition(state config.ResourceState, degraded targetCounts) v1.Condition {
	condition := v1.Condition{Type: v1.ConditionDegraded, Reason: reasonHealthy}
	switch {
	case len(state.Unresolved) > 0:
		condition.Status, condition.Reason = true, reasonUnresolvedReferences
		condition.Message = state.Unresolved.Error()
	case degraded.ready < degraded.declared:
		condition.Status, condition.Reason = true, reasonTargetsNotReady
		condition.Message = fmt.Sprintf("%d of %d targets are ready", degraded.ready, degraded.declared)
	}
	return condition
}

// targetCounts counts the targets of a resource that are declared, and those of them that are ready.
type targetCounts struct{ ready, declared int }

// readiness holds the observed states of the engines; known is false when there are none.
type readiness struct {
	known   bool
	targets map[string]TargetState
}

func readinessOf(observe func() []TargetState) readiness {
	r := readiness{targets: map[string]TargetState{}}
	if observe == nil {
		return r
	}
	for _, state := range observe() {
		r.known = true
		r.targets[state.Target.Metadata.Name] = state
	}
	return r
}

// countFor counts the engine countFor a target resource, or the engines that a deployment names.
func (r readiness) countFor(state config.ResourceState) targetCounts {
	if !r.known {
		return targetCounts{}
	}
	switch resource := state.Accepted.(type) {
	case *v1.Target:
		return r.count([]string{state.Key.Name})
	case *v1.Deployment:
		return r.count(resource.Spec.Targets)
	}
	return targetCounts{}
}

func (r readiness) count(names []string) targetCounts {
	var counted targetCounts
	for _, name := range names {
		state, ok := r.targets[name]
		if !ok {
			continue // a service, or a target that unresolved references report
		}
		counted.declared++
		if state.isReady() {
			counted.ready++
		}
	}
	return counted
}

// isReady reports whether the engine was observed, is not draining and has loaded all desired weights.
func (s TargetState) isReady() bool {
	if !s.Observed || s.Draining {
		return false
	}
	_, complete := nextMissing(s, copies{})
	return complete
}
