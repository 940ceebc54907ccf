package journal

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/matryer/is"
)

// keyWithFirstRanks returns a key whose first ranks contain all the named entries.
func keyWithFirstRanks(n *network, names ...string) string {
	for i := 0; ; i++ {
		key := fmt.Sprint("k", i)
		found := 0
		for _, peer := range membership.Rank(n.peers, key)[:firstRanks] {
			for _, name := range names {
				if peer.Name == name {
					found++
				}
			}
		}
		if found == len(names) {
			return key
		}
	}
}

// Guards against a generation with one replica although other entries are idle: a look-up that waited for a frozen
// entry asked all further entries after its deadline, and counted every one of them as failed.
func TestFrozenEntryLeavesAGenerationTwoReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(6)
		n.down["e0"] = true          // killed before
		n.slow["e1"] = time.Hour     // frozen
		const producer, taker = 2, 5 // e2, e5
		key := keyWithFirstRanks(n, "e0", "e1", "e2", "e3")
		j := n.journal(producer)
		is.True(j.LookUp(t.Context(), key, 0).Record == nil)
		n.set(func() { clear(n.slow) }) // e1 is back
		w := j.StartReplication(newRecord(key, "e2"), discard{})
		is.NoErr(w.WaitForReplicas(t.Context()))
		w.Append([]string{"a"}, "")
		time.Sleep(10 * time.Millisecond)
		is.Equal(len(n.holders(key)), replicaCount)
		// The death of the producer and of one replica leaves a copy.
		n.set(func() { n.down["e2"], n.down["e3"] = true, true })
		found := n.journal(taker).LookUp(t.Context(), key, 0)
		is.True(found.Record != nil)
		is.Equal(found.Record.Tokens, []string{"a"})
		w.Close()
	})
}

// Guards against a record that a look-up misses beside a frozen entry: the entry of the next rank, which the look-up
// asks in its place, was asked after the deadline.
func TestRecordBelowAFrozenFirstRankIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(9)
		ranked := membership.Rank(n.peers, "k")
		n.slow[ranked[1].Name] = time.Hour
		n.stores[ranked[firstRanks].Name].Exchange(Batch{Installs: []*Record{newRecord("k", "gone")}})
		view := membership.Static{This: ranked[0], Peers: n.peers}
		before := time.Now()
		found := New(Options{View: view, Store: n.stores[ranked[0].Name], Transport: n}).LookUp(t.Context(), "k", 0)
		is.True(found.Record != nil)
		is.Equal(found.Unanswered, 1)
		is.Equal(time.Since(before), DefaultTimeouts.Read)
	})
}

// Guards against a look-up whose cost and whose failed entries grow with the fleet: beside one frozen entry it asked
// the whole fleet after its deadline.
func TestFrozenEntryCostsALookUpOneMoreRead(t *testing.T) {
	for _, entries := range []int{30, 76, 195, 300} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork(entries)
				ranked := membership.Rank(n.peers, "k")
				view := membership.Static{This: ranked[entries-1], Peers: n.peers}
				j := New(Options{View: view, Store: n.stores[ranked[entries-1].Name], Transport: n})
				j.LookUp(t.Context(), "k", 0)
				calm := n.reads
				is.Equal(calm, firstRanks)
				n.set(func() { n.slow[ranked[1].Name] = time.Hour })
				j.LookUp(t.Context(), "k", 0)
				is.Equal(n.reads-calm, firstRanks+1)
				is.Equal(len(j.failed), 1)
				// With all of the first ranks frozen, each has one substitute.
				beside := n.reads
				for _, peer := range ranked[:firstRanks] {
					n.set(func() { n.slow[peer.Name] = time.Hour })
				}
				j.LookUp(t.Context(), "k", 0)
				is.Equal(n.reads-beside, 2*firstRanks)
				is.Equal(len(j.failed), firstRanks)
			})
		})
	}
}

// Guards against a generation that stays at one replica for failureCooldown after a short fault of the only other peer.
func TestOnlyOtherPeerIsAReplicaAgainSoonAfterAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(3)
		n.down["e2"] = true
		w := n.journal(0).StartReplication(newRecord("k", "e0"), discard{})
		is.NoErr(w.WaitForReplicas(t.Context()))
		w.Append([]string{"a"}, "")
		time.Sleep(10 * time.Millisecond)
		is.Equal(n.holders("k"), map[string]int{"e1": 1})
		n.set(func() { n.down["e2"] = false })
		time.Sleep(degradedCooldown)
		w.Append([]string{"b"}, "")
		time.Sleep(10 * time.Millisecond)
		is.Equal(n.holders("k"), map[string]int{"e1": 2, "e2": 2})
		w.Close()
	})
}

// Guards against a first token that waits for a peer only because it may answer again.
func TestFirstTokenDoesNotWaitForAPeerThatFailedRecently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(3)
		n.slow["e2"] = time.Hour
		j := n.journal(0)
		j.LookUp(t.Context(), "k", 0) // e2 doesn't answer
		time.Sleep(degradedCooldown + time.Millisecond)
		before := time.Now()
		w := j.StartReplication(newRecord("k", "e0"), discard{})
		is.NoErr(w.WaitForReplicas(t.Context()))
		is.True(time.Since(before) < DefaultTimeouts.Append)
		is.Equal(n.holders("k"), map[string]int{"e1": 0})
		w.Close()
	})
}
