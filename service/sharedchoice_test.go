package service

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/health"
)

// fakeChoice answers with its targets in order, the last one again and again.
type fakeChoice struct {
	after     time.Duration
	targets   []string
	notShared bool

	mu    sync.Mutex
	asked [][]string
	chose int
	ended []time.Duration
}

func (f *fakeChoice) IsShared(string) bool { return !f.notShared }

func (f *fakeChoice) Choose(ctx context.Context, query ChoiceQuery) (string, func(took time.Duration)) {
	var names []string
	for _, target := range query.Targets {
		names = append(names, target.Name)
	}
	f.mu.Lock()
	target := f.targets[min(len(f.asked), len(f.targets)-1)]
	f.asked = append(f.asked, names)
	f.mu.Unlock()
	select {
	case <-ctx.Done():
		return "", nil
	case <-time.After(f.after):
	}
	if target == "" {
		return "", nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chose++
	return target, func(took time.Duration) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.ended = append(f.ended, took)
	}
}

// forward forwards a call through a forwarder with the choice and returns the targets it was sent to.
func (f *fakeChoice) forward(ctx context.Context, options ForwarderOptions, call ForwardedCall, replies ...reply) (answer any, sends []string, err error) {
	sender := &fakeSender{replies: replies, sends: make(chan string, 8)}
	options.Sender, options.SharedChoice = sender, f
	if options.Directory == nil {
		options.Directory = fixedTargets{}
	}
	if options.Budget == nil {
		options.Budget = unlimitedRetries{}
	}
	call.Service, call.Deadline = "records", time.Now().Add(800*time.Millisecond)
	call.Objective = 100 * time.Millisecond
	answer, err = NewForwarder(options).Do(ctx, &call)
	synctest.Wait()
	for len(sender.sends) > 0 {
		sends = append(sends, <-sender.sends)
	}
	return answer, sends, err
}

// Guards against answers of the coordinator that are not followed, and against ends that are not reported to it.
func TestForwarderFollowsTheSharedChoice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		shared := &fakeChoice{targets: []string{"b", "c"}, after: 3 * time.Millisecond}
		_, sends, err := shared.forward(t.Context(), ForwarderOptions{}, ForwardedCall{Repeatable: true, MaxAttempts: 2}, reply{failed, 20 * time.Millisecond}, reply{good, quick})
		is.NoErr(err)
		is.Equal(sends, []string{"b", "c"})
		is.Equal(shared.asked, [][]string{{"a", "b", "c"}, {"a", "c"}})
		is.Equal(shared.ended, []time.Duration{0, quick})
	})
}

// Guards against calls that the choice makes run twice, or ends that are reported twice or never, for all sequences of verdicts and
// answers.
func TestSharedChoiceKeepsCallsAtMostOnce(t *testing.T) {
	verdicts := []SendResult{good, failed, notRun, addressMismatch, unknown}
	for code := range len(verdicts) * len(verdicts) * len(verdicts) {
		for _, targets := range [][]string{{"a", "b", "c"}, {"a"}, {"unknown"}, {"", "b"}} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var replies []reply
				for left, i := code, 0; i < 3; i++ {
					replies = append(replies, reply{verdicts[left%len(verdicts)], quick})
					left /= len(verdicts)
				}
				shared := &fakeChoice{targets: targets, after: time.Millisecond}
				_, sends, err := shared.forward(t.Context(), ForwarderOptions{}, ForwardedCall{MaxAttempts: 3}, replies...)
				mayHaveRun := 0
				for _, sent := range replies[:len(sends)] {
					if sent.sent.Verdict != SendNotRun && sent.sent.Verdict != SendAddressMismatch {
						mayHaveRun++
					}
				}
				is.True(mayHaveRun <= 1)
				var refused *NotRunError
				is.Equal(errors.As(err, &refused), mayHaveRun == 0)
				is.Equal(len(slices.Compact(slices.Sorted(slices.Values(sends)))), len(sends))
				is.Equal(len(shared.ended), shared.chose)
			})
		}
	}
}

// onlyLimit refuses all targets but one.
type onlyLimit struct {
	unlimited
	target string
}

func (o onlyLimit) Take(target string) bool { return target == o.target }

// Guards against a choice that overrides the entry's own exclusions, and against one that is asked for again for the same attempt.
func TestExclusionsOfTheEntryHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		shared := &fakeChoice{targets: []string{"a"}}
		_, sends, err := shared.forward(t.Context(), ForwarderOptions{Limits: onlyLimit{target: "c"}}, ForwardedCall{MaxAttempts: 1}, reply{good, quick})
		is.NoErr(err)
		is.Equal(sends, []string{"c"})
		is.Equal(len(shared.asked), 1)
		is.Equal(shared.ended, []time.Duration{0})

		shared = &fakeChoice{targets: []string{"a"}}
		versions := &listedVersions{[][]string{{"v2"}}}
		directory := versionedTargets{{Name: "a", Version: "v1"}, {Name: "b", Version: "v2"}, {Name: "c", Version: "v2"}}
		_, sends, err = shared.forward(t.Context(), ForwarderOptions{Directory: directory}, ForwardedCall{MaxAttempts: 1, Versions: versions}, reply{good, quick})
		is.NoErr(err)
		is.True(sends[0] != "a")
		is.Equal(shared.asked, [][]string{{"b", "c"}})
	})
}

