package routing

import (
	"container/list"
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
	// maxEngineWait is the longest time to the first event at an engine that has room: a prompt of 5,000 tokens, and half of another one before
	// it. With 2.5 s, streams that could no longer be on time took room from those that could (docs/design/stream-admission.md).
	maxEngineWait = 1600 * time.Millisecond
	// roomCopyShare is the part of the KV cache copies that counts when an engine is asked for room: an engine takes copies only while it has
	// memory, so that they don't keep streams out, but streams without copies have their prompts prefilled again when their engine is lost.
	roomCopyShare = 0.5
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
	var rank engineRank
	for i, candidate := range query.Engines {
		if !query.Allows(candidate) {
			continue
		}
		condition := v.condition(v.records[i], suspected, now)
		candidateWait, hasRoom := v.room(candidate, condition, &query)
		cost := v.options.Model.streamCost(candidate, condition, &query.RelayQuery, query.AvailabilityZone, affinity) +
			time.Duration(v.random.Float64()*float64(v.options.Model.RandomSpread))
		candidateRank := rankOf(condition, hasRoom)
		if best == nil || candidateRank < rank || candidateRank == rank && cost < lowest {
			engine, best, lowest, wait, rank = candidate, v.records[i], cost, candidateWait, candidateRank
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
