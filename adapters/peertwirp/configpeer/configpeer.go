// Package configpeer carries configuration between entries by twirp. config.pb.go and
// config.twirp.go are generated from config.proto; see the Makefile's target proto.
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
	// protocolVersion is raised when a message changes so that older entries would misread it.
	protocolVersion = 1
	// callSlack is how much longer than its wait a call may take.
	callSlack = 2 * time.Second
	// longestWait bounds what a peer may ask this entry to wait.
	longestWait = time.Minute
)

// checkProtocolVersion refuses a message of a later protocol by name.
func checkProtocolVersion(version uint32) error {
	if version <= protocolVersion {
		return nil
	}
	message := fmt.Sprintf("protocol version %d is not known here, the newest is %d", version, protocolVersion)
	return twirp.NewError(twirp.FailedPrecondition, message)
}

// Client implements config.Peers and control.Reporter.
type Client struct {
	http    *http.Client
	mu      sync.Mutex
	clients map[string]Configuration
}

// NewClient returns a Client that calls peers through the given HTTP client.
func NewClient(client *http.Client) *Client {
	return &Client{http: client, clients: map[string]Configuration{}}
}

func (c *Client) to(peer membership.Peer) Configuration {
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
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	request := &FollowRequest{ProtocolVersion: protocolVersion, WaitMs: wait.Milliseconds()}
	for _, position := range positions {
		request.Positions = append(request.Positions, &Position{Kind: position.Kind, Revision: position.Revision})
	}
	reply, err := c.to(peer).Follow(ctx, request)
	if err != nil {
		return config.Update{}, err
	}
	return updateOf(reply), nil
}

// Report returns the revision up to which the peer has its configuration in force; ready is false
// when it has none.
func (c *Client) Report(ctx context.Context, peer membership.Peer) (revision int64, ready bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	reply, err := c.to(peer).Report(ctx, &ReportRequest{ProtocolVersion: protocolVersion})
	if err != nil {
		return 0, false, err
	}
	return reply.Revision, reply.Ready, nil
}

// Server answers peers from a config.Manager.
type Server struct {
	manager *config.Manager
}

// NewHandler returns the HTTP handler of the service and the path prefix to mount it at.
func NewHandler(manager *config.Manager) (pathPrefix string, handler http.Handler) {
	server := NewConfigurationServer(&Server{manager: manager})
	return server.PathPrefix(), server
}

// Follow implements Configuration.
func (s *Server) Follow(ctx context.Context, request *FollowRequest) (*FollowReply, error) {
	if err := checkProtocolVersion(request.ProtocolVersion); err != nil {
		return nil, err
	}
	wait := min(time.Duration(request.WaitMs)*time.Millisecond, longestWait)
	positions := make([]config.Position, len(request.Positions))
	for i, position := range request.Positions {
		positions[i] = config.Position{Kind: position.GetKind(), Revision: position.GetRevision()}
	}
	return replyOf(s.manager.Follow(ctx, positions, wait)), nil
}

// Report implements Configuration.
func (s *Server) Report(_ context.Context, request *ReportRequest) (*ReportReply, error) {
	if err := checkProtocolVersion(request.ProtocolVersion); err != nil {
		return nil, err
	}
	return &ReportReply{Ready: s.manager.Ready(), Revision: s.manager.KnownRevision()}, nil
}
