// Package streamversion shares which software version of a back end began each stream, so that an entry at which a
// caller takes a stream up has it go on at that version, also after the entry that began it was lost.
package streamversion

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/azurebarrow/azurebarrow/membership"
)

// Record names the version that began a stream.
type Record struct {
	// Stream is the ID of the caller's request that brought the stream's first event.
	Stream string `json:"stream"`
	// Customer is the caller's customer; another one can't take the stream up.
	Customer string `json:"customer"`
	Version  string `json:"version"`
}

// Transport sends records to peers.
type Transport interface {
	// Put returns once the peer holds the record.
	Put(ctx context.Context, peer membership.Peer, record Record) error
	// Get returns the peer's record of a stream; false if it holds none.
	Get(ctx context.Context, peer membership.Peer, stream string) (Record, bool, error)
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
)

// Manager holds records and shares them. It is safe for concurrent use.
type Manager struct {
	view      View
	transport Transport

	mu      sync.Mutex
	records *simplelru.LRU[string, heldRecord]
}

type heldRecord struct {
	Record
	expires time.Time
}

// NewManager returns a Manager without records.
func NewManager(view View, transport Transport) *Manager {
	records, err := simplelru.NewLRU[string, heldRecord](maxRecords, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Manager{view: view, transport: transport, records: records}
}

// Put holds a record for a peer.
func (m *Manager) Put(record Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records.Add(record.Stream, heldRecord{record, time.Now().Add(recordTTL)})
}

// Get returns the record of a stream that this entry holds.
func (m *Manager) Get(stream string) (Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	held, found := m.records.Get(stream)
	if !found || time.Now().After(held.expires) {
		return Record{}, false
	}
	return held.Record, true
}

// Sweep drops the records that have expired.
func (m *Manager) Sweep(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for {
		if _, oldest, found := m.records.GetOldest(); !found || now.Before(oldest.expires) {
			return
		}
		m.records.RemoveOldest()
	}
}

// Share sends the record to the holders and returns once enough of them hold it, or none is left to answer. It returns
// the number of peers that hold the record.
func (m *Manager) Share(ctx context.Context, record Record) (held int) {
	m.Put(record)
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	results := make(chan error, holders)
	peers := m.ranked(record.Stream, holders)
	var sends sync.WaitGroup
	for _, peer := range peers {
		sends.Go(func() { results <- m.transport.Put(ctx, peer, record) })
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

// Find returns the record of a stream, from this entry or the first peer that holds it.
func (m *Manager) Find(ctx context.Context, stream string) (Record, bool) {
	if stream == "" {
		return Record{}, false
	}
	if record, found := m.Get(stream); found {
		return record, true
	}
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
			record, found, err := m.transport.Get(ctx, peer, stream)
			answers <- answer{record, found && err == nil} // a peer that can't be asked knows nothing
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
	self := m.view.Self()
	zones := map[string][]membership.Peer{}
	var order []string
	for _, peer := range membership.Rank(m.view.Live(), stream) {
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
