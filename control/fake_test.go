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

// fakeStore is the platform's object API without a network.
type fakeStore struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]objects.Object
	// loseAnswers makes that many writes take effect without an answer.
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

// fakeEngine carries orders out as an engine does.
type fakeEngine struct {
	checksFence bool
	inventory   Inventory
	stale       int // orders with an old token that took effect
	fenced      int
	orders      int
}

// fakeEngines are engines by address.
type fakeEngines struct {
	mu       sync.Mutex
	loadTime time.Duration
	engines  map[string]*fakeEngine
	// loadTimes are the times at which loads began.
	loadTimes []time.Time
	// used are the weights that streams use.
	used []Weights
	// delay is how long an order is on its way.
	delay time.Duration
}

func (f *fakeEngines) set(change func()) {
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

func (f *fakeEngines) Order(_ context.Context, address string, order Order) error {
	time.Sleep(f.delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	engine, ok := f.engines[address]
	if !ok {
		return errors.New("no answer")
	}
	if order.Fence < engine.inventory.Fence {
		if engine.checksFence {
			engine.fenced++
			return ErrFenced
		}
		engine.stale++
	}
	engine.inventory.Fence = max(engine.inventory.Fence, order.Fence)
	engine.orders++
	f.carryOut(engine, order)
	return nil
}

func (f *fakeEngines) carryOut(engine *fakeEngine, order Order) {
	held := &engine.inventory
	switch order.Kind {
	case OrderRole:
		held.Role = order.Role
	case OrderUnload:
		held.Loaded = slices.DeleteFunc(held.Loaded, func(w Weights) bool { return w == order.Weights })
	case OrderLoad:
		held.Loading = append(held.Loading, order.Weights)
		f.loadTimes = append(f.loadTimes, time.Now())
		time.AfterFunc(f.loadTime, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			held.Loading = slices.DeleteFunc(held.Loading, func(w Weights) bool { return w == order.Weights })
			held.Loaded = append(held.Loaded, order.Weights)
		})
	}
}

func (f *fakeEngines) InUse(_ context.Context, _ membership.Peer, weights Weights) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.used, weights), nil
}

// fakeConfiguration is a configuration that tests replace.
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

// world is a store, engines and a configuration under which controllers run.
type world struct {
	store         *fakeStore
	engines       *fakeEngines
	configuration *fakeConfiguration
	peers         []membership.Peer
}

func newWorld(fencing v1.FencingMode, targets ...string) *world {
	w := &world{
		store:         newFakeStore(),
		engines:       &fakeEngines{loadTime: 4 * time.Second, engines: map[string]*fakeEngine{}},
		configuration: &fakeConfiguration{},
		peers:         []membership.Peer{{Name: "e1"}, {Name: "e2"}},
	}
	for _, name := range targets {
		w.engines.engines[name] = &fakeEngine{checksFence: fencing == v1.FencingEnforced, inventory: Inventory{Role: RoleServe}}
	}
	w.configuration.declare("v1", fencing, targets...)
	return w
}

func (w *world) controller(i int) *Controller {
	self := w.peers[i]
	return NewController(Options{
		Configuration: w.configuration,
		View:          membership.Static{This: self, Peers: w.peers},
		Lease:         NewLease(w.store, LeaseName, self.Name+"/1"),
		Engines:       w.engines,
		Usage:         w.engines,
	})
}

// holds tells whether every engine holds exactly the version and its adapter.
func (w *world) holds(version string) bool {
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
