// Package leavingpeer exchanges reports of draining targets between entries over Twirp. The protocol calls a
// report a word. leaving.pb.go and leaving.twirp.go are generated from leaving.proto by make proto.
package leavingpeer

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/azurebarrow/azurebarrow/draining"
	"github.com/azurebarrow/azurebarrow/membership"
)

// protocolVersion is increased when a message changes in a way that older entries would misread.
const protocolVersion = 1

// Client exchanges reports with other entries. It implements draining.Peers.
type Client struct {
	http    *http.Client
	mu      sync.Mutex
	clients map[string]Leaving
}

// NewClient returns a Client that calls peers through the given HTTP client.
func NewClient(client *http.Client) *Client {
	return &Client{http: client, clients: map[string]Leaving{}}
}

func (c *Client) clientFor(peer membership.Peer) Leaving {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[peer.Address]
	if !ok {
		client = NewLeavingProtobufClient("http://"+peer.Address, c.http)
		c.clients[peer.Address] = client
	}
	return client
}

// Exchange implements draining.Peers.
func (c *Client) Exchange(ctx context.Context, peer membership.Peer, reports []draining.Report) ([]draining.Report, error) {
	request := &ExchangeRequest{ProtocolVersion: protocolVersion, Words: reportsToWire(reports, time.Now())}
	reply, err := c.clientFor(peer).Exchange(ctx, request)
	if err != nil {
		return nil, err
	}
	return reportsFromWire(reply.Words, time.Now()), nil
}

// Server answers other entries through a draining.Watcher. It implements Leaving.
type Server struct{ watcher *draining.Watcher }

// NewHandler returns the HTTP handler of the service and the path prefix at which to mount it.
func NewHandler(watcher *draining.Watcher) (pathPrefix string, handler http.Handler) {
	server := NewLeavingServer(&Server{watcher: watcher})
	return server.PathPrefix(), server
}

// Exchange implements Leaving.
func (s *Server) Exchange(_ context.Context, request *ExchangeRequest) (*ExchangeReply, error) {
	if request.ProtocolVersion > protocolVersion {
		message := fmt.Sprintf("protocol version %d is not known here, the newest is %d", request.ProtocolVersion, protocolVersion)
		return nil, twirp.NewError(twirp.FailedPrecondition, message)
	}
	now := time.Now()
	answer := s.watcher.AnswerExchange("peer", reportsFromWire(request.Words, now))
	return &ExchangeReply{Words: reportsToWire(answer, now)}, nil
}

// reportsToWire converts instants to durations from now, because the clocks of two entries differ.
func reportsToWire(reports []draining.Report, now time.Time) []*Word {
	messages := make([]*Word, 0, len(reports))
	for _, report := range reports {
		message := &Word{
			Target:      report.Target,
			Address:     report.Address,
			Incarnation: report.Incarnation,
			Source:      string(report.Source),
			ValidMs:     report.ValidUntil.Sub(now).Milliseconds(),
		}
		if !report.Deadline.IsZero() {
			message.LeaveInMs = max(1, report.Deadline.Sub(now).Milliseconds()) // 0 means that it is unknown
		}
		messages = append(messages, message)
	}
	return messages
}

func reportsFromWire(messages []*Word, now time.Time) []draining.Report {
	reports := make([]draining.Report, 0, len(messages))
	for _, message := range messages {
		report := draining.Report{
			Target:      message.GetTarget(),
			Address:     message.GetAddress(),
			Incarnation: message.GetIncarnation(),
			Source:      draining.Source(message.GetSource()),
			ValidUntil:  now.Add(time.Duration(message.GetValidMs()) * time.Millisecond),
		}
		if message.GetLeaveInMs() > 0 {
			report.Deadline = now.Add(time.Duration(message.LeaveInMs) * time.Millisecond)
		}
		reports = append(reports, report)
	}
	return reports
}
