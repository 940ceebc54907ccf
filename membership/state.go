package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// State is what an entry knows about the state of a peer.
type State uint8

// States of a peer. At the same incarnation, a later state of this list replaces an earlier one.
const (
	// StateUnknown: the peer is listed, but no message from it or about it has arrived yet.
	StateUnknown State = iota
	// StateAlive: the peer answers.
	StateAlive
	// StateSuspect: the peer did not answer the probe of an entry, neither directly nor through others.
	StateSuspect
	// StateDead: the peer did not answer before the suspicion timeout.
	StateDead
	// StateLeft: the peer announced its shutdown.
	StateLeft
)

// Delta is a gossip update about the state of one incarnation of a peer.
type Delta struct {
	Peer  Peer
	State State
}

// Fingerprint identifies one incarnation of a peer in few bytes. A receiver that does not know the
// incarnation ignores it; a live peer that is reported dead because of a hash collision refutes it.
type Fingerprint uint64

// fingerprintBytes is the encoded size of a Fingerprint.
const fingerprintBytes = 8

func fingerprintOf(peer Peer) Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(peer.Name)
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, peer.Incarnation))
	return Fingerprint(digest.Sum64())
}

// Supersedes reports whether d replaces former. A higher incarnation always wins; at the same
// incarnation the later state in the list of states wins. Entries that received the same deltas in any
// order therefore reach the same state.
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

// refutation returns the incarnation with which an entry refutes d, a delta about itself; ok is false
// when there is nothing to refute.
func refutation(self Peer, d Delta) (incarnation uint64, ok bool) {
	if d.Peer.Incarnation < self.Incarnation {
		return 0, false
	}
	if d.Peer.Incarnation == self.Incarnation && d.State <= StateAlive {
		return 0, false
	}
	return d.Peer.Incarnation + 1, true
}

// deltaOverheadBytes is the estimated encoded size of a delta without its strings.
const deltaOverheadBytes = 24

// encodedBytes estimates the encoded size of d in a message.
func (d Delta) encodedBytes() int {
	return deltaOverheadBytes + len(d.Peer.Name) + len(d.Peer.Address) + len(d.Peer.AvailabilityZone)
}
