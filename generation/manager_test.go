package generation

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/journal"
	"github.com/matryer/is"
)

func testRequest(id string, prefer v1.RecoveryPreference) Request {
	return Request{
		Key: Key{Customer: "c", ID: id}, Deployment: "d", Model: "m", Version: "v1", Prompt: "prompt of " + id,
		MaxTokens: 60, Priority: 5, Recovery: v1.Recovery{Prefer: prefer, DetachedGrace: v1.Duration(5 * time.Second)},
	}
}

// answer is what one caller has received on all its connections.
type answer struct {
	tokens  []string
	last    *EventID
	finish  FinishReason
	slowest time.Duration
}

// read reads events until the end, or until the caller has count tokens.
func (a *answer) read(ctx context.Context, reader *Reader, count int) error {
	for count < 0 || len(a.tokens) < count {
		before := time.Now()
		event, err := reader.Next(ctx)
		if err != nil {
			return err
		}
		a.slowest = max(a.slowest, time.Since(before))
		a.last = &event.ID
		if event.Finish != "" {
			a.finish = event.Finish
			return nil
		}
		a.tokens = append(a.tokens, event.Token.Text)
	}
	return nil
}

func (a *answer) check(is *is.I, want int) {
	is.Helper()
	is.Equal(len(a.tokens), want)
	is.NoErr(checkChain(a.tokens))
	is.Equal(a.finish, FinishLength)
}

// scenario runs a test on a cluster with a fake clock.
func scenario(t *testing.T, targets int, run func(t *testing.T, is *is.I, c *fakeCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		names := []string{"t0", "t1", "t2", "t3", "t4", "t5"}[:targets]
		run(t, is.New(t), newFakeCluster(t, newFakeEngine(names...), newLocalCrashRecords()))
	})
}

func TestAnswerSurvivesCrashOfItsEngine(t *testing.T) {
	for _, prefer := range []v1.RecoveryPreference{v1.PreferLatency, v1.PreferCost} {
		scenario(t, 4, func(t *testing.T, is *is.I, c *fakeCluster) {
			reader, err := c.entries["e0"].manager.Open(t.Context(), testRequest("k", prefer), nil)
			is.NoErr(err)
			defer reader.Close()
			var got answer
			is.NoErr(got.read(t.Context(), reader, 20))
			c.engine.kill("t0")
			is.NoErr(got.read(t.Context(), reader, 30))
			c.engine.kill("t1") // a second loss
			is.NoErr(got.read(t.Context(), reader, -1))
			got.check(is, 60)
			is.True(got.slowest <= tokenGap+10*time.Millisecond) // a connection reset is noticed at once
			_, err = reader.Next(t.Context())
			is.Equal(err, io.EOF)
		})
	}
}

func TestInterruptionIsReportedWhenOutputResumes(t *testing.T) {
	scenario(t, 2, func(t *testing.T, is *is.I, c *fakeCluster) {
		m := c.entries["e0"].manager
		var resumptions []time.Duration
		m.options.ObserveResume = func(_ string, took time.Duration) { resumptions = append(resumptions, took) }
		reader, err := m.Open(t.Context(), testRequest("k", v1.PreferLatency), nil)
		is.NoErr(err)
		defer reader.Close()
		var got answer
		is.NoErr(got.read(t.Context(), reader, 20))
		c.engine.pause("t0", true)
		is.NoErr(got.read(t.Context(), reader, -1))
		is.Equal(len(resumptions), 1)
		is.True(resumptions[0] <= got.slowest && got.slowest-resumptions[0] <= 10*time.Millisecond) // as the caller saw it
	})
}

func TestSilentEngineIsReplacedWithinItsPolicysBound(t *testing.T) {
	bounds := map[v1.RecoveryPreference]time.Duration{v1.PreferLatency: 300 * time.Millisecond, v1.PreferCost: 1500 * time.Millisecond}
	for prefer, bound := range bounds {
		scenario(t, 2, func(t *testing.T, is *is.I, c *fakeCluster) {
			reader, err := c.entries["e0"].manager.Open(t.Context(), testRequest("k", prefer), nil)
			is.NoErr(err)
			defer reader.Close()
			var got answer
			is.NoErr(got.read(t.Context(), reader, 20))
			c.engine.pause("t0", true)
			is.NoErr(got.read(t.Context(), reader, 40))
			c.engine.pause("t0", false) // it resumes the old stream
			is.NoErr(got.read(t.Context(), reader, -1))
			got.check(is, 60)
			is.True(got.slowest <= bound)
			time.Sleep(5 * time.Second)
			is.Equal(c.engine.running(), 0) // the old stream was cancelled, however late
		})
	}
}

