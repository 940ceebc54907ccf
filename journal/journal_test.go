package journal

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/matryer/is"
)

// network is a Transport between the stores of entries, any of which may be slow or down.
type network struct {
	peers  []membership.Peer
	stores map[string]*Store

	mu   sync.Mutex
	slow map[string]time.Duration
	down map[string]bool
	// reads counts the calls of Read.
	reads int
}

func (n *network) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

func newNetwork(entries int) *network {
	n := &network{stores: map[string]*Store{}, slow: map[string]time.Duration{}, down: map[string]bool{}}
	for i := range entries {
		peer := membership.Peer{Name: fmt.Sprintf("e%d", i), AvailabilityZone: string(rune('a' + i%3))}
		n.peers = append(n.peers, peer)
		n.stores[peer.Name] = NewStore(DefaultLimits)
	}
	return n
}

func (n *network) journal(i int) *Journal {
	view := membership.Static{This: n.peers[i], Peers: n.peers}
	return New(Options{View: view, Store: n.stores[n.peers[i].Name], Transport: n})
}

func (n *network) reach(ctx context.Context, peer membership.Peer) error {
	n.mu.Lock()
	slow, down := n.slow[peer.Name], n.down[peer.Name]
	n.mu.Unlock()
	select {
	case <-time.After(time.Millisecond + slow):
	case <-ctx.Done():
		return ctx.Err()
	}
	if down {
		return errors.New("down")
	}
	return nil
}

func (n *network) Exchange(ctx context.Context, peer membership.Peer, batch Batch) (BatchResult, error) {
	if err := n.reach(ctx, peer); err != nil {
		return BatchResult{}, err
	}
	return n.stores[peer.Name].Exchange(batch), nil
}

func (n *network) Read(ctx context.Context, peer membership.Peer, key string) (Copy, error) {
	n.set(func() { n.reads++ })
	if err := n.reach(ctx, peer); err != nil {
		return Copy{}, err
	}
	return n.stores[peer.Name].Read(key), nil
}

func (n *network) Takeover(ctx context.Context, peer membership.Peer, request TakeoverRequest) (TakeoverResult, error) {
	if err := n.reach(ctx, peer); err != nil {
		return TakeoverResult{}, err
	}
	return n.stores[peer.Name].Takeover(request), nil
}

// holders returns the entries that hold the key's record, with the lengths.
func (n *network) holders(key string) map[string]int {
	lengths := map[string]int{}
	for name, store := range n.stores {
		if record := store.Read(key).Record; record != nil {
			lengths[name] = record.Length()
		}
	}
	return lengths
}

// recorder is an Observer.
type recorder struct {
	committed  chan int
	superseded chan int
	degraded   chan bool
}

func newRecorder() *recorder {
	const plenty = 100
	return &recorder{make(chan int, plenty), make(chan int, plenty), make(chan bool, plenty)}
}

func (r *recorder) PositionCommitted(position int) { r.committed <- position }
func (r *recorder) AttemptRecorded(Attempt)        {}
func (r *recorder) Superseded(term int)            { r.superseded <- term }
func (r *recorder) Degraded(degraded bool)         { r.degraded <- degraded }

func newRecord(key, producer string) *Record {
	term := NextTerm(0, producer)
	return &Record{Key: key, Generation: "g-" + producer, Term: term, Producer: producer, Lineage: Lineage{{term, 0}}}
}

func TestSlowReplicaIsReplacedWithinTensOfMilliseconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(8)
		observer := newRecorder()
		w := n.journal(0).StartReplication(newRecord("k", "e0"), observer)
		is.NoErr(w.WaitForReplicas(t.Context()))
		w.Append([]string{"a"}, "")
		is.Equal(<-observer.committed, 1)
		var slow string
		for name := range n.holders("k") {
			is.True(n.peers[0].AvailabilityZone != zoneOf(n, name)) // in another availability zone
			slow = name
		}
		n.set(func() { n.slow[slow] = time.Hour })
		before := time.Now()
		w.Append([]string{"b"}, "")
		is.Equal(<-observer.committed, 2)
		is.True(time.Since(before) <= 60*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		lengths := n.holders("k")
		delete(lengths, slow)
		is.Equal(len(lengths), 2) // the slow replica was replaced
		for _, length := range lengths {
			is.Equal(length, 2)
		}
	})
}

