package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
)

// engineUsage is what streams and copies use of one engine.
type engineUsage struct {
	// streams counts the streams. prefillTokens are the prompt tokens of those that are still
	// being prefilled; residentTokens and copyTokens are the tokens that streams and KV cache copies hold.
	streams                                   int
	prefillTokens, residentTokens, copyTokens float64
}

// engineCondition is what the cost of a stream at an engine depends on.
type engineCondition struct {
	// usage is nil if nothing is known of the engine.
	usage *engineUsage
	// slowness is how many times as long as is usual for its service the engine takes.
	slowness float64
	// avoided is set if the engine was lost or rejected a request a moment ago, zoneSuspected if its availability zone is losing engines.
	avoided, zoneSuspected bool
}

// streamCost returns the cost of the stream at the engine for a caller in the availability zone. affinity is the ID of the engine that the
// prompt's hash selects.
func (m *PlacementModel) streamCost(
	engine *directory.Target, condition engineCondition, query *generation.RelayQuery, zone, affinity string,
) time.Duration {
	cost := m.engineCost(condition, query)
	if engine.AvailabilityZone != zone {
		cost += m.CrossZone
	}
	if engine.ID == query.CachedAt {
		return cost - m.cachedPromptGain(query)
	}
	if engine.ID == affinity {
		cost -= m.Affinity
	}
	return cost + m.neighbourDelay(condition, query)
}

// engineCost returns the part of a stream's cost that depends on the engine's own state.
func (m *PlacementModel) engineCost(condition engineCondition, query *generation.RelayQuery) time.Duration {
	slowness := condition.slowness
	var cost time.Duration
	if slowness > slownessTolerance || slowness < 1/slownessTolerance {
		cost = time.Duration((slowness - 1) * float64(m.Slowness))
	}
	if condition.zoneSuspected {
		cost += m.RecentFailure / 2
	}
	usage := condition.usage
	if usage == nil {
		return cost
	}
	if condition.avoided {
		cost += m.RecentFailure
	}
	cost += time.Duration(slowness * float64(m.prefillTime(usage.prefillTokens)+time.Duration(usage.streams)*m.Neighbour))
	usedShare := (usage.residentTokens + usage.copyTokens + query.Size.KVCacheTokens()) / memoryTokens(query.Spec)
	if usedShare > memoryCostThreshold {
		cost += time.Duration((usedShare - memoryCostThreshold) / (1 - memoryCostThreshold) * float64(m.FullKVCache))
	}
	return cost
}

// memoryTokens returns the KV cache size of an engine.
func memoryTokens(spec *directory.EngineSpec) float64 {
	if spec != nil && spec.MemoryTokens > 0 {
		return float64(spec.MemoryTokens)
	}
	return defaultMemoryTokens
}

// neighbourDelay returns the time that the known streams at the engine lose together while it prefills the prompt.
func (m *PlacementModel) neighbourDelay(condition engineCondition, query *generation.RelayQuery) time.Duration {
	if condition.usage == nil {
		return 0
	}
	prefill := m.prefillTime(float64(query.Size.Prompt))
	return time.Duration(condition.slowness * float64(condition.usage.streams) * m.PrefillDelay * float64(prefill))
}

// cachedPromptGain returns the time that is lost where a cached prompt is prefilled again: by the stream, and by one other
// beside it, of which this entry doesn't know. It outweighs the wait for one prompt at the engine that has it cached.
func (m *PlacementModel) cachedPromptGain(query *generation.RelayQuery) time.Duration {
	prefill := m.prefillTime(float64(query.Size.Prompt))
	return time.Duration((1 + m.PrefillDelay) * float64(prefill))
}

// prefillTime returns how long an engine takes to prefill that many tokens.
func (m *PlacementModel) prefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / m.PrefillTokensPerSecond * float64(time.Second))
}

// affinityEngine returns the ID of the engine that rendezvous hashing of the prompt selects among those of
// the availability zone: a caller that reconnects reaches an entry of the same zone.
func affinityEngine(query *generation.RelayQuery, zone string) string {
	if query.Affinity == "" {
		return ""
	}
	var best string
	var highest uint64
	for _, engine := range query.Engines {
		if engine.AvailabilityZone != zone {
			continue
		}
		weight := xxhash.Sum64String(query.Affinity + "/" + engine.ID)
		if best == "" || weight > highest {
			best, highest = engine.ID, weight
		}
	}
	return best
}