func TestSlowEngineIsNotSuspected(t *testing.T) {
	scenario(t, 2, func(t *testing.T, is *is.I, c *fakeCluster) {
		m := c.entries["e0"].manager
		reader, err := m.Open(t.Context(), testRequest("k", v1.PreferLatency), nil)
		is.NoErr(err)
		defer reader.Close()
		var got answer
		is.NoErr(got.read(t.Context(), reader, 20))
		c.engine.mu.Lock()
		c.engine.targets["t0"].gap = 3 * tokenGap // as if the engine's batch had grown
		c.engine.mu.Unlock()
		is.NoErr(got.read(t.Context(), reader, -1))
		got.check(is, 60)
		is.Equal(m.Stats().Suspicions.Load(), int64(0))
	})
}

// lateJournal makes the goroutine of one producer late: it doesn't run for a time after it has appended a token.
type lateJournal struct {
	Journal
	at   int
	late time.Duration
}

type lateAppender struct {
	journal.Appender
	journal  *lateJournal
	appended int
}

func (j *lateJournal) StartReplication(record *journal.Record, observer journal.Observer) journal.Appender {
	return &lateAppender{Appender: j.Journal.StartReplication(record, observer), journal: j}
}

func (a *lateAppender) Append(tokens []string, finish string) {
	a.Appender.Append(tokens, finish)
	if a.appended++; a.appended == a.journal.at {
		time.Sleep(a.journal.late)
	}
}

// Guards against an entry that takes its own delay for its engine's silence: on a busy machine a producer's goroutine runs
// late while the stream's next events wait for it, and a second engine got the work.
func TestOwnDelayIsNotTakenForTheEnginesSilence(t *testing.T) {
	for _, prefer := range []v1.RecoveryPreference{v1.PreferLatency, v1.PreferCost} {
		for _, at := range []int{20, 60} { // in mid-answer; before the end
			scenario(t, 2, func(t *testing.T, is *is.I, c *fakeCluster) {
				m := c.entries["e0"].manager
				m.options.Journal = &lateJournal{Journal: m.options.Journal, at: at, late: time.Second}
				reader, err := m.Open(t.Context(), testRequest("k", prefer), nil)
				is.NoErr(err)
				defer reader.Close()
				var got answer
				is.NoErr(got.read(t.Context(), reader, -1))
				got.check(is, 60)
				is.Equal(c.engine.generatedCount(), 1)
				is.Equal(m.Stats().Suspicions.Load(), int64(0))
			})
		}
	}
}

// Guards against a second attempt that goes from engine to engine after the silent stream has resumed: each of them runs what
// it accepts too late.
func TestSecondAttemptIsGivenUpWhenTheSilentStreamResumes(t *testing.T) {
	scenario(t, 5, func(t *testing.T, is *is.I, c *fakeCluster) {
		m := c.entries["e0"].manager
		reader, err := m.Open(t.Context(), testRequest("k", v1.PreferLatency), nil)
		is.NoErr(err)
		defer reader.Close()
		var got answer
		is.NoErr(got.read(t.Context(), reader, 20))
		c.engine.mu.Lock()
		c.engine.acceptDelay = time.Second // longer than acceptTimeout
		c.engine.mu.Unlock()
		c.engine.pause("t0", true)
		time.Sleep(300 * time.Millisecond)
		asked := c.queries("e0")
		c.engine.pause("t0", false)
		is.NoErr(got.read(t.Context(), reader, -1))
		got.check(is, 60)
		is.Equal(asked, 2) // the first attempt, and one beside the silent stream
		is.Equal(c.queries("e0"), asked)
	})
}

// Guards against a generation that fails because the stream for which a second attempt was given up fails as well.
func TestStartThatIsNoLongerWantedEndsNoGeneration(t *testing.T) {
	is := is.New(t)
	s := &starter{producer: &producer{}}
	s.producer.startFailed(s.givenUp(errUnwanted))
	is.NoErr(s.producer.failure)
	s.producer.startFailed(s.givenUp(ErrNoTarget))
	is.True(errors.Is(s.producer.failure, ErrNoTarget))
}

