package routing

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/membership"
)

// benchmarkPrefixes is the number of distinct prefixes that the benchmark's prompts share.
const benchmarkPrefixes = 500

func benchmarkRouter(targets int) (*Router, []generation.TargetQuery) {
	r := newTestRouter(targets)
	random := rand.New(rand.NewPCG(9, 9))
	choices := make([]generation.TargetQuery, benchmarkPrefixes)
	for i := range choices {
		choices[i] = targetQuery(prompt(fmt.Sprintf("prefix %d", i), 16+random.IntN(32)) + prompt("question", 2))
	}
	for i := range targets {
		name := targetName(i)
		r.ReportLoad(name, LoadReport{Running: random.IntN(12), Concurrency: 16})
		var prefixes []PrefixHash
		for len(prefixes) < maxPrefixesPerTarget {
			prefixes = append(prefixes, PrefixHashes(choices[random.IntN(len(choices))].Request.Prompt)...)
		}
		r.ReportCacheSummary(name, 1, prefixes)
	}
	return r, choices
}

func BenchmarkDecisionCost(b *testing.B) {
	for _, targets := range []int{24, 1_000, 10_000} {
		before := heapBytes()
		r, choices := benchmarkRouter(targets)
		perTarget := float64(heapBytes()-before) / float64(targets)
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			for i := range b.N {
				lease, err := r.Choose(b.Context(), choices[i%len(choices)])
				if err != nil {
					b.Fatal(err)
				}
				lease.Done(generation.Usage{})
			}
			b.ReportMetric(perTarget, "index_bytes_per_target")
		})
		runtime.KeepAlive(r)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkPlace measures placements with 300 entries and 3,000 engines.
func BenchmarkPlace(b *testing.B) {
	const entries, engineCount = 300, 3000
	var live []membership.Peer
	for i := range entries {
		live = append(live, membership.Peer{Name: fmt.Sprintf("e%03d", i), AvailabilityZone: string(rune('a' + i%3))})
	}
	var engines []*directory.Target
	for i := range engineCount {
		engines = append(engines, &directory.Target{
			ID: fmt.Sprintf("i-%04d", i), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), AvailabilityZone: string(rune('a' + i%3)),
		})
	}
	placement := NewPlacement(PlacementOptions{
		AvailabilityZone: "a",
		Entries:          func() (membership.Peer, []membership.Peer) { return live[0], live },
	})
	query := generation.RelayQuery{Engines: engines, Size: generation.StreamSize{Prompt: 5200, Output: 700}}
	for b.Loop() {
		placement.Backup(query, placement.Place(query))
	}
}
