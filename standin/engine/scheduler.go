package engine

import (
	"context"
	"slices"
	"time"

	"github.com/azurebarrow/azurebarrow/standin/fault"
)

// runSteps runs decoding steps until no stream runs or waits.
func (e *Engine) runSteps() {
	deadline := time.Now()
	for {
		duration, stop := e.planStep()
		if duration < 0 {
			return
		}
		if now := time.Now(); deadline.Before(now.Add(-duration)) {
			deadline = now
		}
		deadline = deadline.Add(duration)
		if !waitUntil(deadline, stop) {
			continue
		}
		if _, paused := e.faults.Active(fault.Pause, ""); paused {
			e.waitWhilePaused(stop)
			deadline = time.Now()
		}
		if e.reachedHold() && !waitUntilReleased(e.released, stop) {
			continue
		}
		e.decodeStep()
	}
}

// reachedHold reports whether a running stream has as many tokens as Options.HoldAt allows.
func (e *Engine) reachedHold() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	holdAt := e.options.HoldAt
	return holdAt > 0 && slices.ContainsFunc(e.running, func(s *stream) bool { return len(s.tokens) >= holdAt })
}

// waitUntilReleased waits for released and reports whether it was closed before stop.
func waitUntilReleased(released, stop <-chan struct{}) bool {
	select {
	case <-released:
		return true
	case <-stop:
		return false
	}
}

// waitUntil waits for the deadline and reports whether it was reached before stop was closed.
func waitUntil(deadline time.Time, stop <-chan struct{}) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	}
}

// waitWhilePaused blocks while a Pause fault is active, or until stop is closed.
func (e *Engine) waitWhilePaused(stop <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	_ = e.faults.WaitWhile(ctx, fault.Pause)
}

// planStep admits queued streams and returns the duration of the next step and the channel that interrupts
// it. The duration is negative if no stream runs or the engine is closed.
func (e *Engine) planStep() (time.Duration, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.queue) > 0 && len(e.running) < e.options.Concurrency {
		admitted := e.queue[0]
		e.queue = e.queue[1:]
		admitted.state = streamRunning
		e.running = append(e.running, admitted)
	}
	if len(e.running) == 0 || e.closed {
		e.stepLoopRunning = false
		return -1, nil
	}
	duration := e.stepTime(len(e.running)) + e.prefillChunk()
	if slow, on := e.faults.Active(fault.Slow, ""); on && slow.Factor > 0 {
		duration = time.Duration(float64(duration) * slow.Factor)
	}
	e.stats.BusyMs += toMilliseconds(duration)
	return duration, e.stop
}

func (e *Engine) stepTime(batch int) time.Duration {
	return stepTime(e.options, batch)
}

// stepTime returns the duration of a decoding step with batch running streams.
func stepTime(o Options, batch int) time.Duration {
	factor := 1 + o.BatchGrowth*float64(batch-1)
	return time.Duration(float64(o.TokenInterval) * factor)
}

// prefillChunk assigns one chunk of uncached tokens to the running streams, in order of admission, and
// returns the time of prefilling them.
func (e *Engine) prefillChunk() time.Duration {
	budget := e.options.PrefillChunk
	for _, s := range e.running {
		part := min(budget, s.prefillLeft)
		s.prefillLeft -= part
		budget -= part
	}
	return time.Duration(e.options.PrefillChunk-budget) * e.options.PrefillPerToken
}

// decodeStep generates the next token of each prefilled stream, or dies if a Crash fault applies to one.
func (e *Engine) decodeStep() {
	crash, crashed := e.decodeAll()
	if crashed {
		e.Die(time.Duration(crash.Duration))
	}
}

// reportToken calls OnToken if the stream has a token beyond the given count.
func (e *Engine) reportToken(s *stream, before int) {
	if e.options.OnToken == nil || len(s.tokens) == before {
		return
	}
	e.options.OnToken(Emission{
		Engine:    e.options.Name,
		RequestID: s.key.requestID,
		Attempt:   s.key.attempt,
		From:      len(s.request.Output),
		Index:     before,
		Accepted:  s.acceptedAt,
		At:        time.Now(),
	})
}

// decodeAll generates the next token of each prefilled stream and removes ended streams from running.
// It returns a Crash fault that applies to a stream, and stops there.
func (e *Engine) decodeAll() (fault.Fault, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	noFaults := e.faults.Empty()
	unfinished := e.running[:0]
	for _, s := range e.running {
		if !noFaults {
			if crash, on := e.faults.ConsumeAt(fault.Crash, s.request.Prompt, len(s.tokens)); on && crash.Match != "" {
				return crash, true
			}
		}
		if s.prefillLeft == 0 {
			before := len(s.tokens)
			s.decodeToken()
			e.stats.DecodeTokens += int64(len(s.tokens) - before)
			e.reportToken(s, before)
		}
		if s.ended() {
			continue
		}
		unfinished = append(unfinished, s)
	}
	e.running = unfinished
	return fault.Fault{}, false
}
