package experiments

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/platformhttp"
	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/bench/experiment"
	"github.com/azurebarrow/azurebarrow/invariant"
	"github.com/azurebarrow/azurebarrow/standin/fault"
)

func init() {
	experiment.Register(experiment.Experiment{
		Name:    "at-most-once",
		Summary: "calls that may not be repeated: under load, and under random faults with retries through any entry",
		Run:     runAtMostOnce,
	})
}

// Sizes and bounds.
const (
	onceLoadRate          = 5000
	onceLoadTime          = 6 * time.Second
	onceLoadWarmUp        = 2 * time.Second
	onceStartTime         = 2 * time.Second
	onceLightRate         = 400
	onceLightTime         = 4 * time.Second
	onceFaultRate         = 150
	onceFaultTime         = 22 * time.Second
	claimRoundTrips       = 2
	claimsPerWriteTarget  = 20
	writesPerSecondTarget = 300
	// excuseMargin is how long a fault counts after its end: connections and views recover.
	excuseMargin = time.Second
)

func runAtMostOnce(ctx context.Context, env experiment.Environment, result *experiment.Result) error {
	if env.Binary == "" {
		return cluster.ErrNoBinary
	}
	for _, part := range []func(context.Context, experiment.Environment, *experiment.Result) error{
		measureClaims, measureObjectPerKey, measureOnceUnderFaults,
	} {
		if err := part(ctx, env, result); err != nil {
			return err
		}
	}
	if count := invariant.Violations(); count > 0 {
		result.AddViolation("%d invariants broke in this process", count)
	}
	return nil
}

func slowPlatform(c *cluster.Cluster) {
	c.Platform.Apply(fault.Fault{Kind: fault.Slow, Delay: v1.Duration(platformMillis * time.Millisecond)})
}

// platformRoundTrip measures a small conditional write from where the entries are.
func platformRoundTrip(ctx context.Context, c *cluster.Cluster) (experiment.Samples, error) {
	const writes = 100
	client := platformhttp.New("http://"+c.Entries[0].PlatformLink.Address(), platformhttp.Options{})
	var samples experiment.Samples
	revision := int64(0)
	for range writes {
		start := time.Now()
		object, err := client.Put(ctx, "BenchProbe", "probe", revision, []byte(`{}`))
		if err != nil {
			return nil, err
		}
		revision = object.Revision
		samples.Add(time.Since(start))
	}
	return samples, nil
}

// measureClaims measures writes and latency without faults, first lightly loaded, then under load.
func measureClaims(ctx context.Context, env experiment.Environment, result *experiment.Result) error {
	c, err := recordCluster(ctx, env.Seed, true, env.Binary, filepath.Join(env.Directory, "load"))
	if err != nil {
		return err
	}
	defer c.Close()
	slowPlatform(c)
	trip, err := platformRoundTrip(ctx, c)
	if err != nil {
		return err
	}
	client := newRecordClient(c, env.Seed)
	defer client.client.Close()
	env.Logf("light load")
	client.measure(ctx, c, "start", onceLightRate, onceStartTime) // the entries find each other
	light, _ := client.measure(ctx, c, "light", onceLightRate, onceLightTime)
	env.Logf("load")
	client.measure(ctx, c, "warm", onceLoadRate, onceLoadWarmUp)
	loaded, writes := client.measure(ctx, c, "load", onceLoadRate, onceLoadTime)
	plain := client.measureIdempotent(ctx, onceLightRate, onceLightTime)
	tripMs := trip.QuantileMs(0.5)
	result.Add(
		experiment.Unbounded("platform_round_trip_p50", tripMs, experiment.Milliseconds),
		experiment.AtMost("claim_latency_p50", light.QuantileMs(0.5)-plain.QuantileMs(0.5), experiment.Milliseconds, claimRoundTrips*tripMs),
		experiment.Unbounded("claim_latency_p99", light.QuantileMs(0.99)-plain.QuantileMs(0.5), experiment.Milliseconds),
		experiment.Unbounded("claim_latency_p50_at_load", loaded.QuantileMs(0.5)-plain.QuantileMs(0.5), experiment.Milliseconds),
		experiment.Unbounded("claim_latency_p99_at_load", loaded.QuantileMs(0.99)-plain.QuantileMs(0.5), experiment.Milliseconds),
		experiment.Unbounded("calls_per_second", float64(len(loaded))/onceLoadTime.Seconds(), experiment.PerSecond),
		experiment.AtLeast("claims_per_write", float64(len(loaded))/max(1, writes), experiment.Ratio, claimsPerWriteTarget),
		experiment.AtMost("platform_writes_per_second", writes/onceLoadTime.Seconds(), experiment.PerSecond, writesPerSecondTarget),
	)
	result.AddNote("claim latency is a call's time less the median time of an idempotent call through the same entries; claims_per_write counts every write of the platform")
	client.report(c, result, "load_")
	return nil
}

