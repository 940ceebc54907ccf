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
	// statusInterval is the time between two looks at what the status should say.
	statusInterval = 500 * time.Millisecond
	// statusPatience is how long a status waits for the lagging entries before it names them, so
	// that most changes cost one write.
	statusPatience = 2 * time.Second
	// statusWritesPerSecond and statusBurst are the status writer's share of the platform's
	// writes; claims and leases come first.
	statusWritesPerSecond = 5
	statusBurst           = 10
	// statusRest is how long the writer stays silent after the platform refused a write.
	statusRest = 5 * time.Second
	// maxNamedEntries bounds the lagging entries that a message names.
	maxNamedEntries = 10
)

// Reasons of conditions.
const (
	reasonValid      = "Valid"
	reasonRefused    = "Refused"
	reasonEverywhere = "InForceEverywhere"
	reasonLagging    = "EntriesLag"
	reasonNotTaken   = "NotAccepted"
	reasonHealthy    = "Healthy"
	reasonUnresolved = "UnresolvedReferences"
	reasonTargets    = "TargetsNotReady"
)

// Resources gives what is known of every resource.
type Resources interface {
	States() []config.ResourceState
	Position() int64
}

// Reporter asks an entry how far its configuration is.
type Reporter interface {
	// Report returns the revision in force there; ready is false when there is none.
	Report(ctx context.Context, peer membership.Peer) (revision int64, ready bool, err error)
}

// StatusOptions configures a StatusWriter.
type StatusOptions struct {
	Store     Store
	Resources Resources
	Reporter  Reporter
	View      membership.View
	Lease     *Lease
	// Targets returns what the controller observed last; it may be nil.
	Targets func() []TargetState
	// Observe receives events; it may be nil and must not block.
	Observe func(Event)
}

// StatusWriter writes the status of every resource while this entry holds the lease.
type StatusWriter struct {
	options StatusOptions
	budget  *rate.Limiter
	// restUntil is when the next write may be tried after a refusal.
	restUntil time.Time
	// positions are the revisions that entries reported.
	positions map[string]int64
	// waiting holds since when a spec revision has been waiting for lagging entries.
	waiting map[v1.ResourceKey]waitingSince
}

type waitingSince struct {
	specRevision int64
	since        time.Time
}

// NewStatusWriter returns a StatusWriter that is not running yet.
func NewStatusWriter(options StatusOptions) *StatusWriter {
	return &StatusWriter{
		options:   options,
		budget:    rate.NewLimiter(statusWritesPerSecond, statusBurst),
		positions: map[string]int64{},
		waiting:   map[v1.ResourceKey]waitingSince{},
	}
}

// Run writes status until ctx ends.
func (w *StatusWriter) Run(ctx context.Context) error {
	every(ctx, statusInterval, w.Step)
	return ctx.Err()
}

// Step writes the statuses that are due. It does nothing unless this entry holds the lease.
func (w *StatusWriter) Step(ctx context.Context) {
	if _, held := w.options.Lease.Held(); !held || time.Now().Before(w.restUntil) {
		return
	}
	states := w.options.Resources.States()
	w.askLagging(ctx, states)
	readiness := readinessOf(w.options.Targets)
	for _, state := range states {
		if !w.writeIfDue(ctx, state, readiness) {
			return
		}
	}
}

// askLagging asks the entries that are not known to be at the newest spec.
func (w *StatusWriter) askLagging(ctx context.Context, states []config.ResourceState) {
	var newest int64
	for _, state := range states {
		newest = max(newest, state.SpecRevision)
	}
	ctx, cancel := context.WithTimeout(ctx, statusInterval)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	slots := make(chan struct{}, maxParallelTargets)
	self := w.options.View.Self().Name
	w.positions[self] = w.options.Resources.Position()
	for _, peer := range w.options.View.Live() {
		mu.Lock()
		lags := w.positions[peer.Name] < newest
		mu.Unlock()
		if peer.Name == self || !lags {
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
			w.positions[peer.Name] = revision
		})
	}
	calls.Wait()
}

// lagging returns the live entries that don't have the revision in force.
func (w *StatusWriter) lagging(revision int64) []string {
	var names []string
	for _, peer := range w.options.View.Live() {
		if w.positions[peer.Name] < revision {
			names = append(names, peer.Name)
		}
	}
	return names
}

// writeIfDue writes one status. It returns false when no more can be written for now.
func (w *StatusWriter) writeIfDue(ctx context.Context, state config.ResourceState, readiness readiness) bool {
	lagging := w.lagging(state.SpecRevision)
	if w.mustWait(state, lagging) {
		return true
	}
	present, ok := storedStatus(state.Value)
	if !ok {
		return true // not an object: there is no place for a status
	}
	wanted := statusOf(state, lagging, readiness.of(state), present, time.Now())
	if sameStatus(present, wanted) {
		return true
	}
	if !w.budget.Allow() {
		return false
	}
	return w.write(ctx, state, wanted)
}

