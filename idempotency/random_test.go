package idempotency

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// history records how often the call of each key ran and what the callers were told.
type history struct {
	mu           sync.Mutex
	ran          map[string]int
	notRun       map[string]bool
	wrongAnswers []string
}

func (h *history) recordRun(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ran[key]++
}

func (h *history) recordReply(key string, record Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if record.State == StateNotRun {
		h.notRun[key] = true
	}
	if record.State == StateAnswered && string(record.Answer.Body) != key {
		h.wrongAnswers = append(h.wrongAnswers, key)
	}
}

func (h *history) check() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, count := range h.ran {
		if count > 1 {
			return fmt.Errorf("key %s ran %d times", key, count)
		}
		if h.notRun[key] {
			return fmt.Errorf("key %s ran, and a caller was told not-run", key)
		}
	}
	if len(h.wrongAnswers) > 0 {
		return fmt.Errorf("wrong answers: %v", h.wrongAnswers)
	}
	return nil
}

// step is one call or one fault of a random run.
type step struct {
	kind  int
	entry int
	key   int
	pause time.Duration
}

const (
	stepCall         = iota
	stepCallNoTarget // no target can be reached
	stepKill         // and restart
	stepLoseReplies
	stepOutage
	stepHang
	stepEndFaults
)

func drawSteps(t *rapid.T) []step {
	kinds := []int{stepCall, stepCall, stepCall, stepCall, stepCallNoTarget, stepKill, stepLoseReplies, stepOutage, stepHang, stepEndFaults}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			entry: rapid.IntRange(0, 2).Draw(t, "entry"),
			key:   rapid.IntRange(0, 4).Draw(t, "key"),
			pause: time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond,
		}
	}), 10, 60).Draw(t, "steps")
}

func (c *cluster) runStep(s step, h *history) {
	name := c.names[s.entry]
	switch s.kind {
	case stepCall, stepCallNoTarget:
		go c.executeCall(name, fmt.Sprint("k", s.key), s.kind == stepCall, s.pause, h)
	case stepKill:
		c.kill(name)
		c.start(name, nil)
	case stepLoseReplies:
		c.store.update(func(s *fakeStore) { s.lostReplyRate = 0.3 })
	case stepOutage:
		c.store.update(func(s *fakeStore) { s.down = true })
	case stepHang:
		c.store.update(func(s *fakeStore) { s.hangs = true })
	case stepEndFaults:
		c.store.update(func(s *fakeStore) { s.down, s.hangs, s.lostReplyRate = false, false, 0 })
	}
	time.Sleep(s.pause)
}

// executeCall does with one request what the executor of service calls does.
func (c *cluster) executeCall(name, key string, targetReachable bool, runTime time.Duration, h *history) {
	c.mu.Lock()
	ledger := c.ledgers[name]
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var supersedes AttemptID
	for range 4 {
		attempt, isNew := ledger.Begin(NewKey("c", key), NewFingerprint("d", "POST", "/", nil))
		if !isNew {
			return
		}
		reply := ledger.Claim(ctx, attempt, supersedes)
		if reply.Verdict == VerdictGranted {
			c.finishCall(ledger, attempt, key, targetReachable, runTime, h)
			return
		}
		ledger.Abandon(attempt)
		if reply.Verdict == VerdictFinished {
			h.recordReply(key, reply.Record)
			return
		}
		if reply.Verdict != VerdictHeld {
			return
		}
		outcome, err := ledger.Await(ctx, reply.Record)
		if err != nil || outcome.Verdict == AwaitLost {
			return
		}
		if outcome.Verdict == AwaitFinished {
			h.recordReply(key, outcome.Record)
			return
		}
		supersedes = ""
		if outcome.Verdict == AwaitAbsent {
			supersedes = reply.Record.Attempt
		}
	}
}

func (c *cluster) finishCall(ledger *Ledger, attempt *Attempt, key string, targetReachable bool, runTime time.Duration, h *history) {
	if !targetReachable {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		if ledger.FinishNotRun(ctx, attempt) {
			h.recordReply(key, Record{State: StateNotRun})
		}
		return
	}
	h.recordRun(key)
	time.Sleep(runTime)
	ledger.Finish(attempt, StateAnswered, answer(key))
}

// randomRun executes the steps in a cluster and returns the violation that it found.
func randomRun(t *testing.T, steps []step) error {
	h := &history{ran: map[string]int{}, notRun: map[string]bool{}}
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		for _, s := range steps {
			c.runStep(s, h)
		}
		c.runStep(step{kind: stepEndFaults, pause: 10 * time.Second}, h)
		c.stop()
	})
	return h.check()
}

func TestRandomFaultsNeverRunACallTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := randomRun(t, drawSteps(rt)); err != nil {
			rt.Fatal(err)
		}
	})
}
