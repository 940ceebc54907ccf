package service

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/azurebarrow/azurebarrow/idempotency"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"
	"github.com/azurebarrow/azurebarrow/objects/budget"
)

// memoryStore is a platform that may be down.
type memoryStore struct {
	mu       sync.Mutex
	down     bool
	revision int64
	objects  map[string]objects.Object
}

func (s *memoryStore) Get(_ context.Context, kind, name string) (objects.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return objects.Object{}, objects.ErrUnavailable
	}
	object, ok := s.objects[kind+name]
	if !ok {
		return objects.Object{}, objects.ErrNotFound
	}
	return object, nil
}

func (s *memoryStore) List(context.Context, string) (objects.List, error) {
	return objects.List{}, nil
}

func (s *memoryStore) Put(_ context.Context, kind, name string, expected int64, value []byte) (objects.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return objects.Object{}, objects.ErrUnavailable
	}
	present := s.objects[kind+name].Revision
	if present != expected {
		return objects.Object{}, &objects.ConflictError{Expected: expected, Present: present}
	}
	s.revision++
	s.objects[kind+name] = objects.Object{Kind: kind, Name: name, Revision: s.revision, Value: value}
	return s.objects[kind+name], nil
}

func (s *memoryStore) Delete(context.Context, string, string, int64) error { return nil }

func (s *memoryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// fakeTarget is how one target answers.
type fakeTarget struct {
	takes  time.Duration
	refuse bool // nothing is sent
	lose   bool // the call runs and its answer is lost
}

// fakeTransport runs calls and counts the runs of each key.
type fakeTransport struct {
	mu      sync.Mutex
	targets map[string]fakeTarget
	runs    map[string]int
	order   []string
	once    bool
}

func (f *fakeTransport) Do(ctx context.Context, target Target, request Request) (idempotency.Answer, error) {
	f.mu.Lock()
	how := f.targets[target.Name]
	f.mu.Unlock()
	if how.refuse {
		return idempotency.Answer{}, &NotSentError{Cause: errors.New("refused")}
	}
	f.mu.Lock()
	if !target.Deduplicates || f.runs[request.RequestKey] == 0 {
		f.runs[request.RequestKey]++
	}
	f.order = append(f.order, target.Name)
	f.once = request.Once
	f.mu.Unlock()
	select {
	case <-time.After(how.takes):
	case <-ctx.Done():
		return idempotency.Answer{}, ctx.Err()
	}
	if how.lose {
		f.change(target.Name, fakeTarget{})
		return idempotency.Answer{}, errors.New("connection reset")
	}
	return idempotency.Answer{Status: 200, Body: []byte(request.RequestKey)}, nil
}

func (f *fakeTransport) change(name string, how fakeTarget) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets[name] = how
}

func (f *fakeTransport) ran(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[key]
}

func (f *fakeTransport) sentTo(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, sent := range f.order {
		if sent == name {
			count++
		}
	}
	return count
}

type fakeDirectory []Target

func (d fakeDirectory) Targets(string) []Target { return d }

// world is an executor with its surroundings.
type world struct {
	store     *memoryStore
	transport *fakeTransport
	executor  *Executor
	ledger    *idempotency.Ledger
	stop      context.CancelFunc
}

func newWorld(t *testing.T, targets fakeDirectory, change func(*Options)) *world {
	t.Helper()
	w := &world{
		store:     &memoryStore{objects: map[string]objects.Object{}},
		transport: &fakeTransport{targets: map[string]fakeTarget{}, runs: map[string]int{}},
	}
	w.addEntry(targets, change)
	return w
}

// addEntry starts an executor and its ledger, in place of the former one.
func (w *world) addEntry(targets fakeDirectory, change func(*Options)) {
	self := membership.Peer{Name: "e1"}
	w.ledger = idempotency.New(idempotency.Options{
		Store:  w.store,
		View:   membership.Static{This: self, Peers: []membership.Peer{self}},
		Budget: budget.NewLimiter(1000, 10),
	})
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	go w.ledger.Run(ctx)
	options := Options{Ledger: w.ledger, Transport: w.transport, Directory: targets, Seed: 1}
	if change != nil {
		change(&options)
	}
	w.executor = NewExecutor(options)
}

func threeTargets() fakeDirectory {
	var targets fakeDirectory
	for i := range 3 {
		targets = append(targets, Target{Name: fmt.Sprint("t", i)})
	}
	return targets
}
