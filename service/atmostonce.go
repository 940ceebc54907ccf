package service

import (
	"context"
	"errors"
	"time"

	"github.com/azurebarrow/azurebarrow/idempotency"
	"github.com/azurebarrow/azurebarrow/internal/defect"
	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/invariant"
)

const (
	// defaultRetryAfter is the Retry-After of a call that is still running or that no target received.
	defaultRetryAfter = time.Second
	// retryAfterOutage is the Retry-After of a call that can't be recorded.
	retryAfterOutage = 2 * time.Second
	// notRunTimeout limits the wait until it is recorded that a call did not run.
	notRunTimeout = 2 * time.Second
	// deduplicatedRetryInterval is the time between attempts at a target that deduplicates.
	deduplicatedRetryInterval = 50 * time.Millisecond
	// maxClaimAttempts limits how often one request tries to obtain the claim.
	maxClaimAttempts = 4
)

// runAtMostOnce runs a call that must not be repeated: its claim is stored durably before the call is
// dispatched.
func (e *Executor) runAtMostOnce(ctx context.Context, call Call) Result {
	key := idempotency.NewKey(call.Customer, call.Key)
	fingerprint := idempotency.NewFingerprint(call.Deployment, call.Method, call.Path, call.Body)
	var supersedes idempotency.AttemptID
	for range maxClaimAttempts {
		attempt, started := e.options.Ledger.Begin(key, fingerprint)
		if !started {
			result, final := e.awaitLocalAttempt(ctx, call, attempt, fingerprint)
			if final {
				return result
			}
			continue
		}
		result, again := e.claimAndRun(ctx, call, attempt, supersedes)
		if again == nil {
			return result
		}
		supersedes = again.supersedes
	}
	return e.notSentResult(call, CodeRecordUnavailable)
}

// awaitLocalAttempt waits for an attempt that this process already makes for the same key. It returns
// false if that attempt ended without an outcome while the platform is available, so that the key can
// be claimed again.
func (e *Executor) awaitLocalAttempt(ctx context.Context, call Call, attempt *idempotency.Attempt, fingerprint idempotency.Fingerprint) (Result, bool) {
	if attempt.Fingerprint != fingerprint {
		return keyReusedResult(), true
	}
	select {
	case <-attempt.Finished():
	case <-ctx.Done():
		return stillRunningResult(), true
	}
	outcome := attempt.Outcome()
	if outcome.Verdict != idempotency.AwaitFinished {
		return e.notSentResult(call, CodeRecordUnavailable), e.options.Ledger.PlatformDown()
	}
	return resultFromRecord(outcome.Record), true
}

// nextClaim is a claim that is to be made after one that another attempt holds.
type nextClaim struct {
	// supersedes is the other attempt if its holder never sent the call; empty if the ledger has its outcome by now.
	supersedes idempotency.AttemptID
}

// claimAndRun claims the key and runs the call, or returns the outcome of the attempt that holds the
// claim. If the holder has none, claimAndRun returns how the key is claimed again.
func (e *Executor) claimAndRun(ctx context.Context, call Call, attempt *idempotency.Attempt, supersedes idempotency.AttemptID) (Result, *nextClaim) {
	if defect.Enabled(defect.ClaimAfterDispatch) {
		return e.runUnclaimed(ctx, call, attempt), nil
	}
	reply, expired := e.claim(ctx, attempt, supersedes)
	if reply.Verdict == idempotency.VerdictGranted && !expired {
		go e.dispatch(call, attempt, true)
		return waitForOutcome(ctx, attempt), nil
	}
	e.options.Ledger.Abandon(attempt)
	switch reply.Verdict {
	case idempotency.VerdictFinished:
		return resultFromRecord(reply.Record), nil
	case idempotency.VerdictMismatch:
		return keyReusedResult(), nil
	case idempotency.VerdictHeld:
		return e.awaitClaimHolder(ctx, reply.Record)
	case idempotency.VerdictCorrupt:
		return e.notSentResult(call, CodeRecordCorrupt), nil
	default:
		return e.notSentResult(call, CodeRecordUnavailable), nil
	}
}

// claim requests the claim. It reports the claim as expired if the request took longer than
// ClaimTimeout by the clock: this process may have been paused, and other entries may have given the
// claim up.
func (e *Executor) claim(ctx context.Context, attempt *idempotency.Attempt, supersedes idempotency.AttemptID) (idempotency.Reply, bool) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, e.options.ClaimTimeout)
	defer cancel()
	reply := e.options.Ledger.Claim(ctx, attempt, supersedes)
	expired := ctx.Err() != nil || time.Since(start) > e.options.ClaimTimeout
	return reply, expired
}

