package routing

import (
	"container/list"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
)

const (
	// entryStateTTL is how long the state of an entry that sends nothing counts.
	entryStateTTL = 3 * time.Second
	// reservationTTL is how long a placement counts that no state of its entry includes.
	reservationTTL = time.Second
	// maxEngineWait is the longest time to the first event at an engine that has room.
	maxEngineWait = 2500 * time.Millisecond
	// maxRoomMemoryShare is the share of the KV cache up to which an engine has room.
	maxRoomMemoryShare = 0.9
	// longPromptSlowness is the slowness up to which an engine that prefills nothing has room for a prompt that takes longer than the limit at
	// any engine: such a prompt would otherwise never find room.
	longPromptSlowness = slowFrom
	// A zone is suspected by all entries if one in zoneLossShare of its engines, and at least zoneLossEngines, were lost within
	// zoneLossWindow, as seen by zoneLossEntries entries: all entries together see single crashes often, and one entry alone may have lost
	// its links.
	zoneLossShare   = 20
	zoneLossEntries = 2
	// paceSweepInterval is the time between two removals of old paces.
	paceSweepInterval = 5 * time.Second
	// slownessTTL is how long the slowness of an engine without new observations is not computed again, which takes most of the time of a
	// choice. It changes by about 1% in that time at most.
	slownessTTL = 50 * time.Millisecond
	// maxPaceGap limits the gap of a pace sample.
	maxPaceGap = 10 * time.Second
	// maxLoadTokens and maxLoadStreams limit the load of one entry at one engine, so that an invalid message can't make sums inexact.
	maxLoadTokens, maxLoadStreams = 1e9, 1e6
)

// Limits of a SharedView's memory, far above what the fleet to design for needs; what exceeds them is ignored.
const (
	maxSharedEntries      = 4096
	maxSharedEngines      = 32_768
	maxSharedStates       = 200_000
	maxSharedReservations = 16_384
	maxSharedLosses       = 4096
)

// SharedView is the placement coordinator's view of one service: the sum of the states of all entries, and the placements that no state
// includes yet. It decides like a Placement that knows of all streams. It is not safe for concurrent use.
type SharedView struct {
	options SharedViewOptions
	random  *rand.Rand
	entries map[string]*sharedEntry
	// byReceipt holds the entries, the one that has sent nothing for the longest time first.
	byReceipt *list.List
	engines   map[engineKey]*sharedEngine
	// states counts the engines of all entries' states.
	states int
	// listed is the latest list of engines of a query, records its engines in the same order, and zoneSizes their number by zone.
	listed    []*directory.Target
	records   []*sharedEngine
	zoneSizes map[string]int

	reservations map[uint64]*list.Element
	// byAge holds the reservations, the oldest first; byRequest finds them by entry and request.
	byAge      *list.List
	byRequest  map[requestKey]*list.Element
	lastTicket uint64
	updates    uint64

	// losses holds the recent losses, the oldest first.
	losses        []engineLoss
	paces         *paceTable
	nextPaceSweep time.Time
}

// SharedViewOptions configures a SharedView.
type SharedViewOptions struct {
	// Model holds the weights of the cost; the zero value means DefaultPlacementModel.
	Model PlacementModel
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Seed makes the random choices and the tickets reproducible.
	Seed uint64
}

// SharedQuery describes a stream for which a SharedView chooses an engine.
type SharedQuery struct {
	generation.RelayQuery
	// Entry and AvailabilityZone are those of the entry that asks.
	Entry, AvailabilityZone string
	// Objective is the time after which the first event is late; 0 means that of the RelayQuery.
	Objective time.Duration
}

// sharedEntry is the latest state of an entry.
type sharedEntry struct {
	name        string
	incarnation uint64
	sequence    int64
	receivedAt  time.Time
	engines     []sharedEntryEngine
	element     *list.Element
}

// sharedEntryEngine is an entry's state for one engine.
type sharedEntryEngine struct {
	engine        *sharedEngine
	usage         engineUsage
	lost, refused bool
}

// sharedEngine is the state of all entries together for one engine.
type sharedEngine struct {
	key   engineKey
	usage engineUsage
	// zone is empty until a query has listed the engine.
	zone   string
	listed bool
	// references counts the entries' states and reservations that include the engine.
	references int
	// lostEntries counts the entries that have lost the engine, of which the last told so until lostUntil.
	lostEntries             int
	lostUntil, refusedUntil time.Time
	latestUpdate            uint64
	// slowness is that of the engine until slownessUntil.
	slowness      float64
	slownessUntil time.Time
}

// engineLoss is the loss of an engine as an entry has seen it.
type engineLoss struct {
	engine *sharedEngine
	entry  string
	at     time.Time
}

type requestKey struct{ entry, request string }

// reservation is a placement that no state of its entry includes yet.
type reservation struct {
	ticket  uint64
	request requestKey
	engine  *sharedEngine
	target  *directory.Target
	usage   engineUsage
	wait    time.Duration
	until   time.Time
}

