package experiments

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurebarrow/azurebarrow/bench/caller"
	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/bench/experiment"
	"github.com/azurebarrow/azurebarrow/standin/engine"
)

func init() {
	experiment.Register(experiment.Experiment{
		Name:    "throughput",
		Summary: "what an entry adds: latency per token, processor time per token, memory per open stream",
		Run:     runThroughput,
	})
}

// Bounds of the figures.
const (
	addedLatencyTargetMs    = 2
	tokensPerCoreTarget     = 100_000
	bytesPerStreamTarget    = 64 << 10
	latencyStreams          = 200
	latencyTokens           = 200
	latencyEngines          = 16
	openStreams             = 2000
	openStreamInterval      = 250 * time.Millisecond
	openStreamTokens        = 24
	rateStreams             = 256
	rateEngines             = 8
	rateInterval            = 5 * time.Millisecond
	rateWindow              = 6 * time.Second
	rateWarmUp              = 2 * time.Second
	skippedTokens           = 5
	throughputCallerTimeout = 50 * time.Second
)

func runThroughput(ctx context.Context, env experiment.Environment, result *experiment.Result) error {
	if env.Binary == "" {
		return cluster.ErrNoBinary
	}
	for _, part := range []func(context.Context, experiment.Environment, *experiment.Result) error{
		measureMemory, measureAddedLatency, measureProcessorTime,
	} {
		if err := part(ctx, env, result); err != nil {
			return err
		}
	}
	return nil
}

// startOne starts one entry as a process, with engines that are reached without forwarders.
func startOne(ctx context.Context, env experiment.Environment, engines int, options engine.Options) (*cluster.Cluster, error) {
	return cluster.Start(ctx, cluster.Options{
		Seed:        env.Seed,
		Entries:     1,
		Processes:   true,
		Binary:      env.Binary,
		Directory:   env.Directory,
		Direct:      true,
		Deployments: []cluster.DeploymentOptions{cluster.Generation(engines, options)},
	})
}

func roomyEngine(interval time.Duration, tokens, concurrency int) engine.Options {
	options := engine.DefaultOptions()
	options.TokenInterval = interval
	options.BatchGrowth = 0
	options.PrefillPerToken = 0
	options.FixedLength = tokens
	options.Concurrency = concurrency
	return options
}

// measureMemory compares the entry's memory before and while many streams are open.
func measureMemory(ctx context.Context, env experiment.Environment, result *experiment.Result) error {
	env.Logf("memory of %d open streams", openStreams)
	c, err := startOne(ctx, env, 2, roomyEngine(openStreamInterval, openStreamTokens, openStreams))
	if err != nil {
		return err
	}
	defer c.Close()
	before, err := c.Entries[0].ResidentBytes()
	if err != nil {
		return err
	}
	var open atomic.Int64
	allOpen := make(chan struct{})
	client := caller.New(caller.Options{
		Addresses:   c.Addresses(),
		Timeout:     throughputCallerTimeout,
		IdleTimeout: throughputCallerTimeout,
		OnStart: func(caller.Request, string) {
			if open.Add(1) == openStreams {
				close(allOpen)
			}
		},
	})
	defer client.Close()
	answers := make(chan []*caller.Result, 1)
	go func() { answers <- generateAll(ctx, client, openStreams, openStreamTokens, env.Seed) }()
	select {
	case <-allOpen:
	case <-time.After(throughputCallerTimeout):
		return fmt.Errorf("%d of %d streams opened in time", open.Load(), openStreams)
	}
	during, err := c.Entries[0].ResidentBytes()
	if err != nil {
		return err
	}
	noteWrong(result, <-answers)
	perStream := float64(during-before) / openStreams
	result.Add(experiment.AtMost("bytes_per_open_stream", perStream, experiment.Bytes, bytesPerStreamTarget))
	return nil
}

func noteWrong(result *experiment.Result, answers []*caller.Result) {
	complete, wrong := judge(answers)
	for _, text := range wrong {
		result.AddViolation("wrong answer: %s", text)
	}
	if complete < len(answers) {
		result.AddNote("%d of %d answers were complete", complete, len(answers))
	}
}

// pairs compares the arrival of each token through the entry with that of a direct reader.
type pairs struct {
	cluster *cluster.Cluster
	mu      sync.Mutex
	direct  map[string][]time.Time
	readers sync.WaitGroup
	missed  atomic.Int64
}

