package experiments

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/platformhttp"
	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/bench/experiment"
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/invariant"
	"github.com/azurebarrow/azurebarrow/standin/engine"
	"github.com/azurebarrow/azurebarrow/standin/fault"
	"github.com/azurebarrow/azurebarrow/standin/platform"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
)

// Sizes and bounds of the experiment.
const (
	configEntries        = 8
	configChanges        = 200
	configChangeInterval = 100 * time.Millisecond
	inForceBoundMs       = 2000
	startBoundMs         = 2000
	idleCallsBound       = 0.2
	// configSettle is the time in which the last change must be in force everywhere.
	configSettle = 3 * time.Second
	// largestIdle is the most entries run in this process; 128 would open more than 20000 file
	// descriptors while they greet each other.
	largestIdle = 64
	// idleWindow is longer than a watch waits, so that each watcher's call is counted; idleSettle
	// is the time in which the waits grow to their full length.
	idleWindow = 20 * time.Second
	idleSettle = 14 * time.Second
)

func init() {
	experiment.Register(experiment.Experiment{
		Name:    "config",
		Summary: "changes of the configuration among faults, and the platform calls of idle entries",
		Run:     runConfig,
	})
}

func runConfig(ctx context.Context, env experiment.Environment, result *experiment.Result) error {
	violations := invariant.Violations()
	var idle idleCalls
	var baseline float64
	var idleErr, baselineErr, err error
	var parts sync.WaitGroup
	parts.Go(func() { idle, idleErr = measureIdleCalls(ctx, env) })
	parts.Go(func() { baseline, baselineErr = callsWithoutRelaying(ctx, largestIdle) })
	parts.Go(func() { err = measureChanges(ctx, env, result) })
	parts.Wait()
	if err := errors.Join(err, idleErr, baselineErr); err != nil {
		return err
	}
	idle.report(result)
	result.Add(
		experiment.Unbounded("baseline_platform_calls_per_second_without_relaying", baseline, experiment.PerSecond),
		experiment.Unbounded("platform_calls_ratio_to_baseline", idle.perSecond[len(idle.perSecond)-1]/baseline, experiment.Ratio),
	)
	if broken := invariant.Violations() - violations; broken > 0 {
		result.AddViolation("%d violations of an invariant in the entries", broken)
	}
	return nil
}

// measureChanges makes the changes among faults and reports what became of them.
func measureChanges(ctx context.Context, env experiment.Environment, result *experiment.Result) error {
	c, err := cluster.Start(ctx, cluster.Options{
		Seed:        env.Seed,
		Entries:     configEntries,
		Directory:   env.Directory,
		Deployments: []cluster.DeploymentOptions{cluster.Generation(3, engine.DefaultOptions())},
	})
	if err != nil {
		return err
	}
	defer closeTogether(c)
	operator := newOperator(c.PlatformServer.URL(), env.Seed)
	if err := operator.create(ctx); err != nil {
		return err
	}
	watching, stop := context.WithCancel(ctx)
	defer stop()
	observers := startObservers(watching, c.Entries)
	script := &configFaults{cluster: c, env: env}
	var run sync.WaitGroup
	run.Go(func() { script.run(ctx) })
	changes := operator.change(ctx, configChanges, configChangeInterval)
	run.Wait()
	if script.err != nil {
		return script.err
	}
	time.Sleep(configSettle)
	stop()
	observers.wait()
	reportChanges(result, changes, operator, observers, script)
	return nil
}

func reportChanges(result *experiment.Result, changes []configChange, operator *operator, observers *observers, script *configFaults) {
	var inForce experiment.Samples
	missing := 0
	for _, change := range changes {
		for _, o := range observers.list {
			took, seen := o.inForceAfter(change, script)
			if !seen {
				missing++
				continue
			}
			inForce.Add(took)
		}
	}
	lost := missing
	for _, o := range observers.list {
		lost += o.lost(operator)
	}
	result.Add(
		experiment.Unbounded("changes", float64(len(changes)), experiment.Count),
		experiment.AtMost("in_force_p99", inForce.QuantileMs(0.99), experiment.Milliseconds, inForceBoundMs),
		experiment.Unbounded("in_force_p50", inForce.QuantileMs(0.5), experiment.Milliseconds),
		experiment.Unbounded("in_force_max", inForce.QuantileMs(1), experiment.Milliseconds),
		experiment.AtMost("reverts", float64(observers.reverts()), experiment.Count, 0),
		experiment.AtMost("lost_changes", float64(lost), experiment.Count, 0),
		experiment.AtMost("start_during_outage", script.starts.QuantileMs(1), experiment.Milliseconds, startBoundMs),
		experiment.Unbounded("starts_during_outage", float64(len(script.starts)), experiment.Count),
		experiment.Unbounded("cold_start", experiment.Ms(script.coldStart), experiment.Milliseconds),
	)
	result.AddNote("in_force counts from the later of: the change acknowledged, the platform answering currently again, the entry ready again")
}

