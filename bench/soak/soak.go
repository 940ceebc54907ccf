package soak

import (
	"context"
	"time"

	"github.com/azurebarrow/azurebarrow/standin/fault"
	"github.com/azurebarrow/azurebarrow/standin/target"
)

// Options configures a run.
type Options struct {
	// Binary and StandIn are the paths of the programs azurebarrow and azurebarrow-standin.
	Binary, StandIn string
	// Directory is where settings, logs and the targets' records are written.
	Directory string
	// Seed determines the random choices of the callers.
	Seed int64
	// Steps are the faults to inject.
	Steps []Step
	// Entries, Engines and Records are the numbers of entries, of engines and of targets of the records service.
	Entries, Engines, Records int
	// Faulty has targets repeat refusals late and answer some attempts that take streams up with errors, and the store hold an
	// object that is nested too deeply. Entries of earlier versions break promises then.
	Faulty bool
	// Environment is added to the environment of the entries.
	Environment []string
	// Logf logs progress messages.
	Logf func(format string, args ...any)

	// store is the base URL of the store.
	store string
}

// finalTraffic is how long traffic continues after recoveryTime.
const finalTraffic = 4 * time.Second

// Run runs the programs under the faults of the options and returns the evidence. In the logs in
// Options.Directory, a request's ID leads to the decisions about the request.
func Run(ctx context.Context, options Options) (*Evidence, error) {
	d, err := newDeployment(ctx, options)
	defer d.close()
	if err != nil {
		return nil, err
	}
	callers := newCallers(d, options.Seed)
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	go d.watchReadiness(traffic)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		callers.run(traffic)
	}()
	go d.restartCrashed(traffic)
	if options.Faulty {
		if err := activateFault(ctx, d.options.store, fault.Fault{Kind: fault.OddObject, Match: target.ObjectKind}); err != nil {
			return nil, err
		}
	}
	d.injectFaults(ctx, callers, options.Steps)
	quietFrom := time.Now()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(recoveryTime + finalTraffic):
	}
	stopTraffic()
	<-ended
	time.Sleep(answerSlack) // lets targets record the end of their work
	records, err := d.records()
	if err != nil {
		return nil, err
	}
	return &Evidence{
		Attempts: callers.attempts, Records: records, Disturbances: d.disturbances, Keys: d.keyLifetimes,
		Events: streamEvents, QuietFrom: quietFrom, Crowds: d.crowds, CrowdAttempts: d.crowdAttempts, Rollouts: d.rollouts,
	}, nil
}
