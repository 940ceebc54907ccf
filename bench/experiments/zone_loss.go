package experiments

import (
	"context"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/bench/caller"
	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/bench/experiment"
	"github.com/azurebarrow/azurebarrow/standin/engine"
)

func init() {
	experiment.Register(experiment.Experiment{
		Name:    "zone-loss",
		Summary: "an availability zone dies, and one engine more during the recovery",
		Run:     runZoneLoss,
	})
}

const (
	zoneLossGenerations = 200
	zoneLossTokens      = 400
	zoneResumeBoundMs   = 4000
	zoneHighBoundMs     = 1000
	overloadBound       = 1.1
	highPriority        = 5
	lowPriority         = 1
	// highPriorityEvery makes every fifth request urgent.
	highPriorityEvery = 5
	lostZone          = "a"
	secondLossAfter   = 300 * time.Millisecond
)

func runZoneLoss(ctx context.Context, env experiment.Environment, result *experiment.Result) error {
	options := engine.DefaultOptions()
	options.Divergent = true
	options.FixedLength = zoneLossTokens
	deployment := cluster.Generation(recoveryEngines, options)
	deployment.Recovery = v1.Recovery{Prefer: v1.PreferLatency}
	c, err := cluster.Start(ctx, cluster.Options{
		Seed:        env.Seed,
		Entries:     recoveryEntries,
		Processes:   true,
		Binary:      env.Binary,
		Directory:   subdirectory(env, "zone-loss"),
		Deployments: []cluster.DeploymentOptions{deployment},
	})
	if err != nil {
		return err
	}
	defer c.Close()
	priorities := func(i int) *int {
		priority := lowPriority
		if i%highPriorityEvery == 0 {
			priority = highPriority
		}
		return &priority
	}
	wait := recoveryLoad{count: zoneLossGenerations, seed: env.Seed, prefix: "zone", priority: priorities,
		length: func(int) int { return zoneLossTokens }}.start(ctx, c)
	sleepFor(ctx, recoveryRamp+3*time.Second)
	died, err := loseZone(ctx, c)
	if err != nil {
		return err
	}
	answers := wait()
	reportZoneLoss(result, c, answers, died)
	return nil
}

// loseZone kills the zone's engines and entries at once, and one engine more soon after.
func loseZone(ctx context.Context, c *cluster.Cluster) (time.Time, error) {
	died := time.Now()
	for _, t := range c.Engines() {
		if t.Zone == lostZone {
			t.Kill()
		}
	}
	for _, e := range c.Entries {
		if e.Zone != lostZone {
			continue
		}
		if err := e.Kill(); err != nil {
			return died, err
		}
	}
	sleepFor(ctx, secondLossAfter)
	for _, t := range c.Engines() {
		if t.Zone != lostZone {
			t.Kill()
			return died, nil
		}
	}
	return died, nil
}

func reportZoneLoss(result *experiment.Result, c *cluster.Cluster, answers []*caller.Result, died time.Time) {
	var all, high experiment.Samples
	for _, a := range answers {
		gap, index := a.LongestGap()
		if index == 0 || a.Started.Add(a.Arrivals[index]).Before(died) {
			continue
		}
		all.Add(gap)
		if *a.Request.Priority == highPriority {
			high.Add(gap)
		}
	}
	peak := 0.0
	for _, t := range c.Engines() {
		if !t.Running() {
			continue
		}
		share := float64(t.Engine().Stats().PeakInFlight) / float64(engine.DefaultOptions().Concurrency)
		peak = max(peak, share)
	}
	result.Add(
		experiment.AtMost("resume_p99", all.QuantileMs(0.99), experiment.Milliseconds, zoneResumeBoundMs),
		experiment.Unbounded("resume_p50", all.QuantileMs(0.5), experiment.Milliseconds),
		experiment.AtMost("high_priority_resume_p99", high.QuantileMs(0.99), experiment.Milliseconds, zoneHighBoundMs),
		experiment.AtMost("survivor_overload_peak", peak, experiment.Ratio, overloadBound),
		experiment.AtMost("wrong_answers", float64(wrongAnswers(result, answers)), experiment.Count, 0),
	)
	result.AddNote("%v of %d answers; resume is each answer's longest gap that ends after the loss", statuses(answers), len(answers))
}