// configFaults plays the faults in a fixed order and notes when the platform did not answer.
type configFaults struct {
	cluster *cluster.Cluster
	env     experiment.Environment
	err     error

	mu sync.Mutex
	// dark are the times in which the platform did not answer, or answered from the past.
	dark      []span
	starts    experiment.Samples
	coldStart time.Duration
}

type span struct{ from, to time.Time }

// answeredFrom returns the earliest time from at on at which the platform answered.
func (f *configFaults) answeredFrom(at time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, dark := range f.dark {
		if !at.Before(dark.from) && at.Before(dark.to) {
			at = dark.to
		}
	}
	return at
}

const (
	faultPause      = 1500 * time.Millisecond
	outageLength    = 2500 * time.Millisecond
	staleLength     = 1500 * time.Millisecond
	partitionLength = 3 * time.Second
	lostAnswers     = 6
)

func (f *configFaults) run(ctx context.Context) {
	entries := f.cluster.Entries
	steps := []func(context.Context) error{
		func(ctx context.Context) error { return f.startDuring(ctx, fault.Outage, entries[7]) },
		f.stale,
		f.loseAnswers,
		func(context.Context) error { return f.partition(entries[0]) },
		func(ctx context.Context) error { return f.restart(ctx, entries[1]) },
		func(ctx context.Context) error { return f.startDuring(ctx, fault.Hang, entries[2]) },
		f.restartAll,
	}
	for _, step := range steps {
		time.Sleep(faultPause)
		if f.err = step(ctx); f.err != nil {
			return
		}
	}
}

// startDuring restarts an entry while the platform does not answer.
func (f *configFaults) startDuring(ctx context.Context, kind fault.Kind, entry *cluster.Entry) error {
	f.env.Logf("%s, and %s starts in it", kind, entry.Name)
	from := time.Now()
	f.cluster.Platform.Apply(fault.Fault{Kind: kind, Duration: v1.Duration(outageLength)})
	f.noteDark(from, from.Add(outageLength))
	began, err := restartEntry(ctx, entry)
	if err != nil {
		return err
	}
	f.starts.Add(time.Since(began))
	time.Sleep(time.Until(from.Add(outageLength)))
	return nil
}

func (f *configFaults) noteDark(from, to time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dark = append(f.dark, span{from, to})
}

// restartEntry ends an entry, starts it again, waits until it is ready and returns when it started.
func restartEntry(ctx context.Context, entry *cluster.Entry) (began time.Time, err error) {
	if err := entry.Terminate(); err != nil {
		return began, err
	}
	if err := entry.Wait(ctx); err != nil {
		return began, err
	}
	began = time.Now()
	if err := entry.Start(); err != nil {
		return began, err
	}
	return began, entry.WaitReady(ctx)
}

func (f *configFaults) stale(context.Context) error {
	f.env.Logf("stale reads")
	from := time.Now()
	f.cluster.Platform.Apply(fault.Fault{Kind: fault.StaleReads, Duration: v1.Duration(staleLength)})
	f.noteDark(from, from.Add(staleLength))
	time.Sleep(staleLength)
	return nil
}

func (f *configFaults) loseAnswers(context.Context) error {
	f.env.Logf("%d lost answers", lostAnswers)
	f.cluster.Platform.Apply(fault.Fault{Kind: fault.LostWriteResponse, Count: lostAnswers})
	return nil
}

// partition cuts one entry from the platform; it must follow its peers.
func (f *configFaults) partition(entry *cluster.Entry) error {
	f.env.Logf("%s is cut from the platform", entry.Name)
	entry.PlatformLink.Cut()
	time.Sleep(partitionLength)
	entry.PlatformLink.Heal()
	return nil
}

