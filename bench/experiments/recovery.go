package experiments

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/bench/caller"
	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/bench/experiment"
	"github.com/azurebarrow/azurebarrow/standin/engine"
)

// Sizes of the recovery experiments.
const (
	recoveryEntries = 8
	recoveryEngines = 24
	// recoveryPromptBytes is the length of a prompt.
	recoveryPromptBytes = 1200
	recoveryTimeout     = 100 * time.Second
	// recoveryRamp is the time over which callers arrive.
	recoveryRamp = 1500 * time.Millisecond
)

// attemptStart is the first token of one attempt at an engine.
type attemptStart struct {
	engine.Emission
}

// firstToken is the engine's own time to the attempt's first token.
func (s attemptStart) firstToken() time.Duration { return s.At.Sub(s.Accepted) }

// attemptLog collects the attempts' first tokens.
type attemptLog struct {
	mu     sync.Mutex
	starts map[string][]attemptStart
}

func newAttemptLog() *attemptLog { return &attemptLog{starts: map[string][]attemptStart{}} }

func (l *attemptLog) onToken(e engine.Emission) {
	if e.Index != e.From {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts[e.RequestID] = append(l.starts[e.RequestID], attemptStart{Emission: e})
}

// of returns the attempts of a generation, in order of their first tokens.
func (l *attemptLog) of(generation string) []attemptStart {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]attemptStart(nil), l.starts[generation]...)
}

func (l *attemptLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, starts := range l.starts {
		count += len(starts)
	}
	return count
}

// recoveryLoad is a number of callers, each with one request.
type recoveryLoad struct {
	count  int
	seed   int64
	prefix string
	// length returns the length of the answer of the i-th request.
	length func(i int) int
	// priority returns its priority, nil for the customer's.
	priority func(i int) *int
	// idle is how long a caller waits on a silent connection; 0 is the usual time.
	idle time.Duration
}

// start begins the requests and returns a function that waits for the results.
func (l recoveryLoad) start(ctx context.Context, c *cluster.Cluster) func() []*caller.Result {
	client := caller.New(caller.Options{Addresses: c.Addresses(), Seed: l.seed, Timeout: recoveryTimeout, IdleTimeout: l.idle, RetryNotRun: true})
	results := make([]*caller.Result, l.count)
	var group sync.WaitGroup
	for i := range l.count {
		group.Go(func() {
			sleepFor(ctx, time.Duration(i)*recoveryRamp/time.Duration(l.count))
			address := c.Addresses()[i%len(c.Addresses())]
			results[i] = client.GenerateAt(ctx, l.request(i), address)
		})
	}
	return func() []*caller.Result {
		group.Wait()
		client.Close()
		return results
	}
}

func (l recoveryLoad) request(i int) caller.Request {
	random := rand.New(rand.NewPCG(uint64(l.seed), uint64(i)))
	prompt := fmt.Sprintf("%s %d %016x ", l.prefix, i, random.Uint64())
	length := l.length(i)
	request := caller.Request{
		Key:        fmt.Sprintf("%s-%d", l.prefix, i),
		APIKey:     cluster.APIKey(cluster.DefaultCustomer),
		Deployment: cluster.DefaultGeneration,
		Prompt:     prompt + strings.Repeat("x", recoveryPromptBytes-len(prompt)),
		MaxTokens:  length,
		Seed:       int64(i),
		Model:      cluster.DefaultModel,
		Version:    cluster.DefaultVersion,
		Length:     length,
	}
	if l.priority != nil {
		request.Priority = l.priority(i)
	}
	return request
}

func sleepFor(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// wrongAnswers counts answers that are wrong, and notes the first of them.
func wrongAnswers(result *experiment.Result, answers []*caller.Result) int {
	wrong := 0
	for _, a := range answers {
		if len(a.Violations) == 0 {
			continue
		}
		if wrong == 0 {
			result.AddViolation("wrong answer to %s: %s", a.Request.Key, a.Violations[0])
		}
		wrong++
	}
	return wrong
}

// statuses counts answers by their status.
func statuses(answers []*caller.Result) map[caller.Status]int {
	counts := map[caller.Status]int{}
	for _, a := range answers {
		counts[a.Status]++
	}
	return counts
}

func delivered(answers []*caller.Result) int {
	tokens := 0
	for _, a := range answers {
		tokens += len(a.Tokens)
	}
	return tokens
}

var silentLine = regexp.MustCompile(`msg=stream-silent.* target=(\S+)`)

// suspicions counts the silent streams that entries have logged, by target.
func suspicions(c *cluster.Cluster) map[string]int {
	counts := map[string]int{}
	for _, e := range c.Entries {
		text, err := os.ReadFile(e.LogFile())
		if err != nil {
			continue
		}
		for _, match := range silentLine.FindAllStringSubmatch(string(text), -1) {
			counts[match[1]]++
		}
	}
	return counts
}
