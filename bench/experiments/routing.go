package experiments

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurebarrow/azurebarrow/bench/experiment"
	"github.com/azurebarrow/azurebarrow/bench/policysim"
)

func init() {
	experiment.Register(experiment.Experiment{
		Name:    "routing",
		Summary: "choice of targets against random, round robin, least in-flight and prefix hash, by the pure policy",
		Run:     runRouting,
	})
}

// The routing experiment's scenario.
const (
	routingEngines     = 24
	routingEntries     = 8
	routingManyEntries = 64
	routingArrivals    = 75.0
	routingWarmUp      = 120 * time.Second
	routingMeasured    = 180 * time.Second
	routingLag         = time.Second
	routingPoll        = 500 * time.Millisecond
	routingEventLoss   = 0.05
	routingResync      = 20 * time.Second
)

func routingScenario(seed uint64, entries int) policysim.Scenario {
	return policysim.Scenario{
		Engines:           routingEngines,
		Entries:           entries,
		Model:             policysim.DefaultEngineModel(),
		ArrivalsPerSecond: routingArrivals,
		WarmUp:            routingWarmUp,
		Measured:          routingMeasured,
		Seed:              seed,
	}
}

func runRouting(_ context.Context, env experiment.Environment, result *experiment.Result) error {
	seed := uint64(env.Seed)
	scenario := routingScenario(seed, routingEntries)
	ours := scenario.Run(routersPolicy(scenario))
	many := routingScenario(seed, routingManyEntries)
	manyEntries := many.Run(routersPolicy(many))
	baselines := []struct {
		name   string
		policy func(*policysim.Clock, []*policysim.Engine) policysim.Policy
	}{
		{"random", func(*policysim.Clock, []*policysim.Engine) policysim.Policy {
			return &policysim.Random{Engines: routingEngines, Random: rand.New(rand.NewPCG(seed, 1))}
		}},
		{"round_robin", func(*policysim.Clock, []*policysim.Engine) policysim.Policy {
			return &policysim.RoundRobin{Engines: routingEngines}
		}},
		{"least_inflight", func(*policysim.Clock, []*policysim.Engine) policysim.Policy {
			return &policysim.LeastInFlight{Engines: routingEngines, Random: rand.New(rand.NewPCG(seed, 2))}
		}},
		{"prefix_hash", func(*policysim.Clock, []*policysim.Engine) policysim.Policy {
			return &policysim.PrefixHashPolicy{Engines: routingEngines}
		}},
		{"oracle", func(_ *policysim.Clock, engines []*policysim.Engine) policysim.Policy {
			return &policysim.Oracle{Engines: engines, Model: scenario.Model}
		}},
	}
	outcomes := map[string]policysim.Outcome{}
	for _, baseline := range baselines {
		outcomes[baseline.name] = scenario.Run(baseline.policy)
	}
	ttft := ours.TimeToFirstToken.QuantileMs(0.99)
	result.Add(
		experiment.AtMost("ttft_p99_vs_least_inflight", ttft/outcomes["least_inflight"].TimeToFirstToken.QuantileMs(0.99), experiment.Ratio, 0.7),
		experiment.AtLeast("prefix_hit_vs_oracle", ours.HitShare/outcomes["oracle"].HitShare, experiment.Ratio, 0.9),
		experiment.AtMost("extra_prefill_vs_prefix_hash", (1-ours.HitShare)/(1-outcomes["prefix_hash"].HitShare), experiment.Ratio, 1.0),
		experiment.AtMost("max_over_mean_load", ours.MaxOverMeanLoad, experiment.Ratio, 1.3),
		experiment.AtMost("herding_ratio", manyEntries.TimeToFirstToken.QuantileMs(0.99)/ttft, experiment.Ratio, 1.1),
	)
	addOutcome(result, "azurebarrow", ours)
	addOutcome(result, "azurebarrow_64_entries", manyEntries)
	for _, baseline := range baselines {
		addOutcome(result, baseline.name, outcomes[baseline.name])
	}
	outcomes["azurebarrow"] = ours
	outcomes["azurebarrow_64_entries"] = manyEntries
	result.AddNote("prefill is compared for each byte of prompt that engines began: prefix hash overloads an engine and begins fewer")
	result.AddNote("virtual time; the engines are a model, the decisions the real code")
	if env.Plot == "" {
		return nil
	}
	return plotRouting(outcomes, env.Plot)
}

// plotRouting draws each policy's quantiles of the time to the first token.
func plotRouting(outcomes map[string]policysim.Outcome, file string) error {
	const firstPercent, lastPercent = 50, 99
	drawing := experiment.LinePlot{Title: "Time to first token", XLabel: "percentile", YLabel: "ms"}
	for _, name := range slices.Sorted(maps.Keys(outcomes)) {
		line := experiment.Line{Name: name}
		for percent := firstPercent; percent <= lastPercent; percent++ {
			line.X = append(line.X, float64(percent))
			line.Y = append(line.Y, outcomes[name].TimeToFirstToken.QuantileMs(float64(percent)/100))
		}
		drawing.Lines = append(drawing.Lines, line)
	}
	return drawing.Save(file)
}

func routersPolicy(s policysim.Scenario) func(*policysim.Clock, []*policysim.Engine) policysim.Policy {
	return func(clock *policysim.Clock, engines []*policysim.Engine) policysim.Policy {
		routers := policysim.NewRouters(clock, s.Entries, s.Engines, s.Model.Slots, s.Seed)
		feed := policysim.Feed{
			Clock:          clock,
			Interval:       routingPoll,
			Lag:            routingLag,
			EventLoss:      routingEventLoss,
			Random:         rand.New(rand.NewPCG(s.Seed, 3)),
			ResyncInterval: routingResync,
		}
		feed.Start(routers, engines)
		return routers
	}
}

func addOutcome(result *experiment.Result, name string, outcome policysim.Outcome) {
	result.Add(
		experiment.Unbounded(name+"_ttft_p50", outcome.TimeToFirstToken.QuantileMs(0.5), experiment.Milliseconds),
		experiment.Unbounded(name+"_ttft_p99", outcome.TimeToFirstToken.QuantileMs(0.99), experiment.Milliseconds),
		experiment.Unbounded(name+"_hit_share", outcome.HitShare, experiment.Fraction),
		experiment.Unbounded(name+"_max_over_mean_load", outcome.MaxOverMeanLoad, experiment.Ratio),
	)
}
