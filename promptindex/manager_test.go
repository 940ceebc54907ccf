package promptindex

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/internal/wait"
)

// memoryStore is a Store in memory.
type memoryStore struct {
	mu            sync.Mutex
	objects       map[string]map[string]string
	writes, reads int
	// readDelay is the time that a read takes, in nanoseconds.
	readDelay atomic.Int64
	down      bool
	era       atomic.Int64
}

// Era implements Store.
func (s *memoryStore) Era() int64 { return s.era.Load() }

var errDown = errors.New("down")

func (s *memoryStore) WritePrompts(_ context.Context, entry string, prompts map[string]string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.down {
		return errDown
	}
	s.objects[entry] = prompts
	return nil
}

func (s *memoryStore) ReadPrompts(context.Context) (map[string]string, error) {
	time.Sleep(time.Duration(s.readDelay.Load()))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return nil, errDown
	}
	all := map[string]string{}
	for _, prompts := range s.objects {
		for prompt, engine := range prompts {
			all[prompt] = engine
		}
	}
	return all, nil
}

// callCounts returns the numbers of writes and reads so far.
func (s *memoryStore) callCounts() (writes, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.reads
}

// object returns the object of an entry.
func (s *memoryStore) object(entry string) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[entry]
}

// setDown makes the store fail, or work again.
func (s *memoryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// cluster is a set of entries that share one store.
type cluster struct {
	store  *memoryStore
	cancel []context.CancelFunc
	ended  sync.WaitGroup
}

func newCluster() *cluster {
	return &cluster{store: &memoryStore{objects: map[string]map[string]string{}}}
}

func (c *cluster) start(t *testing.T, entry string, live int) *Manager {
	return c.startWith(t, entry, live, c.store)
}

// startWith starts an entry that reaches the cluster's store through the given one.
func (c *cluster) startWith(t *testing.T, entry string, live int, store Store) *Manager {
	m := NewManager(Options{Entry: entry, Store: store, Live: func() int { return live }})
	ctx, cancel := context.WithCancel(t.Context())
	c.cancel = append(c.cancel, cancel)
	c.ended.Go(func() { _ = m.Run(ctx) })
	return m
}

// stopAll stops all entries at once; nothing is written at the end.
func (c *cluster) stopAll() {
	for _, cancel := range c.cancel {
		cancel()
	}
	c.ended.Wait()
}

func TestPromptIsFoundAfterTheLossOfAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		a, b := c.start(t, "a", 2), c.start(t, "b", 2)
		a.RecordPlacement("p1", "engine-1")
		b.RecordPlacement("p2", "engine-2")
		b.RecordPlacement("done", "engine-2")
		b.RecordEnd("done", true)
		time.Sleep(writeInterval + time.Second)
		c.stopAll()
		restarted := c.start(t, "a", 2)
		time.Sleep(20 * time.Second) // callers of silent connections reconnect late, and the entry writes meanwhile
		is.Equal(restarted.FindShared(t.Context(), "p1"), "engine-1")
		is.Equal(restarted.FindShared(t.Context(), "p2"), "engine-2")
		is.Equal(restarted.FindShared(t.Context(), "done"), "")
		c.stopAll()
	})
}

// Guards against the loss of stored prompts: the store was unavailable while all entries restarted, and
// their first writes replaced what it held. Found in balanza-serrana fresh-9a92.
func TestStoredPromptsSurviveAStoreThatIsUnavailableAtTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		c.start(t, "a", 2).RecordPlacement("p", "engine-1")
		time.Sleep(writeInterval + time.Second)
		c.stopAll()
		c.store.setDown(true)
		restarted := c.start(t, "a", 2)
		restarted.RecordPlacement("new", "engine-2")
		time.Sleep(3 * time.Second)
		c.store.setDown(false)
		time.Sleep(15 * time.Second)
		is.Equal(restarted.FindShared(t.Context(), "p"), "engine-1")
		is.Equal(c.store.object("a"), map[string]string{"new": "engine-2"})
		c.stopAll()
	})
}

// Guards against prompts that are lost with all entries after the store was restored from a copy that lacks them.
func TestPromptsAreWrittenAgainToARestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		c.store.era.Store(3)
		c.start(t, "a", 2).RecordPlacement("p", "engine-1")
		time.Sleep(2 * writeInterval)
		for range 2 {
			before, _ := c.store.callCounts()
			c.store.mu.Lock()
			delete(c.store.objects, "a")
			c.store.mu.Unlock()
			c.store.era.Add(1)
			time.Sleep(2 * writeInterval)
			after, _ := c.store.callCounts()
			is.Equal(after-before, 1)
			is.Equal(c.store.object("a"), map[string]string{"p": "engine-1"})
		}
		c.stopAll()
	})
}

func TestPromptOfALostEntryIsFoundByAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		a, b := c.start(t, "a", 2), c.start(t, "b", 2)
		time.Sleep(5 * time.Second)
		a.RecordPlacement("p", "engine-1")
		a.RecordPlacement("p", "engine-3") // the stream resumed at another engine
		time.Sleep(writeInterval)
		is.Equal(b.FindShared(t.Context(), "p"), "engine-3")
		_, before := c.store.callCounts()
		for range 50 {
			is.Equal(b.FindShared(t.Context(), "unknown"), "")
		}
		_, after := c.store.callCounts()
		is.True(after <= before+1) // many callers at once cause few reads
		c.stopAll()
	})
}

func TestStreamDoesNotWaitForASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		m := c.start(t, "a", 2)
		time.Sleep(5 * time.Second)
		c.store.readDelay.Store(int64(10 * time.Second))
		start := time.Now()
		is.Equal(m.FindShared(t.Context(), "p"), "")
		is.Equal(time.Since(start), readWaitTimeout)
		c.store.readDelay.Store(0)
		time.Sleep(20 * time.Second)
		c.stopAll()
	})
}

func TestWriteRateIsLimitedAndFailedWritesAreRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		const live = maxEntries
		m := c.start(t, "a", live)
		synctest.Wait() // the first read is done
		c.store.setDown(true)
		m.RecordPlacement("p", "engine-1")
		time.Sleep(100 * time.Second)
		writes, _ := c.store.callCounts()
		is.True(writes <= 20) // one every 5 s: 20 a second for 100 entries
		c.store.setDown(false)
		time.Sleep(live*fleetWriteSpacing + time.Second)
		is.Equal(c.store.object("a"), map[string]string{"p": "engine-1"})
		before, _ := c.store.callCounts()
		time.Sleep(time.Minute)
		after, _ := c.store.callCounts()
		is.Equal(after, before) // nothing has changed
		m.RecordEnd("p", false)
		time.Sleep(time.Minute)
		is.Equal(len(c.store.object("a")), 0) // the prompt of the broken stream has expired
		c.stopAll()
	})
}

func TestLargeFleetDoesNotSharePrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		m := c.start(t, "a", maxEntries+1)
		m.RecordPlacement("p", "engine-1")
		time.Sleep(time.Minute)
		is.Equal(m.FindShared(t.Context(), "other"), "")
		is.Equal(m.FindShared(t.Context(), "p"), "engine-1") // its own streams are known
		writes, reads := c.store.callCounts()
		is.Equal(writes, 0)
		is.Equal(reads, 1) // at the start, when the number of entries is not known yet
		c.stopAll()
	})
}

// slowLinkStore is a store behind a slow link: a read delivers data all the time, and takes transferTime.
type slowLinkStore struct {
	*memoryStore
	transferTime time.Duration
	// busy is the total time, in nanoseconds, in which a read used the link.
	busy atomic.Int64
}

func (s *slowLinkStore) ReadPrompts(ctx context.Context) (map[string]string, error) {
	start := time.Now()
	err := wait.For(ctx, s.transferTime)
	s.busy.Add(int64(time.Since(start)))
	if err != nil {
		return nil, err
	}
	return s.memoryStore.ReadPrompts(ctx)
}

// Guards against a read that is cut while it still receives data, and repeated from the start for ever.
func TestLongReadIsNotCutAndRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		defer c.stopAll()
		c.store.objects["lost"] = map[string]string{"p": "engine-1"}
		// 100 entries may store 16 MB of prompts; the link of an entry carries 1.25 MB/s.
		store := &slowLinkStore{memoryStore: c.store, transferTime: 13 * time.Second}
		m := c.startWith(t, "a", 2, store)
		m.RecordPlacement("own", "engine-2")
		time.Sleep(store.transferTime + writeInterval + time.Second)
		is.Equal(m.FindLocal("p"), "engine-1")
		is.Equal(c.store.object("a"), map[string]string{"own": "engine-2"})
	})
}

// Guards against a shutdown that waits until a long read ends.
func TestStopDoesNotWaitForALongRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		c.startWith(t, "a", 2, &slowLinkStore{memoryStore: c.store, transferTime: 20 * time.Second})
		time.Sleep(500 * time.Millisecond)
		start := time.Now()
		c.stopAll()
		is.True(time.Since(start) <= time.Second)
	})
}

// Guards against reads that fill the entry's link while callers ask for a prompt that the store does not hold.
func TestRepeatedReadsUseASmallPartOfTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		defer c.stopAll()
		store := &slowLinkStore{memoryStore: c.store, transferTime: 500 * time.Millisecond}
		m := c.startWith(t, "a", 76, store)
		const period = 100 * time.Second
		for start := time.Now(); time.Since(start) < period; time.Sleep(100 * time.Millisecond) {
			m.FindShared(t.Context(), "unknown")
		}
		is.True(time.Duration(store.busy.Load()) <= period/10)
	})
}

// Guards against a long pause of the reads after calls in which the store was silent.
func TestStoreIsReadSoonAfterItWasSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		defer c.stopAll()
		c.store.objects["lost"] = map[string]string{"p": "engine-1"}
		c.store.setDown(true)
		silence := 1500 * time.Millisecond
		m := c.startWith(t, "a", 2, &slowLinkStore{memoryStore: c.store, transferTime: silence})
		time.Sleep(10 * time.Second)
		c.store.setDown(false)
		time.Sleep(3 * silence)
		is.Equal(m.FindLocal("p"), "engine-1")
	})
}