func (f *configFaults) restart(ctx context.Context, entry *cluster.Entry) error {
	f.env.Logf("%s restarts", entry.Name)
	_, err := restartEntry(ctx, entry)
	return err
}

// restartAll ends all entries before it starts the first one again.
func (f *configFaults) restartAll(ctx context.Context) error {
	f.env.Logf("cold start of all")
	for _, entry := range f.cluster.Entries {
		if err := entry.Terminate(); err != nil {
			return err
		}
	}
	for _, entry := range f.cluster.Entries {
		if err := entry.Wait(ctx); err != nil {
			return err
		}
	}
	began := time.Now()
	for _, entry := range f.cluster.Entries {
		if err := entry.Start(); err != nil {
			return err
		}
	}
	err := f.cluster.WaitReady(ctx)
	f.coldStart = time.Since(began)
	return err
}

// idleCalls are the platform calls of idle entries, by the number of entries.
type idleCalls struct {
	sizes     []int
	perSecond []float64
}

// measureIdleCalls runs idle clusters of growing size. They have no targets, so that nothing but
// the entries' own duties is counted.
func measureIdleCalls(ctx context.Context, env experiment.Environment) (idleCalls, error) {
	calls := idleCalls{sizes: []int{8, 32, largestIdle}}
	calls.perSecond = make([]float64, len(calls.sizes))
	errs := make([]error, len(calls.sizes))
	var clusters sync.WaitGroup
	for i, size := range calls.sizes {
		clusters.Go(func() { calls.perSecond[i], errs[i] = idleCallsOf(ctx, env, size) })
	}
	clusters.Wait()
	return calls, errors.Join(errs...)
}

func idleCallsOf(ctx context.Context, env experiment.Environment, size int) (float64, error) {
	env.Logf("%d idle entries", size)
	c, err := cluster.Start(ctx, cluster.Options{Seed: env.Seed, Entries: size, Platform: platform.DefaultOptions()})
	if err != nil {
		return 0, fmt.Errorf("%d idle entries: %w", size, err)
	}
	defer closeTogether(c)
	time.Sleep(idleSettle)
	before := c.Platform.Stats().Calls()
	time.Sleep(idleWindow)
	return float64(c.Platform.Stats().Calls()-before) / idleWindow.Seconds(), nil
}

// callsWithoutRelaying counts the calls of configuration managers that each watch by themselves,
// which is the usual way. It counts nothing else of an entry.
func callsWithoutRelaying(ctx context.Context, size int) (float64, error) {
	c, err := cluster.New(cluster.Options{})
	if err != nil {
		return 0, err
	}
	defer c.Close()
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for i := range size {
		manager := config.NewManager(config.Options{
			Platform:     platformhttp.New(c.PlatformServer.URL(), platformhttp.Options{}),
			Registration: config.Registration{Name: fmt.Sprintf("alone-%d", i)},
		})
		running.Go(func() { _ = manager.Run(ctx) })
	}
	time.Sleep(idleSettle)
	before := c.Platform.Stats().Calls()
	time.Sleep(idleWindow)
	calls := c.Platform.Stats().Calls() - before
	cancel()
	running.Wait()
	return float64(calls) / idleWindow.Seconds(), nil
}

func (i idleCalls) report(result *experiment.Result) {
	for n, size := range i.sizes {
		result.Add(experiment.Unbounded(fmt.Sprintf("platform_calls_per_second_%d_entries", size), i.perSecond[n], experiment.PerSecond))
	}
	last := len(i.sizes) - 1
	slope := (i.perSecond[last] - i.perSecond[0]) / float64(i.sizes[last]-i.sizes[0])
	perEntry := i.perSecond[0] / float64(i.sizes[0])
	result.Add(
		experiment.AtMost("platform_calls_per_second_idle_per_entry", perEntry, experiment.PerSecond, idleCallsBound),
		experiment.Unbounded("platform_calls_per_second_slope_per_entry", slope, experiment.PerSecond),
	)
}

// closeTogether ends all entries at once, which takes less time than one after the other.
func closeTogether(c *cluster.Cluster) {
	for _, entry := range c.Entries {
		_ = entry.Terminate()
	}
	c.Close()
}

// benchPeerClient calls entries as a peer.
func benchPeerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
}
