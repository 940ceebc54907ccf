// Package usagepeer asks entries over Twirp whether their streams use given weights, so that weights in use
// are not unloaded. usage.pb.go and usage.twirp.go are generated from usage.proto by make proto.
package usagepeer

import (
	"context"
	"fmt"
	"net/http"

	"github.com/twitchtv/twirp"

	"github.com/azurebarrow/azurebarrow/control"
	"github.com/azurebarrow/azurebarrow/membership"
)

// protocolVersion is increased when a message changes in a way that older entries would misread.
const protocolVersion = 1

// Local reports whether a stream of this entry uses the weights.
type LocalUsage func(weights control.Weights) bool

// Client asks entries whether weights are in use. It implements control.Usage.
type Client struct {
	self  string
	local LocalUsage
	http  *http.Client
}

// NewClient returns a Client that calls other entries through the given HTTP client. For the entry named
// self, it calls local instead.
func NewClient(self string, local LocalUsage, client *http.Client) *Client {
	return &Client{self: self, local: local, http: client}
}

// InUse implements control.Usage.
func (c *Client) WeightsInUse(ctx context.Context, peer membership.Peer, weights control.Weights) (bool, error) {
	if peer.Name == c.self {
		return c.local(weights), nil
	}
	reply, err := NewUsageProtobufClient("http://"+peer.Address, c.http).InUse(ctx, &InUseRequest{
		ProtocolVersion: protocolVersion,
		Model:           weights.Model,
		Version:         weights.Version,
		Adapter:         weights.Adapter,
	})
	if err != nil {
		return false, err
	}
	return reply.InUse, nil
}

// Server answers the requests of other entries. It implements Usage.
type Server struct {
	local LocalUsage
}

// NewHandler returns the HTTP handler of the service and the path prefix at which to mount it.
func NewHandler(local LocalUsage) (pathPrefix string, handler http.Handler) {
	server := NewUsageServer(&Server{local: local})
	return server.PathPrefix(), server
}

// InUse implements Usage.
func (s *Server) InUse(_ context.Context, request *InUseRequest) (*InUseReply, error) {
	if request.ProtocolVersion > protocolVersion {
		message := fmt.Sprintf("protocol version %d is not known here, the newest is %d", request.ProtocolVersion, protocolVersion)
		return nil, twirp.NewError(twirp.FailedPrecondition, message)
	}
	weights := control.Weights{Model: request.Model, Version: request.Version, Adapter: request.Adapter}
	return &InUseReply{InUse: s.local(weights)}, nil
}
