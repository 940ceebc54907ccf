package streamversion

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/membership"
)

// memoryStore is a Store in memory.
type memoryStore struct {
	mu            sync.Mutex
	objects       map[string]Object
	revision      int64
	writes, reads int
	down          bool
	// readTime is how long a read takes.
	readTime time.Duration
	era      int64
}

// Era implements Store.
func (s *memoryStore) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// copyNow returns a function that restores the store from its present content.
func (s *memoryStore) copyNow() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept, revision := maps.Clone(s.objects), s.revision
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.objects, s.revision = maps.Clone(kept), revision
		s.era++
	}
}

var errDown = errors.New("down")

func newMemoryStore() *memoryStore { return &memoryStore{objects: map[string]Object{}} }

func (s *memoryStore) WriteStreamVersions(_ context.Context, entry string, content Content) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.down {
		return errDown
	}
	s.revision++
	s.objects[entry] = Object{Entry: entry, Revision: s.revision, Content: content}
	return nil
}

func (s *memoryStore) ReadStreamVersions(ctx context.Context, _ bool) ([]Object, error) {
	if err := wait.For(ctx, s.readTime); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return nil, errDown
	}
	var all []Object
	for _, object := range s.objects {
		all = append(all, object)
	}
	return all, nil
}

func (s *memoryStore) DeleteStreamVersions(_ context.Context, entry string, revision int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[entry].Revision == revision {
		delete(s.objects, entry)
	}
	return nil
}

func (s *memoryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *memoryStore) snapshot() (objects map[string]Object, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.objects), s.writes
}

// storedEntries are entries that see each other and share a store. They run until stop is called.
type storedEntries struct {
	*memoryPeers
	store *memoryStore
	live  []membership.Peer
	stop  context.CancelFunc
}

func startEntries(t *testing.T, store *memoryStore, count int) *storedEntries {
	peers, live := newPeers(count)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	for _, self := range live {
		manager := NewManager(Options{View: membership.Static{This: self, Peers: live}, Transport: peers, Store: store})
		peers.managers[self.Name] = manager
		go func() { _ = manager.Run(ctx) }()
	}
	synctest.Wait()
	return &storedEntries{peers, store, live, cancel}
}

// observe has all entries observe what serves for a time, as their maintenance does.
func (e *storedEntries) observe(duration time.Duration, versions ...string) {
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(time.Second) {
		for _, manager := range e.managers {
			manager.ObserveServing("drafts", versions)
		}
	}
}

// Guards against streams whose version nobody knows once all entries are lost, also twice in a row.
func TestVersionsOutliveAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newMemoryStore()
		e := startEntries(t, store, 8)
		e.managers["e03"].Share(t.Context(), Record{Stream: "s", Customer: "ranch", Version: "v1"})
		time.Sleep(time.Second)
		for range 2 {
			e.stop()
			synctest.Wait()
			e = startEntries(t, store, 8)
			version, found := e.managers["e05"].Find(t.Context(), "drafts", "s", "ranch")
			is.True(found)
			is.Equal(version, "v1")
			_, found = e.managers["e05"].Find(t.Context(), "drafts", "s", "another")
			is.True(!found)
			time.Sleep(time.Second)
		}
		e.stop()
		time.Sleep(time.Minute)
	})
}

// Guards against a read of many large objects over a slow link that is cut, and begun again, for ever.
func TestLongReadOfTheStoreIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newMemoryStore()
		e := startEntries(t, store, 8)
		e.managers["e03"].Share(t.Context(), Record{Stream: "s", Customer: "ranch", Version: "v1"})
		time.Sleep(time.Second)
		e.stop()
		synctest.Wait()
		store.readTime = 20 * time.Second // 15 MB, the objects of 150 entries, at 0.75 MB/s
		e = startEntries(t, store, 8)
		time.Sleep(store.readTime + time.Second)
		version, found := e.managers["e05"].Find(t.Context(), "drafts", "s", "ranch")
		is.True(found)
		is.Equal(version, "v1")
		e.stop()
		time.Sleep(time.Minute)
	})
}

