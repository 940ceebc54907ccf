package experiments

import (
	"context"
	"fmt"
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
		Name:    "poison",
		Summary: "one prompt kills each engine that runs it and is sent again through all entries",
		Run:     runPoison,
	})
}

const (
	poisonText           = "POISON"
	poisonInnocents      = 300
	poisonTokens         = 300
	poisonDeadAfter      = 5
	poisonTargetsBound   = 3
	poisonResends        = 2 * recoveryEntries
	poisonCallerPatience = 20 * time.Second
)

func runPoison(ctx context.Context, env experiment.Environment, result *experiment.Result) error {
	options := engine.DefaultOptions()
	options.Divergent = true
	options.FixedLength = poisonTokens
	deployment := cluster.Generation(recoveryEngines, options)
	deployment.Recovery = v1.Recovery{Prefer: v1.PreferLatency}
	c, err := cluster.Start(ctx, cluster.Options{
		Seed:        env.Seed,
		Entries:     recoveryEntries,
		Directory:   subdirectory(env, "poison"),
		Deployments: []cluster.DeploymentOptions{deployment},
	})
	if err != nil {
		return err
	}
	defer c.Close()
	for _, t := range c.Engines() {
		t.Apply(fault.Fault{Kind: fault.Crash, Match: poisonText, After: poisonDeadAfter})
	}
	wait := recoveryLoad{count: poisonInnocents, seed: env.Seed, prefix: "innocent", length: func(int) int { return poisonTokens }}.start(ctx, c)
	sleepFor(ctx, recoveryRamp+time.Second)
	refused := sendPoison(ctx, env, c)
	answers := wait()
	refusedInnocents := 0
	for _, a := range answers {
		if a.Status != caller.Complete {
			refusedInnocents++
		}
	}
	result.Add(
		experiment.AtMost("targets_killed", float64(c.EngineStats().Kills), experiment.Count, poisonTargetsBound),
		experiment.AtMost("innocent_refused", float64(refusedInnocents), experiment.Count, 0),
		experiment.AtMost("wrong_answers", float64(wrongAnswers(result, answers)), experiment.Count, 0),
		experiment.Unbounded("poison_refused", float64(refused), experiment.Count),
		experiment.Unbounded("poison_sent", poisonResends, experiment.Count),
		// Without the charges, each try kills an engine until the entry gives up: one for each resend
		// at least.
		experiment.Unbounded("targets_killed_without_charges", min(poisonResends, recoveryEngines), experiment.Count),
	)
	result.AddNote("%v of %d innocent answers", statuses(answers), len(answers))
	result.AddNote("targets_killed_without_charges is reckoned, not run: one engine for each resend, all engines at most")
	return nil
}

// sendPoison sends the prompt under new keys through each entry in turn and returns how often it was
// refused for good.
func sendPoison(ctx context.Context, env experiment.Environment, c *cluster.Cluster) int {
	client := caller.New(caller.Options{Addresses: c.Addresses(), Seed: env.Seed, Timeout: poisonCallerPatience})
	defer client.Close()
	refused := 0
	for i := range poisonResends {
		request := recoveryLoad{seed: env.Seed, prefix: poisonText, length: func(int) int { return poisonTokens }}.request(0)
		request.Key = fmt.Sprintf("poison-%d", i)
		answer := client.GenerateAt(ctx, request, c.Addresses()[i%len(c.Addresses())])
		if answer.Status == caller.Refused {
			refused++
		}
	}
	return refused
}
