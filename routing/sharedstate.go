package routing

import (
	"math"
	"slices"
	"time"
)

// Update replaces the state of an entry by that of a message. A message that is not newer than the latest of the entry only releases
// reservations. tickets are those whose streams load includes or that the entry doesn't use.
func (v *SharedView) Update(entry string, incarnation uint64, sequence int64, load []EngineLoad, samples []PaceSample, tickets []uint64) {
	now := v.options.Now()
	v.expire(now)
	state := v.entries[entry]
	if state == nil && len(v.entries) >= maxSharedEntries || state != nil && incarnation < state.incarnation {
		return
	}
	// The state of a newer message that is known already includes the stream, or the stream has ended since.
	v.releaseTickets(entry, tickets)
	if state != nil && incarnation == state.incarnation && sequence <= state.sequence {
		return
	}
	if state == nil {
		state = &sharedEntry{name: entry}
		v.entries[entry] = state
		state.element = v.byReceipt.PushBack(state)
	}
	v.byReceipt.MoveToBack(state.element)
	state.incarnation, state.sequence, state.receivedAt = incarnation, sequence, now
	v.replaceEngines(state, load, now)
	v.observePaces(samples, now)
}

// replaceEngines replaces the state of the entry's engines.
func (v *SharedView) replaceEngines(state *sharedEntry, load []EngineLoad, now time.Time) {
	former := state.engines
	state.engines = make([]sharedEntryEngine, 0, len(load))
	v.updates++
	v.states -= len(former)
	for i := range load {
		key := engineKey{load[i].ID, load[i].Address}
		engine := v.engineRecord(key)
		if engine == nil || engine.latestUpdate == v.updates || v.states >= maxSharedStates {
			continue
		}
		engine.latestUpdate = v.updates
		latest := sharedEntryEngine{engine: engine, usage: usageOf(&load[i]), lost: load[i].Lost, refused: load[i].Refused}
		var before sharedEntryEngine
		if latest.lost || latest.refused {
			if at := slices.IndexFunc(former, func(e sharedEntryEngine) bool { return e.engine == engine }); at >= 0 {
				before = former[at]
			}
		}
		v.include(engine, latest.usage)
		v.states++
		if latest.lost {
			engine.lostEntries++
			engine.lostUntil = now.Add(lossAvoidance)
			if !before.lost && len(v.losses) < maxSharedLosses {
				v.losses = append(v.losses, engineLoss{engine, state.name, now})
			}
		}
		if latest.refused && !before.refused {
			engine.refusedUntil = now.Add(refusalAvoidance)
		}
		state.engines = append(state.engines, latest)
	}
	v.excludeAll(former)
}

// usageOf returns the usage of a message, limited to valid values. Whole tokens keep the sums exact.
func usageOf(load *EngineLoad) engineUsage {
	tokens := func(value float64) float64 {
		if !(value > 0) {
			return 0
		}
		return math.Round(min(value, maxLoadTokens))
	}
	return engineUsage{
		streams:       min(max(load.Streams, 0), maxLoadStreams),
		prefillTokens: tokens(load.PrefillTokens), residentTokens: tokens(load.ResidentTokens), copyTokens: tokens(load.CopyTokens),
	}
}

// engineRecord returns the record of the engine, nil if there are too many.
func (v *SharedView) engineRecord(key engineKey) *sharedEngine {
	engine := v.engines[key]
	if engine == nil && len(v.engines) < maxSharedEngines {
		engine = &sharedEngine{key: key}
		v.engines[key] = engine
	}
	return engine
}

// include adds a part to the engine's usage.
func (v *SharedView) include(engine *sharedEngine, part engineUsage) {
	engine.references++
	engine.usage.streams += part.streams
	engine.usage.prefillTokens += part.prefillTokens
	engine.usage.residentTokens += part.residentTokens
	engine.usage.copyTokens += part.copyTokens
}

// exclude removes a part from the engine's usage.
func (v *SharedView) exclude(engine *sharedEngine, part engineUsage) {
	engine.references--
	engine.usage.streams -= part.streams
	engine.usage.prefillTokens -= part.prefillTokens
	engine.usage.residentTokens -= part.residentTokens
	engine.usage.copyTokens -= part.copyTokens
	v.dropIfUnused(engine)
}

func (v *SharedView) excludeAll(engines []sharedEntryEngine) {
	for i := range engines {
		if engines[i].lost {
			engines[i].engine.lostEntries--
		}
		v.exclude(engines[i].engine, engines[i].usage)
	}
}

// dropIfUnused removes the record of an engine of which nothing is known.
func (v *SharedView) dropIfUnused(engine *sharedEngine) {
	if engine.references == 0 && !engine.listed {
		delete(v.engines, engine.key)
	}
}

// observePaces takes the pace samples of all entries for those of one service.
func (v *SharedView) observePaces(samples []PaceSample, now time.Time) {
	for _, sample := range samples[:min(len(samples), maxPaceSamples)] {
		key := engineKey{sample.ID, sample.Address}
		if sample.Gap <= 0 || v.paces.engines[key] == nil && len(v.paces.engines) >= maxSharedEngines {
			continue
		}
		v.paces.observe(key, "", min(sample.Gap, maxPaceGap), now)
		if engine := v.engines[key]; engine != nil {
			engine.slownessUntil = time.Time{}
		}
	}
}

// expire removes the states and reservations that are too old to count.
func (v *SharedView) expire(now time.Time) {
	for front := v.byReceipt.Front(); front != nil; front = v.byReceipt.Front() {
		state := front.Value.(*sharedEntry)
		if now.Sub(state.receivedAt) < entryStateTTL {
			break
		}
		v.byReceipt.Remove(front)
		delete(v.entries, state.name)
		v.states -= len(state.engines)
		v.excludeAll(state.engines)
	}
	for front := v.byAge.Front(); front != nil; front = v.byAge.Front() {
		if now.Before(front.Value.(*reservation).until) {
			break
		}
		v.release(front)
	}
	old := 0
	for old < len(v.losses) && now.Sub(v.losses[old].at) > zoneLossWindow {
		old++
	}
	v.losses = slices.Delete(v.losses, 0, old)
	if !now.Before(v.nextPaceSweep) {
		v.nextPaceSweep = now.Add(paceSweepInterval)
		v.paces.sweep(now)
	}
}
