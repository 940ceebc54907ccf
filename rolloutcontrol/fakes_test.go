package rolloutcontrol

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"
	"github.com/azurebarrow/azurebarrow/rollout"
)

// fleet is a number of entries, one service and the store, without a network. It implements Transport and Store.
type fleet struct {
	mu       sync.Mutex
	managers []*Manager
	live     []membership.Peer
	object   *directory.Rollout
	targets  []*directory.Target
	// lostAnswers makes reports arrive and their answers fail; cutOff makes reports fail.
	lostAnswers, cutOff bool
	// statusDown makes writes of the status fail, lostWrites makes them take effect and fail.
	statusDown, lostWrites bool
	writes                 []rollout.Status
	events                 []Event
}

const service = "drafts"

// fleetView is the view of one entry.
type fleetView struct {
	fleet *fleet
	index int
}

func (v fleetView) Self() membership.Peer { return peerOf(v.index) }

func (v fleetView) Live() []membership.Peer {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return append([]membership.Peer(nil), v.fleet.live...)
}

func peerOf(index int) membership.Peer { return membership.Peer{Name: fmt.Sprintf("e%d", index)} }

// snapshot is the directory of all entries: they know at once what the store holds.
type snapshot struct {
	object  *directory.Rollout
	targets []*directory.Target
}

func (s snapshot) Rollouts() []*directory.Rollout {
	if s.object == nil {
		return nil
	}
	return []*directory.Rollout{s.object}
}

func (s snapshot) Rollout(name string) *directory.Rollout {
	if name != service {
		return nil
	}
	return s.object
}

func (s snapshot) KnownTargets(string) []*directory.Target     { return s.targets }
func (s snapshot) AvailableTargets(string) []*directory.Target { return s.targets }

func newFleet(entries int) *fleet {
	f := &fleet{}
	for i := range entries {
		f.live = append(f.live, peerOf(i))
	}
	for i := range entries {
		f.managers = append(f.managers, NewManager(Options{
			Bounds: rollout.Bounds{Share: 0.1, Slack: 50, RollbackAfter: 5 * time.Second},
			Snapshot: func() Directory {
				f.mu.Lock()
				defer f.mu.Unlock()
				return snapshot{f.object, f.targets}
			},
			View: fleetView{f, i}, Transport: f, Store: f,
			Observe: func(event Event) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.events = append(f.events, event)
			},
		}))
	}
	f.targets = []*directory.Target{{ID: "b", Service: service, Version: "v2"}, {ID: "a", Service: service, Version: "v1"}}
	return f
}

// order writes an order to the version.
func (f *fleet) order(to string, duration time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	revision := int64(1)
	if f.object != nil {
		revision = f.object.Revision + 1
	}
	f.object = &directory.Rollout{Name: service, Revision: revision, Order: rollout.Order{Service: service, To: to, Ordered: time.Now().UTC(), Duration: duration}}
}

func (f *fleet) withdraw() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.object = nil
}

// run starts the entries; the returned function stops one.
func (f *fleet) run(t *testing.T) (stop []context.CancelFunc) {
	for _, manager := range f.managers {
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		stop = append(stop, cancel)
		go func() { _ = manager.Run(ctx) }()
	}
	return stop
}

// remove takes an entry out of the live ones.
func (f *fleet) remove(index int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var live []membership.Peer
	for _, peer := range f.live {
		if peer.Name != peerOf(index).Name {
			live = append(live, peer)
		}
	}
	f.live = live
}

// coordinator returns the number of the entry that ranks first.
func (f *fleet) coordinator() int {
	first := coordinatorOf(service, fleetView{f, 0}.Live())
	for i := range f.managers {
		if peerOf(i).Name == first.Name {
			return i
		}
	}
	return -1
}

var errCutOff = errors.New("cut off")

// Report implements Transport.
func (f *fleet) Report(_ context.Context, peer membership.Peer, report Report) (Answer, error) {
	f.mu.Lock()
	cutOff, lost := f.cutOff, f.lostAnswers
	var manager *Manager
	for i := range f.managers {
		if peerOf(i).Name == peer.Name {
			manager = f.managers[i]
		}
	}
	f.mu.Unlock()
	if cutOff {
		return Answer{}, errCutOff
	}
	answer, err := manager.Receive(report)
	if lost {
		return Answer{}, errCutOff
	}
	return answer, err
}

// ReadRollout implements Store.
func (f *fleet) ReadRollout(context.Context, string) (*directory.Rollout, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.object == nil {
		return nil, objects.ErrNotFound
	}
	return f.object, nil
}

// WriteRolloutStatus implements Store.
func (f *fleet) WriteRolloutStatus(_ context.Context, read *directory.Rollout, status rollout.Status) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.statusDown:
		return objects.ErrUnavailable
	case f.object == nil:
		return objects.ErrNotFound
	case f.object.Revision != read.Revision:
		return &objects.ConflictError{Name: read.Name, Expected: read.Revision, Present: f.object.Revision}
	}
	f.setStatus(status)
	if f.lostWrites {
		return objects.ErrUnknownOutcome
	}
	return nil
}

// setStatus writes a status. The caller holds mu.
func (f *fleet) setStatus(status rollout.Status) {
	written := *f.object
	written.Revision++
	written.Status = status
	f.object = &written
	f.writes = append(f.writes, status)
}

func (f *fleet) status() rollout.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.object.Status
}

// call sends a request through an entry. It returns the version that got it. fails decides whether the version fails it.
func (f *fleet) call(entry int, fails func(version string) bool) string {
	manager := f.managers[entry]
	request := manager.Begin(service, false)
	defer request.End(false)
	available := manager.Available(service, manager.options.Snapshot().AvailableTargets(service))
	for _, target := range available {
		version := target.Version
		if !request.Allows(version) {
			continue
		}
		attempt := request.BeginAttempt("route", version)
		if fails(version) {
			attempt.Fail(rollout.Failed)
		} else {
			attempt.Answered()
		}
		attempt.End()
		return version
	}
	return ""
}

// traffic sends requests through the entries in turn for a time, one each 2 ms, and returns how many each version got.
func (f *fleet) traffic(lasts time.Duration, entries []int, fails func(version string) bool) map[string]int {
	sent := map[string]int{}
	for i := range int(lasts / (2 * time.Millisecond)) {
		sent[f.call(entries[i%len(entries)], fails)]++
		time.Sleep(2 * time.Millisecond)
	}
	return sent
}

func never(string) bool { return false }
