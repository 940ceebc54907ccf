// Package configpeer lets an entry follow the configuration of other entries over Twirp. config.pb.go and
// config.twirp.go are generated from config.proto by make proto.
package configpeer

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/membership"
)

const (
	// protocolVersion is increased when a message changes in a way that older entries would misread.
	protocolVersion = 1
	// callTimeout limits a call of Report. A call of Follow may be silent for as long, and longer before the answer
	// by the wait that it requests.
	callTimeout = 2 * time.Second
	// maxWait limits the wait for a change that a peer may request.
	maxWait = time.Minute
)

// checkProtocolVersion returns an error for a message of a newer protocol version, which this build could
// misread. The error names both versions.
func checkProtocolVersion(version uint32) error {
	if version <= protocolVersion {
		return nil
	}
	message := fmt.Sprintf("protocol version %d is not known here, the newest is %d", version, protocolVersion)
	return twirp.NewError(twirp.FailedPrecondition, message)
}

// Client reads the configuration of other entries. It implements config.Peers and control.Reporter.
type Client struct{ http *http.Client }

// NewClient returns a Client that calls peers through the given HTTP client.
func NewClient(client *http.Client) *Client { return &Client{http: client} }

// Follow implements config.Peers.
func (c *Client) Follow(ctx context.Context, peer membership.Peer, positions []config.Position, wait time.Duration) (config.Update, error) {
	request := &FollowRequest{ProtocolVersion: protocolVersion, WaitMs: wait.Milliseconds()}
	for _, position := range positions {
		request.Positions = append(request.Positions, &Position{Kind: position.Kind, Revision: position.Revision})
	}
	limited := silenceLimiter{http: c.http, firstData: wait + callTimeout, silence: callTimeout}
	reply, err := NewConfigurationProtobufClient("http://"+peer.Address, limited).Follow(ctx, request)
	if err != nil {
		return config.Update{}, err
	}
	return updateFromWire(reply), nil
}

// Report implements control.Reporter. It returns the revision up to which the peer has its configuration in
// force; ready is false if the peer has none.
func (c *Client) Report(ctx context.Context, peer membership.Peer) (revision int64, ready bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := NewConfigurationProtobufClient("http://"+peer.Address, c.http).Report(ctx, &ReportRequest{ProtocolVersion: protocolVersion})
	if err != nil {
		return 0, false, err
	}
	return reply.Revision, reply.Ready, nil
}

// Server serves the configuration of a config.Manager to other entries. It implements Configuration.
type Server struct {
	manager *config.Manager
}

// NewHandler returns the HTTP handler of the service and the path prefix at which to mount it.
func NewHandler(manager *config.Manager) (pathPrefix string, handler http.Handler) {
	server := NewConfigurationServer(&Server{manager: manager})
	return server.PathPrefix(), server
}

// Follow implements Configuration.
func (s *Server) Follow(ctx context.Context, request *FollowRequest) (*FollowReply, error) {
	if err := checkProtocolVersion(request.ProtocolVersion); err != nil {
		return nil, err
	}
	wait := min(time.Duration(request.WaitMs)*time.Millisecond, maxWait)
	positions := make([]config.Position, len(request.Positions))
	for i, position := range request.Positions {
		positions[i] = config.Position{Kind: position.GetKind(), Revision: position.GetRevision()}
	}
	return updateToWire(s.manager.Follow(ctx, positions, wait)), nil
}

// Report implements Configuration.
func (s *Server) Report(_ context.Context, request *ReportRequest) (*ReportReply, error) {
	if err := checkProtocolVersion(request.ProtocolVersion); err != nil {
		return nil, err
	}
	return &ReportReply{Ready: s.manager.Ready(), Revision: s.manager.KnownRevision()}, nil
}
