package entry

import (
	"context"
	"errors"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/streamversion"
)

// modelStoreLatency is the time after which the modelled store answers.
const modelStoreLatency = 4 * time.Millisecond

// modelStore is the platform's store of a modelled fleet: it outlives the entries.
type modelStore struct {
	mu            sync.Mutex
	objects       map[string]streamversion.Object
	revision      int64
	writes, reads int
	// latency is the time after which it answers; down makes all calls fail after it.
	latency time.Duration
	down    bool
	// deniedShare is the share of the entries whose calls fail; lostShare that of the writes that are done and not answered.
	deniedShare, lostShare float64
}

func newModelStore() *modelStore {
	return &modelStore{objects: map[string]streamversion.Object{}, latency: modelStoreLatency}
}

var errModelStore = errors.New("status 503")

// storeOfEntry is the store as one entry reaches it. It implements streamversion.Store.
type storeOfEntry struct {
	*modelStore
	entry string
	// isCut reports whether the entry doesn't reach the store now.
	isCut func() bool
}

// hashShare returns a number in [0, 1) that belongs to a text.
func hashShare(text string) float64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(text)) // never fails
	return float64(hash.Sum32()%1000) / 1000
}

// call waits for the answer; it returns an error if the entry gets none that counts.
func (s storeOfEntry) call(ctx context.Context) error {
	s.mu.Lock()
	latency, fails := s.latency, s.down || s.isCut() || hashShare(s.entry) < s.deniedShare
	s.mu.Unlock()
	select {
	case <-time.After(latency):
	case <-ctx.Done():
		return ctx.Err()
	}
	if fails {
		return errModelStore
	}
	return ctx.Err()
}

// Era implements streamversion.Store.
func (s storeOfEntry) Era() int64 { return 0 }

func (s storeOfEntry) WriteStreamVersions(ctx context.Context, entry string, content streamversion.Content) error {
	if err := s.call(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	s.revision++
	s.writes++
	s.objects[entry] = streamversion.Object{Entry: entry, Revision: s.revision, Content: content}
	lost := float64(s.writes%100) < 100*s.lostShare
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (s storeOfEntry) ReadStreamVersions(ctx context.Context, _ bool) ([]streamversion.Object, error) {
	if err := s.call(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	var all []streamversion.Object
	for _, object := range s.objects {
		all = append(all, object)
	}
	return all, nil
}

func (s storeOfEntry) DeleteStreamVersions(ctx context.Context, entry string, revision int64) error {
	if err := s.call(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[entry].Revision == revision {
		delete(s.objects, entry)
	}
	return nil
}

// set changes the store's behavior.
func (s *modelStore) set(change func(*modelStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *modelStore) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// observeServing has the entry observe the versions of the engines, as its maintenance does.
func (f *crashFleet) observeServing(e *fleetEntry) {
	for e.ctx.Err() == nil {
		var versions []string
		for _, target := range e.targets(f) {
			if !slices.Contains(versions, target.Version) {
				versions = append(versions, target.Version)
			}
		}
		e.versions.ObserveServing("drafts", versions)
		time.Sleep(maintainInterval)
	}
}
