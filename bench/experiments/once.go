package experiments

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/bench/caller"
	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/standin/platform"
	"github.com/azurebarrow/azurebarrow/standin/service"
)

// Sizes of the at-most-once experiments.
const (
	recordEntries = 8
	recordTargets = 3
	// platformDelay is what the stand-in's answers take, as the users' platform does.
	platformMillis   = 3
	recordPatience   = 15 * time.Second
	recordTryTimeout = 4 * time.Second
	recordPause      = 50 * time.Millisecond
)

// recordCall is one call that may not be repeated, and what its caller was told in the end.
type recordCall struct {
	call    caller.Call
	started time.Time
	ended   time.Time
	outcome string
	code    string
	// first is how long the first try took.
	first time.Duration
	wrong bool
}

// recordClient sends calls that may not be repeated and keeps what became of them.
type recordClient struct {
	client *caller.Caller

	mu     sync.Mutex
	random *rand.Rand
	calls  []*recordCall
}

func newRecordClient(c *cluster.Cluster, seed int64) *recordClient {
	return &recordClient{
		client: caller.New(caller.Options{Addresses: c.Addresses(), Seed: seed}),
		random: rand.New(rand.NewPCG(uint64(seed), 7)),
	}
}

// chance draws whether something of a probability happens.
func (r *recordClient) chance(probability float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64() < probability
}

func (r *recordClient) keep(c *recordCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

func newRecordCall(name string, index int) caller.Call {
	key := fmt.Sprintf("%s%s-%d", onceKeyPrefix, name, index)
	return caller.Call{
		Key:        key,
		APIKey:     cluster.APIKey(cluster.DefaultCustomer),
		Deployment: cluster.DefaultService,
		Method:     http.MethodPost,
		Path:       cluster.AtMostOncePath,
		Body:       "weighing " + key,
	}
}

// once makes one try.
func (r *recordClient) once(ctx context.Context, call caller.Call) *recordCall {
	record := &recordCall{call: call, started: time.Now()}
	result := r.try(ctx, call)
	record.take(result)
	record.first = result.Duration
	record.ended = time.Now()
	r.keep(record)
	return record
}

func (r *recordClient) try(ctx context.Context, call caller.Call) *caller.CallResult {
	ctx, cancel := context.WithTimeout(ctx, recordTryTimeout)
	defer cancel()
	return r.client.Do(ctx, call, "")
}

func (c *recordCall) take(result *caller.CallResult) {
	switch {
	case result.Status == http.StatusOK && result.Answered():
		c.outcome, c.code = outcomeAnswered, ""
		c.wrong = !answers(result, c.call)
	case result.Outcome != "":
		c.outcome, c.code = result.Outcome, result.Code
	default:
		c.outcome = outcomeNone
	}
}

// insist sends a call through random entries until the answer is final: answered, not-run, or
// unknown without a time to come back. Now and then a caller sends it twice at once, or goes away
// early and comes back.
func (r *recordClient) insist(ctx context.Context, call caller.Call) {
	const (
		twiceShare = 0.1
		earlyShare = 0.1
		earlyAfter = 4 * time.Millisecond
	)
	ctx, cancel := context.WithTimeout(ctx, recordPatience)
	defer cancel()
	record := &recordCall{call: call, started: time.Now(), outcome: outcomeNone}
	defer r.keep(record)
	if r.chance(twiceShare) {
		go r.try(ctx, call)
	}
	if r.chance(earlyShare) {
		early, leave := context.WithTimeout(ctx, earlyAfter)
		r.try(early, call)
		leave()
	}
	for ctx.Err() == nil {
		result := r.try(ctx, call)
		record.take(result)
		final := record.outcome == outcomeAnswered || record.outcome == outcomeNotRun || result.Outcome != "" && result.RetryAfter == 0
		if final {
			break
		}
		pause := max(recordPause, min(result.RetryAfter, time.Second))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	record.ended = time.Now()
}

// atRate calls act at a steady mean rate for a time, and waits for all.
func (r *recordClient) atRate(ctx context.Context, rate float64, duration time.Duration, act func(index int)) {
	var acts sync.WaitGroup
	defer acts.Wait()
	start := time.Now()
	next := start
	for i := 0; ctx.Err() == nil && time.Since(start) < duration; i++ {
		r.mu.Lock()
		next = next.Add(time.Duration(r.random.ExpFloat64() / rate * float64(time.Second)))
		r.mu.Unlock()
		time.Sleep(time.Until(next))
		acts.Go(func() { act(i) })
	}
}

// executions returns how often the call of each body ran.
func executions(c *cluster.Cluster) map[string]int {
	counts := map[string]int{}
	for _, target := range c.Services() {
		for _, execution := range target.Service().Executions() {
			counts[execution.Body]++
		}
	}
	return counts
}

// verdicts counts what must never happen.
type verdicts struct{ twice, notRunButRan, wrong int }

func (r *recordClient) judge(c *cluster.Cluster) verdicts {
	counts := executions(c)
	var v verdicts
	for _, count := range counts {
		if count > 1 {
			v.twice++
		}
	}
	for _, record := range r.calls {
		if record.outcome == outcomeNotRun && counts[record.call.Body] > 0 {
			v.notRunButRan++
		}
		if record.wrong {
			v.wrong++
		}
	}
	return v
}

func recordCluster(ctx context.Context, seed int64, processes bool, binary, directory string) (*cluster.Cluster, error) {
	const ownerOnly = 0o700
	if err := os.MkdirAll(directory, ownerOnly); err != nil {
		return nil, err
	}
	return cluster.Start(ctx, cluster.Options{
		Seed:        seed,
		Entries:     recordEntries,
		Processes:   processes,
		Binary:      binary,
		Directory:   directory,
		Platform:    platform.DefaultOptions(),
		Deployments: []cluster.DeploymentOptions{cluster.Service(recordTargets, service.Options{Latency: time.Millisecond})},
	})
}
