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

// Kinds of the notices by which entries share the crashes recorded against request fingerprints. The
// subject of noticeCleared is the fingerprint; that of noticeCrash is "fingerprint/target".
const (
	noticeCrash   membership.NoticeKind = "request-killed-target"
	noticeCleared membership.NoticeKind = "request-cleared"
)

// sharedCrashRecords records target crashes against request fingerprints and broadcasts the records to
// the peers. Every entry can then refuse a poison request, and can recognise a mass failure, of which
// each entry sees only some of the crashes. It implements generation.CrashRecords and is safe for
// concurrent use.
type sharedCrashRecords struct {
	crashes        *health.Crashes
	isolationSlots *generation.IsolationSlots
	broadcast      func(membership.Notice)
	log            func(event string, fields ...generation.Field)
	// version is the version of this entry's last notice; it orders the notices.
	version atomic.Uint64
}

func newSharedCrashRecords(log func(event string, fields ...generation.Field)) *sharedCrashRecords {
	s := &sharedCrashRecords{crashes: health.NewCrashes(), isolationSlots: generation.NewIsolationSlots(), log: log}
	s.version.Store(uint64(time.Now().UnixNano()))
	return s
}

// RecordCrash implements generation.CrashRecords.
func (s *sharedCrashRecords) RecordCrash(_ context.Context, fingerprint, target string) {
	s.record(fingerprint, target)
	s.broadcast(membership.Notice{Kind: noticeCrash, Subject: fingerprint + "/" + target, Version: s.version.Add(1)})
}

// ClearCrashes implements generation.CrashRecords.
func (s *sharedCrashRecords) ClearCrashes(_ context.Context, fingerprint string) {
	s.crashes.Discard(fingerprint)
	s.broadcast(membership.Notice{Kind: noticeCleared, Subject: fingerprint, Version: s.version.Add(1)})
}

// receive applies a notice. This entry also receives its own notices, which change nothing.
func (s *sharedCrashRecords) receive(notice membership.Notice) {
	switch notice.Kind {
	case noticeCrash:
		if fingerprint, target, found := strings.Cut(notice.Subject, "/"); found {
			s.record(fingerprint, target)
			s.log("crash-notice", generation.Field{Key: "fingerprint", Value: fingerprint}, generation.Field{Key: "target", Value: target},
				generation.Field{Key: "version", Value: notice.Version}, generation.Field{Key: "crashes", Value: s.Crashes(fingerprint)})
		}
	case noticeCleared:
		s.crashes.Discard(notice.Subject)
		s.log("crashes-cleared", generation.Field{Key: "fingerprint", Value: notice.Subject}, generation.Field{Key: "version", Value: notice.Version})
	}
}

func (s *sharedCrashRecords) record(fingerprint, target string) {
	if excused := s.crashes.Record(fingerprint, target, time.Now()); excused > 0 {
		s.log("crashes-excused", generation.Field{Key: "reason", Value: "mass failure"}, generation.Field{Key: "target", Value: target},
			generation.Field{Key: "fingerprints", Value: excused})
	}
}

// Crashes implements generation.CrashRecords.
func (s *sharedCrashRecords) Crashes(fingerprint string) int {
	return s.crashes.Count(fingerprint, time.Now())
}

// AcquireIsolation implements generation.CrashRecords.
func (s *sharedCrashRecords) AcquireIsolation(_ context.Context, deployment, holder string, hold time.Duration) bool {
	return s.isolationSlots.Acquire(deployment, holder, time.Now().Add(hold), time.Now())
}

// ReleaseIsolation implements generation.CrashRecords.
func (s *sharedCrashRecords) ReleaseIsolation(_ context.Context, deployment, holder string) {
	s.isolationSlots.Release(deployment, holder)
}
