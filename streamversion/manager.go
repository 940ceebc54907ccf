// Package streamversion shares which software version of a back end began each stream, so that an entry at which a
// caller takes a stream up has it go on at that version, also after the entry that began it, or all entries, were lost.
// Peers hold the records of streams; the store holds them for the case that all entries are lost, and so it does the versions that
// have served lately: only where these are known to be one does a stream without a record belong to it.
package streamversion

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/azurebarrow/azurebarrow/internal/defect"
	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/membership"
)

// Record names the version that began a stream.
type Record struct {
	// Stream is the ID of the caller's request that brought the stream's first event.
	Stream string `json:"stream"`
	// Customer is the caller's customer; another one can't take the stream up.
	Customer string `json:"customer"`
	Version  string `json:"version"`
	// Store asks the peer to keep the record in the store too, since the sender can't.
	Store bool `json:"store,omitempty"`
}

// Transport sends records to peers.
type Transport interface {
	// Put returns once the peer holds the record.
	Put(ctx context.Context, peer membership.Peer, record Record) error
	// Get returns the peer's record of a customer's stream; false if it holds none.
	Get(ctx context.Context, peer membership.Peer, stream, customer string) (Record, bool, error)
	// Serving returns the versions that have served lately, by service; false if the peer doesn't know them all.
	Serving(ctx context.Context, peer membership.Peer) (map[string][]string, bool, error)
}

// View lists the live entries.
type View interface {
	Self() membership.Peer
	Live() []membership.Peer
}

const (
	// maxRecords and recordTTL limit what an entry holds: streams last for half a minute, and are taken up within
	// seconds.
	maxRecords = 1 << 15
	recordTTL  = 2 * time.Minute
	// holders is the number of peers that get a record, and sufficientHolders the number that the first event waits for.
	holders           = 3
	sufficientHolders = 2
	// askedPeers is the number of peers that are asked for a record: entries that come or go shift the holders.
	askedPeers = 8
	// shareTimeout limits the wait of the first event, findTimeout that of a stream that is taken up.
	shareTimeout = 60 * time.Millisecond
	findTimeout  = 150 * time.Millisecond
	// learnTimeout limits the wait of a stream that is taken up while several versions may have begun it: it is given up if
	// its version is not found, and prefilling it anew takes seconds. learnInterval is the time between tries.
	learnTimeout  = 600 * time.Millisecond
	learnInterval = 100 * time.Millisecond
)

// Options configure a Manager.
type Options struct {
	View      View
	Transport Transport
	// Store outlives all entries; nil for none: then only what the entries remember counts.
	Store Store
	// Observe receives events; nil discards them.
	Observe func(Event)
}

// Stats counts calls to the store.
type Stats struct{ Writes, Reads atomic.Int64 }

// Manager holds records and shares them. It is safe for concurrent use.
type Manager struct {
	options   Options
	startedAt time.Time
	stats     Stats
	// storeFailing is set while calls to the store fail.
	storeFailing atomic.Bool
	// unsaved receives when the store lacks something of this entry.
	unsaved chan struct{}

	mu      sync.Mutex
	records *simplelru.LRU[string, heldRecord]
	// own are the streams that this entry keeps in the store; restored are those of all entries that were read from it.
	own      storedStreams
	restored *simplelru.LRU[Digest, restoredStream]
	serving  servingVersions
	// servingKnown is set once serving holds what served before this entry started.
	servingKnown bool
	// hasRead is set once the store has been read. reading is closed when the read in progress ends; nil for none.
	hasRead bool
	// readAt is when the store was last read.
	readAt   time.Time
	reading  chan struct{}
	nextRead time.Time

	// saved is what the store holds of this entry. Only Run uses it, and what follows, once the store has been read.
	saved   Content
	savedAt time.Time
	// storeEra is the era of the store to which saved and left belong. mustRewrite is set while the store may lack saved.
	storeEra        int64
	mustRewrite     bool
	keepersChosenAt time.Time
	// keeperUntil is the time until which this entry keeps the serving versions in the store.
	keeperUntil   time.Time
	isFirstKeeper bool
	collectedAt   time.Time
	// left are the objects of entries that are not live.
	left map[string]foreignObject
}

type heldRecord struct {
	Record
	expires time.Time
}

type restoredStream struct {
	version string
	expires time.Time
}

// NewManager returns a Manager without records; Run keeps them in the store.
func NewManager(options Options) *Manager {
	if options.Observe == nil {
		options.Observe = func(Event) {}
	}
	now := time.Now()
	return &Manager{
		options: options, startedAt: now, unsaved: make(chan struct{}, 1),
		records: newLRU[string, heldRecord](), own: storedStreams{}, restored: newLRU[Digest, restoredStream](),
		serving: servingVersions{}, servingKnown: options.Store == nil || defect.Enabled(defect.VersionsForgotten), collectedAt: now,
	}
}

func newLRU[K comparable, V any]() *simplelru.LRU[K, V] {
	lru, err := simplelru.NewLRU[K, V](maxRecords, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return lru
}

// Stats returns the counters.
func (m *Manager) Stats() *Stats { return &m.stats }

// StoredCount returns the number of streams that this entry keeps in the store.
func (m *Manager) StoredCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.own)
}

// ObserveServing records that the versions serve.
func (m *Manager) ObserveServing(service string, versions []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.serving.observe(service, versions, time.Now())
}

// Serving returns the versions that have served lately, by service; false if this entry may not know them all.
func (m *Manager) Serving() (versions map[string][]string, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	return m.serving.all(now), m.knowsServing(now)
}

// knowsServing reports whether all versions that have served lately are known: the store or a peer told those from before this
// entry's start, or that was long ago.
func (m *Manager) knowsServing(now time.Time) bool {
	return m.servingKnown || now.Sub(m.startedAt) >= servingTTL
}

