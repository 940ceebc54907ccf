package streamversion

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/membership"
)

// memoryPeers are entries in memory, some of which are down. It implements Transport.
type memoryPeers struct {
	mu       sync.Mutex
	managers map[string]*Manager
	down     map[string]bool
	puts     int
	// questions counts those for the versions that have served lately.
	questions int
}

func (m *memoryPeers) reach(ctx context.Context, peer membership.Peer) (*Manager, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down[peer.Name] {
		m.mu.Unlock()
		<-ctx.Done()
		m.mu.Lock()
		return nil, errors.New("silent")
	}
	return m.managers[peer.Name], nil
}

func (m *memoryPeers) Put(ctx context.Context, peer membership.Peer, record Record) error {
	to, err := m.reach(ctx, peer)
	if err == nil {
		to.Put(record)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.puts++
	}
	return err
}

func (m *memoryPeers) Get(ctx context.Context, peer membership.Peer, stream, customer string) (Record, bool, error) {
	to, err := m.reach(ctx, peer)
	if err != nil {
		return Record{}, false, err
	}
	record, found := to.Get(stream, customer)
	return record, found, nil
}

func (m *memoryPeers) Serving(ctx context.Context, peer membership.Peer) (map[string][]string, bool, error) {
	to, err := m.reach(ctx, peer)
	if err != nil {
		return nil, false, err
	}
	m.mu.Lock()
	m.questions++
	m.mu.Unlock()
	serving, known := to.Serving()
	return serving, known, nil
}

// stop has the entries of an availability zone answer nothing any more.
func (m *memoryPeers) stop(live []membership.Peer, zone string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, peer := range live {
		m.down[peer.Name] = peer.AvailabilityZone == zone
	}
}

// newPeers returns entries of three availability zones that all see each other.
func newPeers(count int) (*memoryPeers, []membership.Peer) {
	peers := &memoryPeers{managers: map[string]*Manager{}, down: map[string]bool{}}
	var live []membership.Peer
	for i := range count {
		live = append(live, membership.Peer{Name: fmt.Sprintf("e%02d", i), AvailabilityZone: string(rune('a' + i%3))})
	}
	for _, self := range live {
		peers.managers[self.Name] = NewManager(Options{View: membership.Static{This: self, Peers: live}, Transport: peers})
	}
	return peers, live
}

// Guards against versions that are lost with the entry that began the stream, or with its whole availability zone.
func TestVersionIsKnownAfterAZoneOfEntriesIsLost(t *testing.T) {
	for _, count := range []int{8, 59, 76} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			peers, live := newPeers(count)
			for number := range 100 {
				record := Record{Stream: fmt.Sprint("s", number), Version: "v1"}
				is.True(peers.managers["e00"].Share(t.Context(), record) >= sufficientHolders)
			}
			synctest.Wait()
			peers.stop(live, "a")
			for number := range 100 {
				version, found := peers.managers["e01"].Find(t.Context(), "drafts", fmt.Sprint("s", number), "")
				is.True(found)
				is.Equal(version, "v1")
			}
			is.Equal(peers.puts, 100*holders)
			time.Sleep(time.Second) // until all calls to silent peers have ended
		})
	}
}

// Guards against a first event that is held up by entries that don't answer.
func TestSharingTakesABoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peers, live := newPeers(8)
		for _, peer := range live[1:] {
			peers.down[peer.Name] = true
		}
		start := time.Now()
		is.Equal(peers.managers["e00"].Share(t.Context(), Record{Stream: "s"}), 0)
		is.Equal(time.Since(start), shareTimeout)
		start = time.Now()
		_, found := peers.managers["e00"].Find(t.Context(), "drafts", "another", "")
		is.True(!found)
		is.Equal(time.Since(start), findTimeout)
	})
}

func TestRecordsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		manager := NewManager(Options{View: membership.Static{}})
		manager.Put(Record{Stream: "s"})
		time.Sleep(recordTTL + time.Second)
		_, found := manager.Get("s", "")
		is.True(!found)
		manager.Sweep(time.Now())
		is.Equal(manager.records.Len(), 0)
	})
}

// Guards against the conclusion that one version serves from what this entry alone knows, and against questions that grow with the fleet.
func TestOnlyVersionIsConfirmedByAFewPeers(t *testing.T) {
	for _, count := range []int{2, 30, 76, 195, 300} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				peers, live := newPeers(count)
				for _, manager := range peers.managers {
					manager.ObserveServing("drafts", []string{"v1"})
				}
				asking := peers.managers["e00"]
				is.True(asking.Confirm(t.Context(), "drafts", "s1", "v1"))
				synctest.Wait()
				is.Equal(peers.questions, min(count-1, askedForServing))
				for _, peer := range live[1:] {
					peers.managers[peer.Name].ObserveServing("drafts", []string{"v1", "v2"})
				}
				is.True(asking.IsOnlyVersion("drafts", "v1")) // by its own knowledge
				is.True(!asking.Confirm(t.Context(), "drafts", "s2", "v1"))
				for _, zone := range []string{"a", "b", "c"} {
					peers.mu.Lock()
					for _, peer := range live {
						if peer.AvailabilityZone == zone {
							peers.down[peer.Name] = true
						}
					}
					peers.mu.Unlock()
				}
				is.True(!asking.Confirm(t.Context(), "drafts", "s3", "v1"))
			})
		})
	}
}
