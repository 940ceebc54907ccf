package experiments

import (
	"context"
	"os"
	"path/filepath"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/bench/caller"
	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/bench/experiment"
	"github.com/azurebarrow/azurebarrow/standin/engine"
	"github.com/azurebarrow/azurebarrow/standin/fault"
)

func init() {
	experiment.Register(experiment.Experiment{
		Name:    "resume",
		Summary: "engines die, freeze or slow down under running generations",
		Run:     runResume,
	})
}

// Bounds of the experiment.
const (
	resetOverheadBoundMs = 10
	stallLatencyBoundMs  = 300
	stallCostBoundMs     = 1500
	extraCostBound       = 0.01
	extraLatencyBound    = 0.03
	extraRestartBound    = 0.2
	falseSuspicionsBound = 1
)

const (
	// stallGenerations and stallTokens are the load of the latency parts.
	stallGenerations = 240
	stallTokens      = 300
	// workGenerations is the load of the parts that measure engine work.
	workGenerations = 500
	workInterval    = 15 * time.Millisecond
	// workStride mixes short and long answers; it has no divisor in common with workGenerations.
	workStride    = 7
	leastTokens   = 200
	mostTokens    = 2000
	faultyEngines = 3
	// slowFactor is the growth of a step when engines are merely slow.
	slowFactor = 3
	slowFor    = 4 * time.Second
)

func runResume(ctx context.Context, env experiment.Environment, result *experiment.Result) error {
	var wrong, suspected, generations int
	for _, prefer := range []v1.RecoveryPreference{v1.PreferLatency, v1.PreferCost} {
		part, err := runStalls(ctx, env, result, prefer)
		if err != nil {
			return err
		}
		part.report(result, prefer)
		wrong += part.wrong
		suspected += part.falseSuspicions
		generations += stallGenerations
	}
	for _, prefer := range []v1.RecoveryPreference{v1.PreferCost, v1.PreferLatency} {
		part, err := runWork(ctx, env, result, prefer)
		if err != nil {
			return err
		}
		part.report(result, prefer)
		wrong += part.wrong
	}
	perThousand := float64(suspected) * 1000 / float64(generations)
	result.Add(
		experiment.AtMost("false_suspicions_per_1000", perThousand, experiment.Count, falseSuspicionsBound),
		experiment.AtMost("wrong_answers", float64(wrong), experiment.Count, 0),
	)
	return nil
}

func resumeCluster(ctx context.Context, env experiment.Environment, name string, options engine.Options, prefer v1.RecoveryPreference) (*cluster.Cluster, error) {
	deployment := cluster.Generation(recoveryEngines, options)
	deployment.Recovery = v1.Recovery{Prefer: prefer}
	return cluster.Start(ctx, cluster.Options{
		Seed:        env.Seed,
		Entries:     recoveryEntries,
		Processes:   true, // one process has too few file descriptors for all
		Binary:      env.Binary,
		Directory:   subdirectory(env, name),
		Deployments: []cluster.DeploymentOptions{deployment},
	})
}

// stallPart is what one preference gave under deaths, freezes and slowness.
type stallPart struct {
	resets, stalls  experiment.Samples
	falseSuspicions int
	wrong           int
}

func runStalls(ctx context.Context, env experiment.Environment, result *experiment.Result, prefer v1.RecoveryPreference) (*stallPart, error) {
	attempts := newAttemptLog()
	options := engine.DefaultOptions()
	options.Divergent = true
	options.FixedLength = stallTokens
	options.OnToken = attempts.onToken
	c, err := resumeCluster(ctx, env, "stall-"+string(prefer), options, prefer)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	wait := recoveryLoad{count: stallGenerations, seed: env.Seed, prefix: "stall", length: func(int) int { return stallTokens }}.start(ctx, c)
	events := map[string]lossEvent{}
	sleepFor(ctx, recoveryRamp+time.Second)
	for _, t := range c.Engines()[:faultyEngines] {
		t.Apply(fault.Fault{Kind: fault.Slow, Factor: slowFactor, Duration: v1.Duration(slowFor)}) // merely slow: no fault
	}
	sleepFor(ctx, 2*time.Second)
	for i, t := range c.Engines()[faultyEngines : 3*faultyEngines] {
		event := lossEvent{at: time.Now(), frozen: i >= faultyEngines}
		if event.frozen {
			t.Pause()
		} else {
			t.Kill()
		}
		events[t.Name] = event
		sleepFor(ctx, 700*time.Millisecond)
	}
	answers := wait()
	part := &stallPart{wrong: wrongAnswers(result, answers)}
	for target, count := range suspicions(c) {
		if _, lost := events[target]; !lost {
			part.falseSuspicions += count
			result.AddNote("%s: %d suspicions of %s, which was not faulty", prefer, count, target)
		}
	}
	part.measure(answers, attempts, events)
	result.AddNote("%s: %v of %d answers", prefer, statuses(answers), len(answers))
	return part, nil
}

// lossEvent is the loss of one engine.
type lossEvent struct {
	at     time.Time
	frozen bool
}

