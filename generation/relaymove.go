package generation

import (
	"context"
	"slices"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/internal/wait"
)

// A stream that stalls moves to another target, which closes it at the former one. That target may have been sound, and silent for a
// second only, so that a moved stream isn't ended because no target has room for it or the retry budget is spent: it waits for
// both until its deadline.

// While the other targets at which this entry has streams are silent as well, a stream isn't better off elsewhere: its prompt would be
// prefilled again at a target that falls behind too.

const (
	// minSilentTargets is the number of other silent targets, with none that sends events, from which the silence counts as general.
	minSilentTargets = 2
	// generalStallTimeout is the silence after which a stream is moved all the same: sound targets are silent for a second or so.
	generalStallTimeout = 1800 * time.Millisecond
	// quickMoveRefusals is the number of refusals after a move from which the stream waits before it tries another target.
	quickMoveRefusals = 3
	// minMoveWait and maxMoveWait limit this wait, which doubles with each refusal.
	minMoveWait = 50 * time.Millisecond
	maxMoveWait = 800 * time.Millisecond
)

// claimMove reports whether a stream that stalls at a target is moved: another attempt is allowed, another target could take it
// up, and the retry budget pays for it. Otherwise it stays, since a slow answer is worth more than none.
func (run *relayRun) claimMove(from *directory.Target) bool {
	input := retryInput{
		ending: endingStalled, resumable: run.resumable(), attemptsRun: run.attemptsRun + len(run.brokenAt) + 1, maxAttempts: run.request.MaxAttempts,
		attempts: run.attempts, remaining: time.Until(run.request.Deadline),
	}
	if nextStep(input) != stepRetry || !run.hasOtherTarget(from) {
		return false
	}
	if !run.relay.options.Budget.Spend(run.request.Service, run.retryUrgency()) {
		return false
	}
	run.moveClaimed = true
	run.moves++
	return true
}

// hasOtherTarget reports whether a target besides one may take the stream up that has not failed it.
func (run *relayRun) hasOtherTarget(from *directory.Target) bool {
	return slices.ContainsFunc(run.targets(), func(target *directory.Target) bool {
		return target.ID != from.ID && !slices.Contains(run.exclude, target.ID)
	})
}

// silenceLimits returns the times for which the attempt may be silent now.
func (a *activeAttempt) silenceLimits(now time.Time) silenceLimits {
	limits := silenceLimitsFor(a.run.request, a.eventCount > 0, &a.gaps, a.run.moves)
	silence := a.silence(now)
	if a.eventCount == 0 || silence < limits.stallTimeout {
		return limits
	}
	if a.run.relay.options.Stopping() {
		// A stream that finds no other target before the entry exits would be cut, although its target may be sound.
		limits.stallTimeout = max(limits.stallTimeout, generalStallTimeout)
		return limits
	}
	// Targets that fall silent together sent their last events at slightly different times.
	if active, silent := a.run.relay.monitors.otherSilence(a.target, now.Add(-silence/2)); active == 0 && silent >= minSilentTargets {
		limits.stallTimeout = max(limits.stallTimeout, generalStallTimeout)
	}
	return limits
}

// hasMoved reports whether the stream left a target that may have been sound.
func (run *relayRun) hasMoved() bool { return run.moves > 0 && run.headSent }

// awaitBudget has a moved stream wait until the retry budget pays for the next attempt. It returns an error if ctx ends first.
func (run *relayRun) awaitBudget(ctx context.Context) error {
	for run.hasMoved() && !run.moveClaimed {
		run.moveClaimed = run.relay.options.Budget.Spend(run.request.Service, run.retryUrgency())
		if run.moveClaimed {
			break
		}
		if err := wait.For(ctx, run.moveWait()); err != nil {
			return err
		}
	}
	return nil
}

// awaitRoom has a moved stream wait before the next attempt after several targets have refused it.
func (run *relayRun) awaitRoom(ctx context.Context, ending relayEnding) {
	if ending != endingRefused || !run.hasMoved() {
		run.moveRefusals = 0
		return
	}
	run.moveRefusals++
	if run.moveRefusals >= quickMoveRefusals {
		_ = wait.For(ctx, run.moveWait())
	}
}

// moveWait returns how long a moved stream waits for room.
func (run *relayRun) moveWait() time.Duration {
	doublings := min(maxStallDoublings, max(0, run.moveRefusals-quickMoveRefusals))
	return min(maxMoveWait, minMoveWait<<doublings)
}