func TestFaultyStreamsGiveCompleteAnswers(t *testing.T) {
	faults := map[string]func(StreamEvent) []StreamEvent{
		"duplicated": func(e StreamEvent) []StreamEvent { return []StreamEvent{e, e} },
		"skipped": func(e StreamEvent) []StreamEvent {
			if e.Token.Index%7 == 3 {
				return nil
			}
			return []StreamEvent{e}
		},
		"crossed": func(e StreamEvent) []StreamEvent {
			other := e
			other.ID.Generation = "other"
			return []StreamEvent{other, e}
		},
		"late": func(e StreamEvent) []StreamEvent {
			old := e
			old.ID.Attempt--
			old.Token.Text = "late"
			return []StreamEvent{old, e}
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			scenario(t, 3, func(t *testing.T, is *is.I, c *fakeCluster) {
				skipped := map[int]bool{}
				c.engine.mangle = func(e StreamEvent) []StreamEvent {
					out := fault(e)
					if len(out) == 0 && skipped[e.Token.Index] {
						return []StreamEvent{e} // skipped once only
					}
					skipped[e.Token.Index] = true
					return out
				}
				reader, err := c.entries["e0"].manager.Open(t.Context(), testRequest("k", v1.PreferCost), nil)
				is.NoErr(err)
				defer reader.Close()
				var got answer
				is.NoErr(got.read(t.Context(), reader, -1))
				got.check(is, 60)
				is.Equal(c.engine.generatedCount(), 1) // no engine work repeated
			})
		})
	}
}

func TestRetryAfterEntryCrashContinuesTheEnginesStream(t *testing.T) {
	scenario(t, 2, func(t *testing.T, is *is.I, c *fakeCluster) {
		request := testRequest("k", v1.PreferLatency)
		reader, err := c.entries["e0"].manager.Open(t.Context(), request, nil)
		is.NoErr(err)
		var got answer
		is.NoErr(got.read(t.Context(), reader, 20))
		c.kill("e0")
		request.Version = "v2" // the deployment was updated; the pinned version is kept
		reader, err = c.entries["e3"].manager.Open(t.Context(), request, got.last)
		is.NoErr(err)
		defer reader.Close()
		is.NoErr(got.read(t.Context(), reader, -1))
		got.check(is, 60)
		is.Equal(c.engine.generatedCount(), 1)
		is.True(got.slowest <= 100*time.Millisecond)
		again, err := c.entries["e4"].manager.Open(t.Context(), request, nil) // a completed answer is replayed from the log
		is.NoErr(err)
		defer again.Close()
		var replay answer
		is.NoErr(replay.read(t.Context(), again, -1))
		is.Equal(replay.tokens, got.tokens)
		is.Equal(c.engine.generatedCount(), 1)
	})
}

// Guards against a stream that is thrown away when its entry dies, only because its engine was slow to answer the entry
// that took over.
func TestStreamOfADeadEntryIsReadAgainFromASlowEngine(t *testing.T) {
	for _, each := range []struct {
		slow     time.Duration // how long the engine answers nothing
		attempts int
	}{
		{900 * time.Millisecond, 1},
		{time.Minute, 2}, // an engine that is frozen must not hold the answer
	} {
		scenario(t, 2, func(t *testing.T, is *is.I, c *fakeCluster) {
			request := testRequest("k", v1.PreferCost)
			reader, err := c.entries["e0"].manager.Open(t.Context(), request, nil)
			is.NoErr(err)
			var got answer
			is.NoErr(got.read(t.Context(), reader, 20))
			c.engine.pause("t0", true)
			time.AfterFunc(each.slow, func() { c.engine.pause("t0", false) })
			c.kill("e0")
			reader, err = c.entries["e3"].manager.Open(t.Context(), request, got.last)
			is.NoErr(err)
			defer reader.Close()
			is.NoErr(got.read(t.Context(), reader, -1))
			got.check(is, 60)
			is.Equal(c.engine.generatedCount(), each.attempts)
			is.True(got.slowest <= 4*time.Second) // the users' bound after a loss
		})
	}
}

