package experiments

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/bench/caller"
	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/bench/experiment"
	"github.com/azurebarrow/azurebarrow/standin/engine"
)

func init() {
	experiment.Register(experiment.Experiment{
		Name:    "entry-loss",
		Summary: "entries are killed, frozen and lost with a replica under running generations",
		Run:     runEntryLoss,
	})
}

// Bounds of the experiment.
const (
	reconnectBoundMs    = 100
	redecodedBound      = 0.01
	continuedBound      = 0.99
	commitMedianBoundMs = 1
	commitTailBoundMs   = 5
)

const (
	entryLossGenerations = 320
	entryLossTokens      = 420
	// calmPerEntry and calmTokens are each entry's load while output commit is measured.
	calmPerEntry = 20
	calmTokens   = 120
	entryFreeze  = 5 * time.Second
	entryAway    = time.Second
	betweenLoss  = 1500 * time.Millisecond
	// callerIdle is how long a caller waits on a silent connection.
	callerIdle = time.Second
	// slowReconnect is the latency from which a reconnect is listed by itself.
	slowReconnect = time.Second
)

func runEntryLoss(ctx context.Context, env experiment.Environment, result *experiment.Result) error {
	off, err := calmLatencies(ctx, env, "off", 1)
	if err != nil {
		return err
	}
	on, err := calmLatencies(ctx, env, "on", recoveryEntries)
	if err != nil {
		return err
	}
	result.Add(
		experiment.AtMost("commit_added_latency_p50", on.QuantileMs(0.5)-off.QuantileMs(0.5), experiment.Milliseconds, commitMedianBoundMs),
		experiment.AtMost("commit_added_latency_p99", on.QuantileMs(0.99)-off.QuantileMs(0.99), experiment.Milliseconds, commitTailBoundMs),
		experiment.Unbounded("token_latency_p50_journal_off", off.QuantileMs(0.5), experiment.Milliseconds),
		experiment.Unbounded("token_latency_p99_journal_off", off.QuantileMs(0.99), experiment.Milliseconds),
	)
	result.AddNote("journal off is an entry without peers; both with %d streams for each entry, no delay between zones", calmPerEntry)
	return loseEntries(ctx, env, result)
}

func entryLossCluster(ctx context.Context, env experiment.Environment, name string, entries int, options engine.Options) (*cluster.Cluster, error) {
	deployment := cluster.Generation(recoveryEngines, options)
	deployment.Recovery = v1.Recovery{Prefer: v1.PreferLatency}
	return cluster.Start(ctx, cluster.Options{
		Seed:        env.Seed,
		Entries:     entries,
		Processes:   true,
		Binary:      env.Binary,
		Directory:   subdirectory(env, name),
		Deployments: []cluster.DeploymentOptions{deployment},
	})
}

// emissions collects when each token was generated.
type emissions struct {
	mu    sync.Mutex
	times map[string]map[int]time.Time
}

func (e *emissions) onToken(emission engine.Emission) {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := e.times[emission.RequestID]
	if tokens == nil {
		tokens = map[int]time.Time{}
		e.times[emission.RequestID] = tokens
	}
	tokens[emission.Index] = emission.At
}

// calmLatencies returns the times from the generation of each token to its arrival at the caller.
func calmLatencies(ctx context.Context, env experiment.Environment, name string, entries int) (experiment.Samples, error) {
	seen := &emissions{times: map[string]map[int]time.Time{}}
	options := engine.DefaultOptions()
	options.FixedLength = calmTokens
	options.OnToken = seen.onToken
	c, err := entryLossCluster(ctx, env, "calm-"+name, entries, options)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	answers := recoveryLoad{count: entries * calmPerEntry, seed: env.Seed, prefix: "calm", length: func(int) int { return calmTokens }}.start(ctx, c)()
	var latencies experiment.Samples
	for _, a := range answers {
		for index, arrival := range a.Arrivals {
			if at, found := seen.times[a.Generation][index]; found {
				latencies.Add(a.Started.Add(arrival).Sub(at))
			}
		}
	}
	return latencies, nil
}

