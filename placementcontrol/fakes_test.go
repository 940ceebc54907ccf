package placementcontrol

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/routing"
)

const service = "drafts"

var (
	spec = &directory.EngineSpec{Slots: 12, MemoryTokens: 55_000}
	size = generation.StreamSize{Prompt: 5000, Output: 700}
)

// latency is how long a message of the fakes takes to its peer, and an answer back.
const latency = time.Millisecond

var errBroken = errors.New("connection broken")

// fleet is a number of entries without a network. It implements Transport for all of them.
type fleet struct {
	mu       sync.Mutex
	managers map[string]*Manager
	live     []membership.Peer
	engines  []*directory.Target
	// faults are those of peers as coordinators, by name.
	faults map[string]fault
	// requests and reports are the messages that were sent.
	requests []sentRequest
	reports  []sentReport
	events   map[string][]Event
	// stopping is the name of an entry that shuts down.
	stopping string
}

type sentRequest struct {
	peer string
	Request
}

type sentReport struct {
	peer string
	at   time.Time
	Report
}

// fault makes an entry a bad coordinator.
type fault struct {
	// silent makes messages wait until their senders give up. late is how much later answers come.
	silent bool
	late   time.Duration
	// err is the answer to all messages, answer that to placement requests unless it is nil.
	err    error
	answer *Answer
}

func peerOf(index int) membership.Peer {
	return membership.Peer{Name: fmt.Sprintf("e%03d", index), AvailabilityZone: "a"}
}

func engineFleet(count int) []*directory.Target {
	var engines []*directory.Target
	for i := range count {
		engines = append(engines, &directory.Target{ID: fmt.Sprintf("i%03d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Service: service, AvailabilityZone: "a", Slots: 12})
	}
	return engines
}

// view is the view of one entry.
type view struct {
	fleet *fleet
	index int
}

func (v view) Self() membership.Peer { return peerOf(v.index) }

func (v view) Live() []membership.Peer {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return v.fleet.live
}

// newFleet returns entries that share placement from minEntries on. change changes the options of an entry.
func newFleet(entries, minEntries, engines int, change func(index int, options *Options)) *fleet {
	f := &fleet{managers: map[string]*Manager{}, engines: engineFleet(engines), faults: map[string]fault{}, events: map[string][]Event{}}
	for i := range entries {
		f.live = append(f.live, peerOf(i))
	}
	for i := range entries {
		name := peerOf(i).Name
		options := Options{
			MinEntries: minEntries,
			Local:      routing.NewPlacement(routing.PlacementOptions{AvailabilityZone: "a", Seed: uint64(i)}),
			NewView:    func() View { return routing.NewSharedView(routing.SharedViewOptions{Seed: uint64(i)}) },
			View:       view{f, i}, Transport: f,
			Service: func(name string) (*directory.EngineSpec, []*directory.Target) {
				if name != service {
					return nil, nil
				}
				return spec, f.knownEngines()
			},
			Observe: func(event Event) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.events[name] = append(f.events[name], event)
			},
		}
		if change != nil {
			change(i, &options)
		}
		f.managers[name] = NewManager(options)
	}
	return f
}

// knownEngines returns the engines that all entries know. The slice is never changed.
func (f *fleet) knownEngines() []*directory.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines
}

// run runs the managers until the test ends.
func (f *fleet) run(t *testing.T) {
	for _, manager := range f.managers {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = manager.Run(ctx)
		}()
		t.Cleanup(func() {
			cancel()
			<-ended
		})
	}
}

// deliver waits until a message is at its peer, or returns why it gets there no more.
func (f *fleet) deliver(ctx context.Context, peer membership.Peer) (*Manager, fault, error) {
	f.mu.Lock()
	manager, injected := f.managers[peer.Name], f.faults[peer.Name]
	f.mu.Unlock()
	if injected.silent {
		<-ctx.Done()
		return nil, injected, ctx.Err()
	}
	if err := sleep(ctx, latency); err != nil {
		return nil, injected, err
	}
	return manager, injected, injected.err
}

// giveBack waits until the answer of a peer is at the sender of the message. A peer that has become silent sends none.
func (f *fleet) giveBack(ctx context.Context, peer membership.Peer, injected fault) error {
	f.mu.Lock()
	isSilent := f.faults[peer.Name].silent
	f.mu.Unlock()
	if isSilent {
		<-ctx.Done()
		return ctx.Err()
	}
	return sleep(ctx, latency+injected.late)
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// Place implements Transport.
func (f *fleet) Place(ctx context.Context, peer membership.Peer, request Request) (Answer, error) {
	f.mu.Lock()
	f.requests = append(f.requests, sentRequest{peer.Name, request})
	f.mu.Unlock()
	manager, injected, err := f.deliver(ctx, peer)
	if err != nil {
		return Answer{}, err
	}
	answer, err := manager.Place(ctx, request)
	if injected.answer != nil {
		answer, err = *injected.answer, nil
	}
	if waitErr := f.giveBack(ctx, peer, injected); waitErr != nil {
		return Answer{}, waitErr
	}
	return answer, err
}

// Report implements Transport.
func (f *fleet) Report(ctx context.Context, peer membership.Peer, report Report) error {
	f.mu.Lock()
	f.reports = append(f.reports, sentReport{peer.Name, time.Now(), report})
	f.mu.Unlock()
	manager, injected, err := f.deliver(ctx, peer)
	if err != nil {
		return err
	}
	err = manager.Receive(report)
	if waitErr := f.giveBack(ctx, peer, injected); waitErr != nil {
		return waitErr
	}
	return err
}

// ranked returns the entries in the order in which they coordinate the service.
func (f *fleet) ranked() []string {
	var names []string
	for _, peer := range membership.Rank(f.live, RankKey(service)) {
		names = append(names, peer.Name)
	}
	return names
}

func (f *fleet) setFault(name string, injected fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults[name] = injected
}

// sentRequests returns the placement requests so far.
func (f *fleet) sentRequests() []sentRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]sentRequest(nil), f.requests...)
}

func (f *fleet) sentReports() []sentReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]sentReport(nil), f.reports...)
}

// eventsOf returns the events of an entry of a kind.
func (f *fleet) eventsOf(name string, kind EventKind) []Event {
	f.mu.Lock()
	defer f.mu.Unlock()
	var events []Event
	for _, event := range f.events[name] {
		if event.Kind == kind {
			events = append(events, event)
		}
	}
	return events
}

// query returns the query for a new stream.
func (f *fleet) query(request string) generation.RelayQuery {
	return generation.RelayQuery{
		Service: service, Request: request, Objective: 4 * time.Second, Deadline: time.Now().Add(25 * time.Second),
		Engines: f.knownEngines(), Spec: spec, Size: size,
	}
}

// place has an entry place a stream and returns the engine and how long that took.
func (f *fleet) place(t *testing.T, name string, query generation.RelayQuery) (*directory.Target, time.Duration) {
	t.Helper()
	begun := time.Now()
	engine, err := f.managers[name].PlaceStream(t.Context(), query)
	if err != nil || engine == nil {
		t.Fatal("not placed: ", engine, err)
	}
	return engine, time.Since(begun)
}

// start has an entry place a stream and begin it.
func (f *fleet) start(t *testing.T, name, request string) (*directory.Target, generation.PlacedStream) {
	t.Helper()
	engine, _ := f.place(t, name, f.query(request))
	return engine, f.managers[name].AddStream(engine, size, size.Prompt)
}
