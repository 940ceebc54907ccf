package service

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/invariant"
)

func weighing(key, body string) Call {
	return Call{Customer: "c", Key: key, Deployment: "records", Class: v1.ClassAtMostOnce, Method: "POST", Path: "/weighings", Body: []byte(body)}
}

func withFixture(t *testing.T, targets fakeDirectory, test func(*is.I, *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, targets, nil)
		test(is.New(t), w)
		w.stop()
		synctest.Wait()
	})
}

func TestRetryGetsTheFirstAnswer(t *testing.T) {
	withFixture(t, threeTargets(), func(is *is.I, w *fixture) {
		w.transport.setBehavior("t0", fakeTarget{latency: 300 * time.Millisecond})
		results := make(chan Result, 3)
		for range 3 {
			go func() { results <- w.executor.Do(context.Background(), weighing("k", "312")) }()
		}
		for range 3 {
			result := <-results
			is.Equal(result.Outcome, OutcomeAnswered)
			is.Equal(string(result.Answer.Body), "k")
		}
		is.Equal(w.transport.runCount("k"), 1)
		is.True(w.transport.once)
		is.Equal(w.executor.Do(context.Background(), weighing("k", "313")).Code, CodeKeyReused)
		is.Equal(w.transport.runCount("k"), 1)
	})
}

func TestLostAnswerIsUnknownAndNeverRunsAgain(t *testing.T) {
	withFixture(t, fakeDirectory{{Name: "t0"}}, func(is *is.I, w *fixture) {
		w.transport.setBehavior("t0", fakeTarget{loseAnswer: true})
		for range 3 {
			result := w.executor.Do(context.Background(), weighing("k", ""))
			is.Equal(result.Outcome, OutcomeUnknown)
			time.Sleep(time.Second)
		}
		is.Equal(w.transport.runCount("k"), 1)
	})
}

func TestDeduplicatingTargetIsRetried(t *testing.T) {
	withFixture(t, fakeDirectory{{Name: "t0", Deduplicates: true}}, func(is *is.I, w *fixture) {
		w.transport.setBehavior("t0", fakeTarget{loseAnswer: true})
		is.Equal(w.executor.Do(context.Background(), weighing("k", "")).Outcome, OutcomeAnswered)
		is.Equal(w.transport.runCount("k"), 1)
	})
}

func TestNotRunIsRecordedForTheKey(t *testing.T) {
	withFixture(t, fakeDirectory{{Name: "t0"}}, func(is *is.I, w *fixture) {
		w.transport.setBehavior("t0", fakeTarget{notSent: true})
		is.Equal(w.executor.Do(context.Background(), weighing("k", "")).Outcome, OutcomeNotRun)
		w.transport.setBehavior("t0", fakeTarget{})
		is.Equal(w.executor.Do(context.Background(), weighing("k", "")).Outcome, OutcomeNotRun)
		is.Equal(w.transport.runCount("k"), 0)
	})
}

// retryDuringOutage sends a call whose caller disconnects, then sends it again through an entry that
// can't reach the platform. It returns the result of the retry.
func retryDuringOutage(w *fixture) Result {
	w.transport.setBehavior("t0", fakeTarget{latency: time.Hour})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	w.executor.Do(ctx, weighing("k", ""))
	w.store.setDown(true)
	w.addEntry(fakeDirectory{{Name: "t0"}}, nil)
	return w.executor.Do(context.Background(), weighing("k", ""))
}

func TestNotRunIsAboutTheKey(t *testing.T) {
	withFixture(t, fakeDirectory{{Name: "t0"}}, func(is *is.I, w *fixture) {
		first := w.stop
		result := retryDuringOutage(w)
		is.Equal(result.Outcome, OutcomeUnknown)
		is.True(result.RetryAfter > 0)
		minted := weighing("fresh", "")
		minted.KeyMinted = true
		result = w.executor.Do(context.Background(), minted)
		is.Equal(result.Outcome, OutcomeNotRun)
		is.True(result.WithholdKey) // nobody can send this key again
		first()
		time.Sleep(2 * time.Hour)
	})
}

func TestRefusalInAKnownOutageIsImmediate(t *testing.T) {
	withFixture(t, fakeDirectory{{Name: "t0"}}, func(is *is.I, w *fixture) {
		w.store.setDown(true)
		start := time.Now()
		is.Equal(w.executor.Do(context.Background(), weighing("k", "")).Code, CodeRecordUnavailable)
		is.True(time.Since(start) <= 3*time.Second)
		time.Sleep(time.Second)
		start = time.Now()
		is.Equal(w.executor.Do(context.Background(), weighing("k2", "")).Code, CodeRecordUnavailable)
		is.True(time.Since(start) <= 100*time.Millisecond)
		w.store.setDown(false)
		time.Sleep(2 * time.Second)
		is.Equal(w.executor.Do(context.Background(), weighing("k", "")).Outcome, OutcomeAnswered)
		is.Equal(invariant.Violations(), int64(0))
	})
}