func zoneOf(n *network, name string) string {
	for _, peer := range n.peers {
		if peer.Name == name {
			return peer.AvailabilityZone
		}
	}
	return ""
}

func TestTimedOutReplicasAreAwaitedWhenNoOtherHoldsTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(3)
		observer := newRecorder()
		w := n.journal(0).StartReplication(newRecord("k", "e0"), observer)
		is.NoErr(w.WaitForReplicas(t.Context()))
		n.set(func() { n.slow["e1"], n.slow["e2"] = 120*time.Millisecond, 120*time.Millisecond })
		w.Append([]string{"a"}, "")
		is.Equal(<-observer.committed, 1)
		held := 0
		for _, length := range n.holders("k") {
			held = max(held, length)
		}
		is.Equal(held, 1) // not committed without a replica
		n.set(func() { n.slow["e1"], n.slow["e2"] = time.Hour, time.Hour })
		before := time.Now()
		w.Append([]string{"b"}, "")
		is.Equal(<-observer.committed, 2)
		is.True(<-observer.degraded)
		is.True(time.Since(before) < 2*time.Second) // continues without replicas after lastReplicaTimeout
		w.Close()
		time.Sleep(time.Second) // the last call times out
	})
}

func TestRecordWithoutReplicasContinuesDegraded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(3)
		n.down["e1"], n.down["e2"] = true, true
		observer := newRecorder()
		w := n.journal(0).StartReplication(newRecord("k", "e0"), observer)
		is.NoErr(w.WaitForReplicas(t.Context()))
		is.True(<-observer.degraded)
		w.Append([]string{"a"}, "")
		is.Equal(<-observer.committed, 1)
		n.set(func() { n.down["e1"] = false })
		time.Sleep(time.Second)
		w.Append([]string{"b"}, "stop")
		is.True(!<-observer.degraded)
		is.Equal(<-observer.committed, 3)
		is.Equal(n.holders("k"), map[string]int{"e1": 3})
	})
}

// TestReplicasOutsideTheFirstRanksAreFound: a producer that cannot reach the first ranks chooses replicas
// at lower ranks. Once it reaches the first ranks, other entries must find the replicas by the pointers
// there.
func TestReplicasOutsideTheFirstRanksAreFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(9)
		ranked := membership.Rank(n.peers, "k")
		for _, peer := range ranked[:firstRanks] {
			n.down[peer.Name] = true
		}
		producer := ranked[firstRanks]
		var index int
		for i, peer := range n.peers {
			if peer == producer {
				index = i
			}
		}
		observer := newRecorder()
		w := n.journal(index).StartReplication(newRecord("k", producer.Name), observer)
		is.NoErr(w.WaitForReplicas(t.Context()))
		w.Append([]string{"a"}, "")
		is.Equal(<-observer.committed, 1)
		n.set(func() { clear(n.down) })
		time.Sleep(time.Second) // the pointers are sent again
		for i, peer := range n.peers {
			if peer == ranked[firstRanks+3] {
				found := n.journal(i).LookUp(t.Context(), "k", 0)
				is.True(found.Record != nil)
				is.Equal(found.Record.Tokens, []string{"a"})
			}
		}
	})
}

