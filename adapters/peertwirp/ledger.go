package peertwirp

import (
	"context"
	"fmt"
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/twitchtv/twirp"

	"github.com/azurebarrow/azurebarrow/adapters/peertwirp/ledgerpb"
	"github.com/azurebarrow/azurebarrow/idempotency"
	"github.com/azurebarrow/azurebarrow/membership"
)

// ledgerProtocolVersion is the newest version of the ledger protocol that this build supports.
const ledgerProtocolVersion = 1

// LedgerClient calls the idempotency ledgers of other entries. It implements idempotency.Peers.
type LedgerClient struct {
	client *http.Client
}

// NewLedgerClient returns a LedgerClient. The HTTP client must keep enough idle connections for all
// concurrent requests.
func NewLedgerClient(client *http.Client) *LedgerClient { return &LedgerClient{client: client} }

func (c *LedgerClient) clientFor(peer membership.Peer) ledgerpb.Ledger {
	return ledgerpb.NewLedgerProtobufClient("http://"+peer.Address, c.client)
}

// Claim implements idempotency.Peers.
func (c *LedgerClient) Claim(ctx context.Context, peer membership.Peer, call idempotency.ClaimCall) (idempotency.Reply, error) {
	reply, err := c.clientFor(peer).Claim(ctx, claimCallToProto(call))
	if err != nil {
		return idempotency.Reply{}, merry.Prependf(err, "claim at entry %s", peer.Name)
	}
	return replyFromProto(reply)
}

// Complete implements idempotency.Peers.
func (c *LedgerClient) Complete(ctx context.Context, peer membership.Peer, call idempotency.CompleteCall) ([]idempotency.Reply, error) {
	answer, err := c.clientFor(peer).Complete(ctx, completeCallToProto(call))
	if err != nil {
		return nil, merry.Prependf(err, "complete at entry %s", peer.Name)
	}
	replies := make([]idempotency.Reply, len(answer.Replies))
	for i, reply := range answer.Replies {
		if replies[i], err = replyFromProto(reply); err != nil {
			return nil, err
		}
	}
	return replies, nil
}

// Await implements idempotency.Peers.
func (c *LedgerClient) Await(ctx context.Context, peer membership.Peer, call idempotency.AwaitCall) (idempotency.AwaitReply, error) {
	reply, err := c.clientFor(peer).Await(ctx, &ledgerpb.AwaitCall{
		ProtocolVersion: ledgerProtocolVersion,
		Key:             call.Key[:],
		Attempt:         string(call.Attempt),
		Incarnation:     call.Incarnation,
	})
	if err != nil {
		return idempotency.AwaitReply{}, merry.Prependf(err, "await at entry %s", peer.Name)
	}
	record, err := recordFromProto(reply.Record)
	return idempotency.AwaitReply{Verdict: idempotency.AwaitVerdict(reply.Verdict), Record: record}, err
}

// NewLedgerServer returns the HTTP handler of the ledger protocol and the path prefix at which to mount it.
func NewLedgerServer(ledger *idempotency.Ledger) (prefix string, handler http.Handler) {
	server := ledgerpb.NewLedgerServer(&ledgerServer{ledger: ledger})
	return server.PathPrefix(), server
}

type ledgerServer struct{ ledger *idempotency.Ledger }

// Claim implements ledgerpb.Ledger.
func (s *ledgerServer) Claim(ctx context.Context, call *ledgerpb.ClaimCall) (*ledgerpb.Reply, error) {
	if err := checkLedgerVersion(call.ProtocolVersion); err != nil {
		return nil, err
	}
	request, err := claimCallFromProto(call)
	if err != nil {
		return nil, twirp.InvalidArgument.Error(err.Error())
	}
	return replyToProto(s.ledger.HandleClaim(ctx, request)), nil
}

// Complete implements ledgerpb.Ledger.
func (s *ledgerServer) Complete(ctx context.Context, call *ledgerpb.CompleteCall) (*ledgerpb.CompleteReplies, error) {
	if err := checkLedgerVersion(call.ProtocolVersion); err != nil {
		return nil, err
	}
	request, err := completeCallFromProto(call)
	if err != nil {
		return nil, twirp.InvalidArgument.Error(err.Error())
	}
	answer := &ledgerpb.CompleteReplies{}
	for _, reply := range s.ledger.HandleComplete(ctx, request) {
		answer.Replies = append(answer.Replies, replyToProto(reply))
	}
	return answer, nil
}

// Await implements ledgerpb.Ledger.
func (s *ledgerServer) Await(ctx context.Context, call *ledgerpb.AwaitCall) (*ledgerpb.AwaitReply, error) {
	if err := checkLedgerVersion(call.ProtocolVersion); err != nil {
		return nil, err
	}
	key, err := digestFromProto(call.Key)
	if err != nil {
		return nil, twirp.InvalidArgument.Error(err.Error())
	}
	reply, err := s.ledger.HandleAwait(ctx, idempotency.AwaitCall{
		Key:         key,
		Attempt:     idempotency.AttemptID(call.Attempt),
		Incarnation: call.Incarnation,
	})
	if err != nil {
		return nil, twirp.DeadlineExceeded.Error(err.Error())
	}
	return &ledgerpb.AwaitReply{Verdict: string(reply.Verdict), Record: recordToProto(reply.Record)}, nil
}

// checkLedgerVersion returns an error for a message of a newer protocol version, which this build could
// misread. The error names both versions.
func checkLedgerVersion(version int32) error {
	if version <= ledgerProtocolVersion {
		return nil
	}
	return twirp.FailedPrecondition.Error(
		fmt.Sprintf("ledger protocol version %d is newer than %d", version, ledgerProtocolVersion))
}
