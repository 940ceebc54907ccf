package service

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
)

func lookup(i int) Call {
	return Call{Customer: "c", Key: fmt.Sprint("l", i), Deployment: "records", Class: v1.ClassInteractive, Method: "GET", Path: "/last-weight"}
}

func TestHedgesKeepLookupsFastWithinTheirBudget(t *testing.T) {
	withFixture(t, threeTargets(), func(is *is.I, w *fixture) {
		for _, name := range []string{"t0", "t1", "t2"} {
			w.transport.setBehavior(name, fakeTarget{latency: 5 * time.Millisecond})
		}
		const calls = 2000
		slow := 0
		for i := range calls {
			if i == calls/4 {
				w.transport.setBehavior("t0", fakeTarget{latency: 250 * time.Millisecond})
			}
			if i == calls/2 {
				w.transport.setBehavior("t0", fakeTarget{notSent: true})
			}
			start := time.Now()
			result := w.executor.Do(context.Background(), lookup(i))
			is.Equal(result.Outcome, OutcomeAnswered)
			if time.Since(start) > 50*time.Millisecond {
				slow++
			}
		}
		is.True(slow <= calls/100)                                                      // within the 99th percentile
		is.True(float64(w.executor.Stats().ExtraAttempts) <= hedgeRatio*float64(calls)) // hedges, probes and retries
	})
}

func TestBreakerReadmitsARecoveredTarget(t *testing.T) {
	withFixture(t, threeTargets(), func(is *is.I, w *fixture) {
		w.transport.setBehavior("t0", fakeTarget{notSent: true})
		call := func(from, count int) {
			for i := range count {
				is.Equal(w.executor.Do(context.Background(), lookup(from+i)).Outcome, OutcomeAnswered)
				time.Sleep(10 * time.Millisecond)
			}
		}
		call(0, 300)
		w.transport.setBehavior("t0", fakeTarget{})
		is.Equal(w.transport.sentTo("t0"), 0)
		call(300, 3000)
		is.True(w.transport.sentTo("t0") > 500) // it gets about a third of the calls again
	})
}

func TestInteractiveCallsHaveHeadroomBesideLongWork(t *testing.T) {
	withFixture(t, fakeDirectory{{Name: "t0", Concurrency: 4}}, func(is *is.I, w *fixture) {
		w.transport.setBehavior("t0", fakeTarget{latency: time.Second})
		done := make(chan Result)
		const long = 12
		for i := range long {
			go func() {
				call := lookup(i)
				call.Class = v1.ClassIdempotent
				done <- w.executor.Do(context.Background(), call)
			}()
		}
		time.Sleep(10 * time.Millisecond)
		is.Equal(w.transport.sentTo("t0"), 3) // a quarter of its concurrency stays free
		start := time.Now()
		w.executor.Do(context.Background(), lookup(100))
		is.True(time.Since(start) < 1100*time.Millisecond) // it did not queue behind the long work
		for range long {
			is.Equal((<-done).Outcome, OutcomeAnswered)
		}
	})
}

func TestIdempotentRetriesAreLimited(t *testing.T) {
	withFixture(t, threeTargets(), func(is *is.I, w *fixture) {
		for _, name := range []string{"t0", "t1", "t2"} {
			w.transport.setBehavior(name, fakeTarget{notSent: true})
		}
		const calls = 100
		for i := range calls {
			call := lookup(i)
			call.Class = v1.ClassIdempotent
			is.Equal(w.executor.Do(context.Background(), call).Code, CodeNoTarget)
		}
		w.transport.setBehavior("t1", fakeTarget{})
		call := lookup(calls)
		call.Class = v1.ClassIdempotent
		for range 50 { // each call earns a tenth of a retry
			w.executor.Do(context.Background(), call)
		}
		is.True(w.transport.sentTo("t1") > 0)
	})
}

func TestIdempotentRetryOfAnOnlyTargetCostsNoSecondUnitOfTheBudget(t *testing.T) {
	withFixture(t, threeTargets()[:1], func(is *is.I, w *fixture) {
		defer w.stop()
		w.transport.setBehavior("t0", fakeTarget{notSent: true})
		pool := w.executor.pool("records")
		pool.retries.balance = 4
		call := lookup(0)
		call.Class = v1.ClassIdempotent
		is.Equal(w.executor.Do(context.Background(), call).Code, CodeNoTarget)
		is.Equal(w.transport.refused, 5) // the first attempt and four retries
		is.True(pool.retries.balance < 1)
	})
}

