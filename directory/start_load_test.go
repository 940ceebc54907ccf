package directory

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"
)

// slowLinkStore answers at once with one large configuration, which passes the reader's link.
type slowLinkStore struct {
	link   *modelLink
	object objects.Object
	// taken is the number of bytes that passed the link.
	taken *atomic.Int64
}

func (s slowLinkStore) List(ctx context.Context, kind string) (objects.List, error) {
	_ = wait.For(ctx, 4*time.Millisecond)
	if kind != KindConfiguration {
		return objects.List{Revision: 1}, ctx.Err()
	}
	for bytes := len(s.object.Value); bytes > 0; bytes -= segmentBytes {
		if err := wait.For(ctx, time.Until(s.link.send(min(bytes, segmentBytes)))); err != nil {
			return objects.List{}, err
		}
		s.taken.Add(segmentBytes)
		objects.NotifyReadProgress(ctx)
	}
	return objects.List{Revision: 1, Items: []objects.Object{s.object}}, nil
}

func (s slowLinkStore) Watch(ctx context.Context, _ string, _ int64, waiting time.Duration) (objects.List, error) {
	return objects.List{Revision: 1}, wait.For(ctx, waiting)
}

// A list that arrives slowly is not a silent store: more calls share the link with the first one.
func TestStartingEntryReadsLargeConfigurationSeveralTimes(t *testing.T) {
	for _, bytes := range []int{largeConfigBytes, 1<<20 - 64} {
		t.Run(fmt.Sprintf("%d KB", bytes>>10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				value := fmt.Sprintf(`{"Version":1,"Padding":%q}`, strings.Repeat("r", bytes))
				store := slowLinkStore{link: &modelLink{}, taken: &atomic.Int64{}, object: objects.Object{
					Kind: KindConfiguration, Name: "main", Revision: 1, Value: []byte(value),
				}}
				peers := &fakePeers{started: time.Now()}
				ctx, cancel := context.WithCancel(t.Context())
				manager := NewManager(Options{Store: store, Decoder: jsonDecoder{}, Peers: peers, View: newFleetView()})
				ended := make(chan struct{})
				go func() { defer close(ended); _ = manager.Run(ctx) }()
				manager.WaitReady(ctx, time.Minute)
				took := time.Since(peers.started)
				cancel()
				<-ended
				t.Logf("ready after %v, took %d KB, first query of full lists from peers after %v", took, store.taken.Load()>>10, peers.firstFullQuery)
				is.True(store.taken.Load() <= int64(2*len(value)))
				is.Equal(peers.firstFullQuery, time.Duration(0)) // never
			})
		})
	}
}

// startingMembers are the membership managers of a fleet that starts at once, which know three seeds. They are also the network
// between these.
type startingMembers struct {
	managers []*membership.Manager
	byName   map[string]*membership.Manager
}

var errNoMember = errors.New("no such member")

func (m *startingMembers) Probe(ctx context.Context, peer membership.Peer, message membership.Message) (membership.Message, error) {
	const oneWay = 1400 * time.Microsecond
	_ = wait.For(ctx, oneWay)
	name, _, _ := strings.Cut(peer.Address, ":")
	if m.byName[name] == nil {
		return membership.Message{}, errNoMember
	}
	answer, err := m.byName[name].HandleProbe(ctx, message)
	return answer, errors.Join(err, wait.For(ctx, oneWay))
}

func (m *startingMembers) ProbeVia(ctx context.Context, _, peer membership.Peer, message membership.Message) (membership.Message, error) {
	return m.Probe(ctx, peer, message)
}

func newStartingMembers(size int) *startingMembers {
	m := &startingMembers{byName: map[string]*membership.Manager{}}
	seeds := []membership.Peer{{Address: "e0:1"}, {Address: "e1:1"}, {Address: "e2:1"}}
	for i := range size {
		self := peer(fmt.Sprintf("e%d", i), string(rune('a'+i%3)))
		self.Incarnation = 1
		m.managers = append(m.managers, membership.NewManager(membership.Options{Self: self, Prober: m, Seeds: seeds, Seed: uint64(i)}))
		m.byName[self.Name] = m.managers[i]
	}
	return m
}

// Guards against a start of all entries at once that takes longer the more there are: within three seconds all know the
// configuration and the targets, with the store's pages, round trip and link of the users' large deployment and links of 10 Mbit/s.
func TestStartOfAllTakesNoLongerInALargeFleet(t *testing.T) {
	const (
		maxStartTime    = 3 * time.Second
		storeBytesPerMs = 125_000 // 1,000 Mbit/s
	)
	for _, test := range []struct{ size, bytes int }{{30, 20 << 10}, {76, 20 << 10}, {195, 20 << 10}, {300, 20 << 10}, {300, largeConfigBytes}} {
		size, bytes := test.size, test.bytes
		t.Run(fmt.Sprintf("%d KB, %d entries", bytes>>10, size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				store := newModelStore()
				store.configure(1, bytes)
				store.pageObjects, store.link = 50, &modelLink{bytesPerMs: storeBytesPerMs}
				members := newStartingMembers(size)
				var running sync.WaitGroup
				defer func() { cancel(); running.Wait() }()
				for _, member := range members.managers {
					running.Go(func() { _ = member.Run(ctx) })
				}
				began := time.Now()
				fleet, stop := startFleetWith(ctx, size, store, func(int) bool { return false }, func(i int) membership.View { return members.managers[i] })
				defer stop()
				times := make(chan time.Duration, size)
				for _, manager := range fleet.managers {
					running.Go(func() {
						manager.WaitReady(ctx, 2*maxStartTime)
						times <- time.Since(began)
					})
				}
				var ready []time.Duration // in ascending order
				for _, manager := range fleet.managers {
					ready = append(ready, <-times)
					is.True(ready[len(ready)-1] <= maxStartTime)
					if len(ready) == size {
						is.Equal(len(manager.Snapshot().AvailableTargets("drafts")), targetsInStore)
					}
				}
				store.mu.Lock()
				defer store.mu.Unlock()
				t.Logf("ready: half after %v, 95%% %v, all %v; calls %v, bytes %v", ready[size/2], ready[size*95/100], ready[size-1], store.calls, store.bytes)
			})
		})
	}
}
