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
	// retryAfterRun is when to ask again for a call that still runs.
	retryAfterRun = time.Second
	// retryAfterOutage is when to ask again for a call that can't be recorded.
	retryAfterOutage = 2 * time.Second
	// notRunTimeout bounds the wait until it is recorded that a call did not run.
	notRunTimeout = 2 * time.Second
	// deduplicatedPause is the time between sends of a call to a target that deduplicates.
	deduplicatedPause = 50 * time.Millisecond
	// maxClaims bounds the attempts of one request to get a claim.
	maxClaims = 4
)

// atMostOnce runs a call that may not be repeated: its claim is durable before it leaves.
func (e *Executor) atMostOnce(ctx context.Context, call Call) Result {
	key := idempotency.NewKey(call.Customer, call.Key)
	fingerprint := idempotency.NewFingerprint(call.Deployment, call.Method, call.Path, call.Body)
	var supersedes idempotency.AttemptID
	for range maxClaims {
		attempt, mine := e.options.Ledger.Begin(key, fingerprint)
		if !mine {
			result, settled := e.follow(ctx, call, attempt, fingerprint)
			if settled {
				return result
			}
			continue
		}
		result, denied := e.claimAndRun(ctx, call, attempt, supersedes)
		if denied == "" {
			return result
		}
		supersedes = denied
	}
	return e.refuse(call, CodeRecordUnavailable)
}

// follow waits for an attempt that this process already makes for the same key.
func (e *Executor) follow(ctx context.Context, call Call, attempt *idempotency.Attempt, fingerprint idempotency.Fingerprint) (Result, bool) {
	if attempt.Fingerprint != fingerprint {
		return keyReused(), true
	}
	select {
	case <-attempt.Finished():
	case <-ctx.Done():
		return stillRunning(), true
	}
	outcome := attempt.Outcome()
	if outcome.Verdict != idempotency.AwaitFinished {
		return e.refuse(call, CodeRecordUnavailable), e.options.Ledger.Down()
	}
	return resultOf(outcome.Record), true
}

// claimAndRun claims the call and runs it, or returns the outcome of the attempt that has the
// claim. It returns that attempt's ID if its holder says that it never sent the call.
func (e *Executor) claimAndRun(ctx context.Context, call Call, attempt *idempotency.Attempt, supersedes idempotency.AttemptID) (Result, idempotency.AttemptID) {
	if defect.Enabled(defect.ClaimAfterDispatch) {
		return e.runUnclaimed(ctx, call, attempt), ""
	}
	reply, lapsed := e.claim(ctx, attempt, supersedes)
	if reply.Verdict == idempotency.VerdictGranted && !lapsed {
		go e.run(call, attempt, true)
		return waitFor(ctx, attempt), ""
	}
	e.options.Ledger.Abandon(attempt)
	switch reply.Verdict {
	case idempotency.VerdictFinished:
		return resultOf(reply.Record), ""
	case idempotency.VerdictMismatch:
		return keyReused(), ""
	case idempotency.VerdictHeld:
		return e.await(ctx, reply.Record)
	case idempotency.VerdictCorrupt:
		return e.refuse(call, CodeRecordRefused), ""
	default:
		return e.refuse(call, CodeRecordUnavailable), ""
	}
}

// claim asks for the claim. It tells that the claim has lapsed if that took too long by the clock:
// this process may have been paused meanwhile, and others may have given it up.
func (e *Executor) claim(ctx context.Context, attempt *idempotency.Attempt, supersedes idempotency.AttemptID) (idempotency.Reply, bool) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, e.options.ClaimTimeout)
	defer cancel()
	reply := e.options.Ledger.Claim(ctx, attempt, supersedes)
	lapsed := ctx.Err() != nil || time.Since(start) > e.options.ClaimTimeout
	return reply, lapsed
}

// await asks the holder of the claim for the outcome. A holder that is gone may have sent the call.
func (e *Executor) await(ctx context.Context, claim idempotency.Record) (Result, idempotency.AttemptID) {
	outcome, err := e.options.Ledger.Await(ctx, claim)
	if err != nil && ctx.Err() != nil {
		return stillRunning(), ""
	}
	switch {
	case err == nil && outcome.Verdict == idempotency.AwaitFinished:
		return resultOf(outcome.Record), ""
	case err == nil && outcome.Verdict == idempotency.AwaitAbsent:
		return Result{}, claim.Attempt
	default:
		return Result{Outcome: OutcomeUnknown, Code: CodeOutcomeUnknown, RetryAfter: retryAfterRun}, ""
	}
}

