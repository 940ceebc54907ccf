// Package directorypeer lets an entry follow the directory feeds of other entries over Twirp.
// directory.pb.go and directory.twirp.go are generated from directory.proto by make proto.
package directorypeer

import (
	"context"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"
)

// maxWait limits the wait for a change that a peer may request.
const maxWait = 5 * time.Second

// Client reads the feeds of other entries. It implements directory.Peers.
type Client struct{ http HTTPClient }

// NewClient returns a Client that sends its requests through client.
func NewClient(client HTTPClient) *Client { return &Client{http: client} }

// Since implements directory.Peers.
func (c *Client) Since(ctx context.Context, peer membership.Peer, query directory.FeedQuery) ([]directory.Part, error) {
	client := NewDirectoryProtobufClient("http://"+peer.Address, c.http)
	answer, err := client.Since(ctx, &SinceRequest{
		Revisions: query.Revisions, Eras: query.Eras, WaitMilliseconds: query.Wait.Milliseconds(), OnlyChanges: query.OnlyChanges,
	})
	if err != nil {
		return nil, merry.Prependf(err, "directory of %s", peer.Address)
	}
	parts := make([]directory.Part, 0, len(answer.GetParts()))
	for _, part := range answer.GetParts() {
		parts = append(parts, partFromWire(part))
	}
	return parts, nil
}

func partFromWire(wire *Part) directory.Part {
	part := directory.Part{
		Kind:     wire.GetKind(),
		Era:      wire.GetEra(),
		Revision: wire.GetRevision(),
		Full:     wire.GetFull(),
		Age:      time.Duration(wire.GetAgeMilliseconds()) * time.Millisecond,
	}
	for _, object := range wire.GetObjects() {
		part.Objects = append(part.Objects, objects.Object{
			Kind: part.Kind, Name: object.GetName(), Revision: object.GetRevision(),
			Value: object.GetValue(), Deleted: object.GetDeleted(),
		})
	}
	return part
}

// server serves this entry's feed. It implements Directory.
type server struct{ feed *directory.Feed }

// NewHandler returns the path prefix and the HTTP handler that serve feed to other entries. The answers are
// recorded in transfers.
func NewHandler(feed *directory.Feed, transfers *Transfers) (string, http.Handler) {
	handler := NewDirectoryServer(&server{feed: feed})
	return handler.PathPrefix(), transfers.observe(compress(handler))
}

// Since implements Directory.
func (s *server) Since(ctx context.Context, request *SinceRequest) (*SinceResponse, error) {
	query := directory.FeedQuery{
		Revisions:   request.GetRevisions(),
		Eras:        request.GetEras(),
		Wait:        min(time.Duration(request.GetWaitMilliseconds())*time.Millisecond, maxWait),
		OnlyChanges: request.GetOnlyChanges(),
		Compressed:  isCompressed(ctx),
	}
	answer := &SinceResponse{}
	for _, part := range s.feed.Since(ctx, query) {
		answer.Parts = append(answer.Parts, partToWire(part))
	}
	return answer, nil
}

func partToWire(part directory.Part) *Part {
	wire := &Part{Kind: part.Kind, Era: part.Era, Revision: part.Revision, Full: part.Full, AgeMilliseconds: part.Age.Milliseconds()}
	for _, object := range part.Objects {
		wire.Objects = append(wire.Objects, &Object{
			Name: object.Name, Revision: object.Revision, Value: object.Value, Deleted: object.Deleted,
		})
	}
	return wire
}
