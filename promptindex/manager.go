package promptindex

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
)

// Store is the port to storage that outlives every entry. It holds one object for each entry, with its
// prompts and the engines that have prefilled them.
type Store interface {
	// WritePrompts replaces the object of an entry.
	WritePrompts(ctx context.Context, entry string, prompts map[string]string) error
	// ReadPrompts returns the prompts of all entries. It returns an error when the store is silent; the caller
	// does not limit the time of a read that receives data.
	ReadPrompts(ctx context.Context) (map[string]string, error)
	// Era returns the latest known era of the store, which rises each time it is restored from an older copy; 0 if none is known.
	Era() int64
}

// Options configures a Manager.
type Options struct {
	// Entry is the name of this entry.
	Entry string
	Store Store
	// Live returns the number of live entries, by which calls to the store are spread out.
	Live func() int
	// Peers and View share prompt locations with a few other entries as streams begin; nil shares them by the store only.
	Peers Peers
	View  View
	// Found is called when a peer knows the engine of a prompt; nil discards it.
	Found func(prompt, peer, engine string)
	// Log is called when the store becomes unavailable and when it is available again; nil discards this.
	Log func(event string, err error)
}

const (
	// writeInterval is the minimum interval between two writes of an entry. Until then only the peers that were told know
	// the engine of a stream that has begun; a prompt is prefilled in less.
	writeInterval = 2 * time.Second
	// fleetWriteSpacing times the number of entries is the interval between two writes of one entry: all
	// entries together make 20 writes a second, a twentieth of what the smallest store handles.
	fleetWriteSpacing = 50 * time.Millisecond
	// maxEntries is the maximum number of entries that share prompts. With more, the interval between two
	// writes of an entry would be longer than a stream lasts, and a read would use up the memory and the
	// bytes that an entry has for control traffic.
	maxEntries = 100
	// readInterval is the minimum interval between two reads of an entry.
	readInterval = time.Second
	// readPauseFactor times the duration of a read is the minimum pause after it: callers' traffic uses the same
	// link, and reads take at most a tenth of the time.
	readPauseFactor = 9
	// readWaitTimeout is how long a stream waits for a read. The store answers in milliseconds, and
	// prefilling the prompt again takes a second.
	readWaitTimeout = 150 * time.Millisecond
	// maxReadTime limits a read. It allows for a long list on a busy link: a read that is cut starts again from
	// the first byte. Engines have dropped the prompts that a longer read would find.
	maxReadTime  = brokenStreamTTL
	writeTimeout = time.Second
)

// Stats counts calls to the store.
type Stats struct{ Writes, Reads atomic.Int64 }

// Manager keeps prompt locations across the loss of entries. It is safe for concurrent use.
type Manager struct {
	options Options
	index   *index
	stats   Stats
	// tells counts the messages to peers that are under way.
	tells atomic.Int32

	mu sync.Mutex
	// readDone is closed when the read in progress ends; nil when there is none.
	readDone chan struct{}
	// nextRead is the earliest start of the next read.
	nextRead time.Time
	// readSucceeded is set once a read has succeeded.
	readSucceeded bool
	storeFailing  bool

	// storeEra is the era of the store that holds what was written last. Only Run uses it.
	storeEra int64
}

// NewManager returns a Manager; Run shares its prompt locations with other entries.
func NewManager(options Options) *Manager {
	if options.Log == nil {
		options.Log = func(string, error) {}
	}
	if options.Found == nil {
		options.Found = func(string, string, string) {}
	}
	return &Manager{options: options, index: newIndex()}
}

// Stats returns the counters.
func (m *Manager) Stats() *Stats { return &m.stats }

// RecordPlacement records that an engine prefills the prompt of a stream, or has it cached.
func (m *Manager) RecordPlacement(prompt, engine string) {
	if prompt != "" {
		m.index.recordLocation(prompt, engine)
		m.tellPeers(prompt, engine)
	}
}

// RecordEnd records the end of a stream.
func (m *Manager) RecordEnd(prompt string, complete bool) {
	m.index.recordEnd(prompt, complete, time.Now())
}

// FindLocal returns the engine that has prefilled the prompt, as far as this entry knows; else an empty string.
func (m *Manager) FindLocal(prompt string) string { return m.index.find(prompt) }

