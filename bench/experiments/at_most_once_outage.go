package experiments

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/bench/experiment"
	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/standin/fault"
)

func init() {
	experiment.Register(experiment.Experiment{
		Name:    "at-most-once-outage",
		Summary: "calls that may not be repeated while the platform is out for 20 s, then slow",
		Run:     runAtMostOnceOutage,
	})
}

// Times and bounds.
const (
	outageRate            = 100
	outageBefore          = 4 * time.Second
	outageTime            = 20 * time.Second
	outageSlowTime        = 6 * time.Second
	outageAfter           = 4 * time.Second
	outageSlowDelay       = 300 * time.Millisecond
	outageKnownAfter      = 3 * time.Second
	refusedWithinTargetMs = 3000
	refusedAtOnceTargetMs = 100
	recoveredTargetMs     = 2000
	// mintedEvery is the share of callers that bring no key: one in so many.
	mintedEvery = 4
)

// outageTimes are the ends of the experiment's parts.
type outageTimes struct{ began, ended, fast time.Time }

func runAtMostOnceOutage(ctx context.Context, env experiment.Environment, result *experiment.Result) error {
	if env.Binary == "" {
		return cluster.ErrNoBinary
	}
	c, err := recordCluster(ctx, env.Seed, true, env.Binary, filepath.Join(env.Directory, "outage"))
	if err != nil {
		return err
	}
	defer c.Close()
	slowPlatform(c)
	client := newRecordClient(c, env.Seed)
	defer client.client.Close()
	times := make(chan outageTimes, 1)
	go func() { times <- outage(ctx, c, env) }()
	total := outageBefore + outageTime + outageSlowTime + outageAfter
	client.atRate(ctx, outageRate, total, func(index int) {
		call := newRecordCall("outage", index)
		if index%mintedEvery == 0 {
			call.Key = ""
		}
		client.once(ctx, call)
	})
	client.reportOutage(<-times, result)
	env.Logf("every refused call again, under its key")
	client.again(ctx)
	client.report(c, result, "")
	return nil
}

// outage takes the platform away: odd seeds refuse, even ones do not answer.
func outage(ctx context.Context, c *cluster.Cluster, env experiment.Environment) outageTimes {
	kind := fault.Outage
	if env.Seed%2 == 0 {
		kind = fault.Hang
	}
	faults := c.Platform.Faults()
	_ = wait.For(ctx, outageBefore)
	times := outageTimes{began: time.Now()}
	env.Logf("outage (%s)", kind)
	faults.Add(fault.Fault{Kind: kind})
	_ = wait.For(ctx, outageTime)
	env.Logf("slow")
	faults.Clear()
	c.Platform.Apply(fault.Fault{Kind: fault.Slow, Delay: v1.Duration(outageSlowDelay)})
	times.ended = time.Now()
	_ = wait.For(ctx, outageSlowTime)
	env.Logf("fast again")
	faults.Clear()
	slowPlatform(c)
	times.fast = time.Now()
	return times
}

func (r *recordClient) reportOutage(times outageTimes, result *experiment.Result) {
	var caught, known experiment.Samples
	var recovered time.Duration
	outcomes := map[string]int{}
	for _, record := range r.calls {
		refused := record.outcome != outcomeAnswered
		switch {
		case record.started.Before(times.began):
			outcomes[fmt.Sprintf("before: %s %s", record.outcome, record.code)]++
		case record.started.Before(times.ended):
			outcomes[fmt.Sprintf("outage: %s %s", record.outcome, record.code)]++
		default:
			outcomes[fmt.Sprintf("after: %s %s", record.outcome, record.code)]++
		}
		if !refused {
			continue
		}
		if record.ended.After(times.began) && record.started.Before(times.began.Add(outageKnownAfter)) {
			caught.Add(record.first)
		} else if record.started.Before(times.ended) {
			known.Add(record.first)
		} else {
			recovered = max(recovered, record.started.Sub(times.ended))
		}
	}
	result.Add(
		experiment.AtMost("refused_within_p99", caught.QuantileMs(0.99), experiment.Milliseconds, refusedWithinTargetMs),
		experiment.AtMost("refused_at_once_p99", known.QuantileMs(0.99), experiment.Milliseconds, refusedAtOnceTargetMs),
		experiment.Unbounded("refused_at_once_p50", known.QuantileMs(0.5), experiment.Milliseconds),
		experiment.AtMost("recovered_after", experiment.Ms(recovered), experiment.Milliseconds, recoveredTargetMs),
	)
	result.AddNote("%d refused calls were caught by the outage, %d came once it was known; outcomes: %v", len(caught), len(known), outcomes)
	result.AddNote("caught: begun in the first %v of the outage; recovered_after: the latest start of a call that was refused after the outage's end", outageKnownAfter)
}

// again sends every call that brought a key and was refused as unknown once more.
func (r *recordClient) again(ctx context.Context) {
	for _, record := range r.calls {
		if record.call.Key != "" && record.outcome != outcomeAnswered && record.outcome != outcomeNotRun {
			r.insist(ctx, record.call)
		}
	}
}
