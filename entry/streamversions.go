package entry

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/azurebarrow/azurebarrow/directory"
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
	return s.Find(ctx, request.Service, request.Resumes, request.Customer)
}

// ConfirmOnlyVersion implements generation.StreamVersions.
func (s sharedVersions) ConfirmOnlyVersion(ctx context.Context, request *generation.RelayRequest, version string) bool {
	return s.Confirm(ctx, request.Service, request.Resumes, version)
}

// EndStream implements generation.StreamVersions.
func (s sharedVersions) EndStream(request *generation.RelayRequest, complete bool) {
	s.End(streamOf(request), request.Customer, complete)
}

// observeServing records the versions of the targets that serve streams.
func (e *Entry) observeServing(snapshot *directory.Snapshot) {
	if snapshot.Configuration == nil {
		return
	}
	for service := range snapshot.Configuration.StreamServices() {
		versions := map[string]bool{}
		for _, target := range snapshot.AvailableTargets(service) {
			if !directory.IsProvisionalVersion(target.Version) {
				versions[target.Version] = true
			}
		}
		e.versions.ObserveServing(service, slices.Collect(maps.Keys(versions)))
	}
}

// logStreamVersions logs what the entry learned of the versions that began streams.
func (e *Entry) logStreamVersions(event streamversion.Event) {
	fields := []generation.Field{{Key: "entries", Value: event.Entries}, {Key: "streams", Value: event.Streams}}
	if event.Entry != "" {
		fields = append(fields, generation.Field{Key: "entry", Value: event.Entry})
	}
	for _, service := range slices.Sorted(maps.Keys(event.Serving)) {
		fields = append(fields, generation.Field{Key: "serving", Value: service + " " + strings.Join(event.Serving[service], " ")})
	}
	if event.Err != nil {
		fields = append(fields, generation.Field{Key: "error", Value: event.Err})
	}
	e.log(string(event.Kind), fields...)
}

// streamOf returns the ID of the request that brought the first event of the request's stream.
func streamOf(request *generation.RelayRequest) string {
	if request.LastEvent >= 0 && request.Resumes != "" {
		return request.Resumes
	}
	return request.ID
}
