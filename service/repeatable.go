package service

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/azurebarrow/azurebarrow/idempotency"
	"github.com/azurebarrow/azurebarrow/internal/wait"
)

// try is the end of one send of a call that may be repeated.
type try struct {
	lease  *lease
	answer idempotency.Answer
	err    error
	took   time.Duration
}

const (
	// firstServerError is the lowest status by which a target says that it failed.
	firstServerError = 500
	// firstBackoff and maxBackoff bound the pauses between retries of idempotent calls.
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
)

func (t try) good() bool { return t.err == nil && t.answer.Status < firstServerError }

// interactiveCall asks one target and, if that takes longer than most calls do, a second one.
func (e *Executor) interactiveCall(ctx context.Context, call Call) Result {
	e.interactive.Add(1)
	pool := e.pool(call.Deployment)
	pool.earn(&pool.hedges)
	if !e.options.Unhedged {
		e.probe(pool, call)
	}
	hedge := &hedge{executor: e, pool: pool, call: call, tries: make(chan try, maxTries)}
	return hedge.run(ctx)
}

// probe sends a copy of the call to a target whose breaker is half-open. No caller waits for it.
func (e *Executor) probe(pool *pool, call Call) {
	lease, due := pool.probeDue(time.Now())
	if !due {
		return
	}
	e.extra.Add(1)
	limit := pool.slowAfter()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		answer, err := e.options.Transport.Do(ctx, lease.target, call.request())
		if (try{answer: answer, err: err}).good() {
			lease.done(resultGood)
			return
		}
		lease.done(resultBad)
	}()
}

// idempotentCall tries targets in turn with jittered pauses, within the retry budget.
func (e *Executor) idempotentCall(ctx context.Context, call Call) Result {
	pool := e.pool(call.Deployment)
	pool.earn(&pool.retries)
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstBackoff
	pauses.MaxInterval = maxBackoff
	var tried []string
	sent := false
	for {
		last, ok := e.tryOrdinary(ctx, pool, call, tried)
		if ok && last.good() {
			return Result{Outcome: OutcomeAnswered, Answer: &last.answer}
		}
		if ok {
			tried = append(tried, last.lease.target.Name)
			sent = sent || mayHaveRun(last.err)
		}
		if !ok && len(tried) > 0 {
			tried = nil // every target was tried: begin again
		}
		if !pool.spend(&pool.retries) || wait.For(ctx, pauses.NextBackOff()) != nil {
			return failure(call, last, ok, sent)
		}
	}
}

func (e *Executor) tryOrdinary(ctx context.Context, pool *pool, call Call, tried []string) (try, bool) {
	lease, ok := pool.chooseOrdinary(ctx, tried)
	if !ok {
		return try{}, false
	}
	answer, err := e.options.Transport.Do(ctx, lease.target, call.request())
	end := try{lease: lease, answer: answer, err: err}
	if end.good() {
		lease.done(resultGood)
	} else {
		lease.done(resultBad)
	}
	return end, true
}

// failure returns the result of a call that no target has answered well: the answer of the last
// one if there is one.
func failure(call Call, last try, tried, sent bool) Result {
	if tried && last.err == nil {
		return Result{Outcome: OutcomeAnswered, Answer: &last.answer}
	}
	if !sent && call.KeyMinted {
		return Result{Outcome: OutcomeNotRun, Code: CodeNoTarget, RetryAfter: retryAfterRun, WithholdKey: true}
	}
	return Result{Outcome: OutcomeUnknown, Code: CodeNoTarget, RetryAfter: retryAfterRun}
}

func mayHaveRun(err error) bool {
	var notSent *NotSentError
	return !errors.As(err, &notSent)
}

func (p *pool) earn(allowance *allowance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	allowance.Earn()
}

func (p *pool) spend(allowance *allowance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return allowance.Spend()
}
