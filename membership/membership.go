// Package membership tracks the entries of a fleet: their names, addresses and availability zones, and
// which of them are alive.
//
// A [Manager] runs a SWIM-style protocol: it probes a few peers each second, directly and through other
// peers, and piggybacks gossip updates on the probes and their answers. A [Directory] lists the entries
// that exist. Other packages read the result through [View], and assign keys to entries by [Rank].
package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Peer is one entry.
type Peer struct {
	// Name is unique among the entries; an address keeps its name across restarts.
	Name string
	// Address is the host:port of the peer protocol; the host is an IP address.
	Address          string
	AvailabilityZone string
	// Incarnation increases with every start of the process, and when the entry refutes a report that it
	// is suspect or dead.
	Incarnation uint64
}

// View gives other packages read access to the membership.
type View interface {
	// Self returns this entry.
	Self() Peer
	// Live returns the entries considered alive, including this one, ordered by name. Callers must not
	// modify the slice.
	Live() []Peer
}

// Rank orders peers by rendezvous hash of key; the first is the preferred owner. Every entry that ranks
// the same peers gets the same order.
func Rank(peers []Peer, key string) []Peer {
	type scored struct {
		peer  Peer
		score uint64
	}
	list := make([]scored, 0, len(peers))
	for _, peer := range peers {
		list = append(list, scored{peer, xxhash.Sum64String(peer.Name + "\x00" + key)})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].score != list[j].score {
			return list[i].score > list[j].score
		}
		return list[i].peer.Name < list[j].peer.Name
	})
	ranked := make([]Peer, len(list))
	for i := range list {
		ranked[i] = list[i].peer
	}
	return ranked
}

// Static is a View that never changes, for tests and for an entry without peers.
type Static struct {
	This  Peer
	Peers []Peer
}

// Self implements View.
func (s Static) Self() Peer { return s.This }

// Live implements View.
func (s Static) Live() []Peer { return s.Peers }

// KnownCount returns the number of entries; all of them are live.
func (s Static) KnownCount() int { return len(s.Peers) }