// FindShared returns the engine that has prefilled the prompt of a stream that its caller resumes. If this
// entry does not know it, FindShared asks the peers that were told of it, and reads the store if they don't know it or
// are silent. It returns an empty string if the engine is still unknown after a short time.
func (m *Manager) FindShared(ctx context.Context, prompt string) string {
	if engine := m.index.findKnown(prompt); engine != "" || prompt == "" {
		return engine
	}
	ctx, cancel := context.WithTimeout(ctx, readWaitTimeout)
	defer cancel()
	peers := m.askPeers(ctx, prompt)
	headStart := time.NewTimer(peersHeadStart)
	defer headStart.Stop()
	var read <-chan struct{}
	wasRead := false
	if peers == nil {
		read = m.startRead()
	}
	for {
		select {
		case engine := <-peers:
			if engine != "" {
				m.index.recordTold(prompt, engine, time.Now())
				return engine
			}
			if peers = nil; wasRead {
				return ""
			}
			if read == nil {
				read = m.startRead()
			}
		case <-headStart.C:
			if read == nil {
				read = m.startRead()
			}
		case <-read:
			if engine := m.index.findKnown(prompt); engine != "" || peers == nil {
				return engine
			}
			read, wasRead = nil, true // the store doesn't know it; a peer may
		case <-ctx.Done():
			return m.index.findKnown(prompt)
		}
	}
}

// startRead starts a read of the store, or joins the one in progress. The channel is closed when the read
// ends, or at once if the last read is too recent or there are too many entries.
func (m *Manager) startRead() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.readDone != nil {
		return m.readDone
	}
	ended := make(chan struct{})
	if time.Now().Before(m.nextRead) || m.options.Live() > maxEntries {
		close(ended)
		return ended
	}
	m.readDone = ended
	go m.readStore(context.Background())
	return ended
}

// readOrJoin reads the store, or waits for the read in progress. It reports whether a read has ever succeeded.
func (m *Manager) readOrJoin(ctx context.Context) bool {
	m.mu.Lock()
	inProgress := m.readDone
	if inProgress == nil {
		m.readDone = make(chan struct{})
	}
	m.mu.Unlock()
	if inProgress == nil {
		m.readStore(ctx)
	} else {
		select {
		case <-inProgress:
		case <-ctx.Done():
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.readSucceeded
}

// readStore reads the prompts of all entries into the index, and closes readDone, which the caller has set.
func (m *Manager) readStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxReadTime)
	defer cancel()
	start := time.Now()
	m.stats.Reads.Add(1)
	found, err := m.options.Store.ReadPrompts(ctx)
	end := time.Now()
	m.logStoreState(err)
	m.index.mergeShared(found, end)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.readSucceeded = m.readSucceeded || err == nil
	pause := readPauseFactor * end.Sub(start)
	if err != nil {
		pause = end.Sub(start) // most of that time the store was silent and the link free
	}
	m.nextRead = end.Add(max(readInterval, pause))
	close(m.readDone)
	m.readDone = nil
}

// untilNextRead returns the time until the earliest start of the next read.
func (m *Manager) untilNextRead() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Until(m.nextRead)
}

// Run reads what other entries and this one's former process stored, and writes this entry's prompts, until
// ctx ends. It writes nothing before a read has succeeded: that would replace what the former process
// stored.
func (m *Manager) Run(ctx context.Context) error {
	for !m.readOrJoin(ctx) {
		if wait.For(ctx, m.untilNextRead()) != nil {
			return nil
		}
	}
	for {
		interval := max(writeInterval, time.Duration(m.options.Live())*fleetWriteSpacing)
		if wait.For(ctx, interval) != nil {
			return nil
		}
		m.write(ctx)
	}
}

func (m *Manager) write(ctx context.Context) {
	if era := m.options.Store.Era(); era != m.storeEra {
		if m.storeEra != 0 {
			m.index.markChanged() // an older copy may lack what was written
			m.options.Log("prompt-store-restored", nil)
		}
		m.storeEra = era
	}
	prompts, changed := m.index.export(time.Now())
	if !changed || m.options.Live() > maxEntries {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	m.stats.Writes.Add(1)
	err := m.options.Store.WritePrompts(ctx, m.options.Entry, prompts)
	if err != nil {
		m.index.markChanged()
	}
	m.logStoreState(err)
}

// logStoreState logs when the store becomes unavailable and when it is available again.
func (m *Manager) logStoreState(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.storeFailing == (err != nil) {
		return
	}
	m.storeFailing = err != nil
	if m.storeFailing {
		m.options.Log("prompt-store-lost", err)
		return
	}
	m.options.Log("prompt-store-regained", nil)
}
