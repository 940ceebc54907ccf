// Package retrypeer reports the use of the shared retry budget to the entry that adds it up, over Twirp.
// retry.pb.go and retry.twirp.go are generated from retry.proto by make proto.
package retrypeer

import (
	"context"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/azurebarrow/azurebarrow/admission"
	"github.com/azurebarrow/azurebarrow/membership"
)

// Client sends this entry's use of the retry budget. It implements admission.RetryPeers.
type Client struct{ http HTTPClient }

// NewClient returns a Client that sends its requests through client.
func NewClient(client HTTPClient) *Client { return &Client{http: client} }

// Report implements admission.RetryPeers.
func (c *Client) Report(ctx context.Context, peer membership.Peer, entry string, uses []admission.RetryUse) ([]admission.RetryUse, error) {
	client := NewRetryProtobufClient("http://"+peer.Address, c.http)
	answer, err := client.Report(ctx, &ReportRequest{Entry: entry, Uses: usesToWire(uses)})
	if err != nil {
		return nil, merry.Prependf(err, "retry use at %s", peer.Address)
	}
	return usesFromWire(answer.GetTotals()), nil
}

func usesToWire(uses []admission.RetryUse) []*Use {
	list := make([]*Use, 0, len(uses))
	for _, use := range uses {
		list = append(list, &Use{Service: use.Service, Requests: int64(use.Requests), Sends: int64(use.Retries)})
	}
	return list
}

func usesFromWire(wire []*Use) []admission.RetryUse {
	uses := make([]admission.RetryUse, 0, len(wire))
	for _, use := range wire {
		uses = append(uses, admission.RetryUse{
			Service: use.GetService(), Requests: int(use.GetRequests()), Retries: int(use.GetSends()),
		})
	}
	return uses
}

// server adds the reports of other entries to totals. It implements Retry.
type server struct{ totals *admission.RetryTotals }

// NewHandler returns the path prefix and the HTTP handler that receive the reports of other entries.
func NewHandler(totals *admission.RetryTotals) (string, http.Handler) {
	handler := NewRetryServer(&server{totals: totals})
	return handler.PathPrefix(), handler
}

// Report implements Retry.
func (s *server) Report(_ context.Context, request *ReportRequest) (*ReportResponse, error) {
	totals := s.totals.Report(request.GetEntry(), usesFromWire(request.GetUses()), time.Now())
	return &ReportResponse{Totals: usesToWire(totals)}, nil
}