// run sends the call. It does not end with the caller's request: the outcome is recorded and a
// retry gets it.
func (e *Executor) run(call Call, attempt *idempotency.Attempt, claimed bool) {
	ctx, cancel := context.WithTimeout(context.Background(), e.options.RunTimeout)
	defer cancel()
	pool := e.pool(call.Deployment)
	var tried []string
	for {
		lease, ok := pool.chooseOrdinary(ctx, tried)
		if !ok {
			e.finishNotRun(ctx, attempt)
			return
		}
		tried = append(tried, lease.target.Name)
		violation := invariant.Check(claimed, invariant.ClaimBeforeDispatch, "key %s has no durable claim", attempt.Key)
		if violation != nil && !defect.Enabled(defect.ClaimAfterDispatch) {
			lease.done(resultNone)
			e.options.Ledger.Abandon(attempt)
			return
		}
		if e.send(ctx, call, attempt, lease) {
			return
		}
	}
}

// send sends the call to one target. It returns false if no byte of it left.
func (e *Executor) send(ctx context.Context, call Call, attempt *idempotency.Attempt, lease *lease) bool {
	request := call.request()
	request.Once = true
	sent := false
	for {
		answer, err := e.options.Transport.Do(ctx, lease.target, request)
		if err == nil {
			lease.done(resultGood)
			e.options.Ledger.Finish(attempt, idempotency.StateAnswered, &answer)
			return true
		}
		var notSent *NotSentError
		sent = sent || !errors.As(err, &notSent)
		if sent && lease.target.Deduplicates && wait.For(ctx, deduplicatedPause) == nil {
			continue
		}
		lease.done(resultBad)
		if sent {
			e.options.Ledger.Finish(attempt, idempotency.StateUnknown, nil)
		}
		return sent
	}
}

// finishNotRun records that no target got the call, within a bound of its own: the call's may be
// spent.
func (e *Executor) finishNotRun(ctx context.Context, attempt *idempotency.Attempt) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), notRunTimeout)
	defer cancel()
	e.options.Ledger.FinishNotRun(ctx, attempt)
}

// runUnclaimed is the deliberate defect ClaimAfterDispatch.
func (e *Executor) runUnclaimed(ctx context.Context, call Call, attempt *idempotency.Attempt) Result {
	go func() {
		e.run(call, attempt, false)
		e.claim(context.Background(), attempt, "")
	}()
	return waitFor(ctx, attempt)
}

func waitFor(ctx context.Context, attempt *idempotency.Attempt) Result {
	select {
	case <-attempt.Finished():
		return resultOf(attempt.Outcome().Record)
	case <-ctx.Done():
		return stillRunning()
	}
}

// refuse returns the answer to a call that this request has not sent. Not-run is about the key, not
// about this request: another entry may run the same key. Only a key that this entry minted for
// this very request, and tells nobody, is known to run nowhere.
func (e *Executor) refuse(call Call, code Code) Result {
	result := Result{Outcome: OutcomeUnknown, Code: code, RetryAfter: retryAfterOutage}
	if call.KeyMinted || defect.Enabled(defect.NotRunPerAttempt) {
		result.Outcome = OutcomeNotRun
		result.WithholdKey = call.KeyMinted
	}
	return result
}

func resultOf(record idempotency.Record) Result {
	switch record.State {
	case idempotency.StateAnswered:
		if record.Answer.Omitted {
			return Result{Outcome: OutcomeAnswered, Code: CodeAnswerOmitted}
		}
		return Result{Outcome: OutcomeAnswered, Answer: record.Answer}
	case idempotency.StateNotRun:
		return Result{Outcome: OutcomeNotRun, Code: CodeNoTarget, RetryAfter: retryAfterRun}
	default:
		return Result{Outcome: OutcomeUnknown, Code: CodeOutcomeUnknown}
	}
}

func stillRunning() Result {
	return Result{Outcome: OutcomeUnknown, Code: CodeDeadline, RetryAfter: retryAfterRun}
}

func keyReused() Result { return Result{Outcome: OutcomeUnknown, Code: CodeKeyReused} }