// awaitClaimHolder asks the entry that holds the claim for the outcome. If that entry is unavailable,
// it may have sent the call. If it never sent the call, or has recorded its outcome meanwhile,
// awaitClaimHolder returns how the key is claimed again.
func (e *Executor) awaitClaimHolder(ctx context.Context, claim idempotency.Record) (Result, *nextClaim) {
	outcome, err := e.options.Ledger.Await(ctx, claim)
	if err != nil && ctx.Err() != nil {
		return stillRunningResult(), nil
	}
	switch {
	case err == nil && outcome.Verdict == idempotency.AwaitFinished:
		return resultFromRecord(outcome.Record), nil
	case err == nil && outcome.Verdict == idempotency.AwaitAbsent:
		return Result{}, &nextClaim{supersedes: claim.Attempt}
	case err == nil && outcome.Verdict == idempotency.AwaitRecorded:
		return Result{}, &nextClaim{}
	default:
		return Result{Outcome: OutcomeUnknown, Code: CodeOutcomeUnknown, RetryAfter: defaultRetryAfter}, nil
	}
}

// dispatch sends the call to targets until one has received it. It does not end with the caller's
// request: the outcome is recorded, and a retry by the caller gets it.
func (e *Executor) dispatch(call Call, attempt *idempotency.Attempt, claimed bool) {
	ctx, cancel := context.WithTimeout(context.Background(), e.options.RunTimeout)
	defer cancel()
	pool := e.pool(call.Deployment)
	var tried []string
	for {
		lease, ok := pool.chooseNonInteractive(ctx, tried)
		if !ok {
			e.finishNotRun(ctx, attempt)
			return
		}
		tried = append(tried, lease.target.Name)
		violation := invariant.Check(claimed, invariant.ClaimBeforeDispatch, "key %s has no durable claim", attempt.Key)
		if violation != nil && !defect.Enabled(defect.ClaimAfterDispatch) {
			lease.release(noTargetResult)
			e.options.Ledger.Abandon(attempt)
			return
		}
		if e.sendToTarget(ctx, call, attempt, lease) {
			return
		}
	}
}

// sendToTarget sends the call to one target. It returns false if no byte of the call was sent.
func (e *Executor) sendToTarget(ctx context.Context, call Call, attempt *idempotency.Attempt, lease *lease) bool {
	request := call.request()
	request.Once = true
	sent := false
	for {
		answer, err := e.send(ctx, lease.target, call, request)
		if err == nil {
			lease.release(targetSucceeded)
			e.options.Ledger.Finish(attempt, idempotency.StateAnswered, &answer)
			return true
		}
		var notSent *NotSentError
		sent = sent || !errors.As(err, &notSent)
		if sent && lease.target.Deduplicates && wait.For(ctx, deduplicatedRetryInterval) == nil {
			continue
		}
		lease.release(targetFailed)
		if sent {
			e.options.Ledger.Finish(attempt, idempotency.StateUnknown, nil)
		}
		return sent
	}
}

// finishNotRun records that no target received the call. It has a timeout of its own, since the
// call's may have expired.
func (e *Executor) finishNotRun(ctx context.Context, attempt *idempotency.Attempt) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), notRunTimeout)
	defer cancel()
	e.options.Ledger.FinishNotRun(ctx, attempt)
}

// runUnclaimed implements the deliberate defect ClaimAfterDispatch: it dispatches the call first and
// claims it afterwards.
func (e *Executor) runUnclaimed(ctx context.Context, call Call, attempt *idempotency.Attempt) Result {
	go func() {
		e.dispatch(call, attempt, false)
		e.claim(context.Background(), attempt, "")
	}()
	return waitForOutcome(ctx, attempt)
}

func waitForOutcome(ctx context.Context, attempt *idempotency.Attempt) Result {
	select {
	case <-attempt.Finished():
		return resultFromRecord(attempt.Outcome().Record)
	case <-ctx.Done():
		return stillRunningResult()
	}
}

// notSentResult returns the result of a call that this request has not sent. OutcomeNotRun is a
// statement about the key, not about this request: another entry may run a call with the same key.
// Only a key that this entry generated for this request, and returned to nobody, is known to run
// nowhere.
func (e *Executor) notSentResult(call Call, code Code) Result {
	result := Result{Outcome: OutcomeUnknown, Code: code, RetryAfter: retryAfterOutage}
	if call.KeyMinted || defect.Enabled(defect.NotRunPerAttempt) {
		result.Outcome = OutcomeNotRun
		result.WithholdKey = call.KeyMinted
	}
	return result
}

func resultFromRecord(record idempotency.Record) Result {
	switch record.State {
	case idempotency.StateAnswered:
		if record.Answer.Omitted {
			return Result{Outcome: OutcomeAnswered, Code: CodeAnswerOmitted}
		}
		return Result{Outcome: OutcomeAnswered, Answer: record.Answer}
	case idempotency.StateNotRun:
		return Result{Outcome: OutcomeNotRun, Code: CodeNoTarget, RetryAfter: defaultRetryAfter}
	default:
		return Result{Outcome: OutcomeUnknown, Code: CodeOutcomeUnknown}
	}
}

func stillRunningResult() Result {
	return Result{Outcome: OutcomeUnknown, Code: CodeDeadline, RetryAfter: defaultRetryAfter}
}

func keyReusedResult() Result { return Result{Outcome: OutcomeUnknown, Code: CodeKeyReused} }
