package peermembership

import (
	"context"
	"errors"
	"net/http"

	"github.com/twitchtv/twirp"

	rpc "github.com/azurebarrow/azurebarrow/adapters/peertwirp/membershiprpc"
	"github.com/azurebarrow/azurebarrow/membership"
)

// Member handles the probes of other entries; *membership.Manager implements it.
type ProbeHandler interface {
	HandleProbe(ctx context.Context, message membership.Message) (membership.Message, error)
	HandleProbeVia(ctx context.Context, peer membership.Peer, message membership.Message) (membership.Message, error)
}

// NewHandler returns the HTTP handler of probes and the path prefix at which to mount it.
func NewHandler(member ProbeHandler) (prefix string, handler http.Handler) {
	server := rpc.NewMembershipServer(&service{member})
	return server.PathPrefix(), server
}

type service struct{ member ProbeHandler }

// Probe implements the Twirp service.
func (s *service) Probe(ctx context.Context, wire *rpc.Message) (*rpc.Message, error) {
	answer, err := s.member.HandleProbe(ctx, messageFromWire(wire))
	if err != nil {
		return nil, twirpError(err)
	}
	return messageToWire(answer), nil
}

// ProbeVia implements the Twirp service.
func (s *service) ProbeVia(ctx context.Context, request *rpc.ProbeViaRequest) (*rpc.Message, error) {
	peer := peerFromWire(request.GetPeer())
	answer, err := s.member.HandleProbeVia(ctx, peer, messageFromWire(request.GetMessage()))
	if err != nil {
		return nil, twirpError(err)
	}
	return messageToWire(answer), nil
}

func twirpError(err error) error {
	var protocolError *membership.ProtocolError
	if errors.As(err, &protocolError) {
		return twirp.FailedPrecondition.Error(err.Error())
	}
	return twirp.Unavailable.Error(err.Error())
}
