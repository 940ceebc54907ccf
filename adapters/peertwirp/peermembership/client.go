package peermembership

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	rpc "github.com/azurebarrow/azurebarrow/adapters/peertwirp/membershiprpc"
	"github.com/azurebarrow/azurebarrow/membership"
)

// idleConnectionTimeout is short because a longer one would not help: with many entries, the next probe of
// the same peer follows only minutes later.
const idleConnectionTimeout = 5 * time.Second

// maxIdleConnections limits the idle connections to all peers. The two successors on the ring, which are
// probed once a second each among two other probes, keep theirs.
const maxIdleConnections = 16

// NewTransport returns an HTTP transport for probes, which are short and sent to many peers.
func NewTransport() *http.Transport {
	// A dial continues after its request has been canceled, and without a timeout for as long as the kernel sends
	// SYNs: two minutes to a peer that drops them.
	dialer := net.Dialer{Timeout: membership.DefaultProbeTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		IdleConnTimeout:     idleConnectionTimeout,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: 1,
	}
}

// Prober sends membership probes over Twirp. It implements membership.Prober.
type Prober struct {
	client rpc.HTTPClient
}

// NewProber returns a Prober that sends its requests through client.
func NewProber(client rpc.HTTPClient) *Prober { return &Prober{client: client} }

func (p *Prober) clientFor(address string) rpc.Membership {
	return rpc.NewMembershipProtobufClient("http://"+address, p.client)
}

// Probe implements membership.Prober.
func (p *Prober) Probe(ctx context.Context, peer membership.Peer, message membership.Message) (membership.Message, error) {
	answer, err := p.clientFor(peer.Address).Probe(ctx, messageToWire(message))
	if err != nil {
		return membership.Message{}, merry.Prependf(err, "probe %s", peer.Address)
	}
	return messageFromWire(answer), nil
}

// ProbeVia implements membership.Prober.
func (p *Prober) ProbeVia(ctx context.Context, via, peer membership.Peer, message membership.Message) (membership.Message, error) {
	request := &rpc.ProbeViaRequest{Peer: peerToWire(peer), Message: messageToWire(message)}
	answer, err := p.clientFor(via.Address).ProbeVia(ctx, request)
	if err != nil {
		return membership.Message{}, merry.Prependf(err, "probe %s through %s", peer.Address, via.Address)
	}
	return messageFromWire(answer), nil
}