// trialRecords put every call on trial.
type trialRecords struct{ noCrashRecords }

func (trialRecords) Judge(health.Work) generation.WorkJudgement {
	return generation.WorkJudgement{Trial: true}
}

// Guards against questions to the coordinator where the choice is not shared or has a single target, for calls on trial and for probes of
// breakers.
func TestSharedChoiceIsNotAskedForInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, each := range []struct {
			shared  *fakeChoice
			options ForwarderOptions
		}{
			{&fakeChoice{targets: []string{"a"}, notShared: true}, ForwarderOptions{}},
			{&fakeChoice{targets: []string{"a"}}, ForwarderOptions{CrashRecords: trialRecords{}}},
			{&fakeChoice{targets: []string{"a"}}, ForwarderOptions{Directory: fakeDirectory{{Name: "a"}}}},
		} {
			_, sends, err := each.shared.forward(t.Context(), each.options, ForwardedCall{MaxAttempts: 1}, reply{good, quick})
			is.NoErr(err)
			is.Equal(len(sends), 1)
			is.Equal(len(each.shared.asked), 0)
		}

		shared := &fakeChoice{targets: []string{"a"}}
		sender := &fakeSender{replies: []reply{{good, quick}, {good, quick}, {good, quick}}, sends: make(chan string, 8)}
		f := NewForwarder(ForwarderOptions{Sender: sender, Directory: fixedTargets{}, Budget: unlimitedRetries{}, SharedChoice: shared})
		for range breakerFailures {
			f.pool("records").stateOf("b").breaker.RecordFailure(false, time.Now())
		}
		_, err := f.Do(t.Context(), &ForwardedCall{Service: "records", MaxAttempts: 1, Deadline: time.Now().Add(time.Second)})
		is.NoErr(err)
		is.Equal(shared.asked, [][]string{{"a", "c"}}) // the breaker of b is open
		time.Sleep(time.Second)
		_, err = f.Do(t.Context(), &ForwardedCall{Service: "records", MaxAttempts: 1, Deadline: time.Now().Add(time.Second)})
		is.NoErr(err)
		is.Equal(len(shared.asked), 1)
		<-sender.sends
		is.Equal(<-sender.sends, "b") // its probe
		synctest.Wait()
	})
}

// Guards against an answer that waits for the choice of a hedge's target, and against a hedge that is sent after it.
func TestAnswerDoesNotWaitForTheChoiceOfAHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		shared := &fakeChoice{targets: []string{"a", "b"}, after: 15 * time.Millisecond}
		budget := &limitedRetries{left: 1}
		begun := time.Now()
		// The hedge is due after 50 ms, its choice takes until 80 ms, and the answer arrives at 75 ms.
		answer, sends, err := shared.forward(t.Context(), ForwarderOptions{Budget: budget}, ForwardedCall{Repeatable: true, MaxAttempts: 2}, reply{good, 60 * time.Millisecond}, reply{good, quick})
		is.NoErr(err)
		is.Equal(answer, "good")
		is.Equal(time.Since(begun), 75*time.Millisecond)
		is.Equal(sends, []string{"a"})
		is.Equal(len(shared.asked), 2)
		is.Equal(budget.left, 1)
		is.Equal(shared.ended, []time.Duration{60 * time.Millisecond})

		// A failure meanwhile keeps the hedge.
		shared = &fakeChoice{targets: []string{"a", "b"}, after: 15 * time.Millisecond}
		answer, sends, err = shared.forward(t.Context(), ForwarderOptions{}, ForwardedCall{Repeatable: true, MaxAttempts: 2}, reply{failed, 60 * time.Millisecond}, reply{good, quick})
		is.NoErr(err)
		is.Equal(answer, "good")
		is.Equal(sends, []string{"a", "b"})
	})
}

// Guards against calls that are sent after their caller has left, while their target was chosen.
func TestCallerLeavesDuringTheChoice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer cancel()
		shared := &fakeChoice{targets: []string{"a"}, after: 10 * time.Millisecond}
		_, sends, err := shared.forward(ctx, ForwarderOptions{}, ForwardedCall{MaxAttempts: 1})
		var refused *NotRunError
		is.True(errors.As(err, &refused))
		is.Equal(len(sends), 0)
	})
}