// measureAddedLatency reads each stream twice: through the entry, and from the engine itself.
func measureAddedLatency(ctx context.Context, env experiment.Environment, result *experiment.Result) error {
	env.Logf("added latency of %d streams at the usual token interval", latencyStreams)
	options := roomyEngine(engine.DefaultOptions().TokenInterval, latencyTokens, latencyStreams)
	c, err := startOne(ctx, env, latencyEngines, options)
	if err != nil {
		return err
	}
	defer c.Close()
	p := &pairs{cluster: c, direct: map[string][]time.Time{}}
	client := caller.New(caller.Options{
		Addresses: c.Addresses(),
		Timeout:   throughputCallerTimeout,
		OnStart:   func(_ caller.Request, generation string) { p.follow(ctx, generation) },
	})
	defer client.Close()
	answers := generateAll(ctx, client, latencyStreams, latencyTokens, env.Seed)
	p.readers.Wait()
	noteWrong(result, answers)
	if missed := p.missed.Load(); missed > 0 {
		result.AddNote("%d streams could not be read directly", missed)
	}
	added := p.differences(answers)
	if len(added) == 0 {
		return errors.New("no stream could be read directly")
	}
	result.Add(
		experiment.Unbounded("added_token_latency_p50", added.QuantileMs(0.50), experiment.Milliseconds),
		experiment.AtMost("added_token_latency_p99", added.QuantileMs(0.99), experiment.Milliseconds, addedLatencyTargetMs),
		experiment.Unbounded("added_token_latency_samples", float64(len(added)), experiment.Count),
	)
	return env.DrawQuantiles("latency that an entry adds to a token", experiment.Series{Name: "added latency", Samples: added})
}

// follow reads a generation's first attempt at whichever engine has it.
func (p *pairs) follow(ctx context.Context, generation string) {
	p.readers.Go(func() {
		for _, t := range p.cluster.Engines() {
			attempts := t.Engine().Attempts(generation)
			if len(attempts) == 0 {
				continue
			}
			arrivals, err := readDirect(ctx, t.Address(), generation, attempts[0])
			if err == nil {
				p.mu.Lock()
				p.direct[generation] = arrivals
				p.mu.Unlock()
				return
			}
		}
		p.missed.Add(1)
	})
}

var errNoStream = errors.New("the engine does not have the stream")

// readDirect returns the arrival of each event of a stream, read from the engine.
func readDirect(ctx context.Context, address, generation string, attempt int) ([]time.Time, error) {
	url := "http://" + address + "/v1/streams/" + generation + "/" + strconv.Itoa(attempt) + "?from=0"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errNoStream
	}
	var arrivals []time.Time
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if bytes.HasPrefix(lines.Bytes(), []byte("data: ")) {
			arrivals = append(arrivals, time.Now())
		}
	}
	return arrivals, lines.Err()
}

// differences leaves out the first tokens, which the direct reader gets late from the log.
func (p *pairs) differences(answers []*caller.Result) experiment.Samples {
	var added experiment.Samples
	for _, answer := range answers {
		direct := p.direct[answer.Generation]
		for i := skippedTokens; i < min(len(direct), len(answer.Arrivals)); i++ {
			added.Add(answer.Started.Add(answer.Arrivals[i]).Sub(direct[i]))
		}
	}
	return added
}

// measureProcessorTime divides the tokens of a window by the processor time of the entry in it.
func measureProcessorTime(ctx context.Context, env experiment.Environment, result *experiment.Result) error {
	env.Logf("processor time at %d streams of %v a token", rateStreams, rateInterval)
	tokens := int((rateWarmUp+rateWindow)/rateInterval) * 2
	c, err := startOne(ctx, env, rateEngines, roomyEngine(rateInterval, tokens, rateStreams))
	if err != nil {
		return err
	}
	defer c.Close()
	var received atomic.Int64
	client := caller.New(caller.Options{
		Addresses: c.Addresses(),
		Timeout:   throughputCallerTimeout,
		OnToken:   func(int, string) { received.Add(1) },
	})
	defer client.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan []*caller.Result, 1)
	go func() { answers <- generateAll(ctx, client, rateStreams, tokens, env.Seed) }()
	time.Sleep(rateWarmUp)
	cpuBefore, err := c.Entries[0].CPUTime()
	if err != nil {
		return err
	}
	before := received.Load()
	time.Sleep(rateWindow)
	cpuAfter, err := c.Entries[0].CPUTime()
	if err != nil {
		return err
	}
	count := float64(received.Load() - before)
	cancel()
	_, wrong := judge(<-answers)
	for _, text := range wrong {
		result.AddViolation("wrong answer: %s", text)
	}
	result.Add(
		experiment.AtLeast("tokens_per_core_second", count/(cpuAfter-cpuBefore).Seconds(), experiment.PerSecond, tokensPerCoreTarget),
		experiment.Unbounded("tokens_per_second", count/rateWindow.Seconds(), experiment.PerSecond),
	)
	return nil
}