// Guards against output that is lost since the entries that hold it were frozen while an older copy was found: the answer was
// continued from there, and its caller told that what it had received is lost.
func TestOlderCopyIsNotContinuedWhileEntriesDontAnswer(t *testing.T) {
	scenario(t, 2, func(t *testing.T, is *is.I, c *fakeCluster) {
		request := testRequest("k", v1.PreferLatency)
		reader, err := c.entries["e0"].manager.Open(t.Context(), request, nil)
		is.NoErr(err)
		var got answer
		is.NoErr(got.read(t.Context(), reader, 10))
		older := c.holders(request.Key, "e0")
		c.mu.Lock()
		c.disconnected[[2]string{"e0", older[0]}] = true // it keeps what it has
		c.mu.Unlock()
		is.NoErr(got.read(t.Context(), reader, 30))
		holders := c.holders(request.Key, "e0", older[0])
		is.Equal(len(holders), 2)
		for _, name := range holders {
			c.setPaused(name, true)
		}
		c.kill("e0")
		_, err = c.entries[older[0]].manager.Open(t.Context(), request, got.last)
		var givenUp *GivenUpError
		is.True(errors.As(err, &givenUp)) // it may be tried again
		for _, name := range holders {
			c.setPaused(name, false)
		}
		time.Sleep(givenUp.RetryAfter)
		reader, err = c.entries[older[0]].manager.Open(t.Context(), request, got.last)
		is.NoErr(err)
		defer reader.Close()
		is.NoErr(got.read(t.Context(), reader, -1))
		got.check(is, 60)
		is.Equal(c.engine.generatedCount(), 1)
	})
}

func TestRetryWhileTheProducerRunsFollowsIt(t *testing.T) {
	scenario(t, 2, func(t *testing.T, is *is.I, c *fakeCluster) {
		request := testRequest("k", v1.PreferLatency)
		first, err := c.entries["e0"].manager.Open(t.Context(), request, nil)
		is.NoErr(err)
		var got answer
		is.NoErr(got.read(t.Context(), first, 10))
		first.Close() // the connection broke
		reader, err := c.entries["e1"].manager.Open(t.Context(), request, got.last)
		is.NoErr(err)
		defer reader.Close()
		is.NoErr(got.read(t.Context(), reader, 30))
		c.kill("e0") // the follower takes over
		is.NoErr(got.read(t.Context(), reader, -1))
		got.check(is, 60)
		is.Equal(c.engine.generatedCount(), 1)
	})
}

func TestPausedProducerIsSupersededAndItsReaderFollows(t *testing.T) {
	scenario(t, 2, func(t *testing.T, is *is.I, c *fakeCluster) {
		request := testRequest("k", v1.PreferLatency)
		former, err := c.entries["e0"].manager.Open(t.Context(), request, nil)
		is.NoErr(err)
		defer former.Close()
		var got, old answer
		is.NoErr(old.read(t.Context(), former, 10))
		got.tokens, got.last = append(got.tokens, old.tokens...), old.last
		c.setPaused("e0", true)
		reader, err := c.entries["e1"].manager.Open(t.Context(), request, got.last)
		is.NoErr(err)
		defer reader.Close()
		is.NoErr(got.read(t.Context(), reader, 20))
		c.setPaused("e0", false)
		is.NoErr(got.read(t.Context(), reader, -1))
		got.check(is, 60)
		is.NoErr(old.read(t.Context(), former, -1))
		is.Equal(old.tokens, got.tokens)
		time.Sleep(time.Second)
		is.Equal(c.engine.running(), 0) // whatever the former producer started is cancelled
		is.Equal(c.entries["e0"].manager.Stats().Superseded.Load(), int64(1))
	})
}

func TestSameKeyAtTwoEntriesAtOnceIsOneGeneration(t *testing.T) {
	scenario(t, 2, func(t *testing.T, is *is.I, c *fakeCluster) {
		answers := make([]answer, 2)
		errs := make(chan error, 2)
		for i, name := range []string{"e0", "e1"} {
			go func() {
				reader, err := c.entries[name].manager.Open(t.Context(), testRequest("k", v1.PreferCost), nil)
				if err == nil {
					defer reader.Close()
					err = answers[i].read(t.Context(), reader, -1)
				}
				errs <- err
			}()
		}
		is.NoErr(<-errs)
		is.NoErr(<-errs)
		answers[0].check(is, 60)
		is.Equal(answers[0].tokens, answers[1].tokens)
		is.Equal(c.engine.generatedCount(), 1)
	})
}

