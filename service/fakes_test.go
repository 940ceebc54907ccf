package service

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurebarrow/azurebarrow/idempotency"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"
	"github.com/azurebarrow/azurebarrow/objects/writelimit"
)

// memoryStore is an in-memory platform that can be made unavailable.
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
	current := s.objects[kind+name].Revision
	if current != expected {
		return objects.Object{}, &objects.ConflictError{Expected: expected, Present: current}
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

// fakeTarget configures the behavior of one target.
type fakeTarget struct {
	latency    time.Duration
	notSent    bool // the request is not sent
	loseAnswer bool // the call runs, but its answer is lost
}

// fakeTransport runs calls and counts the runs of each key.
type fakeTransport struct {
	mu      sync.Mutex
	targets map[string]fakeTarget
	runs    map[string]int
	order   []string
	once    bool
	refused int // requests that were not sent
}

func (f *fakeTransport) Do(ctx context.Context, target Target, request Request) (idempotency.Answer, error) {
	f.mu.Lock()
	behavior := f.targets[target.Name]
	if behavior.notSent {
		f.refused++
	}
	f.mu.Unlock()
	if behavior.notSent {
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
	case <-time.After(behavior.latency):
	case <-ctx.Done():
		return idempotency.Answer{}, ctx.Err()
	}
	if behavior.loseAnswer {
		f.setBehavior(target.Name, fakeTarget{})
		return idempotency.Answer{}, errors.New("connection reset")
	}
	return idempotency.Answer{Status: 200, Body: []byte(request.RequestKey)}, nil
}

func (f *fakeTransport) setBehavior(name string, behavior fakeTarget) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets[name] = behavior
}

func (f *fakeTransport) runCount(key string) int {
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

// changingDirectory lists targets that change.
type changingDirectory struct {
	mu      sync.Mutex
	targets []Target
}

func (d *changingDirectory) Targets(string) []Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.targets
}

func (d *changingDirectory) set(targets []Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targets = targets
}

// fixture is an executor with its ledger, store and transport.
type fixture struct {
	store     *memoryStore
	transport *fakeTransport
	executor  *Executor
	ledger    *idempotency.Ledger
	stop      context.CancelFunc
}

func newFixture(t *testing.T, targets fakeDirectory, change func(*Options)) *fixture {
	t.Helper()
	w := &fixture{
		store:     &memoryStore{objects: map[string]objects.Object{}},
		transport: &fakeTransport{targets: map[string]fakeTarget{}, runs: map[string]int{}},
	}
	w.addEntry(targets, change)
	return w
}

// addEntry starts an executor and its ledger, replacing the current ones.
func (w *fixture) addEntry(targets fakeDirectory, change func(*Options)) {
	self := membership.Peer{Name: "e1"}
	w.ledger = idempotency.New(idempotency.Options{
		Store:  w.store,
		View:   membership.Static{This: self, Peers: []membership.Peer{self}},
		Budget: writelimit.NewLimiter(1000, 10),
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

// silenceAll makes all targets leave new calls unanswered.
func (w *fixture) silenceAll() {
	for _, target := range threeTargets() {
		w.transport.setBehavior(target.Name, fakeTarget{latency: time.Hour})
	}
}

// startUnansweredLookup starts a look-up whose first target never answers; all later calls are answered.
func (w *fixture) startUnansweredLookup(timeout time.Duration) <-chan Result {
	w.silenceAll()
	result := make(chan Result, 1)
	go func() {
		call := lookup(-1)
		call.Timeout = timeout
		result <- w.executor.Do(context.Background(), call)
	}()
	synctest.Wait()
	for _, target := range threeTargets() {
		w.transport.setBehavior(target.Name, fakeTarget{})
	}
	return result
}
