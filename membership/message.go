package membership

import (
	"context"
	"errors"
	"fmt"
)

// ProtocolVersion is the version of the messages that this build sends, and the highest that it understands.
const ProtocolVersion = 1

// NoticeKind is the kind of a Notice.
type NoticeKind string

// Kinds of notices.
const (
	// NoticeTargetSuspected: the sender failed to reach a target. Receivers should probe the target; the
	// notice alone does not make it unavailable.
	NoticeTargetSuspected NoticeKind = "target-suspected"
	// NoticeTargetDraining: a target is draining and must not get new work.
	NoticeTargetDraining NoticeKind = "target-leaving"
	// NoticeConfiguration: the sender has the configuration of revision Version.
	NoticeConfiguration NoticeKind = "configuration"
)

// Notice is a gossip update about something other than the entries, sent along with the deltas. Of two
// notices with the same kind and subject, the one with the higher version replaces the other.
type Notice struct {
	Kind    NoticeKind
	Subject string
	Version uint64
	Value   string
}

// noticeOverheadBytes is the estimated encoded size of a notice without its strings.
const noticeOverheadBytes = 16

func (n Notice) encodedBytes() int {
	return noticeOverheadBytes + len(n.Kind) + len(n.Subject) + len(n.Value)
}

// PageRequest asks for a part of the receiver's table of live peers: the peers whose names sort after
// After, in order of names, up to MaxBytes of encoded deltas.
type PageRequest struct {
	After    string
	MaxBytes int
}

// Page is the answer to a PageRequest.
type Page struct {
	Deltas []Delta
	// Last is set when the page reaches the end of the table.
	Last bool
}

// Message is a probe or the answer to one.
type Message struct {
	// Protocol is the lowest version that understands the message.
	Protocol uint32
	From     Peer
	Deltas   []Delta
	// Dead holds the fingerprints of incarnations that died. Full deltas about many entries lost at once
	// would exceed the size limits of gossip many times over.
	Dead        []Fingerprint
	Notices     []Notice
	PageRequest *PageRequest
	Page        *Page
}

// Prober sends probes to other entries. An answer must come from the probed peer itself.
type Prober interface {
	// Probe sends message to peer and returns its answer.
	Probe(ctx context.Context, peer Peer, message Message) (Message, error)
	// ProbeVia sends message to peer through the entry via and returns peer's answer.
	ProbeVia(ctx context.Context, via, peer Peer, message Message) (Message, error)
}

// Directory lists the entries that exist. The list may be outdated or wrong.
type Directory interface {
	// List returns the entries.
	List(ctx context.Context) ([]Peer, error)
	// Remove deletes the record of an entry that left or died.
	Remove(ctx context.Context, peer Peer) error
}

// ErrStopped reports that the manager does not run and therefore answers no probe.
var ErrStopped = errors.New("membership: manager stopped")

// ErrWrongPeer reports that a probe was answered by a process other than the probed peer.
var ErrWrongPeer = errors.New("membership: probe answered by another peer")

// ProtocolError rejects a message that requires a later protocol version than this build supports.
type ProtocolError struct {
	From                string
	Required, Supported uint32
}

// Error implements error.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("membership: message of %s needs protocol version %d, this entry has %d",
		e.From, e.Required, e.Supported)
}

// checkProtocol rejects messages of later protocol versions, which this build could misread.
func checkProtocol(message Message) error {
	if message.Protocol <= ProtocolVersion {
		return nil
	}
	return &ProtocolError{From: message.From.Name, Required: message.Protocol, Supported: ProtocolVersion}
}
