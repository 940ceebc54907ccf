package control

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"
)

// fakeStore is an in-memory Store.
type fakeStore struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]objects.Object
	// loseAnswers is the number of next writes that take effect but return ErrUnknownOutcome.
	loseAnswers int
	down        bool
	puts        int
}

func newFakeStore() *fakeStore { return &fakeStore{objects: map[string]objects.Object{}} }

func (f *fakeStore) Get(_ context.Context, kind, name string) (objects.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return objects.Object{}, objects.ErrUnavailable
	}
	object, ok := f.objects[kind+"/"+name]
	if !ok {
		return objects.Object{}, objects.ErrNotFound
	}
	return object, nil
}

func (f *fakeStore) Put(_ context.Context, kind, name string, expected int64, value []byte) (objects.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.puts++
	if f.down {
		return objects.Object{}, objects.ErrUnavailable
	}
	present := f.objects[kind+"/"+name].Revision
	if present != expected {
		return objects.Object{}, &objects.ConflictError{Kind: kind, Name: name, Expected: expected, Present: present}
	}
	f.revision++
	object := objects.Object{Kind: kind, Name: name, UID: "u", Revision: f.revision, Value: value}
	f.objects[kind+"/"+name] = object
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return objects.Object{}, objects.ErrUnknownOutcome
	}
	return object, nil
}

// fakeEngine is the state of a simulated engine.
type fakeEngine struct {
	checksFence bool
	inventory   Inventory
	stale       int // commands with an old token that took effect
	fenced      int // commands refused for an old token
	commands    int
}

// fakeEngines simulates engines, by address; it implements Engines and Usage.
type fakeEngines struct {
	mu           sync.Mutex
	loadDuration time.Duration
	engines      map[string]*fakeEngine
	// loadStarts holds the times at which loads started.
	loadStarts []time.Time
	// used holds the weights that streams use.
	used []Weights
	// delay is the latency of a command.
	delay time.Duration
}

func (f *fakeEngines) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeEngines) Inventory(_ context.Context, address string) (Inventory, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	engine, ok := f.engines[address]
	if !ok {
		return Inventory{}, errors.New("no answer")
	}
	inventory := engine.inventory
	inventory.Loaded = slices.Clone(inventory.Loaded)
	inventory.Loading = slices.Clone(inventory.Loading)
	return inventory, nil
}

func (f *fakeEngines) Send(_ context.Context, address string, command Command) error {
	time.Sleep(f.delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	engine, ok := f.engines[address]
	if !ok {
		return errors.New("no answer")
	}
	if command.Fence < engine.inventory.Fence {
		if engine.checksFence {
			engine.fenced++
			return ErrFenced
		}
		engine.stale++
	}
	engine.inventory.Fence = max(engine.inventory.Fence, command.Fence)
	engine.commands++
	f.execute(engine, command)
	return nil
}

func (f *fakeEngines) execute(engine *fakeEngine, command Command) {
	held := &engine.inventory
	switch command.Kind {
	case CommandSetRole:
		held.Role = command.Role
	case CommandUnload:
		held.Loaded = slices.DeleteFunc(held.Loaded, func(w Weights) bool { return w == command.Weights })
	case CommandLoad:
		held.Loading = append(held.Loading, command.Weights)
		f.loadStarts = append(f.loadStarts, time.Now())
		time.AfterFunc(f.loadDuration, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			held.Loading = slices.DeleteFunc(held.Loading, func(w Weights) bool { return w == command.Weights })
			held.Loaded = append(held.Loaded, command.Weights)
		})
	}
}

func (f *fakeEngines) WeightsInUse(_ context.Context, _ membership.Peer, weights Weights) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.used, weights), nil
}

// fakeConfiguration is a Configuration that tests can replace.
type fakeConfiguration struct {
	mu       sync.Mutex
	snapshot *config.Snapshot
}

func (f *fakeConfiguration) Snapshot() *config.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

func (f *fakeConfiguration) declare(version string, fencing v1.FencingMode, targets ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = config.NewSnapshot(1)
	for _, name := range targets {
		f.snapshot.Targets[name] = &v1.Target{
			Metadata: v1.Metadata{Name: name},
			Spec:     v1.TargetSpec{Type: v1.TargetEngine, Address: name},
		}
	}
	f.snapshot.Deployments["d"] = &v1.Deployment{
		Metadata: v1.Metadata{Name: "d"},
		Spec: v1.DeploymentSpec{
			Type: v1.DeploymentGeneration, Model: "m", Version: version, Targets: targets,
			Adapters: []v1.AdapterWeight{{Name: "lora", Weight: 1}}, Fencing: fencing,
		},
	}
}

// testEnvironment is the environment of the controllers under test: a store, engines, a configuration
// and entries.
type testEnvironment struct {
	store         *fakeStore
	engines       *fakeEngines
	configuration *fakeConfiguration
	peers         []membership.Peer
}

func newTestEnvironment(fencing v1.FencingMode, targets ...string) *testEnvironment {
	w := &testEnvironment{
		store:         newFakeStore(),
		engines:       &fakeEngines{loadDuration: 4 * time.Second, engines: map[string]*fakeEngine{}},
		configuration: &fakeConfiguration{},
		peers:         []membership.Peer{{Name: "e1"}, {Name: "e2"}},
	}
	for _, name := range targets {
		w.engines.engines[name] = &fakeEngine{checksFence: fencing == v1.FencingEnforced, inventory: Inventory{Role: RoleServe}}
	}
	w.configuration.declare("v1", fencing, targets...)
	return w
}

func (w *testEnvironment) controller(i int) *Controller {
	self := w.peers[i]
	return NewController(Options{
		Configuration: w.configuration,
		View:          membership.Static{This: self, Peers: w.peers},
		Lease:         NewLease(w.store, LeaseName, self.Name+"/1"),
		Engines:       w.engines,
		Usage:         w.engines,
	})
}

// holds reports whether every engine has loaded exactly the version and its adapter.
func (w *testEnvironment) holds(version string) bool {
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	for _, engine := range w.engines.engines {
		loaded := slices.Clone(engine.inventory.Loaded)
		slices.SortFunc(loaded, compareWeights)
		if !slices.Equal(loaded, []Weights{{"m", version, ""}, {"m", version, "lora"}}) {
			return false
		}
	}
	return true
}
