package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// State is what an entry believes of a peer.
type State uint8

// States, in the order in which they override each other at the same incarnation.
const (
	// StateUnknown: the peer is listed, but nothing was heard of it yet.
	StateUnknown State = iota
	// StateAlive: the peer answers.
	StateAlive
	// StateSuspect: the peer did not answer an entry, directly or through others.
	StateSuspect
	// StateDead: the peer stayed silent through its suspicion.
	StateDead
	// StateLeft: the peer said that it leaves.
	StateLeft
)

// Delta is one piece of news about a peer; Peer.Incarnation says which life of it is meant.
type Delta struct {
	Peer  Peer
	State State
}

// Fingerprint identifies one incarnation of a peer in few bytes. A receiver that does not know the
// incarnation passes it over, and a peer that is hit by a collision contradicts it.
type Fingerprint uint64

// fingerprintBytes is the encoded size of a Fingerprint.
const fingerprintBytes = 8

func fingerprintOf(peer Peer) Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(peer.Name)
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, peer.Incarnation))
	return Fingerprint(digest.Sum64())
}

// Supersedes tells whether d is newer than former, so that it replaces it. A higher incarnation
// always wins; at the same one the graver state wins, so that every entry that received the same
// deltas, in whatever order, believes the same.
func (d Delta) Supersedes(former Delta) bool {
	if d.State == StateUnknown {
		return false
	}
	if former.State == StateUnknown {
		return true
	}
	if d.Peer.Incarnation != former.Peer.Incarnation {
		return d.Peer.Incarnation > former.Peer.Incarnation
	}
	return d.State > former.State
}

// refutation returns the incarnation with which an entry contradicts d, a delta about itself; ok
// is false when there is nothing to contradict.
func refutation(self Peer, d Delta) (incarnation uint64, ok bool) {
	if d.Peer.Incarnation < self.Incarnation {
		return 0, false
	}
	if d.Peer.Incarnation == self.Incarnation && d.State <= StateAlive {
		return 0, false
	}
	return d.Peer.Incarnation + 1, true
}

// deltaOverheadBytes is the encoded size of a delta beside its strings.
const deltaOverheadBytes = 24

// encodedBytes estimates the size of d in a message.
func (d Delta) encodedBytes() int {
	return deltaOverheadBytes + len(d.Peer.Name) + len(d.Peer.Address) + len(d.Peer.AvailabilityZone)
}