// Guards against a version that is taken for the only one by entries that saw no other, and against streams refused for ever.
func TestOnlyVersionIsKnownForAsLongAsStreamsOfAnotherMayBeTakenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newMemoryStore()
		e := startEntries(t, store, 8)
		e.observe(10*time.Second, "v1")
		is.True(e.managers["e00"].IsOnlyVersion("drafts", "v1"))
		e.observe(2*time.Second, "v2")
		e.stop()
		synctest.Wait()
		e = startEntries(t, store, 8)
		e.observe(time.Second, "v2")
		for _, manager := range e.managers {
			is.True(!manager.IsOnlyVersion("drafts", "v2"))
			is.True(manager.IsOnlyVersion("book", "v2"))
		}
		e.observe(servingTTL, "v2")
		for _, manager := range e.managers {
			is.True(manager.IsOnlyVersion("drafts", "v2"))
		}
		e.observe(removeInterval+10*time.Second, "v2")
		objects, _ := store.snapshot()
		for _, object := range objects {
			is.True(len(object.Serving["drafts"]) <= 1) // the store forgets v1 too
		}
		e.stop()
		time.Sleep(time.Minute)
	})
}

// Guards against entries that conclude from what they see while they could not read what served before, and against entries
// that never conclude because the store stays away: peers know.
func TestServingVersionsAreLearnedFromPeersWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newMemoryStore()
		e := startEntries(t, store, 8)
		e.observe(5*time.Second, "v1")
		store.setDown(true)
		ctx, cancel := context.WithCancel(t.Context())
		late := NewManager(Options{View: membership.Static{This: e.live[0], Peers: e.live}, Transport: e.memoryPeers, Store: store})
		is.True(!late.IsOnlyVersion("drafts", "v1"))
		go func() { _ = late.Run(ctx) }()
		synctest.Wait()
		is.True(late.IsOnlyVersion("drafts", "v1"))
		is.True(!late.IsOnlyVersion("drafts", "v2"))

		alone := NewManager(Options{View: membership.Static{This: e.live[0]}, Transport: e.memoryPeers, Store: store})
		go func() { _ = alone.Run(ctx) }()
		time.Sleep(time.Second)
		is.True(!alone.IsOnlyVersion("drafts", "v1")) // neither this entry nor a peer knows it
		cancel()
		e.stop()
		time.Sleep(time.Minute)
	})
}

// Guards against records that are lost with all entries because their entry can't write to the store: holders keep them there.
func TestHoldersKeepTheRecordsOfAnEntryThatTheStoreTurnsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newMemoryStore()
		e := startEntries(t, store, 8)
		ctx, cancel := context.WithCancel(t.Context())
		denied := newMemoryStore()
		denied.setDown(true)
		cut := NewManager(Options{View: membership.Static{This: e.live[0], Peers: e.live}, Transport: e.memoryPeers, Store: denied})
		go func() { _ = cut.Run(ctx) }()
		synctest.Wait()
		cut.Share(t.Context(), Record{Stream: "s", Customer: "ranch", Version: "v1"})
		time.Sleep(time.Second)
		cancel()
		e.stop()
		synctest.Wait()
		e = startEntries(t, store, 8)
		version, found := e.managers["e05"].Find(t.Context(), "drafts", "s", "ranch")
		is.True(found)
		is.Equal(version, "v1")
		e.stop()
		time.Sleep(time.Minute)
	})
}

// Guards against calls to the store that nobody needs: one version serves, or nothing has changed.
func TestStoreIsWrittenOnlyWhileItMatters(t *testing.T) {
	for _, count := range []int{8, 59, 195} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := newMemoryStore()
			e := startEntries(t, store, count)
			e.observe(time.Minute, "v1")
			objects, writes := store.snapshot()
			is.Equal(writes, keepers) // each writes once which version serves
			is.Equal(len(objects), keepers)
			is.Equal(store.reads, count)
			manager := e.managers["e01"]
			for number := range 200 {
				manager.Share(t.Context(), Record{Stream: fmt.Sprint("s", number), Version: "v1"})
				time.Sleep(10 * time.Millisecond)
			}
			_, after := store.snapshot()
			spacing := max(minWriteInterval, time.Duration(count)*fleetWriteSpacing)
			is.True(after-writes <= int(2*time.Second/spacing)+2)
			for number := range 200 {
				manager.End(fmt.Sprint("s", number), "", true)
			}
			e.observe(removeInterval+2*time.Second, "v1")
			objects, last := store.snapshot()
			is.Equal(len(objects["e01"].Streams), 0)
			is.True(last-after <= 2)
			e.stop()
			time.Sleep(time.Minute)
		})
	}
}

// Guards against a restart that forgets what its former process wrote, and against what entries that never come back leave behind.
func TestObjectsOfEntriesThatLeftAreDeletedOnceNobodyNeedsThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newMemoryStore()
		is.NoErr(store.WriteStreamVersions(t.Context(), "former", Content{Serving: map[string][]string{"drafts": {"v0"}}}))
		e := startEntries(t, store, 8)
		e.observe(servingTTL, "v1")
		objects, _ := store.snapshot()
		is.Equal(objects["former"].Serving["drafts"], []string{"v0"})
		e.observe(2*servingTTL, "v1")
		objects, _ = store.snapshot()
		is.Equal(objects["former"].Entry, "")
		is.Equal(len(objects), keepers)
		e.stop()
		time.Sleep(time.Minute)
	})
}

