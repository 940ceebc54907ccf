package service

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/admission"
)

// pausingSender answers calls at all targets but one, which turns them away and asks for a pause.
type pausingSender struct {
	asking string
	pause  time.Duration
	pauses *admission.TargetPauses

	mu    sync.Mutex
	sends []time.Time
}

// Take implements Limits.
func (s *pausingSender) Take(target string) bool         { return s.pauses.Take(target, 0, time.Now()) }
func (s *pausingSender) RetryAfter(string) time.Duration { return forwardRetryAfter }

func (s *pausingSender) Send(_ context.Context, target Target, _ *ForwardedCall) SendResult {
	if target.Name != s.asking {
		time.Sleep(quick)
		return good
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends = append(s.sends, time.Now())
	s.pauses.Observe(target.Name, 0, s.pause, time.Now())
	return SendResult{Verdict: SendNotRun, Err: errors.New("turned away"), AskedPause: s.pause}
}

// Guards against calls that reach a target within the pause that it has asked for, also where traffic is too thin for a
// breaker to open.
func TestCallsKeepAwayFromATargetThatAskedForAPause(t *testing.T) {
	const pause, lasts, perSecond = 3 * time.Second, 30 * time.Second, 4
	for _, repeatable := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			sender := &pausingSender{asking: "a", pause: pause, pauses: admission.NewTargetPauses(nil)}
			f := NewForwarder(ForwarderOptions{Sender: sender, Limits: sender, Directory: fixedTargets{}, Budget: unlimitedRetries{}, Seed: 1})
			for range int(lasts.Seconds()) * perSecond {
				go func() {
					answer, err := f.Do(t.Context(), &ForwardedCall{Service: "s", Repeatable: repeatable, MaxAttempts: 2, Deadline: time.Now().Add(time.Second)})
					if err != nil || answer != "good" {
						t.Error(answer, err)
					}
				}()
				time.Sleep(time.Second / perSecond)
			}
			synctest.Wait()
			for i := 1; i < len(sender.sends); i++ {
				is.True(sender.sends[i].Sub(sender.sends[i-1]) >= pause)
			}
			is.True(len(sender.sends) >= 2) // the target is tried again when the pause is over
		})
	}
}