// NewSharedView returns a SharedView that knows of no streams.
func NewSharedView(options SharedViewOptions) *SharedView {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Model == (PlacementModel{}) {
		options.Model = DefaultPlacementModel
	}
	random := rand.New(rand.NewPCG(options.Seed, 2))
	return &SharedView{
		options:      options,
		random:       random,
		entries:      map[string]*sharedEntry{},
		byReceipt:    list.New(),
		engines:      map[engineKey]*sharedEngine{},
		reservations: map[uint64]*list.Element{},
		byAge:        list.New(),
		byRequest:    map[requestKey]*list.Element{},
		// The tickets of a former coordinator mean nothing here. They stay below 2^53, which all JSON decoders read exactly.
		lastTicket: random.Uint64() >> 12,
		paces:      newPaceTable(),
	}
}

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

// Place chooses an engine and reserves it until the entry's state includes the ticket; ok is false if no engine is allowed. Engines
// with room are preferred. wait is the expected time until the first event. A request that is repeated while it has a reservation gets the
// same answer, unless it excludes the engine. The list of engines must not be changed afterwards.
func (v *SharedView) Place(query SharedQuery) (engine *directory.Target, ticket uint64, wait time.Duration, ok bool) {
	now := v.options.Now()
	v.expire(now)
	v.listEngines(query.Engines)
	suspected := v.suspectedZones(query.Entry)
	if reserved := v.repeatedReservation(&query, suspected, now); reserved != nil {
		return reserved.target, reserved.ticket, reserved.wait, true
	}
	affinity := affinityEngine(&query.RelayQuery, query.AvailabilityZone)
	var best *sharedEngine
	var lowest time.Duration
	var bestHasRoom bool
	for i, candidate := range query.Engines {
		if !query.Allows(candidate) {
			continue
		}
		condition := v.condition(v.records[i], suspected, now)
		candidateWait, hasRoom := v.room(candidate, condition, &query)
		cost := v.options.Model.streamCost(candidate, condition, &query.RelayQuery, query.AvailabilityZone, affinity) +
			time.Duration(v.random.Float64()*float64(v.options.Model.RandomSpread))
		if best == nil || hasRoom && !bestHasRoom || hasRoom == bestHasRoom && cost < lowest {
			engine, best, lowest, wait, bestHasRoom = candidate, v.records[i], cost, candidateWait, hasRoom
		}
	}
	if best == nil {
		return nil, 0, 0, false
	}
	return engine, v.reserve(best, engine, wait, &query, now), wait, true
}

// repeatedReservation returns the reservation of a request that is repeated, so that a request which arrives twice gets the same answer. If
// its engine can't be chosen any more, the reservation is released instead.
func (v *SharedView) repeatedReservation(query *SharedQuery, suspected map[string]bool, now time.Time) *reservation {
	element, known := v.byRequest[requestKey{query.Entry, query.Request}]
	if !known {
		return nil
	}
	reserved := element.Value.(*reservation)
	condition := v.condition(reserved.engine, suspected, now)
	at := slices.Index(v.records, reserved.engine)
	if at >= 0 && query.Allows(query.Engines[at]) && !condition.avoided && !condition.zoneSuspected {
		reserved.target = query.Engines[at]
		return reserved
	}
	v.release(element)
	return nil
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
	held := usage.residentTokens + usage.copyTokens
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

// listEngines makes v.records those of the engines. A list is never changed in place, so that its first element identifies it.
func (v *SharedView) listEngines(engines []*directory.Target) {
	if sameSlice(engines, v.listed) && len(engines) == len(v.records) {
		return
	}
	former := v.records
	for _, record := range former {
		record.listed = false
	}
	v.listed, v.records, v.zoneSizes = engines, make([]*sharedEngine, len(engines)), map[string]int{}
	for i, engine := range engines {
		key := keyOf(engine)
		record := v.engines[key]
		if record == nil {
			record = &sharedEngine{key: key}
			v.engines[key] = record
		}
		record.listed, record.zone = true, engine.AvailabilityZone
		v.records[i] = record
		v.zoneSizes[engine.AvailabilityZone]++
	}
	for _, record := range former {
		v.dropIfUnused(record)
	}
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

// reserve counts the stream at the engine until the entry's state includes it.
func (v *SharedView) reserve(
	record *sharedEngine, engine *directory.Target, wait time.Duration, query *SharedQuery, now time.Time,
) uint64 {
	if v.byAge.Len() >= maxSharedReservations {
		v.release(v.byAge.Front())
	}
	v.lastTicket++
	reserved := &reservation{
		ticket: v.lastTicket, request: requestKey{query.Entry, query.Request}, engine: record, target: engine, wait: wait,
		until: now.Add(reservationTTL),
		usage: usageOf(&EngineLoad{Streams: 1, PrefillTokens: promptTokens(engine, query), ResidentTokens: query.Size.KVCacheTokens()}),
	}
	element := v.byAge.PushBack(reserved)
	v.reservations[reserved.ticket] = element
	if query.Request != "" {
		v.byRequest[reserved.request] = element
	}
	v.include(record, reserved.usage)
	return reserved.ticket
}

// releaseTickets releases the reservations of the entry that its state includes.
func (v *SharedView) releaseTickets(entry string, tickets []uint64) {
	for _, ticket := range tickets {
		if element, known := v.reservations[ticket]; known && element.Value.(*reservation).request.entry == entry {
			v.release(element)
		}
	}
}

func (v *SharedView) release(element *list.Element) {
	reserved := v.byAge.Remove(element).(*reservation)
	delete(v.reservations, reserved.ticket)
	if v.byRequest[reserved.request] == element {
		delete(v.byRequest, reserved.request)
	}
	v.exclude(reserved.engine, reserved.usage)
}
