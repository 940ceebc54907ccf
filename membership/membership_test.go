package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func peers(n int) []Peer {
	list := make([]Peer, n)
	for i := range list {
		list[i] = Peer{Name: fmt.Sprintf("e%d", i)}
	}
	return list
}

func TestRankKeepsOrderOfOtherPeersWhenOneLeaves(t *testing.T) {
	is := is.New(t)
	all := peers(8)
	for i := range 200 {
		key := fmt.Sprintf("key%d", i)
		ranked := Rank(all, key)
		without := Rank(all[1:], key)
		var rest []Peer
		for _, peer := range ranked {
			if peer.Name != all[0].Name {
				rest = append(rest, peer)
			}
		}
		is.Equal(rest, without)
	}
}

func TestRankSpreadsKeysEvenly(t *testing.T) {
	is := is.New(t)
	const keys = 8000
	first := map[string]int{}
	for i := range keys {
		first[Rank(peers(8), fmt.Sprintf("key%d", i))[0].Name]++
	}
	for _, count := range first {
		is.True(count > keys/8*8/10 && count < keys/8*12/10) // within a fifth of an even share
	}
}

// TestEachEntryIsProbedByTwoPredecessors checks that on the ring of live entries each one has two
// predecessors that probe it.
func TestEachEntryIsProbedByTwoPredecessors(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tables := map[string]*table{}
	dead := func(i int) bool { return i%5 == 0 }
	for i := range fleetSize {
		if dead(i) {
			continue
		}
		tables[testPeer(i).Name] = newTable(testPeer(i))
	}
	for _, table := range tables {
		for i := range fleetSize {
			table.merge(Delta{Peer: testPeer(i), State: StateAlive}, now)
			if dead(i) {
				table.merge(Delta{Peer: testPeer(i), State: StateDead}, now)
			}
		}
	}
	predecessors := map[string]int{}
	for _, table := range tables {
		for position := range probedSuccessors {
			peer, ok := table.successor(position)
			is.True(ok)
			predecessors[peer.Name]++
		}
	}
	for name := range tables {
		is.Equal(predecessors[name], probedSuccessors)
	}
	_, ok := newTable(testPeer(0)).successor(0)
	is.Equal(ok, false)
}
