package membership

import (
	"context"
	"errors"
	"fmt"
)

// ProtocolVersion is the version of the messages that this build sends and understands.
const ProtocolVersion = 1

// NoticeKind names what a Notice is about.
type NoticeKind string

// Kinds of notices.
const (
	// NoticeTargetSuspected: the sender failed to reach a target. It asks for a probe, no more.
	NoticeTargetSuspected NoticeKind = "target-suspected"
	// NoticeTargetLeaving: a target is to get no new work.
	NoticeTargetLeaving NoticeKind = "target-leaving"
	// NoticeConfiguration: the sender holds a configuration of revision Version.
	NoticeConfiguration NoticeKind = "configuration"
)

// Notice is news that is not about entries; it travels with the deltas. Of two notices of one kind
// and subject the higher version replaces the lower one.
type Notice struct {
	Kind    NoticeKind
	Subject string
	Version uint64
	Value   string
}

// noticeOverheadBytes is the encoded size of a notice beside its strings.
const noticeOverheadBytes = 16

func (n Notice) encodedBytes() int {
	return noticeOverheadBytes + len(n.Kind) + len(n.Subject) + len(n.Value)
}

// PageRequest asks for the next part of the receiver's table, in the order of names.
type PageRequest struct {
	After    string
	MaxBytes int
}

// Page is a part of a table.
type Page struct {
	Deltas []Delta
	// Last tells that no name follows.
	Last bool
}

// Message is a probe or the answer to one.
type Message struct {
	// Protocol is the lowest version that understands the message.
	Protocol uint32
	From     Peer
	Deltas   []Delta
	// Dead names incarnations that died, by their fingerprints. A loss of many entries at once would
	// fill the bounds of gossip many times over with deltas in full.
	Dead        []Fingerprint
	Notices     []Notice
	PageRequest *PageRequest
	Page        *Page
}

// Prober is the port to other entries. An answer must come from the peer itself.
type Prober interface {
	// Probe asks peer whether it is alive.
	Probe(ctx context.Context, peer Peer, message Message) (Message, error)
	// ProbeVia has via pass the probe to peer and returns peer's answer.
	ProbeVia(ctx context.Context, via, peer Peer, message Message) (Message, error)
}

// Directory is the port to the list of entries that exist. The list may be late and wrong.
type Directory interface {
	// List returns the entries.
	List(ctx context.Context) ([]Peer, error)
	// Remove deletes an entry that left or died.
	Remove(ctx context.Context, peer Peer) error
}

// ErrStopped: the manager does not run, so it answers no probe.
var ErrStopped = errors.New("membership: manager stopped")

// ErrWrongPeer: a probe reached another process than the one that it names.
var ErrWrongPeer = errors.New("membership: probe answered by another peer")

// ProtocolError refuses a message of a later protocol.
type ProtocolError struct {
	From                string
	Required, Supported uint32
}

// Error implements error.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("membership: message of %s needs protocol version %d, this entry has %d",
		e.From, e.Required, e.Supported)
}

// checkProtocol refuses what this build could misread.
func checkProtocol(message Message) error {
	if message.Protocol <= ProtocolVersion {
		return nil
	}
	return &ProtocolError{From: message.From.Name, Required: message.Protocol, Supported: ProtocolVersion}
}
