// Package configpeer lets an entry follow the configuration of other entries over Twirp. config.pb.go and
// config.twirp.go are generated from config.proto by make proto.
package configpeer

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/membership"
)

const (
	// protocolVersion is increased when a message changes in a way that older entries would misread.
	protocolVersion = 1
	// callTimeout limits a call. A call of Follow may take longer by the wait that it requests.
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
type Client struct {
	http    *http.Client
	mu      sync.Mutex
	clients map[string]Configuration
}

// NewClient returns a Client that calls peers through the given HTTP client.
func NewClient(client *http.Client) *Client {
	return &Client{http: client, clients: map[string]Configuration{}}
}

func (c *Client) clientFor(peer membership.Peer) Configuration {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[peer.Address]
	if !ok {
		client = NewConfigurationProtobufClient("http://"+peer.Address, c.http)
		c.clients[peer.Address] = client
	}
	return client
}

// Follow implements config.Peers.
func (c *Client) Follow(ctx context.Context, peer membership.Peer, positions []config.Position, wait time.Duration) (config.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	request := &FollowRequest{ProtocolVersion: protocolVersion, WaitMs: wait.Milliseconds()}
	for _, position := range positions {
		request.Positions = append(request.Positions, &Position{Kind: position.Kind, Revision: position.Revision})
	}
	reply, err := c.clientFor(peer).Follow(ctx, request)
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
	reply, err := c.clientFor(peer).Report(ctx, &ReportRequest{ProtocolVersion: protocolVersion})
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
