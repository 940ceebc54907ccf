package entry

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/health"
	"github.com/azurebarrow/azurebarrow/membership"
)

// Kinds of notices by which entries share the deaths charged to requests. The subject is the
// fingerprint; that of a charge has the target after a slash.
const (
	noticeDeath   membership.NoticeKind = "request-killed-target"
	noticeCleared membership.NoticeKind = "request-cleared"
)

// sharedSuspects keeps the deaths charged to fingerprints and tells the other entries of them, so that
// a request which kills its targets is refused at every entry, and the loss of many targets at once is
// seen as what it is. It implements generation.Suspects and is safe for concurrent use.
type sharedSuspects struct {
	deaths    *health.Deaths
	places    *generation.Places
	broadcast func(membership.Notice)
	// version orders the notices of this entry.
	version atomic.Uint64
}

func newSharedSuspects() *sharedSuspects {
	s := &sharedSuspects{deaths: health.NewDeaths(), places: generation.NewPlaces()}
	s.version.Store(uint64(time.Now().UnixNano()))
	return s
}

// Charge implements generation.Suspects.
func (s *sharedSuspects) Charge(_ context.Context, fingerprint, target string) {
	s.deaths.Charge(fingerprint, target, time.Now())
	s.broadcast(membership.Notice{Kind: noticeDeath, Subject: fingerprint + "/" + target, Version: s.version.Add(1)})
}

// Clear implements generation.Suspects.
func (s *sharedSuspects) Clear(_ context.Context, fingerprint string) {
	s.deaths.Clear(fingerprint)
	s.broadcast(membership.Notice{Kind: noticeCleared, Subject: fingerprint, Version: s.version.Add(1)})
}

// take takes in a notice of another entry; those of this one come back and change nothing.
func (s *sharedSuspects) take(notice membership.Notice) {
	switch notice.Kind {
	case noticeDeath:
		if fingerprint, target, found := strings.Cut(notice.Subject, "/"); found {
			s.deaths.Charge(fingerprint, target, time.Now())
		}
	case noticeCleared:
		s.deaths.Clear(notice.Subject)
	}
}

// Deaths implements generation.Suspects.
func (s *sharedSuspects) Deaths(fingerprint string) int {
	return s.deaths.Count(fingerprint, time.Now())
}

// Isolate implements generation.Suspects.
func (s *sharedSuspects) Isolate(_ context.Context, deployment, holder string, hold time.Duration) bool {
	return s.places.Take(deployment, holder, time.Now().Add(hold), time.Now())
}

// Release implements generation.Suspects.
func (s *sharedSuspects) Release(_ context.Context, deployment, holder string) {
	s.places.Release(deployment, holder)
}
