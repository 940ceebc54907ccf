package service

import (
	"context"
	"time"
)

const (
	// maxInteractiveAttempts limits the number of targets that one interactive call is sent to.
	maxInteractiveAttempts = 4
	// slowFactor is the number of hedge delays that a call which was not hedged may take before it
	// counts as a failure of its target.
	slowFactor = 4
	// hedgeRetryDelay is the time after which a hedge that was not sent is tried again: by then the
	// budget or the targets may have changed, and little of a caller's patience is used up.
	hedgeRetryDelay = 20 * time.Millisecond
)

// hedgedCall is one interactive call with its attempts at one or more targets.
type hedgedCall struct {
	executor    *Executor
	pool        *pool
	call        Call
	ended       chan attemptResult
	running     []*runningAttempt
	tried       []string
	possiblyRan bool
	// hedged reports that an attempt was added because an answer was late.
	hedged bool
}

// runningAttempt is an attempt that has not ended.
type runningAttempt struct {
	lease  *lease
	start  time.Time
	cancel context.CancelFunc
}

func (h *hedgedCall) run(ctx context.Context) Result {
	start := time.Now()
	if !h.startAttempt(ctx) {
		return failedCallResult(h.call, attemptResult{}, false, false)
	}
	timer := time.NewTimer(h.hedgeDelay())
	defer timer.Stop()
	for {
		select {
		case end := <-h.ended:
			h.recordEnd(end)
			if end.succeeded() {
				h.cancelRunning()
				h.pool.addLatency(time.Since(start))
				return Result{Outcome: OutcomeAnswered, Answer: &end.answer}
			}
			if !h.replaceFailedAttempt(ctx) && len(h.running) == 0 {
				return failedCallResult(h.call, end, true, h.possiblyRan)
			}
		case <-timer.C:
			h.sendHedge(ctx)
			if h.mayHedge() {
				timer.Reset(hedgeRetryDelay)
			}
		case <-ctx.Done():
			h.cancelRunning()
			return failedCallResult(h.call, attemptResult{err: ctx.Err()}, true, true)
		}
	}
}

func (h *hedgedCall) hedgeDelay() time.Duration {
	const never = time.Hour
	if h.executor.options.DisableHedging {
		return never
	}
	return h.pool.hedgeDelay()
}

// startAttempt sends the call to a target that has not received it yet. It returns false if there is
// none or if the limit of attempts is reached.
func (h *hedgedCall) startAttempt(ctx context.Context) bool {
	lease, ok := h.pool.chooseTarget(h.tried, false)
	if !ok || len(h.tried) >= maxInteractiveAttempts {
		if ok {
			lease.release(noTargetResult)
		}
		return false
	}
	h.tried = append(h.tried, lease.target.Name)
	ctx, cancel := context.WithCancel(ctx)
	start := time.Now()
	h.running = append(h.running, &runningAttempt{lease: lease, start: start, cancel: cancel})
	go func() {
		answer, err := h.executor.send(ctx, lease.target, h.call, h.call.request())
		h.ended <- attemptResult{lease: lease, answer: answer, err: err, took: time.Since(start)}
	}()
	return true
}

// mayHedge reports whether a hedge may still be sent.
func (h *hedgedCall) mayHedge() bool {
	return !h.hedged && len(h.tried) < maxInteractiveAttempts
}

// sendHedge sends the call to another target if the hedge budget allows it. An attempt must be running.
func (h *hedgedCall) sendHedge(ctx context.Context) {
	waited := time.Since(h.running[0].start)
	if !h.pool.spendBudget(&h.pool.hedges, hedgesToLeave(waited, h.pool.slowAfter())) {
		return
	}
	if !h.startAttempt(ctx) {
		h.pool.refundBudget(&h.pool.hedges)
		return
	}
	h.executor.extra.Add(1)
	h.hedged = true
}

// hedgesToLeave returns how many hedges a call leaves in the budget when its target has not answered
// for the time waited.
func hedgesToLeave(waited, slowAfter time.Duration) float64 {
	if waited < slowAfter {
		return silentTargetHedges
	}
	return 0
}

// replaceFailedAttempt starts another attempt after one that failed. Failures open the target's
// breaker, so that few replacements are needed. A call that was not hedged waits for its other
// attempts; a hedged one has already waited.
func (h *hedgedCall) replaceFailedAttempt(ctx context.Context) bool {
	if len(h.running) > 0 && !h.hedged || !h.startAttempt(ctx) {
		return false
	}
	h.executor.extra.Add(1)
	return true
}

// recordEnd removes an ended attempt from the running ones and records its result for the target.
func (h *hedgedCall) recordEnd(end attemptResult) {
	for i, running := range h.running {
		if running.lease == end.lease {
			h.running = append(h.running[:i], h.running[i+1:]...)
			running.cancel()
			break
		}
	}
	if end.succeeded() && end.took < h.pool.slowAfter() {
		end.lease.release(targetSucceeded)
		return
	}
	h.possiblyRan = h.possiblyRan || mayHaveRun(end.err)
	end.lease.release(targetFailed)
}

// cancelRunning cancels the remaining attempts. One that was overtaken by its hedge, that is, ran for
// at least the hedge delay, counts as a failure of its target.
func (h *hedgedCall) cancelRunning() {
	limit := h.pool.hedgeDelay()
	for _, running := range h.running {
		running.cancel()
		result := noTargetResult
		if time.Since(running.start) >= limit {
			result = targetFailed
		}
		running.lease.release(result)
	}
	h.running = nil
}

func (p *pool) hedgeDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latency.HedgeDelay()
}

// slowAfter returns how long a call that was not hedged may take before it counts as a failure of its
// target.
func (p *pool) slowAfter() time.Duration { return slowFactor * p.hedgeDelay() }

func (p *pool) addLatency(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latency.Add(took)
}
