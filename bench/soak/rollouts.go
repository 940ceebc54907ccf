package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/rollout"
	"github.com/azurebarrow/azurebarrow/settings"
	"github.com/azurebarrow/azurebarrow/standin/fault"
	"github.com/azurebarrow/azurebarrow/standin/target"
)

// A rollout of the records service.
const (
	rolloutKind = "rollouts"
	// oldVersion is the software version that the targets have before, newVersion that of those started beside them.
	oldVersion, newVersion = "r1", "r2"
	// rolloutFor is the duration that the order names, and rolloutCalls the further calls a second meanwhile: together they give about the
	// evidence of a rollout of 60 s at 50 requests a second. At 10 a second, the design page allows 1 in 100 to end in the wrong state.
	rolloutFor   = 30 * time.Second
	rolloutCalls = 80
	// rolloutWorkTime is the time that a call takes at either version. Beside it, a busy machine that delays one response in ten by 10 ms for a
	// second doesn't look like a slow version; beside 15 ms it did.
	rolloutWorkTime = 60 * time.Millisecond
	// rolloutGrace is the time after rolloutFor until the status is read for the last time. Entries count the duration from when they first saw
	// the order.
	rolloutGrace = 5 * time.Second
	// newDrainDelay is the time from a rollback until the new targets drain.
	newDrainDelay = 3 * time.Second
)

// rolloutBounds are those of the users' deployments.
var rolloutBounds = settings.Rollouts{Share: 0.1, Slack: 50, RollbackAfter: 5 * time.Second}

// badVersions are the faults of bad versions: responses that take several times as long, refusals, and connections that break after the call ran.
var badVersions = []fault.Fault{{Kind: fault.Slow, Delay: v1.Duration(slowDelay)}, {Kind: fault.Overload}, {Kind: fault.ResetAfter}}

// minBadResponses is the number of bad responses from which settings.Rollouts.RollbackAfter counts.
const minBadResponses = 50

// RolloutResult is what became of a rollout.
type RolloutResult struct {
	// Bad is the fault of the new version; empty for a good one.
	Bad fault.Kind
	// Ordered is when the store had accepted the order; Status is its last status, which was read at Ended.
	Ordered, Ended time.Time
	Status         rollout.Status
	// New are the programs of the new version's targets.
	New []string
}

// withRollout reports whether the steps hold a rollout. Otherwise the entries carry out none, as in deployments without the bounds.
func (o Options) withRollout() bool {
	return slices.ContainsFunc(o.Steps, func(s Step) bool { return s.Kind == Rollout })
}

// rolloutBounds returns the bounds of the entries' settings.
func (d *deployment) rolloutBounds() settings.Rollouts {
	if !d.options.withRollout() {
		return settings.Rollouts{}
	}
	return rolloutBounds
}

// rollOut moves the records service to targets of another version, good or bad, as an operator does. There is one rollout in a run.
func (d *deployment) rollOut(ctx context.Context, c *callers, step Step) {
	if !d.rolling.TryLock() {
		return
	}
	result := RolloutResult{}
	var faulty *fault.Fault
	if step.Variant%2 == 1 {
		faulty = &badVersions[step.Variant/2%len(badVersions)]
		result.Bad = faulty.Kind
	}
	during, end := context.WithCancel(ctx)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer end()
	calls.Go(func() { c.generate(during, Lookup, rolloutCalls) })
	order := map[string]any{"service": recordService, "to": newVersion, "duration_s": rolloutFor.Seconds()}
	for target.PutObject(ctx, d.options.store, rolloutKind, recordService, order) != nil {
		if wait.For(ctx, pollInterval) != nil {
			return
		}
	}
	result.Ordered = time.Now()
	d.options.Logf("rollout of %s, bad %q", recordService, result.Bad)
	for i := range d.options.Records {
		t, err := d.startNewVersion(ctx, i, faulty)
		if err != nil {
			d.options.Logf("%v", err)
			return
		}
		result.New = append(result.New, t.name)
	}
	result.Status = d.awaitRollout(ctx, result.Ordered.Add(rolloutFor+rolloutGrace))
	result.Ended = time.Now()
	d.options.Logf("rollout of %s after %v: %+v", recordService, result.Ended.Sub(result.Ordered).Round(time.Millisecond), result.Status)
	d.mu.Lock()
	d.rollouts = append(d.rollouts, result)
	d.mu.Unlock()
	d.stopVersion(ctx, result.Status.State)
	if result.Bad != "" {
		_ = wait.For(ctx, time.Until(result.Ordered.Add(rolloutFor))) // the share is one of all requests until the deadline
	}
}