// Guards against entries that, soon after their start, replace what their former processes wrote of the versions that served,
// before it is settled who keeps them.
func TestServingVersionsOutliveLossesInARow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newMemoryStore()
		e := startEntries(t, store, 8)
		e.observe(10*time.Second, "v1")
		for loss := range 3 {
			e.stop()
			synctest.Wait()
			e = startEntries(t, store, 8)
			for name, manager := range e.managers {
				manager.Share(t.Context(), Record{Stream: fmt.Sprint(name, loss), Customer: "ranch", Version: "v2"})
			}
			e.observe(time.Second, "v2")
		}
		e.stop()
		synctest.Wait()
		e = startEntries(t, store, 8)
		for _, manager := range e.managers {
			is.True(!manager.IsOnlyVersion("drafts", "v2"))
		}
		e.stop()
		time.Sleep(time.Minute)
	})
}

// growingView is the view of an entry that others join.
type growingView struct {
	membership.Static
	joined *atomic.Pointer[[]membership.Peer]
}

func (v growingView) Live() []membership.Peer {
	if joined := v.joined.Load(); joined != nil {
		return *joined
	}
	return v.Peers
}

// Guards against a keeper that is replaced, as entries join, and removes what its successor has not written yet.
func TestFormerKeepersWaitForTheirSuccessors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newMemoryStore()
		peers, live := newPeers(40)
		var joined atomic.Pointer[[]membership.Peer]
		ctx, cancel := context.WithCancel(t.Context())
		for _, self := range live[:keepers] {
			view := growingView{membership.Static{This: self, Peers: live[:keepers]}, &joined}
			manager := NewManager(Options{View: view, Transport: peers, Store: store})
			peers.managers[self.Name] = manager
			go func() { _ = manager.Run(ctx) }()
		}
		e := &storedEntries{peers, store, live, cancel}
		e.observe(10*time.Second, "v1")
		objects, _ := store.snapshot()
		is.Equal(len(objects), keepers)
		joined.Store(&live)
		e.observe(keeperInterval+time.Second, "v1")
		for _, self := range live[:keepers] {
			peers.managers[self.Name].Share(ctx, Record{Stream: self.Name, Version: "v1"})
			peers.managers[self.Name].End(self.Name, "", true)
		}
		e.observe(2*time.Second, "v1")
		objects, _ = store.snapshot()
		for _, self := range live[:keepers] {
			is.Equal(objects[self.Name].Serving["drafts"], []string{"v1"})
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// Guards against streams that begin just after an outage of the store and are not kept there for a second, because the write that
// began during the outage has to fail first.
func TestRecordsAreWrittenSoonAfterTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newMemoryStore()
		e := startEntries(t, store, 8)
		store.setDown(true)
		e.managers["e00"].Share(t.Context(), Record{Stream: "s", Version: "v1"})
		// The store is back just after a write has failed, so that nearly the whole pause is still to pass.
		time.Sleep(20*rewriteInterval + time.Millisecond)
		store.setDown(false)
		time.Sleep(rewriteInterval)
		synctest.Wait()
		objects, _ := store.snapshot()
		is.Equal(len(objects["e00"].Streams["v1"]), 1)
		e.stop()
		time.Sleep(time.Minute)
	})
}

// Guards against records that are lost with all entries after the store was restored from a copy that lacks them, twice in a row.
func TestRecordsAreWrittenAgainToARestoredStore(t *testing.T) {
	for _, count := range []int{8, 30, 76, 195, 300} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := newMemoryStore()
			store.era = 3
			e := startEntries(t, store, count)
			e.observe(5*time.Second, "v1")
			restore := store.copyNow()
			e.managers["e03"].Share(t.Context(), Record{Stream: "s", Customer: "ranch", Version: "v1"})
			time.Sleep(time.Second)
			for range 2 {
				_, before := store.snapshot()
				restore()
				time.Sleep(2 * time.Second)
				_, after := store.snapshot()
				t.Logf("%d entries: %d writes", count, after-before)
				is.True(after-before <= keepers+1) // those that keep something there
			}
			e.stop()
			synctest.Wait()
			e = startEntries(t, store, count)
			version, found := e.managers["e05"].Find(t.Context(), "drafts", "s", "ranch")
			is.Equal([]any{version, found}, []any{"v1", true})
			e.stop()
			time.Sleep(time.Minute)
		})
	}
}
