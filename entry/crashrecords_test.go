package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/health"
	"github.com/azurebarrow/azurebarrow/membership"
)

// newConnectedRecords returns the records of several entries whose notices reach every entry at once,
// including the sender, and twice.
func newConnectedRecords(count int) []*sharedCrashRecords {
	entries := make([]*sharedCrashRecords, count)
	for i := range entries {
		entries[i] = newSharedCrashRecords(func(string, ...generation.Field) {})
		entries[i].broadcast = func(notice membership.Notice) {
			for range 2 {
				for _, entry := range entries {
					entry.receive(notice)
				}
			}
		}
	}
	return entries
}

func TestPoisonRequestIsRefusedAtEveryEntry(t *testing.T) {
	is := is.New(t)
	entries := newConnectedRecords(4)
	entries[0].RecordCrash(health.Work{Fingerprint: "f"}, health.CrashedTarget{ID: "t1"})
	entries[1].RecordCrash(health.Work{Fingerprint: "f"}, health.CrashedTarget{ID: "t2"})
	is.Equal(health.RestrictionFor(entries[3].Crashes("f")), health.RestrictionIsolated)
	entries[2].RecordCrash(health.Work{Fingerprint: "f"}, health.CrashedTarget{ID: "t3"})
	for _, entry := range entries {
		is.Equal(health.RestrictionFor(entry.Crashes("f")), health.RestrictionRefused)
	}
	is.Equal(entries[0].Crashes("other"), 0)
}

func TestCompletedRequestIsClearedAtEveryEntry(t *testing.T) {
	is := is.New(t)
	entries := newConnectedRecords(3)
	entries[0].RecordCrash(health.Work{Fingerprint: "f"}, health.CrashedTarget{ID: "t1"})
	entries[1].RecordAnswer(health.Work{Fingerprint: "f"})
	for _, entry := range entries {
		is.Equal(entry.Crashes("f"), 0)
	}
}

// The failure of an availability zone crashes the targets of many requests at once, and each entry sees
// one of the crashes. This mass failure must not be recorded against the requests.
func TestMassFailureIsNotRecordedAgainstRequests(t *testing.T) {
	is := is.New(t)
	entries := newConnectedRecords(4)
	for i, fingerprint := range []string{"f0", "f1", "f2", "f3"} {
		entries[i].RecordCrash(health.Work{Fingerprint: fingerprint}, health.CrashedTarget{ID: "t" + fingerprint})
	}
	for _, entry := range entries {
		for _, fingerprint := range []string{"f0", "f1", "f2", "f3"} {
			is.Equal(entry.Crashes(fingerprint), 0)
		}
	}
}

func TestOperatorLiftsAVerdictAtEveryEntry(t *testing.T) {
	is := is.New(t)
	entries := newConnectedRecords(4)
	verdict := health.RefusedParts{Parts: []string{"p"}, Targets: 5}
	entries[0].crashes.RefuseParts(verdict.Parts, verdict.Targets, time.Now())
	entries[0].publishVerdict(verdict, true)
	work := health.Work{Fingerprint: "f", SharedParts: []string{"s", "p"}}
	for _, entry := range entries {
		is.True(entry.Judge(work).Refused)
	}
	is.True(!entries[2].allow("s"))
	is.True(entries[2].allow("p"))
	for _, entry := range entries {
		is.True(!entry.Judge(work).Refused)
	}
}