// measure looks at each attempt that followed one on a lost engine: the caller's silence lasts from
// the loss to the attempt's first token. For deaths the engine's own time to its first token is not
// counted; a freeze counts whole.
func (p *stallPart) measure(answers []*caller.Result, attempts *attemptLog, events map[string]lossEvent) {
	for _, a := range answers {
		starts := attempts.of(a.Generation)
		for i := 1; i < len(starts); i++ {
			event, lost := events[starts[i-1].Engine]
			if !lost || starts[i].Accepted.Before(event.at) || starts[i].From >= len(a.Arrivals) {
				continue
			}
			silence := a.Started.Add(a.Arrivals[starts[i].From]).Sub(event.at)
			if event.frozen {
				p.stalls.Add(silence)
			} else {
				p.resets.Add(silence - starts[i].firstToken())
			}
		}
	}
}

func (p *stallPart) report(result *experiment.Result, prefer v1.RecoveryPreference) {
	bound := float64(stallCostBoundMs)
	if prefer == v1.PreferLatency {
		bound = stallLatencyBoundMs
	}
	result.Add(
		experiment.AtMost("reset_overhead_p99_"+string(prefer), p.resets.QuantileMs(0.99), experiment.Milliseconds, resetOverheadBoundMs),
		experiment.Unbounded("reset_overhead_p50_"+string(prefer), p.resets.QuantileMs(0.5), experiment.Milliseconds),
		experiment.Unbounded("resets_"+string(prefer), float64(len(p.resets)), experiment.Count),
		experiment.AtMost("stall_p99_"+string(prefer), p.stalls.QuantileMs(0.99), experiment.Milliseconds, bound),
		experiment.Unbounded("stall_p50_"+string(prefer), p.stalls.QuantileMs(0.5), experiment.Milliseconds),
		experiment.Unbounded("stalls_"+string(prefer), float64(len(p.stalls)), experiment.Count),
	)
}

// workPart is the engine work of one preference.
type workPart struct {
	extra, versusRestart float64
	lost                 int
	wrong                int
}

// runWork loses three engines under generations of natural lengths and compares the engines' work
// with that of a faultless run. Prefill is scaled with the token interval.
func runWork(ctx context.Context, env experiment.Environment, result *experiment.Result, prefer v1.RecoveryPreference) (*workPart, error) {
	options := engine.DefaultOptions()
	options.PrefillPerToken = options.PrefillPerToken * workInterval / options.TokenInterval
	options.TokenInterval = workInterval
	options.Concurrency = recoveryEngines
	attempts := newAttemptLog()
	options.OnToken = attempts.onToken
	options.FixedLength = mostTokens
	options.Divergent = true
	c, err := resumeCluster(ctx, env, "work-"+string(prefer), options, prefer)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	length := func(i int) int {
		share := float64(i*workStride%workGenerations) / workGenerations
		return leastTokens + int(share*share*share*(mostTokens-leastTokens))
	}
	wait := recoveryLoad{count: workGenerations, seed: env.Seed, prefix: "work", length: length}.start(ctx, c)
	sleepFor(ctx, recoveryRamp+2*time.Second)
	part := &workPart{}
	for i, t := range c.Engines()[:faultyEngines] {
		stats := t.Engine().Stats()
		part.lost += stats.Running + stats.Queued
		if i == 0 {
			t.Pause()
		} else {
			t.Kill()
		}
		sleepFor(ctx, 2*time.Second)
	}
	answers := wait()
	part.wrong = wrongAnswers(result, answers)
	part.measure(c, options, answers, attempts)
	result.AddNote("work %s: %v of %d answers, %d streams lost, %d attempts", prefer, statuses(answers), len(answers), part.lost, attempts.count())
	return part, nil
}

func (p *workPart) measure(c *cluster.Cluster, options engine.Options, answers []*caller.Result, attempts *attemptLog) {
	const promptTokens = recoveryPromptBytes / engine.PromptBytesPerToken
	stats := c.EngineStats()
	faultless := engine.WorkMs(options, int64(len(answers)*promptTokens), int64(delivered(answers)))
	takenOver, extraAttempts := 0, 0
	for _, a := range answers {
		for _, start := range attempts.of(a.Generation)[1:] {
			takenOver += start.From
			extraAttempts++
		}
	}
	if extraAttempts == 0 {
		return
	}
	// The floor is one prefill of prompt and tokens for each lost stream.
	share := min(1, float64(p.lost)/float64(extraAttempts))
	floor := share * engine.WorkMs(options, int64(extraAttempts*promptTokens+takenOver), 0)
	p.extra = (stats.WorkMs - faultless - floor) / faultless
	// Restarting from scratch repeats the prompt and every token that was there.
	restart := engine.WorkMs(options, int64(p.lost*promptTokens), int64(share*float64(takenOver)))
	p.versusRestart = (stats.WorkMs - faultless) / restart
}

func (p *workPart) report(result *experiment.Result, prefer v1.RecoveryPreference) {
	bound := extraCostBound
	if prefer == v1.PreferLatency {
		bound = extraLatencyBound
	}
	result.Add(
		experiment.AtMost("extra_work_"+string(prefer), p.extra, experiment.Fraction, bound),
		experiment.AtMost("extra_work_vs_restart_"+string(prefer), p.versusRestart, experiment.Ratio, extraRestartBound),
		experiment.Unbounded("lost_streams_"+string(prefer), float64(p.lost), experiment.Count),
	)
}

// subdirectory returns a directory of its own for one cluster of a run; empty, which means a
// temporary one, when it can't be made.
func subdirectory(env experiment.Environment, name string) string {
	const ownerOnly = 0o700
	path := filepath.Join(env.Directory, name)
	if os.MkdirAll(path, ownerOnly) != nil {
		return ""
	}
	return path
}
