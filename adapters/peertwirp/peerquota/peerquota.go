// Package peerquota requests and grants quota leases over Twirp. A quota lease is a part of a customer's
// limits that the customer's quota owner, an entry, grants to another entry. The protocol calls the request
// Lend and the entry that makes it the borrower.
package peerquota

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/twitchtv/twirp"

	rpc "github.com/azurebarrow/azurebarrow/adapters/peertwirp/quotarpc"
	"github.com/azurebarrow/azurebarrow/admission"
	"github.com/azurebarrow/azurebarrow/membership"
)

// Client requests grants from quota owners. It implements admission.Lender.
type Client struct {
	client rpc.HTTPClient
}

// NewClient returns a Client that sends its requests through client.
func NewClient(client rpc.HTTPClient) *Client { return &Client{client: client} }

// Lend implements admission.Lender.
func (c *Client) RequestGrants(ctx context.Context, owner membership.Peer, request admission.GrantRequest) ([]admission.Grant, error) {
	service := rpc.NewQuotaProtobufClient("http://"+owner.Address, c.client)
	reply, err := service.Lend(ctx, requestToWire(request))
	if err != nil {
		return nil, merry.Prependf(err, "ask %s for grants", owner.Address)
	}
	return grantsFromWire(reply.GetGrants()), nil
}

// LendHandler handles requests for grants; *admission.Controller implements it.
type GrantRequestHandler interface {
	HandleGrantRequest(request admission.GrantRequest) ([]admission.Grant, error)
}

// NewHandler returns the HTTP handler of requests for grants and the path prefix at which to mount it.
func NewHandler(lendHandler GrantRequestHandler) (prefix string, handler http.Handler) {
	server := rpc.NewQuotaServer(&service{lendHandler})
	return server.PathPrefix(), server
}

type service struct{ handler GrantRequestHandler }

// Lend implements the Twirp service.
func (s *service) Lend(_ context.Context, wire *rpc.LendRequest) (*rpc.LendReply, error) {
	grants, err := s.handler.HandleGrantRequest(requestFromWire(wire))
	if errors.Is(err, admission.ErrNotQuotaOwner) {
		return nil, twirp.FailedPrecondition.Error(err.Error())
	}
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rpc.LendReply{Grants: grantsToWire(grants)}, nil
}

func requestToWire(request admission.GrantRequest) *rpc.LendRequest {
	wire := &rpc.LendRequest{Borrower: request.Entry}
	for _, demand := range request.Demands {
		wire.Demands = append(wire.Demands, &rpc.Demand{
			Customer:        demand.Customer,
			InUse:           int32(demand.InUse),
			Wanted:          int32(demand.Wanted),
			HeldConcurrency: int32(demand.HeldConcurrency),
			WantedRate:      demand.WantedRate,
			HeldRate:        demand.HeldRate,
			HeldForMs:       demand.HeldFor.Milliseconds(),
		})
	}
	return wire
}

func requestFromWire(wire *rpc.LendRequest) admission.GrantRequest {
	request := admission.GrantRequest{Entry: wire.GetBorrower()}
	for _, demand := range wire.GetDemands() {
		request.Demands = append(request.Demands, admission.Demand{
			Customer:        demand.GetCustomer(),
			InUse:           int(demand.GetInUse()),
			Wanted:          int(demand.GetWanted()),
			HeldConcurrency: int(demand.GetHeldConcurrency()),
			WantedRate:      demand.GetWantedRate(),
			HeldRate:        demand.GetHeldRate(),
			HeldFor:         time.Duration(demand.GetHeldForMs()) * time.Millisecond,
		})
	}
	return request
}

func grantsToWire(grants []admission.Grant) []*rpc.Grant {
	wire := make([]*rpc.Grant, len(grants))
	for i, grant := range grants {
		wire[i] = &rpc.Grant{
			Customer:        grant.Customer,
			Concurrency:     int32(grant.Concurrency),
			TokensPerSecond: grant.TokensPerSecond,
			ValidForMs:      grant.ValidFor.Milliseconds(),
		}
	}
	return wire
}

func grantsFromWire(wire []*rpc.Grant) []admission.Grant {
	grants := make([]admission.Grant, len(wire))
	for i, grant := range wire {
		grants[i] = admission.Grant{
			Customer:        grant.GetCustomer(),
			Concurrency:     int(grant.GetConcurrency()),
			TokensPerSecond: grant.GetTokensPerSecond(),
			ValidFor:        time.Duration(grant.GetValidForMs()) * time.Millisecond,
		}
	}
	return grants
}