// startNewVersion starts a target of the new version, which has the fault from before it registers unless that is nil.
func (d *deployment) startNewVersion(ctx context.Context, index int, faulty *fault.Fault) (*soakTarget, error) {
	t, err := d.newTarget(recordService, fmt.Sprintf("new-%s-%d", recordService, index), index)
	if err != nil {
		return nil, err
	}
	t.callVersion = newVersion
	d.mu.Lock()
	d.newTargets = append(d.newTargets, t)
	d.mu.Unlock()
	// Nothing reaches the target until it can be made faulty.
	t.link.Cut()
	defer t.link.Heal()
	if err := t.start(); err != nil || faulty == nil {
		return t, err
	}
	for activateFault(ctx, "http://"+t.listen, *faulty) != nil {
		if err := wait.For(ctx, pollInterval); err != nil {
			return t, err
		}
	}
	return t, nil
}

// awaitRollout waits until the rollout has a final status, or for its last status at the given time.
func (d *deployment) awaitRollout(ctx context.Context, until time.Time) (status rollout.Status) {
	for time.Now().Before(until) && !status.Final() && wait.For(ctx, pollInterval) == nil {
		if read, err := d.rolloutStatus(ctx); err == nil {
			status = read
		}
	}
	return status
}

func (d *deployment) rolloutStatus(ctx context.Context) (rollout.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, d.options.store+"/v1/objects/"+rolloutKind+"/"+recordService, nil)
	if err != nil {
		return rollout.Status{}, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return rollout.Status{}, err
	}
	defer response.Body.Close()
	var object struct{ Status rollout.Status }
	return object.Status, json.NewDecoder(response.Body).Decode(&object)
}

// stopVersion ends the targets that are no longer needed: the old ones at once after a success, the new ones, which drain, some time
// after a rollback.
func (d *deployment) stopVersion(ctx context.Context, state rollout.State) {
	switch state {
	case rollout.StateSucceeded:
		for _, t := range d.targets {
			if t.service == recordService {
				t.busy.Lock() // for the rest of the run: it isn't restarted
				d.disturb(t.name, StopVersion, true, t.kill)
			}
		}
	case rollout.StateRolledBack:
		_ = wait.For(ctx, newDrainDelay)
		for _, t := range d.newTargets {
			_ = t.signal(syscall.SIGTERM)
		}
	}
}

// checkRollouts checks that rollouts end in the right state in time, and that a bad version gets no more than its share of the requests and
// nothing some time after its first bad responses.
func (e *Evidence) checkRollouts(map[string][]target.Record) []Violation {
	var found []Violation
	for _, each := range e.Rollouts {
		report := func(format string, args ...any) {
			found = append(found, Violation{"ROLLOUT", recordService, fmt.Sprintf(format, args...)})
		}
		wanted := rollout.StateSucceeded
		if each.Bad != "" {
			wanted = rollout.StateRolledBack
		}
		if each.Status.State != wanted || each.Status.To != newVersion {
			report("%q with fault %q, want %q: %+v", each.Status.State, each.Bad, wanted, each.Status)
		}
		if each.Bad != "" {
			e.checkExposure(each, report)
		}
		if each.Status.State == rollout.StateSucceeded {
			e.checkOldVersionUnused(each, report)
		}
	}
	return found
}

// checkOldVersionUnused checks that no call is in progress at the old version once the rollout has succeeded: its targets stop at once.
func (e *Evidence) checkOldVersionUnused(each RolloutResult, report func(format string, args ...any)) {
	running := map[string]target.Record{}
	for _, record := range e.Records {
		run := record.Request + " at " + record.Target
		switch {
		case record.Service != recordService || slices.Contains(each.New, programOf(record.Target)):
		case record.What == target.Began && record.At.After(each.Ended.Add(-callTimeout)):
			running[run] = record
		case record.What == target.Ended || record.What == target.Abandoned:
			delete(running, run)
		}
	}
	for run, began := range running {
		if e.onlyDisturbedBy(StopVersion, began.At, each.Ended, programOf(began.Target)) {
			report("%s is in progress as the rollout has succeeded", run)
		}
	}
}

// checkExposure checks what a bad version gets: all its responses are bad.
func (e *Evidence) checkExposure(each RolloutResult, report func(format string, args ...any)) {
	all, exposed, late := 0, 0, 0
	var bad []time.Time
	for _, record := range e.Records {
		if record.Service != recordService || record.At.Before(each.Ordered) || record.At.After(each.Ordered.Add(rolloutFor)) {
			continue
		}
		isNew := slices.Contains(each.New, programOf(record.Target))
		if isNew && (record.What == target.Ended || record.What == target.Refused) {
			bad = append(bad, record.At)
		}
		if record.What != target.Began && record.What != target.Refused {
			continue
		}
		all++
		if !isNew {
			continue
		}
		exposed++
		if len(bad) >= minBadResponses && record.At.After(bad[minBadResponses-1].Add(rolloutBounds.RollbackAfter+answerSlack)) {
			late++
		}
	}
	if allowed := rolloutBounds.Share*float64(all) + rolloutBounds.Slack; float64(exposed) > allowed {
		report("a bad version got %d of %d requests, want at most %.0f", exposed, all, allowed)
	}
	if late > 0 {
		report("a bad version got %d requests later than %v after its bad response %d", late, rolloutBounds.RollbackAfter, minBadResponses)
	}
}