// IsOnlyVersion reports whether all streams of the service that may be taken up belong to the version.
func (m *Manager) IsOnlyVersion(service, version string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if !m.knowsServing(now) {
		return false
	}
	for other, servedAt := range m.serving[service] {
		if other != version && now.Sub(servedAt) < servingTTL {
			return false
		}
	}
	return true
}

// Put holds a record for a peer.
func (m *Manager) Put(record Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	expires := time.Now().Add(recordTTL)
	if record.Store {
		m.own.add(digestOf(record.Stream, record.Customer), record.Version, expires)
		m.notifyUnsaved()
		record.Store = false
	}
	m.records.Add(record.Stream, heldRecord{record, expires})
}

// notifyUnsaved has Run write to the store.
func (m *Manager) notifyUnsaved() {
	select {
	case m.unsaved <- struct{}{}:
	default:
	}
}

// Get returns the record of a customer's stream that this entry holds, or has read from the store.
func (m *Manager) Get(stream, customer string) (Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if held, found := m.records.Get(stream); found && now.Before(held.expires) {
		return held.Record, held.Customer == customer
	}
	held, found := m.restored.Get(digestOf(stream, customer))
	if !found || !now.Before(held.expires) {
		return Record{}, false
	}
	return Record{Stream: stream, Customer: customer, Version: held.version}, true
}

// Sweep drops what has expired.
func (m *Manager) Sweep(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.own.sweep(now)
	m.serving.sweep(now)
	for {
		_, oldest, found := m.restored.GetOldest()
		if !found || now.Before(oldest.expires) {
			break
		}
		m.restored.RemoveOldest()
	}
	for {
		if _, oldest, found := m.records.GetOldest(); !found || now.Before(oldest.expires) {
			return
		}
		m.records.RemoveOldest()
	}
}

// Share sends the record to the holders and returns once enough of them hold it, or none is left to answer. It returns
// the number of peers that hold the record. Run keeps the record in the store until End.
func (m *Manager) Share(ctx context.Context, record Record) (held int) {
	m.Put(record)
	if m.options.Store != nil {
		m.mu.Lock()
		m.own.add(digestOf(record.Stream, record.Customer), record.Version, time.Time{})
		m.notifyUnsaved()
		m.mu.Unlock()
		record.Store = m.storeFailing.Load()
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	results := make(chan error, holders)
	peers := m.ranked(record.Stream, holders)
	var sends sync.WaitGroup
	for _, peer := range peers {
		sends.Go(func() { results <- m.options.Transport.Put(ctx, peer, record) })
	}
	go func() { sends.Wait(); cancel() }()
	for range peers {
		if err := <-results; err == nil {
			held++
		}
		if held == sufficientHolders {
			break
		}
	}
	return held
}

// End records the end of a stream, which a caller may take up unless it is complete.
func (m *Manager) End(stream, customer string, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.own.end(digestOf(stream, customer), complete, time.Now())
}

// Find returns the version that began a customer's stream, from this entry, the first peer that has a record of it, or the store.
func (m *Manager) Find(ctx context.Context, service, stream, customer string) (version string, found bool) {
	if stream == "" {
		return "", false
	}
	if record, found := m.Get(stream, customer); found {
		return record.Version, true
	}
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	for {
		if record, found := m.askPeers(ctx, stream, customer); found {
			return record.Version, true
		}
		if m.options.Store == nil || m.servesOneVersion(service) {
			return "", false
		}
		hasRead := m.readStore(ctx)
		if record, found := m.Get(stream, customer); found || hasRead {
			return record.Version, found
		}
		// The entry has just started, and peers that have read the store may not be known to it yet.
		if wait.For(ctx, learnInterval) != nil {
			return "", false
		}
	}
}

// servesOneVersion reports whether one version at most is known to have served lately.
func (m *Manager) servesOneVersion(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	return m.knowsServing(now) && len(m.serving.list(service, now)) <= 1
}

// askPeers returns the record of the first peer that holds one of the stream.
func (m *Manager) askPeers(ctx context.Context, stream, customer string) (Record, bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	type answer struct {
		record Record
		found  bool
	}
	peers := m.ranked(stream, askedPeers)
	answers := make(chan answer, len(peers))
	for _, peer := range peers {
		go func() {
			record, found, err := m.options.Transport.Get(ctx, peer, stream, customer)
			// A peer that can't be asked knows nothing; one of a former build doesn't compare the customer.
			answers <- answer{record, found && err == nil && record.Customer == customer}
		}()
	}
	for range peers {
		if got := <-answers; got.found {
			m.Put(got.record)
			return got.record, true
		}
	}
	return Record{}, false
}

// ranked returns the first peers by rendezvous hash of the stream: the first of each availability zone in turn, so that
// the loss of a zone leaves a holder.
func (m *Manager) ranked(stream string, count int) []membership.Peer {
	self := m.options.View.Self()
	zones := map[string][]membership.Peer{}
	var order []string
	for _, peer := range membership.Rank(m.options.View.Live(), stream) {
		if peer.Name == self.Name {
			continue
		}
		if zones[peer.AvailabilityZone] == nil {
			order = append(order, peer.AvailabilityZone)
		}
		zones[peer.AvailabilityZone] = append(zones[peer.AvailabilityZone], peer)
	}
	var chosen []membership.Peer
	for len(chosen) < count {
		before := len(chosen)
		for _, zone := range order {
			if len(zones[zone]) > 0 && len(chosen) < count {
				chosen = append(chosen, zones[zone][0])
				zones[zone] = zones[zone][1:]
			}
		}
		if len(chosen) == before {
			break
		}
	}
	return chosen
}
