package experiments

import (
	"context"
	"fmt"
	"time"

	"github.com/azurebarrow/azurebarrow/admission"
	"github.com/azurebarrow/azurebarrow/bench/experiment"
	"github.com/azurebarrow/azurebarrow/bench/policysim"
)

func init() {
	experiment.Register(experiment.Experiment{
		Name:    "customers",
		Summary: "one customer at 20 times its limit among others, through the lender's death, by the pure policy",
		Run:     runCustomers,
	})
}

// The customers experiment's scenario.
const (
	floodFactor          = 20
	floodLimit           = 40
	othersCount          = 9
	manyCustomers        = 510
	othersLimit          = 20
	othersLoadShare      = 0.6
	customersStreamTime  = 3.3
	customersWarmUp      = 20 * time.Second
	customersSteady      = 40 * time.Second
	customersAfterDeath  = 10 * time.Second
	customersDetection   = 2200 * time.Millisecond
	customersSampleEvery = 100 * time.Millisecond
	floodCustomer        = "flood"
)

func customerName(i int) string { return fmt.Sprintf("customer%d", i) }

// customersRun is one run of the scenario.
type customersRun struct {
	fleet *policysim.Fleet
	calls []*policysim.Call
	from  time.Time
	to    time.Time
	// steady and afterDeath hold the flooding customer's running requests over time.
	steady, afterDeath []int
}

// simulateCustomers runs others customers that together offer as much as nine at their share of
// the limit, with or without the flooding one.
func simulateCustomers(seed uint64, others int, flood bool) *customersRun {
	limits := map[string]admission.Limits{floodCustomer: {Concurrency: floodLimit}}
	for i := range others {
		limits[customerName(i)] = admission.Limits{Concurrency: othersLimit}
	}
	run := &customersRun{fleet: policysim.NewFleet(routingEntries, routingEngines, policysim.DefaultEngineModel(), limits, seed)}
	workload := policysim.NewWorkload(seed)
	rate := othersCount * othersLimit * othersLoadShare / customersStreamTime
	offered := run.fleet.Offer(workload, rate, func() *policysim.Call {
		return &policysim.Call{Customer: customerName(workload.IntN(others)), Priority: overloadMiddle}
	})
	if flood {
		floodLoad := policysim.NewWorkload(seed + 1)
		run.fleet.Offer(floodLoad, floodFactor*floodLimit/customersStreamTime, func() *policysim.Call {
			return &policysim.Call{Customer: floodCustomer, Priority: overloadMiddle}
		})
	}
	run.fleet.Clock.Run(customersWarmUp)
	run.from = run.fleet.Clock.Now()
	run.steady = run.sample(customersSteady)
	run.to = run.fleet.Clock.Now()
	run.fleet.Kill(run.fleet.QuotaOwner(floodCustomer), customersDetection)
	run.afterDeath = run.sample(customersAfterDeath)
	run.calls = *offered
	return run
}

func (r *customersRun) sample(span time.Duration) []int {
	var samples []int
	for range span / customersSampleEvery {
		r.fleet.Clock.Run(customersSampleEvery)
		samples = append(samples, r.fleet.Running(floodCustomer))
	}
	return samples
}

func (r *customersRun) goodput() float64 {
	others := policysim.Summarise(r.calls, r.from, r.to, func(*policysim.Call) bool { return true })
	return float64(others.Answered) / r.to.Sub(r.from).Seconds()
}

func overshoot(samples []int) float64 {
	most := 0
	for _, running := range samples {
		most = max(most, running)
	}
	return max(0, float64(most)/floodLimit-1)
}

func unusedShare(samples []int) float64 {
	sum := 0
	for _, running := range samples {
		sum += running
	}
	return 1 - float64(sum)/float64(len(samples))/floodLimit
}

func runCustomers(_ context.Context, env experiment.Environment, result *experiment.Result) error {
	seed := uint64(env.Seed)
	flooded := simulateCustomers(seed, othersCount, true)
	alone := simulateCustomers(seed, othersCount, false)
	many := simulateCustomers(seed, manyCustomers, true)
	result.Add(
		experiment.AtLeast("others_goodput_vs_alone", flooded.goodput()/alone.goodput(), experiment.Ratio, 0.95),
		experiment.AtMost("limit_overshoot", overshoot(flooded.steady), experiment.Fraction, 0.1),
		experiment.AtMost("limit_overshoot_after_lender_death", overshoot(flooded.afterDeath), experiment.Fraction, 0.1),
		experiment.AtMost("limit_unused_share", unusedShare(flooded.steady), experiment.Fraction, 0.1),
		experiment.AtMost("limit_overshoot_510_customers", overshoot(many.steady), experiment.Fraction, 0.1),
		experiment.AtMost("limit_overshoot_after_lender_death_510_customers", overshoot(many.afterDeath), experiment.Fraction, 0.1),
		experiment.AtMost("limit_unused_share_510_customers", unusedShare(many.steady), experiment.Fraction, 0.1),
		experiment.Unbounded("others_goodput", flooded.goodput(), experiment.PerSecond),
		experiment.Unbounded("others_goodput_alone", alone.goodput(), experiment.PerSecond),
		experiment.Unbounded("limit_unused_share_after_lender_death", unusedShare(flooded.afterDeath), experiment.Fraction),
	)
	result.AddNote("virtual time; the engines are a model, the decisions the real code; a lender's death is seen after %s", customersDetection)
	return nil
}