// TestViewsThatDifferFindTheReplicas: the producer knows that the entries of the first ranks have failed
// and chooses replicas at lower ranks; an entry that still has the failed ones in its view must ask the
// lower ranks too.
func TestViewsThatDifferFindTheReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(9)
		ranked := membership.Rank(n.peers, "k")
		for _, peer := range ranked[:firstRanks] {
			n.down[peer.Name] = true
		}
		producer, taker := ranked[firstRanks], ranked[firstRanks+4]
		view := membership.Static{This: producer, Peers: ranked[firstRanks:]}
		observer := newRecorder()
		w := New(Options{View: view, Store: n.stores[producer.Name], Transport: n}).StartReplication(newRecord("k", producer.Name), observer)
		w.Append([]string{"a"}, "")
		is.Equal(<-observer.committed, 1)
		n.set(func() { n.down[producer.Name] = true })
		view = membership.Static{This: taker, Peers: n.peers}
		found := New(Options{View: view, Store: n.stores[taker.Name], Transport: n}).LookUp(t.Context(), "k", 0)
		is.True(found.Record != nil)
	})
}

// TestRecordAtALowRankIsFoundWithLongerTimeout: a producer whose view lacks some entries replicates to
// the others and leaves no pointers at entries that it doesn't know. A look-up with a longer timeout
// asks more ranks and must find the record.
func TestRecordAtALowRankIsFoundWithLongerTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(9)
		ranked := membership.Rank(n.peers, "k")
		last := ranked[len(ranked)-1]
		n.stores[last.Name].Exchange(Batch{Installs: []*Record{newRecord("k", "gone")}})
		for i, peer := range n.peers {
			if peer != ranked[0] {
				continue
			}
			is.True(n.journal(i).LookUp(t.Context(), "k", 0).Record == nil)
			found := n.journal(i).LookUp(t.Context(), "k", 100*time.Millisecond)
			is.True(found.Record != nil)
			record, err := n.journal(i).Takeover(t.Context(), "k", found)
			is.NoErr(err)
			// The entry at the low rank refuses the former producer from now on.
			is.Equal(n.stores[last.Name].Read("k").Promised, record.Term)
		}
	})
}

func TestTakeoverRefusesTheFormerProducer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(8)
		former, successor := newRecorder(), newRecorder()
		w := n.journal(0).StartReplication(newRecord("k", "e0"), former)
		w.Append([]string{"a", "b"}, "")
		time.Sleep(10 * time.Millisecond)
		taker := n.journal(1)
		record, err := taker.Takeover(t.Context(), "k", taker.LookUp(t.Context(), "k", 0))
		is.NoErr(err)
		is.Equal(record.Tokens, []string{"a", "b"})
		is.True(record.Lineage.Contains(NextTerm(0, "e0"), 1))
		is.True(record.Lineage.Contains(record.Term, 2))
		is.True(!record.Lineage.Contains(NextTerm(0, "e0"), 2))
		next := taker.StartReplication(record, successor)
		next.Append([]string{"c"}, "stop")
		w.Append([]string{"x"}, "")
		is.True(<-former.superseded >= record.Term)
		time.Sleep(10 * time.Millisecond)
		found := n.journal(2).LookUp(t.Context(), "k", 0)
		is.Equal(found.Record.Tokens, []string{"a", "b", "c"})
		is.Equal(found.Record.Finish, "stop")
		is.Equal(found.Holder, "e1")
	})
}

func TestStoreKeepsItsLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewStore(Limits{Bytes: 8000, Expiry: time.Minute})
		install := func(key, finish string) Code {
			record := newRecord(key, "e0")
			record.Tokens = []string{string(make([]byte, 2000))}
			record.Finish = finish
			return s.Exchange(Batch{Installs: []*Record{record}}).Installs[0].Code
		}
		is.Equal(install("running", ""), Accepted)
		is.Equal(install("finished", "stop"), Accepted)
		is.Equal(install("next", ""), Accepted) // evicts the finished record
		is.True(s.Read("finished").Record == nil)
		is.Equal(install("one too many", ""), Full) // a running generation is never evicted
		is.True(s.Read("running").Record != nil)
		is.True(s.Bytes() <= 8000)
		time.Sleep(time.Minute)
		is.True(s.Read("running").Record == nil)
		is.Equal(s.Bytes(), 0)
	})
}
