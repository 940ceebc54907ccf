package service

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/azurebarrow/azurebarrow/idempotency"
	"github.com/azurebarrow/azurebarrow/internal/wait"
)

// attemptResult is the end of one attempt at a call that may be repeated.
type attemptResult struct {
	lease  *lease
	answer idempotency.Answer
	err    error
	took   time.Duration
}

const (
	// firstServerError is the lowest status code with which a target reports a failure of its own.
	firstServerError = 500
	// firstBackoff and maxBackoff limit the delays between retries of idempotent calls.
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
)

func (t attemptResult) succeeded() bool { return t.err == nil && t.answer.Status < firstServerError }

// interactiveCall sends the call to one target and, if the answer takes longer than most do, hedges
// it at a second one.
func (e *Executor) interactiveCall(ctx context.Context, call Call) Result {
	e.interactive.Add(1)
	pool := e.pool(call.Deployment)
	pool.earnBudget(&pool.hedges)
	if !e.options.DisableHedging {
		e.probe(pool, call)
	}
	hedge := &hedgedCall{executor: e, pool: pool, call: call, ended: make(chan attemptResult, maxInteractiveAttempts)}
	return hedge.run(ctx)
}

// probe sends a copy of the call to a target whose breaker is half-open. No caller waits for the
// answer.
func (e *Executor) probe(pool *pool, call Call) {
	lease, due := pool.leaseProbe(time.Now())
	if !due {
		return
	}
	e.extra.Add(1)
	limit := pool.slowAfter()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		answer, err := e.send(ctx, lease.target, call, call.request())
		if (attemptResult{answer: answer, err: err}).succeeded() {
			lease.release(targetSucceeded)
			return
		}
		lease.release(targetFailed)
	}()
}

// idempotentCall sends the call to one target after another with jittered delays, within the retry
// budget.
func (e *Executor) idempotentCall(ctx context.Context, call Call) Result {
	pool := e.pool(call.Deployment)
	pool.earnBudget(&pool.retries)
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstBackoff
	pauses.MaxInterval = maxBackoff
	var tried []string
	possiblyRan := false
	for {
		last, ok := e.attemptNonInteractive(ctx, pool, call, tried)
		if ok && last.succeeded() {
			return Result{Outcome: OutcomeAnswered, Answer: &last.answer}
		}
		if errors.Is(last.err, errCrashesTargets) {
			return failedCallResult(call, last, ok, possiblyRan)
		}
		if ok {
			tried = append(tried, last.lease.target.Name)
			possiblyRan = possiblyRan || mayHaveRun(last.err)
		}
		if !ok && len(tried) > 0 {
			tried = nil // every target was tried: start over, with the retry already charged
			continue
		}
		if !pool.spendBudget(&pool.retries, 0) || wait.For(ctx, pauses.NextBackOff()) != nil {
			return failedCallResult(call, last, ok, possiblyRan)
		}
	}
}

func (e *Executor) attemptNonInteractive(ctx context.Context, pool *pool, call Call, tried []string) (attemptResult, bool) {
	lease, ok := pool.chooseNonInteractive(ctx, tried)
	if !ok {
		return attemptResult{}, false
	}
	answer, err := e.send(ctx, lease.target, call, call.request())
	end := attemptResult{lease: lease, answer: answer, err: err}
	if end.succeeded() {
		lease.release(targetSucceeded)
	} else {
		lease.release(targetFailed)
	}
	return end, true
}

// failedCallResult returns the result of a call that no target answered successfully: the answer of
// the last target if there is one, otherwise a code.
func failedCallResult(call Call, last attemptResult, tried, possiblyRan bool) Result {
	if tried && last.err == nil {
		return Result{Outcome: OutcomeAnswered, Answer: &last.answer}
	}
	if errors.Is(last.err, errCrashesTargets) {
		return Result{Outcome: OutcomeUnknown, Code: CodeCrashesTargets}
	}
	if !possiblyRan && call.KeyMinted {
		return Result{Outcome: OutcomeNotRun, Code: CodeNoTarget, RetryAfter: defaultRetryAfter, WithholdKey: true}
	}
	return Result{Outcome: OutcomeUnknown, Code: CodeNoTarget, RetryAfter: defaultRetryAfter}
}

func mayHaveRun(err error) bool {
	var notSent *NotSentError
	return !errors.As(err, &notSent)
}

func (p *pool) earnBudget(budget *retryBudget) {
	p.mu.Lock()
	defer p.mu.Unlock()
	budget.Earn()
}

func (p *pool) spendBudget(budget *retryBudget, rest float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return budget.Spend(rest)
}

func (p *pool) refundBudget(budget *retryBudget) {
	p.mu.Lock()
	defer p.mu.Unlock()
	budget.Refund()
}
