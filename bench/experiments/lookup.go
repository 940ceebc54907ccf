package experiments

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/servicehttp"
	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/bench/experiment"
	"github.com/azurebarrow/azurebarrow/service"
	"github.com/azurebarrow/azurebarrow/standin/fault"
	standin "github.com/azurebarrow/azurebarrow/standin/service"
)

func init() {
	experiment.Register(experiment.Experiment{
		Name:    "lookup",
		Summary: "interactive calls while one of three targets turns slow and dies, and beside long work",
		Run:     runLookup,
	})
}

// Sizes and bounds.
const (
	lookupEntries       = 4
	lookupTargets       = 3
	lookupLatency       = 5 * time.Millisecond
	lookupSlowFactor    = 50
	lookupCallRate      = 400
	lookupPart          = 4 * time.Second
	lookupLongPath      = "/long-report"
	lookupLongTime      = 2 * time.Second
	lookupLongRate      = 20
	lookupConcurrency   = 16
	lookupHedgedTarget  = 0.2
	lookupExtraTarget   = 0.05
	lookupHeadroomBound = 1.2
	// headroomRounds measures alone and beside long work in turn, so that other work on the machine
	// disturbs both alike.
	headroomRounds = 5
	headroomPart   = 1500 * time.Millisecond
	headroomFill   = 500 * time.Millisecond
)

// lookupFleet is several entries' executors before the same three targets.
type lookupFleet struct {
	cluster   *cluster.Cluster
	executors []*service.Executor
	transport *servicehttp.Transport
	random    *rand.Rand
}

// lookupDirectory lists a cluster's targets; it implements service.Directory.
type lookupDirectory struct{ cluster *cluster.Cluster }

// Targets implements service.Directory.
func (d lookupDirectory) Targets(string) []service.Target {
	var targets []service.Target
	for _, target := range d.cluster.Services() {
		targets = append(targets, service.Target{Name: target.Name, Address: target.Address(), Concurrency: lookupConcurrency})
	}
	return targets
}

func newLookupFleet(seed int64, unhedged bool) (*lookupFleet, error) {
	c, err := cluster.New(cluster.Options{Direct: true, Deployments: nil})
	if err != nil {
		return nil, err
	}
	if err := c.AddDeployment(cluster.Service(lookupTargets, standin.Options{Latency: lookupLatency})); err != nil {
		c.Close()
		return nil, err
	}
	f := &lookupFleet{cluster: c, transport: servicehttp.New(servicehttp.Options{}), random: rand.New(rand.NewPCG(uint64(seed), 3))}
	for i := range lookupEntries {
		f.executors = append(f.executors, service.NewExecutor(service.Options{
			Transport:      f.transport,
			Directory:      lookupDirectory{c},
			Entries:        func() int { return lookupEntries },
			Seed:           uint64(seed) + uint64(i),
			DisableHedging: unhedged,
		}))
	}
	return f, nil
}

func (f *lookupFleet) close() {
	f.transport.Close()
	f.cluster.Close()
}

// lookups makes interactive calls for a time and returns their latencies and the number of errors.
func (f *lookupFleet) lookups(ctx context.Context, duration time.Duration) (experiment.Samples, int) {
	var mu sync.Mutex
	var samples experiment.Samples
	failed := 0
	f.atRate(ctx, lookupCallRate, duration, func(executor *service.Executor, index int) {
		start := time.Now()
		result := executor.Do(ctx, lookupCall(v1.ClassInteractive, cluster.InteractivePath, index))
		took := time.Since(start)
		mu.Lock()
		defer mu.Unlock()
		samples.Add(took)
		if result.Answer == nil || result.Answer.Status >= 400 {
			failed++
		}
	})
	return samples, failed
}

func lookupCall(class v1.CallClass, path string, index int) service.Call {
	return service.Call{Customer: "c1", Key: fmt.Sprintf("%s-%d", class, index), Deployment: cluster.DefaultService, Class: class, Method: "GET", Path: path}
}

func (f *lookupFleet) atRate(ctx context.Context, rate float64, duration time.Duration, act func(*service.Executor, int)) {
	var acts sync.WaitGroup
	defer acts.Wait()
	next := time.Now()
	end := next.Add(duration)
	random := rand.New(rand.NewPCG(f.random.Uint64(), 1))
	for i := 0; ctx.Err() == nil && next.Before(end); i++ {
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		executor := f.executors[random.IntN(len(f.executors))]
		acts.Go(func() { act(executor, i) })
	}
}

