package soak

import (
	"context"
	"time"
)

// Options configures a run.
type Options struct {
	// Binary and StandIn are the paths of the programs azurebarrow and azurebarrow-standin.
	Binary, StandIn string
	// Directory receives settings, logs and the targets' records.
	Directory string
	// Seed is that of the callers.
	Seed int64
	// Steps are the faults.
	Steps []Step
	// Entries, Engines and Records are the numbers of processes.
	Entries, Engines, Records int
	// Environment is added to that of the processes.
	Environment []string
	// Say receives remarks for people.
	Say func(format string, args ...any)

	// store is the base URL of the store.
	store string
}

// lastTraffic is how long traffic goes on after callers must be served again.
const lastTraffic = 4 * time.Second

// Run plays one seed and returns what it has shown. The logs in Options.Directory lead from a request's ID to
// the decisions about it.
func Run(ctx context.Context, options Options) (*Evidence, error) {
	w, err := newWorld(ctx, options)
	defer w.close()
	if err != nil {
		return nil, err
	}
	callers := newCallers(w, options.Seed)
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	go w.watchReadiness(traffic)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		callers.run(traffic)
	}()
	w.play(ctx, options.Steps)
	quietFrom := time.Now()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(recoveryTime + lastTraffic):
	}
	stopTraffic()
	<-ended
	time.Sleep(answerSlack) // lets targets note the end of their work
	records, err := w.records()
	if err != nil {
		return nil, err
	}
	return &Evidence{
		Attempts: callers.attempts, Records: records, Disturbances: w.disturbances, Keys: w.keyLives,
		Events: streamEvents, QuietFrom: quietFrom,
	}, nil
}
