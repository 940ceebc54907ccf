package policysim

import (
	"time"

	"github.com/azurebarrow/azurebarrow/bench/experiment"
)

// Scenario holds the parameters that all policies of a comparison share.
type Scenario struct {
	Engines, Entries int
	Model            EngineModel
	// ArrivalsPerSecond is the mean rate of requests over all entries together.
	ArrivalsPerSecond float64
	WarmUp, Measured  time.Duration
	Seed              uint64
}

// Outcome is what was measured for a policy after the warm-up.
type Outcome struct {
	TimeToFirstToken experiment.Samples
	// PrefillBytes sums the bytes of prompts that engines prefilled.
	PrefillBytes float64
	// HitShare is the share of the prompts' bytes that was found in the engines' prefix caches.
	HitShare float64
	// MaxOverMeanLoad is the load of the most loaded engine divided by the mean load of all engines,
	// each averaged over the measured time.
	MaxOverMeanLoad float64
}

// Run simulates the scenario with the policy and returns what was measured after the warm-up.
func (s Scenario) Run(newPolicy func(clock *Clock, engines []*Engine) Policy) Outcome {
	clock := NewClock()
	engines := make([]*Engine, s.Engines)
	for i := range engines {
		engines[i] = NewEngine(clock, s.Model)
	}
	policy := newPolicy(clock, engines)
	outcome := &Outcome{}
	workload := NewWorkload(s.Seed)
	measuring := false
	var arrive func()
	arrive = func() {
		s.submitNext(clock, engines, policy, workload, outcome, measuring)
		clock.After(seconds(workload.InterarrivalSeconds(s.ArrivalsPerSecond)), arrive)
	}
	clock.After(0, arrive)
	clock.Run(s.WarmUp)
	measuring = true
	for _, engine := range engines {
		engine.ResetSums()
	}
	clock.Run(s.Measured)
	outcome.addEngines(engines)
	return *outcome
}

// submitNext draws the next prompt and submits it at a random entry to the engine that policy chooses.
func (s Scenario) submitNext(clock *Clock, engines []*Engine, policy Policy, workload *Workload, outcome *Outcome, measuring bool) {
	prompt := workload.Next()
	arrived := clock.Now()
	engine, done := policy.Choose(workload.IntN(s.Entries), prompt)
	engines[engine].Submit(&Work{
		Prefixes:    prompt.Prefixes,
		PromptBytes: len(prompt.Text),
		Tokens:      prompt.Tokens,
		FirstToken: func() {
			if measuring {
				outcome.TimeToFirstToken.Add(clock.Now().Sub(arrived))
			}
		},
		Done: done,
	})
}

// addEngines computes the figures that come from the sums of the engines.
func (o *Outcome) addEngines(engines []*Engine) {
	cached, maxLoad, total := 0.0, 0.0, 0.0
	for _, engine := range engines {
		o.PrefillBytes += engine.PrefillBytes
		cached += engine.CachedBytes
		maxLoad = max(maxLoad, engine.LoadSeconds())
		total += engine.LoadSeconds()
	}
	o.HitShare = cached / (cached + o.PrefillBytes)
	o.MaxOverMeanLoad = maxLoad / (total / float64(len(engines)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
