package experiments

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/bench/caller"
	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/standin/service"
)

// Limits of one call of a service.
const (
	tryPatience  = 2 * time.Second
	callPatience = 20 * time.Second
	tryPause     = 20 * time.Millisecond
	// onceKeyPrefix marks the keys of calls that may not be repeated.
	onceKeyPrefix = "once-"
)

// Outcomes of a call, besides those that entries report.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not-run"
	outcomeNone     = "none"
)

// onceOutcome is what a caller knows of an at-most-once call in the end.
type onceOutcome struct {
	key     string
	outcome string
	wrong   bool
}

// lookupCounts counts interactive calls.
type lookupCounts struct{ calls, answered, wrong int }

// everyArrival starts act at random times of a mean rate, and waits for all.
func (s *soak) everyArrival(ctx context.Context, seed uint64, rate float64, act func(index int)) {
	random := rand.New(rand.NewPCG(uint64(s.env.Seed), seed))
	ended := time.After(s.sizes.duration)
	var acts sync.WaitGroup
	defer acts.Wait()
	for i := 0; ; i++ {
		pause := time.Duration(random.ExpFloat64() / (rate * s.sizes.traffic) * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case <-time.After(pause):
		}
		acts.Go(func() { act(i) })
	}
}

// callOnce makes calls that may not be repeated, each tried again under its key until its outcome
// is definite.
func (s *soak) callOnce(ctx context.Context, deployment string) {
	s.everyArrival(ctx, uint64(len(deployment)), onceRate, func(index int) {
		call := caller.Call{
			Key:        fmt.Sprintf("%s%s-%d", onceKeyPrefix, deployment, index),
			APIKey:     cluster.APIKey(soakCustomerNames()[index%soakCustomers]),
			Deployment: deployment,
			Method:     http.MethodPost,
			Path:       cluster.AtMostOncePath,
			Body:       fmt.Sprintf("weighing %d", index),
		}
		outcome := s.insist(ctx, call)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.once = append(s.once, outcome)
	})
}

// insist tries a call until it is answered or reported as not run.
func (s *soak) insist(ctx context.Context, call caller.Call) onceOutcome {
	ctx, cancel := context.WithTimeout(ctx, callPatience)
	defer cancel()
	last := onceOutcome{key: call.Key, outcome: outcomeNone}
	for ctx.Err() == nil {
		try, cancelTry := context.WithTimeout(ctx, tryPatience)
		result := s.client.Do(try, call, "")
		cancelTry()
		switch {
		case result.Status == http.StatusOK && result.Answered():
			return onceOutcome{key: call.Key, outcome: outcomeAnswered, wrong: !answers(result, call)}
		case result.Outcome == outcomeNotRun:
			return onceOutcome{key: call.Key, outcome: outcomeNotRun}
		case result.Outcome != "":
			last.outcome = result.Outcome
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(tryPause, result.RetryAfter)):
		}
	}
	return last
}

// answers tells whether a result is the stand-in's answer to this very call.
func answers(result *caller.CallResult, call caller.Call) bool {
	var answer service.Answer
	if json.Unmarshal([]byte(result.Body), &answer) != nil {
		return false
	}
	return strings.HasSuffix(answer.Key, call.Key) && answer.Path == call.Path && answer.Body == call.Body
}

// lookUp makes interactive calls, one try each.
func (s *soak) lookUp(ctx context.Context, deployment string) {
	s.everyArrival(ctx, uint64(len(deployment))*31, lookupRate, func(index int) {
		call := caller.Call{
			Key:        fmt.Sprintf("lookup-%s-%d", deployment, index),
			APIKey:     cluster.APIKey(soakCustomerNames()[index%soakCustomers]),
			Deployment: deployment,
			Method:     http.MethodGet,
			Path:       cluster.InteractivePath,
		}
		try, cancel := context.WithTimeout(ctx, tryPatience)
		defer cancel()
		result := s.client.Do(try, call, "")
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lookups.calls++
		if result.Status != http.StatusOK || !result.Answered() {
			return
		}
		s.lookups.answered++
		if !answers(result, call) {
			s.lookups.wrong++
			s.result.AddViolation("%s got an answer that is not its own", call.Key)
		}
	})
}

// onceSummary sums the at-most-once calls up.
type onceSummary struct{ calls, answered, wrong, twice, notRunButRan, never int }

// judgeOnce compares what callers were told with what the services ran.
func (s *soak) judgeOnce() onceSummary {
	runs := map[string]int{}
	for _, t := range s.cluster.Services() {
		for _, key := range t.Service().Keys() {
			if at := strings.Index(key.Key, onceKeyPrefix); at >= 0 {
				runs[key.Key[at:]] += key.Count
			}
		}
	}
	sum := onceSummary{calls: len(s.once)}
	for key, count := range runs {
		if count > 1 {
			sum.twice++
			s.result.AddViolation("%s ran %d times", key, count)
		}
	}
	for _, o := range s.once {
		sum.add(o, runs[o.key])
		if o.wrong {
			s.result.AddViolation("%s got an answer that is not its own", o.key)
		}
		if o.outcome == outcomeNotRun && runs[o.key] > 0 {
			s.result.AddViolation("%s was reported as not run and ran", o.key)
		}
	}
	return sum
}

func (u *onceSummary) add(o onceOutcome, runs int) {
	if o.wrong {
		u.wrong++
	}
	switch o.outcome {
	case outcomeAnswered:
		u.answered++
	case outcomeNotRun:
		if runs > 0 {
			u.notRunButRan++
		}
	case outcomeNone:
		u.never++
	}
}
