package entry

import (
	"context"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/streamversion"
)

// sharedVersions shares the versions that began streams among the entries. It implements generation.StreamVersions.
type sharedVersions struct{ *streamversion.Manager }

// ShareVersion implements generation.StreamVersions. A stream keeps the name under which it began.
func (s sharedVersions) ShareVersion(ctx context.Context, request *generation.RelayRequest, version string) (peers int) {
	return s.Share(ctx, streamversion.Record{Stream: streamOf(request), Customer: request.Customer, Version: version})
}

// FindVersion implements generation.StreamVersions.
func (s sharedVersions) FindVersion(ctx context.Context, request *generation.RelayRequest) (version string, found bool) {
	record, found := s.Find(ctx, request.Resumes)
	if !found || record.Customer != request.Customer {
		return "", false
	}
	return record.Version, true
}

// streamOf returns the ID of the request that brought the first event of the request's stream.
func streamOf(request *generation.RelayRequest) string {
	if request.LastEvent >= 0 && request.Resumes != "" {
		return request.Resumes
	}
	return request.ID
}