// loseEntries kills, freezes and restarts entries while callers read.
func loseEntries(ctx context.Context, env experiment.Environment, result *experiment.Result) error {
	options := engine.DefaultOptions()
	options.Divergent = true
	options.FixedLength = entryLossTokens
	c, err := entryLossCluster(ctx, env, "loss", recoveryEntries, options)
	if err != nil {
		return err
	}
	defer c.Close()
	callers := recoveryLoad{count: entryLossGenerations, seed: env.Seed, prefix: "loss", idle: callerIdle, length: func(int) int { return entryLossTokens }}
	wait := callers.start(ctx, c)
	sleepFor(ctx, recoveryRamp+betweenLoss)
	firstLoss := time.Now()
	if err := entryFaults(ctx, c); err != nil {
		return err
	}
	answers := wait()
	reportEntryLoss(result, c, answers, firstLoss)
	return nil
}

// entryFaults kills one entry, freezes another, and kills two at once, of which one holds replicas
// of the other's generations.
func entryFaults(ctx context.Context, c *cluster.Cluster) error {
	kill := func(entries ...*cluster.Entry) error {
		for _, e := range entries {
			if err := e.Kill(); err != nil {
				return err
			}
		}
		sleepFor(ctx, entryAway)
		for _, e := range entries {
			if err := e.Start(); err != nil {
				return err
			}
		}
		if err := c.WaitReady(ctx); err != nil {
			return err
		}
		sleepFor(ctx, betweenLoss)
		return nil
	}
	if err := kill(c.Entries[1]); err != nil {
		return err
	}
	frozen := c.Entries[4]
	if err := frozen.Stop(); err != nil {
		return err
	}
	sleepFor(ctx, entryFreeze)
	if err := frozen.Continue(); err != nil {
		return err
	}
	sleepFor(ctx, betweenLoss)
	return kill(c.Entries[2], c.Entries[6])
}

// reportEntryLoss reports the reconnects since the first loss. Earlier ones are of callers that gave
// up an answer which waited in an engine's queue for its first token; they are counted apart.
func reportEntryLoss(result *experiment.Result, c *cluster.Cluster, answers []*caller.Result, firstLoss time.Time) {
	var reconnects experiment.Samples
	lost, continued, early := 0, 0, 0
	for _, a := range answers {
		for _, r := range a.Reconnects {
			if a.Started.Add(r.Disconnected).Before(firstLoss) {
				early++
				continue
			}
			reconnects.Add(r.Latency())
			if r.Latency() > slowReconnect {
				result.AddNote("slow: generation %s went on after %v at index %d; connection lost at %v by %s", a.Generation, r.Latency(), r.Index, r.Disconnected, r.Cause)
			}
		}
		if len(a.Reconnects) == 0 && a.Status == caller.Complete {
			continue
		}
		lost++
		if a.Status == caller.Complete {
			continued++
		}
	}
	tokens := delivered(answers)
	redecoded := float64(int(c.EngineStats().DecodeTokens)-tokens) / float64(tokens)
	result.Add(
		experiment.AtMost("reconnect_resume_p99", reconnects.QuantileMs(0.99), experiment.Milliseconds, reconnectBoundMs),
		experiment.Unbounded("reconnect_resume_p50", reconnects.QuantileMs(0.5), experiment.Milliseconds),
		experiment.Unbounded("reconnects", float64(len(reconnects)), experiment.Count),
		experiment.Unbounded("reconnects_before_first_loss", float64(early), experiment.Count),
		experiment.AtMost("redecoded_share", redecoded, experiment.Fraction, redecodedBound),
		experiment.AtLeast("continued_share", float64(continued)/float64(max(1, lost)), experiment.Fraction, continuedBound),
		experiment.AtMost("wrong_answers", float64(wrongAnswers(result, answers)), experiment.Count, 0),
	)
	bytes, sent := scrape(c, "azurebarrow_journal_bytes"), scrape(c, "azurebarrow_journal_tokens")
	if sent > 0 {
		result.Add(experiment.Unbounded("replica_bytes_per_token", bytes/sent, experiment.BytesPerToken))
	}
	result.AddNote("%v of %d answers, %d entries lost under %d of them; bytes per token and replica on the wire", statuses(answers), len(answers), 4, lost)
}

// scrape adds a metric up over the running entries.
func scrape(c *cluster.Cluster, name string) float64 {
	sum := 0.0
	for _, e := range c.Entries {
		response, err := http.Get("http://" + e.AdminAddress + "/metrics")
		if err != nil {
			continue // a dead entry has none
		}
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() {
			metric, value, _ := strings.Cut(lines.Text(), " ")
			if metric == name {
				number, _ := strconv.ParseFloat(value, 64)
				sum += number
			}
		}
		response.Body.Close()
	}
	return sum
}
