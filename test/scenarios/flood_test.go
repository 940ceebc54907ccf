package scenarios

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurebarrow/azurebarrow/bench/caller"
	"github.com/azurebarrow/azurebarrow/bench/cluster"
)

const (
	floodWorkers = 6
	floodTokens  = 3
	// watchedFor is how long a target must get nothing after the bound.
	watchedFor = 1200 * time.Millisecond
	// leastFlood is the least number of answers for a watch to mean something.
	leastFlood = 30
)

// flood makes short requests, some at once, until ctx ends.
type flood struct {
	complete atomic.Int64
	failed   atomic.Pointer[caller.Result]
	sequence atomic.Int64
}

func (f *flood) run(ctx context.Context, w *world) {
	client := caller.New(caller.Options{Addresses: w.cluster.Addresses(), Timeout: callerTimeout, IdleTimeout: callerIdle})
	defer client.Close()
	var workers sync.WaitGroup
	for range floodWorkers {
		workers.Go(func() {
			for ctx.Err() == nil {
				f.one(ctx, client)
			}
		})
	}
	workers.Wait()
}

func (f *flood) one(ctx context.Context, client *caller.Caller) {
	number := f.sequence.Add(1)
	result := client.Generate(ctx, caller.Request{
		APIKey:     cluster.APIKey(cluster.DefaultCustomer),
		Deployment: cluster.DefaultGeneration,
		Prompt:     fmt.Sprintf("flood %d", number),
		MaxTokens:  floodTokens,
		Seed:       number,
		Model:      cluster.DefaultModel,
		Version:    cluster.DefaultVersion,
		Length:     floodTokens,
	})
	if ctx.Err() != nil {
		return
	}
	if result.Status == caller.Complete && len(result.Violations) == 0 {
		f.complete.Add(1)
		return
	}
	f.failed.Store(result)
}

// getsNoNewWork floods the entries, and fails when the target takes a stream later than the bound.
func getsNoNewWork(ctx context.Context, w *world, t *cluster.Target, bound time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	var f flood
	var flooding sync.WaitGroup
	flooding.Go(func() { f.run(ctx, w) })
	defer flooding.Wait()
	defer cancel()
	time.Sleep(bound)
	before, answered := t.Engine().Stats().Streams, f.complete.Load()
	time.Sleep(watchedFor)
	after, answeredLater := t.Engine().Stats().Streams, f.complete.Load()
	if failed := f.failed.Load(); failed != nil {
		return fmt.Errorf("a request of the flood ended as %s (%s) %v", failed.Status, failed.Code, failed.Violations)
	}
	if answeredLater-answered < leastFlood {
		return fmt.Errorf("only %d answers while the target was watched", answeredLater-answered)
	}
	if after != before {
		return fmt.Errorf("%s took %d streams later than %v", t.Name, after-before, bound)
	}
	return nil
}