// measure makes calls at a rate and returns the times of those answered and the platform's writes.
func (r *recordClient) measure(ctx context.Context, c *cluster.Cluster, name string, rate float64, duration time.Duration) (experiment.Samples, float64) {
	before := c.Platform.Stats()
	var mu sync.Mutex
	var samples experiment.Samples
	r.atRate(ctx, rate, duration, func(index int) {
		record := r.once(ctx, newRecordCall(name, index))
		if record.outcome != outcomeAnswered {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		samples.Add(record.first)
	})
	after := c.Platform.Stats()
	return samples, float64(after.Puts + after.Deletes - before.Puts - before.Deletes)
}

func (r *recordClient) measureIdempotent(ctx context.Context, rate float64, duration time.Duration) experiment.Samples {
	var mu sync.Mutex
	var samples experiment.Samples
	r.atRate(ctx, rate, duration, func(index int) {
		call := newRecordCall("plain", index)
		call.Path = cluster.IdempotentPath
		result := r.try(ctx, call)
		mu.Lock()
		defer mu.Unlock()
		samples.Add(result.Duration)
	})
	return samples
}

// report adds what must never happen.
func (r *recordClient) report(c *cluster.Cluster, result *experiment.Result, prefix string) {
	v := r.judge(c)
	result.Add(
		experiment.AtMost(prefix+"executed_twice", float64(v.twice), experiment.Count, 0),
		experiment.AtMost(prefix+"not_run_but_ran", float64(v.notRunButRan), experiment.Count, 0),
		experiment.AtMost(prefix+"wrong_answers", float64(v.wrong), experiment.Count, 0),
	)
	if v != (verdicts{}) {
		result.AddViolation("%sexecuted twice %d, not run but ran %d, wrong %d", prefix, v.twice, v.notRunButRan, v.wrong)
	}
}

// measureObjectPerKey is the baseline: a claim is the creation of an object of its own.
func measureObjectPerKey(ctx context.Context, env experiment.Environment, result *experiment.Result) error {
	const (
		duration = 3 * time.Second
		workers  = 64
	)
	c, err := cluster.New(cluster.Options{})
	if err != nil {
		return err
	}
	defer c.Close()
	slowPlatform(c)
	client := platformhttp.New(c.PlatformServer.URL(), platformhttp.Options{})
	var claimed, refused atomic.Int64
	var group sync.WaitGroup
	end := time.Now().Add(duration)
	for worker := range workers {
		group.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				_, err := client.Put(ctx, "BaselineClaim", fmt.Sprintf("%d-%d", worker, i), 0, []byte(`{}`))
				if err == nil {
					claimed.Add(1)
				} else {
					refused.Add(1)
				}
			}
		})
	}
	group.Wait()
	result.Add(
		experiment.Unbounded("baseline_object_per_key_claims_per_second", float64(claimed.Load())/duration.Seconds(), experiment.PerSecond),
		experiment.Unbounded("baseline_object_per_key_refused_share", float64(refused.Load())/float64(claimed.Load()+refused.Load()), experiment.Fraction),
		experiment.Unbounded("baseline_object_per_key_claims_per_write", 1, experiment.Ratio),
	)
	return nil
}

// excuse is a time during which an entry or target was dead, paused or resetting connections.
type excuse struct{ from, until time.Time }

// disturber injects faults at random and remembers those that excuse an unknown outcome.
type disturber struct {
	cluster *cluster.Cluster
	random  *rand.Rand
	excuses []excuse
	counts  map[string]int
}