// slowThenDead makes lookups while the first target turns slow and then dies.
func (f *lookupFleet) slowThenDead(ctx context.Context) (experiment.Samples, int) {
	target := f.cluster.Services()[0]
	_, failed := f.lookups(ctx, lookupPart) // only warms up; its errors count
	target.Apply(fault.Fault{Kind: fault.Slow, Delay: v1.Duration((lookupSlowFactor - 1) * lookupLatency)})
	slow, failedSlow := f.lookups(ctx, lookupPart)
	dying := time.AfterFunc(lookupPart/8, target.Kill)
	defer dying.Stop()
	dead, failedDead := f.lookups(ctx, lookupPart)
	return append(slow, dead...), failed + failedSlow + failedDead
}

func runLookup(ctx context.Context, env experiment.Environment, result *experiment.Result) error {
	hedged, err := newLookupFleet(env.Seed, false)
	if err != nil {
		return err
	}
	defer hedged.close()
	unhedged, err := newLookupFleet(env.Seed, true)
	if err != nil {
		return err
	}
	defer unhedged.close()
	env.Logf("hedged")
	with, failed := hedged.slowThenDead(ctx)
	calls, extra := int64(0), int64(0)
	for _, executor := range hedged.executors {
		stats := executor.Stats()
		calls += stats.Interactive
		extra += stats.ExtraAttempts
	}
	env.Logf("unhedged")
	without, failedWithout := unhedged.slowThenDead(ctx)
	result.Add(
		experiment.Unbounded("p50", with.QuantileMs(0.5), experiment.Milliseconds),
		experiment.Unbounded("p99", with.QuantileMs(0.99), experiment.Milliseconds),
		experiment.Unbounded("unhedged_p99", without.QuantileMs(0.99), experiment.Milliseconds),
		experiment.AtMost("p99_vs_unhedged", with.QuantileMs(0.99)/without.QuantileMs(0.99), experiment.Ratio, lookupHedgedTarget),
		experiment.AtMost("extra_calls_share", float64(extra)/float64(calls), experiment.Fraction, lookupExtraTarget),
		experiment.AtMost("errors", float64(failed), experiment.Count, 0),
		experiment.Unbounded("unhedged_errors", float64(failedWithout), experiment.Count),
	)
	result.AddNote("the executors of %d entries run in this process, before real HTTP targets; the way from callers to entries is left out", lookupEntries)
	return measureHeadroom(ctx, env, result)
}

// measureHeadroom compares lookups alone with lookups beside long idempotent calls that fill the
// targets' slots.
func measureHeadroom(ctx context.Context, env experiment.Environment, result *experiment.Result) error {
	fleet, err := newLookupFleet(env.Seed, false)
	if err != nil {
		return err
	}
	defer fleet.close()
	for _, target := range fleet.cluster.Services() {
		target.Apply(fault.Fault{Kind: fault.Slow, Match: lookupLongPath, Delay: v1.Duration(lookupLongTime)})
	}
	env.Logf("alone and beside long work, in turn")
	var alone, beside experiment.Samples
	failures := 0
	for range headroomRounds {
		samples, failed := fleet.lookups(ctx, headroomPart)
		alone = append(alone, samples...)
		failures += failed
		samples, failed = fleet.lookupsBesideLongWork(ctx)
		beside = append(beside, samples...)
		failures += failed
	}
	result.Add(
		experiment.Unbounded("p99_alone", alone.QuantileMs(0.99), experiment.Milliseconds),
		experiment.Unbounded("p99_beside_long_work", beside.QuantileMs(0.99), experiment.Milliseconds),
		experiment.AtMost("p99_beside_long_work_vs_alone", beside.QuantileMs(0.99)/alone.QuantileMs(0.99), experiment.Ratio, lookupHeadroomBound),
		experiment.AtMost("errors_beside_long_work", float64(failures), experiment.Count, 0),
	)
	return nil
}

// lookupsBesideLongWork makes lookups while long calls fill the slots that are left to them.
func (f *lookupFleet) lookupsBesideLongWork(ctx context.Context) (experiment.Samples, int) {
	longCtx, stop := context.WithCancel(ctx)
	var long sync.WaitGroup
	long.Go(func() {
		f.atRate(longCtx, lookupLongRate, headroomFill+headroomPart, func(executor *service.Executor, index int) {
			executor.Do(longCtx, lookupCall(v1.ClassIdempotent, lookupLongPath, index))
		})
	})
	time.Sleep(headroomFill)
	samples, failed := f.lookups(ctx, headroomPart)
	stop()
	long.Wait()
	return samples, failed
}
