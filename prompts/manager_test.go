package prompts

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// memoryStore keeps the objects of entries.
type memoryStore struct {
	mu            sync.Mutex
	objects       map[string]map[string]string
	writes, reads int
	// takes is the time of a reading, in nanoseconds.
	takes atomic.Int64
	down  bool
}

var errDown = errors.New("down")

func (s *memoryStore) WritePrompts(_ context.Context, entry string, held map[string]string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.down {
		return errDown
	}
	s.objects[entry] = held
	return nil
}

func (s *memoryStore) ReadPrompts(context.Context) (map[string]string, error) {
	time.Sleep(time.Duration(s.takes.Load()))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return nil, errDown
	}
	all := map[string]string{}
	for _, held := range s.objects {
		for prompt, engine := range held {
			all[prompt] = engine
		}
	}
	return all, nil
}

// counted returns the writes and reads so far.
func (s *memoryStore) counted() (writes, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.reads
}

// held returns the object of an entry.
func (s *memoryStore) held(entry string) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[entry]
}

// set switches the store off or on.
func (s *memoryStore) set(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// world is entries over one store.
type world struct {
	store  *memoryStore
	cancel []context.CancelFunc
	ended  sync.WaitGroup
}

func newWorld() *world { return &world{store: &memoryStore{objects: map[string]map[string]string{}}} }

func (w *world) start(t *testing.T, entry string, live int) *Manager {
	m := NewManager(Options{Entry: entry, Store: w.store, Live: func() int { return live }})
	ctx, cancel := context.WithCancel(t.Context())
	w.cancel = append(w.cancel, cancel)
	w.ended.Go(func() { _ = m.Run(ctx) })
	return m
}

// killAll ends all entries at once; nothing is written at the end.
func (w *world) killAll() {
	for _, cancel := range w.cancel {
		cancel()
	}
	w.ended.Wait()
}

func TestPromptIsFoundAfterTheLossOfAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		a, b := w.start(t, "a", 2), w.start(t, "b", 2)
		a.Placed("p1", "engine-1")
		b.Placed("p2", "engine-2")
		b.Placed("done", "engine-2")
		b.Closed("done", true)
		time.Sleep(writeInterval + time.Second)
		w.killAll()
		again := w.start(t, "a", 2)
		time.Sleep(20 * time.Second) // callers of silent connections come late, and the entry writes meanwhile
		is.Equal(again.Recall(t.Context(), "p1"), "engine-1")
		is.Equal(again.Recall(t.Context(), "p2"), "engine-2")
		is.Equal(again.Recall(t.Context(), "done"), "")
		w.killAll()
	})
}

// Found on balanza-serrana fresh-9a92: the store was silent when all entries started again, and their first writes
// replaced what it knew.
func TestWhatTheFormerProcessKnewOutlivesAStoreThatIsAwayAtTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.start(t, "a", 2).Placed("p", "engine-1")
		time.Sleep(writeInterval + time.Second)
		w.killAll()
		w.store.set(true)
		again := w.start(t, "a", 2)
		again.Placed("new", "engine-2")
		time.Sleep(3 * time.Second)
		w.store.set(false)
		time.Sleep(15 * time.Second)
		is.Equal(again.Recall(t.Context(), "p"), "engine-1")
		is.Equal(w.store.held("a"), map[string]string{"new": "engine-2"})
		w.killAll()
	})
}

func TestPromptOfALostEntryIsFoundByAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		a, b := w.start(t, "a", 2), w.start(t, "b", 2)
		time.Sleep(5 * time.Second)
		a.Placed("p", "engine-1")
		a.Placed("p", "engine-3") // it went on elsewhere
		time.Sleep(writeInterval)
		is.Equal(b.Recall(t.Context(), "p"), "engine-3")
		_, before := w.store.counted()
		for range 50 {
			is.Equal(b.Recall(t.Context(), "unknown"), "")
		}
		_, after := w.store.counted()
		is.True(after <= before+1) // a storm of callers makes few calls
		w.killAll()
	})
}

func TestStreamDoesNotWaitForASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		m := w.start(t, "a", 2)
		time.Sleep(5 * time.Second)
		w.store.takes.Store(int64(10 * time.Second))
		start := time.Now()
		is.Equal(m.Recall(t.Context(), "p"), "")
		is.Equal(time.Since(start), readPatience)
		w.store.takes.Store(0)
		time.Sleep(20 * time.Second)
		w.killAll()
	})
}

func TestWritesAreBoundedOverTheFleetAndMadeUpFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		const live = mostEntries
		m := w.start(t, "a", live)
		synctest.Wait() // it has read
		w.store.set(true)
		m.Placed("p", "engine-1")
		time.Sleep(100 * time.Second)
		writes, _ := w.store.counted()
		is.True(writes <= 20) // one each 5 s, of 100 entries 20 a second
		w.store.set(false)
		time.Sleep(live*writeSpacing + time.Second)
		is.Equal(w.store.held("a"), map[string]string{"p": "engine-1"})
		before, _ := w.store.counted()
		time.Sleep(time.Minute)
		after, _ := w.store.counted()
		is.Equal(after, before) // nothing has changed
		m.Closed("p", false)
		time.Sleep(time.Minute)
		is.Equal(len(w.store.held("a")), 0) // forgotten in the end
		w.killAll()
	})
}

func TestLargeFleetKeepsPromptsToItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		m := w.start(t, "a", mostEntries+1)
		m.Placed("p", "engine-1")
		time.Sleep(time.Minute)
		is.Equal(m.Recall(t.Context(), "other"), "")
		is.Equal(m.Recall(t.Context(), "p"), "engine-1") // its own streams are known
		writes, reads := w.store.counted()
		is.Equal(writes, 0)
		is.Equal(reads, 1) // at the start, when the fleet is not known yet
		w.killAll()
	})
}