// measureOnceUnderFaults sends calls through random entries while things fail.
func measureOnceUnderFaults(ctx context.Context, env experiment.Environment, result *experiment.Result) error {
	c, err := recordCluster(ctx, env.Seed, true, env.Binary, filepath.Join(env.Directory, "faults"))
	if err != nil {
		return err
	}
	defer c.Close()
	slowPlatform(c)
	client := newRecordClient(c, env.Seed)
	defer client.client.Close()
	d := &disturber{cluster: c, random: rand.New(rand.NewPCG(uint64(env.Seed), 9)), counts: map[string]int{}}
	env.Logf("faults")
	faulty, stop := context.WithTimeout(ctx, onceFaultTime)
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { d.run(faulty) })
	client.atRate(ctx, onceFaultRate, onceFaultTime, func(index int) { client.insist(ctx, newRecordCall("fault", index)) })
	group.Wait()
	client.report(c, result, "")
	d.report(client, result)
	return nil
}

// run injects one fault after the other, now and then two at once.
func (d *disturber) run(ctx context.Context) {
	const (
		pauseBetween = 900 * time.Millisecond
		pairShare    = 0.3
	)
	for ctx.Err() == nil {
		undo := []func(){d.inject()}
		if d.random.Float64() < pairShare {
			undo = append(undo, d.inject())
		}
		lasts := time.Duration(100+d.random.IntN(700)) * time.Millisecond
		time.Sleep(lasts)
		for _, end := range undo {
			end()
		}
		select {
		case <-time.After(pauseBetween):
		case <-ctx.Done():
		}
	}
}

// inject switches one fault on and returns what ends it.
func (d *disturber) inject() func() {
	entry := d.cluster.Entries[d.random.IntN(len(d.cluster.Entries))]
	target := d.cluster.Services()[d.random.IntN(recordTargets)]
	platform := d.cluster.Platform
	switch kind := d.random.IntN(9); kind {
	case 0:
		return d.excused("entry killed", func() { _ = entry.Kill() }, func() { _ = entry.Start() })
	case 1:
		return d.excused("entry paused", func() { _ = entry.Stop() }, func() { _ = entry.Continue() })
	case 2:
		return d.excused("target killed", target.Kill, func() { _ = target.Restart() })
	case 3:
		return d.excused("target paused", target.Pause, target.Continue)
	case 4:
		return d.excused("target resets after the run", func() { target.Apply(fault.Fault{Kind: fault.ResetAfter, Count: 5}) }, target.ClearFaults)
	case 5:
		return d.excused("target resets before the run", func() { target.Apply(fault.Fault{Kind: fault.ResetBefore, Count: 5}) }, target.ClearFaults)
	case 6:
		d.counts["platform loses answers"]++
		platform.Apply(fault.Fault{Kind: fault.LostWriteResponse, Count: 20})
		return func() { platform.Faults().Remove(fault.LostWriteResponse) }
	case 7:
		d.counts["platform refuses for a moment"]++
		platform.Apply(fault.Fault{Kind: fault.Outage, Count: 10})
		return func() { platform.Faults().Remove(fault.Outage) }
	default:
		d.counts["entry cut from the platform"]++
		entry.PlatformLink.Cut()
		return entry.PlatformLink.Heal
	}
}

func (d *disturber) excused(name string, begin, end func()) func() {
	d.counts[name]++
	from := time.Now()
	begin()
	return func() {
		end()
		d.excuses = append(d.excuses, excuse{from, time.Now().Add(excuseMargin)})
	}
}

func (d *disturber) excusesCall(record *recordCall) bool {
	for _, e := range d.excuses {
		if record.started.Before(e.until) && record.ended.After(e.from) {
			return true
		}
	}
	return false
}

func (d *disturber) report(client *recordClient, result *experiment.Result) {
	outcomes := map[string]int{}
	avoidable, excusable := 0, 0
	for _, record := range client.calls {
		outcomes[strings.TrimSpace(record.outcome+" "+record.code)]++
		excused := d.excusesCall(record)
		if excused {
			excusable++
		}
		if record.outcome != outcomeAnswered && record.outcome != outcomeNotRun && !excused {
			avoidable++
		}
	}
	total := float64(max(1, len(client.calls)))
	result.Add(
		experiment.AtMost("unknown_share_avoidable", float64(avoidable)/total, experiment.Fraction, 0),
		experiment.Unbounded("answered_share", float64(outcomes[outcomeAnswered])/total, experiment.Fraction),
		experiment.Unbounded("calls_beside_an_excusing_fault_share", float64(excusable)/total, experiment.Fraction),
	)
	result.AddNote("outcomes under faults: %v", outcomes)
	result.AddNote("faults: %v", d.counts)
}