// mustWait tells whether the status should wait for entries that will soon have the spec in force.
func (w *StatusWriter) mustWait(state config.ResourceState, lagging []string) bool {
	if len(lagging) == 0 {
		delete(w.waiting, state.Key)
		return false
	}
	began, known := w.waiting[state.Key]
	if !known || began.specRevision != state.SpecRevision {
		w.waiting[state.Key] = waitingSince{state.SpecRevision, time.Now()}
		return true
	}
	return time.Since(began.since) < statusPatience
}

// write stores the status over exactly the revision that was read, so that no spec is reverted.
func (w *StatusWriter) write(ctx context.Context, state config.ResourceState, status v1.Status) bool {
	value, err := withStatus(state.Value, status)
	if err != nil {
		w.observe(Event{Kind: EventNoStatus, Subject: state.Key.String(), Err: err})
		return true
	}
	if _, held := w.options.Lease.Held(); !held {
		return false
	}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err = w.options.Store.Put(call, state.Key.Kind, state.Key.Name, state.Revision, value)
	if err == nil {
		w.observe(Event{Kind: EventStatus, Subject: state.Key.String()})
		return true
	}
	// After a conflict or a lost answer the watch brings the newest object, and the next Step
	// compares anew.
	w.observe(Event{Kind: EventNoStatus, Subject: state.Key.String(), Err: err})
	if errors.Is(err, objects.ErrUnavailable) || errors.Is(err, objects.ErrUnknownOutcome) {
		w.restUntil = time.Now().Add(statusRest)
		return false
	}
	return true
}

func (w *StatusWriter) observe(event Event) {
	if w.options.Observe != nil {
		w.options.Observe(event)
	}
}

// storedStatus reads the status of a stored value. ok is false when the value is not an object.
func storedStatus(value []byte) (status v1.Status, ok bool) {
	var envelope struct {
		Status json.RawMessage `json:"status"`
	}
	if json.Unmarshal(value, &envelope) != nil {
		return v1.Status{}, false
	}
	if json.Unmarshal(envelope.Status, &status) != nil {
		return v1.Status{}, true // absent or unreadable: it is written anew
	}
	return status, true
}

// withStatus replaces the status of a stored value and keeps every other field as it is.
func withStatus(value []byte, status v1.Status) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(value, &fields); err != nil {
		return nil, err
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

// statusOf returns the status that the resource should have; conditions that did not change keep
// their time of transition.
func statusOf(state config.ResourceState, lagging []string, degraded degradation, present v1.Status, now time.Time) v1.Status {
	status := v1.Status{ObservedGeneration: state.Generation, LastAccepted: lastAccepted(state)}
	for _, condition := range []v1.Condition{
		acceptedCondition(state),
		inForceCondition(state, lagging),
		degradedCondition(state, degraded),
	} {
		condition.ObservedGeneration = state.Generation
		condition.LastTransition = transitionOf(condition, present, now)
		status.Conditions = append(status.Conditions, condition)
	}
	return status
}

// lastAccepted returns the spec in force of a resource whose newest state is refused, so that it
// survives a restart of all entries.
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

func transitionOf(condition v1.Condition, present v1.Status, now time.Time) time.Time {
	for _, former := range present.Conditions {
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
		condition.Reason = reasonNotTaken
	case len(lagging) > 0:
		condition.Reason = reasonLagging
		condition.Message = laggingMessage(lagging)
	default:
		condition.Status, condition.Reason = true, reasonEverywhere
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

func degradedCondition(state config.ResourceState, degraded degradation) v1.Condition {
	condition := v1.Condition{Type: v1.ConditionDegraded, Reason: reasonHealthy}
	switch {
	case len(state.Unresolved) > 0:
		condition.Status, condition.Reason = true, reasonUnresolved
		condition.Message = state.Unresolved.Error()
	case degraded.ready < degraded.declared:
		condition.Status, condition.Reason = true, reasonTargets
		condition.Message = fmt.Sprintf("%d of %d targets are ready", degraded.ready, degraded.declared)
	}
	return condition
}

// degradation counts the targets of a deployment.
type degradation struct{ ready, declared int }

// readiness tells which engines are observed, staying and hold what they should.
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

// of counts an engine itself, and for a deployment the engines that it names.
func (r readiness) of(state config.ResourceState) degradation {
	if !r.known {
		return degradation{}
	}
	switch resource := state.Accepted.(type) {
	case *v1.Target:
		return r.count([]string{state.Key.Name})
	case *v1.Deployment:
		return r.count(resource.Spec.Targets)
	}
	return degradation{}
}

func (r readiness) count(names []string) degradation {
	var counted degradation
	for _, name := range names {
		state, ok := r.targets[name]
		if !ok {
			continue // a service, or a target that is reported as unresolved
		}
		counted.declared++
		if state.isReady() {
			counted.ready++
		}
	}
	return counted
}

func (s TargetState) isReady() bool {
	if !s.Observed || s.Leaving {
		return false
	}
	_, complete := nextMissing(s, copies{})
	return complete
}
