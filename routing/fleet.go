package routing

import (
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/config"
)

// target is the router's state for one target.
type target struct {
	id       targetID
	name     string
	resource *v1.Target
	// deployments names the deployments that contain the target; positions holds its index in each of
	// them, in the same order.
	deployments []string
	positions   []int
	// inFlight is the exact number of this entry's own attempts at the target.
	inFlight int
	history  inFlightHistory
	peerLoad peerLoad
	// reportedConcurrency is the concurrency in the target's latest load report, 0 before the first.
	reportedConcurrency int
	events              eventPosition
	outlier             outlier
	// wasUnavailable is set if the target was draining or suspected when it was last considered.
	wasUnavailable bool
}

// concurrency returns the number of streams that the target runs well at once: the declared number, else
// the reported one, else a default.
func (t *target) concurrency() int {
	switch {
	case t.resource.Spec.Concurrency > 0:
		return t.resource.Spec.Concurrency
	case t.reportedConcurrency > 0:
		return t.reportedConcurrency
	default:
		return defaultConcurrency
	}
}

func (t *target) adjustInFlight(now time.Time, delta int) {
	t.inFlight += delta
	t.history.add(now, int16(delta))
}

// fleet is the state that decisions are based on. Its methods are deterministic.
type fleet struct {
	model  CostModel
	zone   string
	byName map[string]*target
	byID   map[targetID]*target
	// groups holds the targets of each deployment.
	groups     map[string][]*target
	index      *prefixIndex
	popularity popularity
	// entryPosition is this entry's position among the live entries.
	entryPosition EntryPosition
	freeIDs       []targetID
	nextID        targetID
	// meanPeerLoad is the moving average, over load reports, of the load that other entries put on a
	// target.
	meanPeerLoad float64
	// meanStreamTime is the moving average of the time that a stream occupies its target.
	meanStreamTime time.Duration
	snapshot       *config.Snapshot
}

func newFleet(model CostModel, zone string) *fleet {
	model = model.withDefaults()
	return &fleet{
		model:          model,
		zone:           zone,
		byName:         map[string]*target{},
		byID:           map[targetID]*target{},
		groups:         map[string][]*target{},
		index:          newPrefixIndex(),
		popularity:     newPopularity(),
		entryPosition:  EntryPosition{Index: 0, Count: 1},
		meanStreamTime: model.StreamTime,
	}
}

// applySnapshot adopts a configuration snapshot. Targets added after the first snapshot that has targets
// go through a slow start.
func (f *fleet) applySnapshot(snapshot *config.Snapshot, now time.Time) {
	if f.snapshot == snapshot {
		return
	}
	initial := f.snapshot == nil || len(f.snapshot.Targets) == 0
	f.snapshot = snapshot
	f.removeStaleTargets(snapshot)
	for name, resource := range snapshot.Targets {
		f.upsertTarget(name, resource, initial, now)
	}
	f.index.setFleetSize(len(f.byName))
	f.rebuildGroups(snapshot)
}

// removeStaleTargets removes targets that are no longer declared or whose address has changed.
func (f *fleet) removeStaleTargets(snapshot *config.Snapshot) {
	for name, t := range f.byName {
		resource, declared := snapshot.Targets[name]
		if declared && resource.Spec.Address == t.resource.Spec.Address {
			continue
		}
		f.index.removeTarget(t.id)
		f.freeIDs = append(f.freeIDs, t.id)
		delete(f.byName, name)
		delete(f.byID, t.id)
	}
}

func (f *fleet) upsertTarget(name string, resource *v1.Target, initial bool, now time.Time) {
	if t, ok := f.byName[name]; ok {
		t.resource = resource
		return
	}
	t := &target{id: f.allocateID(), name: name, resource: resource}
	if !initial {
		t.outlier.slowStartBegan = now
	}
	f.byName[name] = t
	f.byID[t.id] = t
}

func (f *fleet) allocateID() targetID {
	if last := len(f.freeIDs) - 1; last >= 0 {
		id := f.freeIDs[last]
		f.freeIDs = f.freeIDs[:last]
		return id
	}
	f.nextID++
	return f.nextID
}

func (f *fleet) rebuildGroups(snapshot *config.Snapshot) {
	clear(f.groups)
	for _, t := range f.byName {
		t.deployments = t.deployments[:0]
		t.positions = t.positions[:0]
	}
	for name, deployment := range snapshot.Deployments {
		group := make([]*target, 0, len(deployment.Spec.Targets))
		for _, targetName := range deployment.Spec.Targets {
			if t, ok := f.byName[targetName]; ok {
				group = append(group, t)
				t.deployments = append(t.deployments, name)
				t.positions = append(t.positions, len(group)-1)
			}
		}
		f.groups[name] = group
	}
}

// applyLoadReport records a target's load report.
func (f *fleet) applyLoadReport(t *target, load LoadReport, now time.Time) {
	const meanWeight = 0.05
	ownAtMeasurement := t.inFlight - t.history.changeSince(now.Add(-load.Age), now)
	t.peerLoad = newPeerLoad(load, ownAtMeasurement, now)
	t.reportedConcurrency = load.Concurrency
	f.meanPeerLoad += meanWeight * (t.peerLoad.streams - f.meanPeerLoad)
}

// observeStreamTime adds the duration of a stream to the moving average.
func (f *fleet) observeStreamTime(duration time.Duration) {
	const meanWeight = 0.02
	f.meanStreamTime += time.Duration(meanWeight * float64(duration-f.meanStreamTime))
}

// reportedLoad returns the number of streams at t: this entry's own, and those of other entries as last
// reported.
func (f *fleet) reportedLoad(t *target) float64 {
	return float64(t.inFlight) + t.peerLoad.streams
}

// estimateCost estimates the cost of an attempt at t.
func (f *fleet) estimateCost(t *target, q *query) costEstimate {
	cached := float64(f.index.cachedBlocks(t.id, q.prefixes) * PrefixBlockBytes)
	if q.spreadPrefix {
		// A popular prefix is worth prefilling at one more target: many requests will use it.
		cached = 0
	}
	if t.events.needsResync {
		cached *= staleIndexShare
	}
	peerStreams := t.peerLoad.estimateAt(f.meanPeerLoad, q.now)
	return f.model.estimate(costInputs{
		load:          float64(t.inFlight) + peerStreams,
		uncertainty:   t.peerLoad.uncertainty(peerStreams, f.meanStreamTime, q.now),
		concurrency:   max(1, float64(t.concurrency())*t.outlier.slowStartShare(q.now)),
		uncachedBytes: max(0, float64(q.promptBytes)-cached),
		otherZone:     t.resource.Spec.AvailabilityZone != f.zone,
		streamTime:    f.meanStreamTime,
	})
}
