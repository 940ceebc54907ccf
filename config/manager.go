package config

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/membership"
)

// Options configures a Manager.
type Options struct {
	Platform Platform
	// Peers reads the configuration from other entries; nil when there are none.
	Peers Peers
	// View lists the live entries; nil when this is the only entry.
	View membership.View
	// Registration is the object value that this entry registers with.
	Registration Registration
	// MaxUpdateBytes is the approximate size of the changes in one answer to a peer; 0 means DefaultMaxUpdateBytes.
	MaxUpdateBytes int
	// Observe is called for each event. It may be nil and must not block.
	Observe func(Event)
}

// DefaultMaxUpdateBytes takes 0.1 s of a link of 10 Mbit/s.
const DefaultMaxUpdateBytes = 128 << 10

// Manager keeps the configuration of one entry current. Create it with NewManager.
type Manager struct {
	options Options
	store   *store
	current atomic.Pointer[Snapshot]
	jitter  *jitter

	// registeredRevision is the revision that the registration returned, 0 before it. A configuration that
	// reflects at least this revision is current.
	registeredRevision atomic.Int64
	sources            sourceHealth

	// stopped is closed when Run returns. It ends the Follow calls of peers.
	stopped chan struct{}

	mu sync.Mutex
	// ready is closed when the first configuration is in force.
	ready       chan struct{}
	isReady     bool
	subscribers map[int]chan *Snapshot
	nextID      int

	// states caches the result of States for the snapshot statesSnapshot.
	statesMu       sync.Mutex
	states         []ResourceState
	statesSnapshot *Snapshot
}

// NewManager returns a Manager that has no configuration until Run has read one.
func NewManager(options Options) *Manager {
	if options.View == nil {
		self := membership.Peer{Name: options.Registration.Name, AvailabilityZone: options.Registration.AvailabilityZone}
		options.View = membership.Static{This: self, Peers: []membership.Peer{self}}
	}
	if options.MaxUpdateBytes == 0 {
		options.MaxUpdateBytes = DefaultMaxUpdateBytes
	}
	m := &Manager{
		options:     options,
		store:       newStore(),
		jitter:      newJitter(options.Registration.Name),
		stopped:     make(chan struct{}),
		ready:       make(chan struct{}),
		subscribers: map[int]chan *Snapshot{},
	}
	m.current.Store(NewSnapshot(0))
	return m
}

// Run keeps the configuration current until ctx ends, and returns the error of ctx. Call it once.
func (m *Manager) Run(ctx context.Context) error {
	defer close(m.stopped)
	m.sources.recordAnswer("", time.Now())
	var loops sync.WaitGroup
	loops.Go(func() { m.bootstrapThenWatch(ctx) })
	for group := range sourceGroups {
		loops.Go(func() { m.followPeers(ctx, sourceGroup(group)) })
	}
	loops.Wait()
	return ctx.Err()
}

// Snapshot returns the configuration in force. It is empty until the Manager is ready.
func (m *Manager) Snapshot() *Snapshot { return m.current.Load() }

// Ready reports whether a configuration is in force.
func (m *Manager) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isReady
}

// WaitReady waits until a configuration is in force.
func (m *Manager) WaitReady(ctx context.Context) error {
	select {
	case <-m.ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Subscribe returns a channel that receives each snapshot that comes into force, beginning with the
// current one. A slow reader receives only the newest. cancel ends the subscription.
func (m *Manager) Subscribe() (snapshots <-chan *Snapshot, cancel func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := m.nextID
	m.nextID++
	channel := make(chan *Snapshot, 1)
	m.subscribers[id] = channel
	if m.isReady {
		channel <- m.current.Load()
	}
	return channel, func() { m.unsubscribe(id) }
}

func (m *Manager) unsubscribe(id int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.subscribers, id)
}

// apply applies deltas of a source to the store. Once the Manager is ready, it activates a snapshot
// that contains them.
func (m *Manager) apply(source string, deltas []Delta) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := m.store.apply(deltas)
	for _, findings := range m.store.drainRefused() {
		m.observe(Event{Kind: EventRefused, Source: source, Err: findings})
	}
	if !m.isReady {
		return
	}
	if changed {
		m.activate(source, EventApplied)
	}
}

// becomeReady activates the first snapshot, from the resources known so far.
func (m *Manager) becomeReady(source string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isReady {
		return
	}
	m.isReady = true
	m.activate(source, EventReady)
	close(m.ready)
}

// activate publishes a snapshot of the store, unless it would revert a resource. The caller holds
// mu.
func (m *Manager) activate(source string, kind EventKind) {
	next := m.store.snapshot()
	if err := checkNotReverted(m.current.Load(), next); err != nil {
		m.observe(Event{Kind: EventWouldRevert, Source: source, Revision: next.Revision, Err: err})
		return
	}
	m.current.Store(next)
	m.observe(Event{Kind: kind, Source: source, Revision: next.Revision})
	for _, subscriber := range m.subscribers {
		offerNewest(subscriber, next)
	}
}

// offerNewest sends the snapshot to the subscriber and discards an older one that is still unread.
func offerNewest(subscriber chan *Snapshot, snapshot *Snapshot) {
	select {
	case <-subscriber:
	default:
	}
	subscriber <- snapshot
}

func (m *Manager) observe(event Event) {
	if m.options.Observe != nil {
		m.options.Observe(event)
	}
}

// KnownRevision returns the platform's revision up to which this entry knows every change of all kinds; -1
// before the first lists.
func (m *Manager) KnownRevision() int64 { return m.store.revision() }

// ResourceState describes one resource as this entry knows it. The status of the resource is written
// from it.
type ResourceState struct {
	Key v1.ResourceKey
	// Revision and UID belong to the newest state, accepted or not.
	Revision int64
	UID      string
	// Value is the newest state as stored.
	Value []byte
	// SpecRevision is the revision at which the newest spec was written. An entry whose position is at
	// least this revision has the spec in force, unless it was refused.
	SpecRevision int64
	// Generation counts the changes of the newest spec; 0 when the spec can't be read.
	Generation int64
	// Accepted is the resource in force; nil when no state was ever accepted.
	Accepted v1.Resource
	// Refused lists why the newest state was refused; empty when it is in force.
	Refused v1.Findings
	// Unresolved lists what does not fit the other resources, for example a reference to a missing one.
	// It doesn't keep the resource from being in force.
	Unresolved v1.Findings
}