func TestTypedErrors(t *testing.T) {
	scenario(t, 1, func(t *testing.T, is *is.I, c *fakeCluster) {
		request := testRequest("k", v1.PreferCost)
		m := c.entries["e0"].manager
		after := &EventID{Generation: "gone", Term: 1, Index: 3}
		_, err := m.Open(t.Context(), request, after)
		var lost *LineageLostError
		is.True(errors.As(err, &lost))
		is.Equal(c.engine.generatedCount(), 0) // no second generation was started unnoticed
		reader, err := m.Open(t.Context(), request, nil)
		is.NoErr(err)
		defer reader.Close()
		_, err = m.Open(t.Context(), request, after)
		is.True(errors.As(err, &lost))
		other := request
		other.Prompt = "another"

		for _, entry := range []string{"e0", "e3"} {
			_, err = c.entries[entry].manager.Open(t.Context(), other, nil)
			is.True(errors.Is(err, ErrRequestMismatch))
		}
		c.engine.kill("t0")
		reader, err = m.Open(t.Context(), testRequest("refused", v1.PreferCost), nil)
		if err == nil {
			_, err = reader.Next(t.Context())
		}
		var givenUp *GivenUpError
		is.True(errors.As(err, &givenUp))
		is.True(!givenUp.MayHaveRun)
	})
}

func TestDetachedGenerationIsCancelledAfterItsGrace(t *testing.T) {
	scenario(t, 1, func(t *testing.T, is *is.I, c *fakeCluster) {
		m := c.entries["e0"].manager
		request := testRequest("k", v1.PreferCost)
		request.MaxTokens = 10_000
		reader, err := m.Open(t.Context(), request, nil)
		is.NoErr(err)
		reader.Close()
		time.Sleep(4 * time.Second)
		is.Equal(c.engine.running(), 1)
		time.Sleep(3 * time.Second)
		is.Equal(c.engine.running(), 0)
		is.NoErr(m.Drain(t.Context()))
	})
}

func TestDrainWaitsForRunningGenerations(t *testing.T) {
	scenario(t, 1, func(t *testing.T, is *is.I, c *fakeCluster) {
		m := c.entries["e0"].manager
		reader, err := m.Open(t.Context(), testRequest("k", v1.PreferCost), nil)
		is.NoErr(err)
		defer reader.Close()
		is.NoErr(m.Drain(t.Context()))
		var got answer
		is.NoErr(got.read(t.Context(), reader, -1))
		got.check(is, 60)
	})
}

func TestPoisonRequestKillsAtMostThreeTargets(t *testing.T) {
	scenario(t, 6, func(t *testing.T, is *is.I, c *fakeCluster) {
		for _, target := range c.engine.targets {
			target.poison = "deadly"
		}
		innocent, err := c.entries["e1"].manager.Open(t.Context(), testRequest("innocent", v1.PreferLatency), nil)
		is.NoErr(err)
		defer innocent.Close()
		for i, name := range []string{"e0", "e1", "e2", "e3", "e4", "e5"} {
			request := testRequest("p"+name, v1.PreferLatency)
			request.Prompt = "deadly"
			request.Key.ID = string(rune('a' + i))
			reader, err := c.entries[name].manager.Open(t.Context(), request, nil)
			if err == nil {
				_, err = reader.Next(t.Context())
				reader.Close()
			}
			var poison *PoisonError
			is.True(errors.As(err, &poison))
		}
		dead := 0
		for _, target := range c.engine.targets {
			if target.isDead() {
				dead++
			}
		}
		is.Equal(dead, 3)
		var got answer
		is.NoErr(got.read(t.Context(), innocent, -1))
		got.check(is, 60)
	})
}

func TestSuspectedTargetIsUsedIfThereIsNoOther(t *testing.T) {
	scenario(t, 2, func(t *testing.T, is *is.I, c *fakeCluster) {
		m := c.entries["e0"].manager
		m.targets.Suspect("t0", time.Now())
		m.targets.Suspect("t1", time.Now())
		reader, err := m.Open(t.Context(), testRequest("k", v1.PreferLatency), nil)
		is.NoErr(err)
		defer reader.Close()
		var got answer
		is.NoErr(got.read(t.Context(), reader, -1))
		got.check(is, 60)
	})
}
