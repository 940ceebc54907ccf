package config

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"
)

// fakePlatform keeps the history of all objects, so that it can answer a stale read as of any revision.
type fakePlatform struct {
	mu           sync.Mutex
	revision     int64
	history      []objects.Object
	down         bool
	readRevision int64 // when not 0, reads return the state as of this revision
	calls        int
	changed      chan struct{}
}

func newFakePlatform() *fakePlatform { return &fakePlatform{changed: make(chan struct{})} }

func (f *fakePlatform) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakePlatform) write(kind, name, value string) (revision int64) {
	f.update(func() {
		f.append(objects.Object{Kind: kind, Name: name, Value: []byte(value)})
		revision = f.revision
	})
	return revision
}

func (f *fakePlatform) remove(kind, name string) {
	f.update(func() { f.append(objects.Object{Kind: kind, Name: name, Deleted: true}) })
}

func (f *fakePlatform) append(object objects.Object) {
	f.revision++
	object.Revision = f.revision
	object.UID = "uid-" + object.Name
	f.history = append(f.history, object)
}

// at returns the objects of the kind as of the revision, including deleted ones.
func (f *fakePlatform) at(kind string, revision int64) map[string]objects.Object {
	objects := map[string]objects.Object{}
	for _, object := range f.history {
		if object.Kind == kind && object.Revision <= revision {
			objects[object.Name] = object
		}
	}
	return objects
}

func (f *fakePlatform) readable() int64 {
	if f.readRevision != 0 {
		return f.readRevision
	}
	return f.revision
}

func (f *fakePlatform) List(_ context.Context, kind string) (objects.List, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.down {
		return objects.List{}, objects.ErrUnavailable
	}
	list := objects.List{Revision: f.readable()}
	for _, object := range f.at(kind, f.readable()) {
		if !object.Deleted {
			list.Items = append(list.Items, object)
		}
	}
	return list, nil
}

func (f *fakePlatform) Put(_ context.Context, kind, name string, expected int64, value []byte) (objects.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.down {
		return objects.Object{}, objects.ErrUnavailable
	}
	if present := f.at(kind, f.revision)[name].Revision; present != expected {
		return objects.Object{}, &objects.ConflictError{Expected: expected, Present: present}
	}
	f.append(objects.Object{Kind: kind, Name: name, Value: value})
	return f.history[len(f.history)-1], nil
}

func (f *fakePlatform) Watch(ctx context.Context, kinds []string, after int64, wait time.Duration) (objects.List, error) {
	f.mu.Lock()
	f.calls++
	f.mu.Unlock()
	timeout := time.After(wait)
	for {
		f.mu.Lock()
		down, changed := f.down, f.changed
		list := objects.List{Revision: max(f.readable(), after)}
		for _, kind := range kinds {
			for _, object := range f.at(kind, f.readable()) {
				if object.Revision > after {
					list.Items = append(list.Items, object)
				}
			}
		}
		f.mu.Unlock()
		if down {
			return objects.List{}, objects.ErrUnavailable
		}
		if len(list.Items) > 0 {
			return list, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return list, nil
		case <-ctx.Done():
			return objects.List{}, ctx.Err()
		}
	}
}

// fakePeers passes calls to the Managers of other entries in the same process.
type fakePeers struct {
	mu       sync.Mutex
	managers map[string]*Manager
	// unreachable holds the names of the peers that don't answer.
	unreachable map[string]bool
}

func newFakePeers() *fakePeers {
	return &fakePeers{managers: map[string]*Manager{}, unreachable: map[string]bool{}}
}

// callTime is the shortest wait of a call. A wait of 0 makes a timer that has expired already, and go 1.26.8 runs
// such timers of a synctest bubble on all receivers' threads at once, which crashes the race detector.
const callTime = time.Nanosecond

func (f *fakePeers) Follow(ctx context.Context, peer membership.Peer, positions []Position, wait time.Duration) (Update, error) {
	f.mu.Lock()
	manager, unreachable := f.managers[peer.Name], f.unreachable[peer.Name]
	f.mu.Unlock()
	if manager == nil || unreachable {
		return Update{}, fmt.Errorf("%s does not answer", peer.Name)
	}
	return manager.Follow(ctx, positions, max(wait, callTime)), nil
}

func testEntries(n int) []membership.Peer {
	peers := make([]membership.Peer, n)
	for i := range peers {
		peers[i] = membership.Peer{Name: fmt.Sprintf("entry-%03d", i), AvailabilityZone: string(rune('a' + i%3))}
	}
	return peers
}

func (f *fakePeers) start(ctx context.Context, platform Platform, all []membership.Peer, i int) *Manager {
	manager := NewManager(Options{
		Platform:     platform,
		Peers:        f,
		View:         membership.Static{This: all[i], Peers: all},
		Registration: Registration{Name: all[i].Name, AvailabilityZone: all[i].AvailabilityZone},
	})
	f.mu.Lock()
	f.managers[all[i].Name] = manager
	f.mu.Unlock()
	go manager.Run(ctx)
	return manager
}

func modelJSON(name string, versions ...string) string {
	model := v1.Model{TypeMeta: v1.TypeMeta{APIVersion: v1.APIVersion, Kind: v1.KindModel}, Metadata: v1.Metadata{Name: name}}
	for _, version := range versions {
		model.Spec.Versions = append(model.Spec.Versions, v1.ModelVersion{Name: version})
	}
	text, err := json.Marshal(model)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// modelVersion returns the first version of the model in the snapshot in force; "" if there is none.
func modelVersion(m *Manager, name string) string {
	model := m.Snapshot().Models[name]
	if model == nil {
		return ""
	}
	return model.Spec.Versions[0].Name
}
