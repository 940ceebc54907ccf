package experiments

import (
	"context"
	"time"

	"github.com/azurebarrow/azurebarrow/bench/experiment"
	"github.com/azurebarrow/azurebarrow/bench/policysim"
)

func init() {
	experiment.Register(experiment.Experiment{
		Name:    "overload",
		Summary: "twice the capacity with three priorities, by the pure policy",
		Run:     runOverload,
	})
}

// The overload experiment's scenario.
const (
	overloadFactor     = 2.0
	overloadWarmUp     = 30 * time.Second
	overloadMeasured   = 60 * time.Second
	overloadDrain      = 20 * time.Second
	overloadHighShare  = 0.1
	overloadLowShare   = 0.3
	overloadQueueLimit = 4
	overloadHigh       = 9
	overloadMiddle     = 5
	overloadLow        = 0
)

func overloadEngine() policysim.EngineModel {
	model := policysim.DefaultEngineModel()
	model.QueueLimit = overloadQueueLimit
	return model
}

// capacityPerSecond measures the requests that the engines end when each is always full and the
// choice knows all loads and caches.
func capacityPerSecond(seed uint64) float64 {
	clock := policysim.NewClock()
	var engines []*policysim.Engine
	model := policysim.DefaultEngineModel()
	for range routingEngines {
		engines = append(engines, policysim.NewEngine(clock, model))
	}
	oracle := &policysim.Oracle{Engines: engines, Model: model}
	workload := policysim.NewWorkload(seed)
	ended := 0
	var submit func()
	submit = func() {
		prompt := workload.Next()
		engine, _ := oracle.Choose(0, prompt)
		engines[engine].Submit(&policysim.Work{Prefixes: prompt.Prefixes, PromptBytes: len(prompt.Text), Tokens: prompt.Tokens,
			FirstToken: func() {}, Done: func() { ended++; submit() }})
	}
	for range routingEngines * model.Slots {
		clock.After(0, submit)
	}
	clock.Run(overloadWarmUp)
	before := ended
	clock.Run(overloadMeasured)
	return float64(ended-before) / overloadMeasured.Seconds()
}

func runOverload(_ context.Context, env experiment.Environment, result *experiment.Result) error {
	seed := uint64(env.Seed)
	capacity := capacityPerSecond(seed)
	fleet := policysim.NewFleet(routingEntries, routingEngines, overloadEngine(), nil, seed)
	calls := offerPriorities(fleet, seed, overloadFactor*capacity)
	fleet.Clock.Run(overloadWarmUp)
	from := fleet.Clock.Now()
	fleet.Clock.Run(overloadMeasured)
	to := fleet.Clock.Now()
	fleet.Clock.Run(overloadDrain)

	idle := policysim.NewFleet(routingEntries, routingEngines, overloadEngine(), nil, seed)
	idleCalls := offerPriorities(idle, seed, capacity*overloadHighShare*overloadFactor)
	idle.Clock.Run(overloadWarmUp)
	idleFrom := idle.Clock.Now()
	idle.Clock.Run(overloadMeasured)
	idleTo := idle.Clock.Now()
	idle.Clock.Run(overloadDrain)

	all := policysim.Summarise(*calls, from, to, func(*policysim.Call) bool { return true })
	high := policysim.Summarise(*calls, from, to, withPriority(overloadHigh))
	low := policysim.Summarise(*calls, from, to, withPriority(overloadLow))
	unloaded := policysim.Summarise(*idleCalls, idleFrom, idleTo, withPriority(overloadHigh))
	goodput := float64(all.Answered) / overloadMeasured.Seconds()
	result.Add(
		experiment.AtLeast("goodput_vs_capacity", goodput/capacity, experiment.Ratio, 0.95),
		experiment.AtLeast("high_priority_success", shareOf(high.Answered, high.Arrived), experiment.Fraction, 0.99),
		experiment.AtMost("high_priority_p99_vs_unloaded", high.Latency.QuantileMs(0.99)/unloaded.Latency.QuantileMs(0.99), experiment.Ratio, 1.2),
		experiment.AtLeast("low_priority_progress", float64(low.Answered)/overloadMeasured.Seconds(), experiment.PerSecond, 1e-9),
		experiment.AtMost("retry_share", shareOf(fleet.Retries, fleet.Dispatches), experiment.Fraction, 0.1),
		experiment.AtMost("refused_but_ran", float64(all.RefusedButRan), experiment.Count, 0),
		experiment.Unbounded("capacity", capacity, experiment.PerSecond),
		experiment.Unbounded("offered", float64(all.Arrived)/overloadMeasured.Seconds(), experiment.PerSecond),
		experiment.Unbounded("refused_share", shareOf(all.Refused, all.Arrived), experiment.Fraction),
		experiment.Unbounded("refusals_held_share", shareOf(all.RefusedAfterWait, all.Refused), experiment.Fraction),
		experiment.Unbounded("slowest_refusal", experiment.Ms(all.SlowestRefusal), experiment.Milliseconds),
		experiment.Unbounded("high_priority_latency_p99", high.Latency.QuantileMs(0.99), experiment.Milliseconds),
	)
	result.AddNote("virtual time; the engines are a model, the decisions the real code; latency is from arrival to the answer's end")
	return nil
}

func shareOf(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

func withPriority(priority int) func(*policysim.Call) bool {
	return func(call *policysim.Call) bool { return call.Priority == priority }
}

// offerPriorities offers calls of three priorities by chance.
func offerPriorities(fleet *policysim.Fleet, seed uint64, perSecond float64) *[]*policysim.Call {
	workload := policysim.NewWorkload(seed)
	const parts = 1000
	return fleet.Offer(workload, perSecond, func() *policysim.Call {
		drawn := float64(workload.IntN(parts)) / parts
		call := &policysim.Call{Customer: "c", Priority: overloadMiddle}
		switch {
		case drawn < overloadHighShare:
			call.Priority = overloadHigh
		case drawn < overloadHighShare+overloadLowShare:
			call.Priority = overloadLow
		}
		return call
	})
}
