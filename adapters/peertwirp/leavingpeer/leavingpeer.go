// Package leavingpeer carries words about leaving targets between entries by twirp. leaving.pb.go
// and leaving.twirp.go are generated from leaving.proto; see the Makefile's target proto.
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

// protocolVersion is raised when a message changes so that older entries would misread it.
const protocolVersion = 1

// Client implements leaving.Peers.
type Client struct {
	http    *http.Client
	mu      sync.Mutex
	clients map[string]Leaving
}

// NewClient returns a Client that calls peers through the given HTTP client.
func NewClient(client *http.Client) *Client {
	return &Client{http: client, clients: map[string]Leaving{}}
}

func (c *Client) to(peer membership.Peer) Leaving {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[peer.Address]
	if !ok {
		client = NewLeavingProtobufClient("http://"+peer.Address, c.http)
		c.clients[peer.Address] = client
	}
	return client
}

// Exchange implements leaving.Peers.
func (c *Client) Exchange(ctx context.Context, peer membership.Peer, words []draining.Report) ([]draining.Report, error) {
	request := &ExchangeRequest{ProtocolVersion: protocolVersion, Words: messagesOf(words, time.Now())}
	reply, err := c.to(peer).Exchange(ctx, request)
	if err != nil {
		return nil, err
	}
	return wordsOf(reply.Words, time.Now()), nil
}

// Server answers peers from a leaving.Tracker and gives their words to a leaving.Watcher.
type Server struct {
	tracker *draining.Tracker
	watcher *draining.Watcher
}

// NewHandler returns the HTTP handler of the service and the path prefix to mount it at.
func NewHandler(tracker *draining.Tracker, watcher *draining.Watcher) (pathPrefix string, handler http.Handler) {
	server := NewLeavingServer(&Server{tracker: tracker, watcher: watcher})
	return server.PathPrefix(), server
}

// Exchange implements Leaving.
func (s *Server) Exchange(_ context.Context, request *ExchangeRequest) (*ExchangeReply, error) {
	if request.ProtocolVersion > protocolVersion {
		message := fmt.Sprintf("protocol version %d is not known here, the newest is %d", request.ProtocolVersion, protocolVersion)
		return nil, twirp.NewError(twirp.FailedPrecondition, message)
	}
	now := time.Now()
	reply := &ExchangeReply{Words: messagesOf(s.tracker.Reports(), now)}
	s.watcher.ReceiveReports("peer", wordsOf(request.Words, now))
	return reply, nil
}

// messagesOf writes times as durations from now: the clocks of two entries differ.
func messagesOf(words []draining.Report, now time.Time) []*Word {
	messages := make([]*Word, 0, len(words))
	for _, word := range words {
		message := &Word{
			Target:      word.Target,
			Address:     word.Address,
			Incarnation: word.Incarnation,
			Source:      string(word.Source),
			ValidMs:     word.ValidUntil.Sub(now).Milliseconds(),
		}
		if !word.Deadline.IsZero() {
			message.LeaveInMs = max(1, word.Deadline.Sub(now).Milliseconds())
		}
		messages = append(messages, message)
	}
	return messages
}

func wordsOf(messages []*Word, now time.Time) []draining.Report {
	words := make([]draining.Report, 0, len(messages))
	for _, message := range messages {
		word := draining.Report{
			Target:      message.GetTarget(),
			Address:     message.GetAddress(),
			Incarnation: message.GetIncarnation(),
			Source:      draining.Source(message.GetSource()),
			ValidUntil:  now.Add(time.Duration(message.GetValidMs()) * time.Millisecond),
		}
		if message.GetLeaveInMs() > 0 {
			word.Deadline = now.Add(time.Duration(message.LeaveInMs) * time.Millisecond)
		}
		words = append(words, word)
	}
	return words
}
