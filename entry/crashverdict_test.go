package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/health"
	"github.com/azurebarrow/azurebarrow/membership"
)

// startedAfterVerdict restarts the entry of index 1 a minute after something happened at another one, and returns it.
func (f *crashFleet) startedAfterVerdict(happen func(e *fleetEntry)) *fleetEntry {
	time.Sleep(modelHistoryTime)
	happen(f.order[len(f.order)/2])
	time.Sleep(time.Minute)
	f.order[1].stop()
	f.startEntry(1)
	time.Sleep(stableWindow)
	return f.order[1]
}

// crashThrice records crashes of three targets under one call.
func crashThrice(records *sharedCrashRecords, fingerprint string) {
	for i := range evidenceCallCrashes {
		records.recordConfirmed(health.Work{Fingerprint: fingerprint, Call: true}, health.CrashedTarget{ID: fmt.Sprint("t", i)})
	}
}

// Guards against entries that let a call through because they were not there when its targets crashed.
func TestEntryThatStartsAfterTheCrashesRefusesTheCall(t *testing.T) {
	for _, size := range []int{8, 59, 76} {
		t.Run(fmt.Sprintf("%d_entries", size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				f := newCrashFleet(ctx, size)
				started := f.startedAfterVerdict(func(e *fleetEntry) { crashThrice(e.records, "bad call") })
				refused := started.records.Judge(health.Work{Fingerprint: "bad call"}).Refused
				cancel()
				time.Sleep(time.Minute) // until all goroutines have ended
				is.True(refused)
			})
		})
	}
}

// Guards against a refusal that outlasts its reason: one entry tries the call again, and its answer allows it everywhere.
func TestRefusedCallIsAllowedOnceATargetAnswersIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		entries := newConnectedRecords(4)
		for i, entry := range entries {
			entry.isFirst = func(string) bool { return i == 2 }
		}
		crashThrice(entries[0], "f")
		work := health.Work{Fingerprint: "f"}
		for _, entry := range entries {
			is.True(entry.Judge(work).Refused)
		}
		time.Sleep(31 * time.Second)
		is.True(entries[0].Judge(work).Refused) // another entry tries it
		is.True(entries[2].Judge(work).Trial)
		is.True(entries[2].Judge(work).Refused) // one try at a time
		entries[2].RecordWholeAnswer(work)
		for _, entry := range entries {
			is.True(!entry.Judge(work).Refused)
		}
	})
}

// Guards against a call that keeps crashing targets since it is tried again and again: the users' bound is three.
func TestRefusedCallIsTriedThreeTimesAtMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		entries := newConnectedRecords(1)
		crashThrice(entries[0], "f")
		tried := 0
		for range 24 * 60 {
			time.Sleep(time.Minute)
			if entries[0].Judge(health.Work{Fingerprint: "f"}).Trial {
				tried++
				entries[0].recordConfirmed(health.Work{Fingerprint: "f", Call: true}, health.CrashedTarget{ID: fmt.Sprint("later", tried)})
			}
		}
		is.Equal(tried, maxLateCalls)
	})
}

// Guards against a verdict that overtakes its evidence, so that entries which know the call as sound can't object to it.
func TestCallThatAnotherEntryKnowsAsSoundIsAllowedEverywhere(t *testing.T) {
	is := is.New(t)
	entries := newConnectedRecords(3)
	entries[1].RecordWholeAnswer(health.Work{Fingerprint: "f"})
	deliver := entries[0].broadcast
	entries[0].broadcast = func(notice membership.Notice) {
		if notice.Kind != noticeCrash {
			deliver(notice)
		}
	}
	crashThrice(entries[0], "f")
	for _, entry := range entries {
		is.True(!entry.Judge(health.Work{Fingerprint: "f"}).Refused)
	}
}

func TestOperatorAllowsARefusedCallAtEveryEntry(t *testing.T) {
	is := is.New(t)
	entries := newConnectedRecords(4)
	crashThrice(entries[0], "f")
	is.True(entries[2].allow("request:f"))
	for _, entry := range entries {
		is.True(!entry.Judge(health.Work{Fingerprint: "f"}).Refused)
	}
}

// Guards against evidence that is lost with the entry that saw it: the next crash completes it.
func TestCallIsRefusedAfterOneMoreCrashWhenAnEntryDiesWithTheThird(t *testing.T) {
	is := is.New(t)
	entries := newConnectedRecords(4)
	deliver := entries[3].broadcast
	for i := range evidenceCallCrashes {
		if i == evidenceCallCrashes-1 {
			entries[3].broadcast = func(membership.Notice) {}
		}
		entries[3].recordConfirmed(health.Work{Fingerprint: "f", Call: true}, health.CrashedTarget{ID: fmt.Sprint("t", i)})
	}
	is.True(!entries[0].Judge(health.Work{Fingerprint: "f"}).Refused)
	entries[3].broadcast = deliver
	entries[0].recordConfirmed(health.Work{Fingerprint: "f", Call: true}, health.CrashedTarget{ID: "t9"})
	for _, entry := range entries[:3] {
		is.True(entry.Judge(health.Work{Fingerprint: "f"}).Refused)
	}
}
