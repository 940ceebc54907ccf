package routing

import (
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
)

// engineRank orders engines before their cost does.
type engineRank int

// Ranks, the best first. An engine that was lost a moment ago, and one in a zone that is being lost, has no load any more, since its streams
// have ended: by cost it would attract all of them again while the others are busy.
const (
	rankRoom engineRank = iota
	rankFull
	rankAvoided
)

func rankOf(condition engineCondition, hasRoom bool) engineRank {
	switch {
	case condition.avoided || condition.zoneSuspected:
		return rankAvoided
	case !hasRoom:
		return rankFull
	}
	return rankRoom
}

// HasRoom reports whether an engine of the query has room: it would begin the stream within the smaller of its objective and
// maxEngineWait, has a free slot, and has KV cache to spare. Engines that were lost, or whose zone is suspected, have none.
func (v *SharedView) HasRoom(query SharedQuery) bool {
	now := v.options.Now()
	v.expire(now)
	v.listEngines(query.Engines)
	suspected := v.suspectedZones(query.Entry)
	for i, candidate := range query.Engines {
		if !query.Allows(candidate) {
			continue
		}
		if _, hasRoom := v.room(candidate, v.condition(v.records[i], suspected, now), &query); hasRoom {
			return true
		}
	}
	return false
}

// condition returns what is known of the engine.
func (v *SharedView) condition(engine *sharedEngine, suspected map[string]bool, now time.Time) engineCondition {
	condition := engineCondition{
		usage: &engine.usage, slowness: 1, zoneSuspected: len(suspected) > 0 && suspected[engine.zone],
		avoided: engine.lostEntries > 0 && now.Before(engine.lostUntil) || now.Before(engine.refusedUntil),
	}
	if v.options.Model.Slowness != 0 {
		if !now.Before(engine.slownessUntil) {
			engine.slowness, engine.slownessUntil = v.paces.slowness(engine.key, now), now.Add(slownessTTL)
		}
		condition.slowness = engine.slowness
	}
	return condition
}

// room returns the expected time until the stream's first event at the engine, and whether the engine has room for the stream.
func (v *SharedView) room(engine *directory.Target, condition engineCondition, query *SharedQuery) (wait time.Duration, hasRoom bool) {
	model, usage := &v.options.Model, condition.usage
	prompt := model.prefillTime(promptTokens(engine, query))
	wait = time.Duration(condition.slowness * float64(model.prefillTime(usage.prefillTokens)+prompt))
	if condition.avoided || condition.zoneSuspected {
		return wait, false
	}
	limit := maxEngineWait
	if objective := query.objective(); objective > 0 {
		limit = min(limit, objective)
	}
	if prompt > limit {
		if usage.prefillTokens > 0 || condition.slowness > longPromptSlowness {
			return wait, false
		}
	} else if wait > limit {
		return wait, false
	}
	if slots := slotsOf(engine, query.Spec); slots > 0 && usage.streams >= slots {
		return wait, false
	}
	held := usage.residentTokens + roomCopyShare*usage.copyTokens
	needed := held + float64(query.Size.Prompt) + float64(query.Size.Output)/2
	return wait, held == 0 || needed <= maxRoomMemoryShare*memoryTokens(query.Spec)
}

func (q *SharedQuery) objective() time.Duration {
	if q.Objective > 0 {
		return q.Objective
	}
	return q.RelayQuery.Objective
}

// promptTokens returns the number of tokens that the engine would have to prefill.
func promptTokens(engine *directory.Target, query *SharedQuery) float64 {
	if engine.ID == query.CachedAt {
		return 0
	}
	return float64(query.Size.Prompt)
}

// slotsOf returns the number of streams that the engine runs at the same time; 0 if unknown.
func slotsOf(engine *directory.Target, spec *directory.EngineSpec) int {
	if engine.Slots > 0 || spec == nil {
		return engine.Slots
	}
	return spec.Slots
}

// suspectedZones returns the zones that are losing engines, by what all entries or the one that asks have seen; nil for none.
func (v *SharedView) suspectedZones(entry string) map[string]bool {
	if len(v.losses) < zoneLossEngines {
		return nil
	}
	type zoneLosses struct {
		engines, own map[*sharedEngine]bool
		entries      map[string]bool
	}
	zones := map[string]*zoneLosses{}
	for _, loss := range v.losses {
		if loss.engine.zone == "" {
			continue
		}
		zone := zones[loss.engine.zone]
		if zone == nil {
			zone = &zoneLosses{map[*sharedEngine]bool{}, map[*sharedEngine]bool{}, map[string]bool{}}
			zones[loss.engine.zone] = zone
		}
		zone.engines[loss.engine] = true
		zone.entries[loss.entry] = true
		if loss.entry == entry {
			zone.own[loss.engine] = true
		}
	}
	suspected := map[string]bool{}
	for name, zone := range zones {
		byAll := len(zone.entries) >= zoneLossEntries && len(zone.engines) >= max(zoneLossEngines, v.zoneSizes[name]/zoneLossShare)
		if byAll || len(zone.own) >= zoneLossEngines {
			suspected[name] = true
		}
	}
	return suspected
}
