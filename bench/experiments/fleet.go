package experiments

import (
	"context"
	"fmt"
	"sync"

	"github.com/azurebarrow/azurebarrow/bench/caller"
	"github.com/azurebarrow/azurebarrow/bench/cluster"
)

// request returns a request of the default customer to the default deployment.
func request(key string, seed int64, tokens int) caller.Request {
	return caller.Request{
		Key:        key,
		APIKey:     cluster.APIKey(cluster.DefaultCustomer),
		Deployment: cluster.DefaultGeneration,
		Prompt:     "history of the weigh crate, file " + key,
		MaxTokens:  tokens,
		Seed:       seed,
		Model:      cluster.DefaultModel,
		Version:    cluster.DefaultVersion,
		Length:     tokens,
	}
}

// generateAll makes count requests at once and waits for their answers.
func generateAll(ctx context.Context, client *caller.Caller, count, tokens int, seed int64) []*caller.Result {
	results := make([]*caller.Result, count)
	var answers sync.WaitGroup
	for i := range count {
		answers.Go(func() {
			results[i] = client.Generate(ctx, request(fmt.Sprintf("s%d-%d", seed, i), seed, tokens))
		})
	}
	answers.Wait()
	return results
}

// judge counts complete answers and collects everything wrong.
func judge(results []*caller.Result) (complete int, wrong []string) {
	for _, r := range results {
		if r.Status == caller.Complete {
			complete++
		}
		wrong = append(wrong, r.Violations...)
	}
	return complete, wrong
}
