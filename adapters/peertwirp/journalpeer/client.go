// Package journalpeer implements the journal protocol between entries over Twirp: the replication of the
// journal, the reading of a generation from its producer, and the crash records of request fingerprints.
// journal.pb.go and journal.twirp.go are generated from journal.proto by make proto.
package journalpeer

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/journal"
	"github.com/azurebarrow/azurebarrow/membership"
)

// protocolVersion is increased when a message changes in a way that older entries would misread.
const protocolVersion = 1

// Client calls other entries. It implements journal.Transport and generation.Peers.
type Client struct {
	view      membership.View
	http      *http.Client
	bytesSent atomic.Int64
}

// BytesSent returns the total size of the batches sent since the start, before HTTP framing.
func (c *Client) BytesSent() int64 { return c.bytesSent.Load() }

// NewClient returns a Client that looks up live entries in view.
func NewClient(view membership.View, client *http.Client) *Client {
	return &Client{view: view, http: client}
}

func (c *Client) clientFor(peer membership.Peer) Journal {
	return NewJournalProtobufClient("http://"+peer.Address, c.http)
}

// livePeer returns the live entry with the given name.
func (c *Client) livePeer(name string) (membership.Peer, error) {
	for _, peer := range c.view.Live() {
		if peer.Name == name {
			return peer, nil
		}
	}
	return membership.Peer{}, fmt.Errorf("journalpeer: no live entry %s", name)
}

// Exchange implements journal.Transport.
func (c *Client) Exchange(ctx context.Context, peer membership.Peer, batch journal.Batch) (journal.BatchResult, error) {
	request := fromBatch(batch)
	c.bytesSent.Add(int64(proto.Size(request)))
	reply, err := c.clientFor(peer).Exchange(ctx, request)
	if err != nil {
		return journal.BatchResult{}, err
	}
	return journal.BatchResult{Installs: toResults(reply.Installs), Appends: toResults(reply.Appends)}, nil
}

// Read implements journal.Transport.
func (c *Client) Read(ctx context.Context, peer membership.Peer, key string) (journal.Copy, error) {
	reply, err := c.clientFor(peer).Read(ctx, &ReadRequest{ProtocolVersion: protocolVersion, Key: key})
	if err != nil {
		return journal.Copy{}, err
	}
	return toCopy(reply), nil
}

// Takeover implements journal.Transport.
func (c *Client) Takeover(ctx context.Context, peer membership.Peer, request journal.TakeoverRequest) (journal.TakeoverResult, error) {
	reply, err := c.clientFor(peer).Takeover(ctx, &TakeoverRequestMessage{
		ProtocolVersion: protocolVersion,
		Key:             request.Key,
		Term:            int64(request.Term),
		Producer:        request.Producer,
	})
	if err != nil {
		return journal.TakeoverResult{}, err
	}
	return journal.TakeoverResult{Granted: reply.Granted, Copy: toCopy(reply.Copy)}, nil
}

// Tail implements generation.Peers.
func (c *Client) Tail(ctx context.Context, entry string, request generation.TailRequest) (generation.TailReply, error) {
	peer, err := c.livePeer(entry)
	if err != nil {
		return generation.TailReply{}, err
	}
	reply, err := c.clientFor(peer).Tail(ctx, &TailRequest{
		ProtocolVersion: protocolVersion,
		Key:             request.Key,
		BodyHash:        request.BodyHash,
		From:            int64(request.From),
		WaitMs:          request.Wait.Milliseconds(),
	})
	if err != nil {
		return generation.TailReply{}, err
	}
	if !reply.Found {
		return generation.TailReply{}, generation.ErrNotProducer
	}
	return generation.TailReply{
		Opening:    reply.Opening,
		Generation: reply.Generation,
		Lineage:    toLineage(reply.Lineage),
		Pin:        toPin(reply.Pin),
		Tokens:     reply.Tokens,
		Finish:     generation.FinishReason(reply.Finish),
	}, nil
}

// checkVersion returns an error for a message of a newer protocol version, which this build could misread.
func checkVersion(version uint32) error {
	if version <= protocolVersion {
		return nil
	}
	message := fmt.Sprintf("protocol version %d is not known here, the newest is %d", version, protocolVersion)
	return twirp.NewError(twirp.FailedPrecondition, message)
}