// The first target does not answer and the hedge fails: the third target answers.
func TestFailedHedgeIsReplacedWhileTheFirstTargetDoesNotAnswer(t *testing.T) {
	withFixture(t, threeTargets(), func(is *is.I, w *fixture) {
		for i := range 200 {
			is.Equal(w.executor.Do(context.Background(), lookup(i)).Outcome, OutcomeAnswered)
		}
		w.transport.setBehavior("t0", fakeTarget{latency: time.Hour})
		w.transport.setBehavior("t1", fakeTarget{notSent: true})
		for i := range 4 {
			start := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			result := w.executor.Do(ctx, lookup(200+i))
			cancel()
			is.Equal(result.Outcome, OutcomeAnswered)
			is.True(time.Since(start) < time.Second)
		}
	})
}

func TestHedgeRefusedByTheBudgetIsSentWhenTheBudgetRecovers(t *testing.T) {
	withFixture(t, threeTargets(), func(is *is.I, w *fixture) {
		defer w.stop()
		result := w.startUnansweredLookup(2 * time.Second)
		time.Sleep(time.Second)
		for i := range 40 { // earn two hedges
			is.Equal(w.executor.Do(context.Background(), lookup(i)).Outcome, OutcomeAnswered)
		}
		is.Equal((<-result).Outcome, OutcomeAnswered)
	})
}

func TestHedgeWithoutATargetKeepsItsBudgetAndIsSentWhenOneAppears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := &changingDirectory{targets: threeTargets()[:1]}
		w := newFixture(t, nil, func(options *Options) { options.Directory = directory })
		defer w.stop()
		w.executor.pool("records").hedges.balance = 1
		result := w.startUnansweredLookup(2 * time.Second)
		time.Sleep(time.Second)
		directory.set(threeTargets())
		is.Equal((<-result).Outcome, OutcomeAnswered)
	})
}

// All targets stop answering under many calls at once, and the hedges are tried again for seconds.
func TestRetriedHedgesOfManyWaitingCallsStayWithinTheirBudget(t *testing.T) {
	withFixture(t, threeTargets(), func(is *is.I, w *fixture) {
		w.silenceAll()
		const calls = 200
		ended := make(chan Result, calls)
		for i := range calls {
			go func() { ended <- w.executor.Do(context.Background(), lookup(i)) }()
			time.Sleep(10 * time.Millisecond)
		}
		for range calls {
			is.Equal((<-ended).Outcome, OutcomeUnknown)
		}
		extra := w.executor.Stats().ExtraAttempts
		is.True(extra > 0)
		is.True(float64(extra) <= hedgeRatio*float64(calls))
	})
}

// Calls that are a little late would use up the hedges; then the target that they are sent to first is silent.
func TestHedgesOfLateCallsLeaveSomeForASilentTarget(t *testing.T) {
	withFixture(t, threeTargets(), func(is *is.I, w *fixture) {
		defer w.stop()
		call := func(from, count int, latency time.Duration) {
			for _, target := range threeTargets() {
				w.transport.setBehavior(target.Name, fakeTarget{latency: latency})
			}
			for i := range count {
				is.Equal(w.executor.Do(context.Background(), lookup(from+i)).Outcome, OutcomeAnswered)
			}
		}
		call(0, 100, 5*time.Millisecond)  // earns five hedges
		call(100, 5, 12*time.Millisecond) // each is late
		for range breakerFailures {
			start := time.Now()
			is.Equal((<-w.startUnansweredLookup(2 * time.Second)).Outcome, OutcomeAnswered)
			is.True(time.Since(start) <= 50*time.Millisecond)
		}
	})
}

func TestProbesLeaveHedgesForASilentTarget(t *testing.T) {
	is := is.New(t)
	p := newPool(threeTargets(), "records", func() int { return 1 }, 1)
	now := time.Now()
	for range breakerFailures {
		p.stateOf("t0").breaker.RecordFailure(false, now)
	}
	now = now.Add(breakerInitialOpenTime)
	p.hedges.balance = silentTargetHedges + 0.5
	_, due := p.leaseProbe(now)
	is.True(!due)
	p.hedges.balance++
	_, due = p.leaseProbe(now)
	is.True(due)
}
