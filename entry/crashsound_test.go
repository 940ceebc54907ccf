package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// soundCase is a failure of targets that no call causes.
type soundCase struct {
	name string
	// fail brings the failure about; it runs while sound calls are sent.
	fail func(f *crashFleet)
}

// crashDesks crashes the first targets of plain calls, a pause apart.
func (f *crashFleet) crashDesks(count int, pause time.Duration) {
	for i := range count {
		f.mu.Lock()
		desk := f.desks[i]
		f.mu.Unlock()
		f.crashDesk(desk, "outside")
		time.Sleep(pause)
	}
}

var soundCases = []soundCase{
	{"one_target_lost", func(f *crashFleet) { f.crashDesks(1, 0) }},
	{"all_targets_lost_at_once", func(f *crashFleet) { f.crashDesks(modelDesks, 0) }},
	{"all_targets_lost_in_turn", func(f *crashFleet) { f.crashDesks(modelDesks, 80*time.Millisecond) }},
	{"targets_break_connections", func(f *crashFleet) { f.breakConnections(0.45) }},
	{"targets_break_all_connections", func(f *crashFleet) { f.breakConnections(1) }},
}

// breakConnections has all targets of plain calls break a share of the connections for a while; they don't crash.
func (f *crashFleet) breakConnections(share float64) {
	f.setBrokenShare(share)
	time.Sleep(2 * time.Second)
	f.setBrokenShare(0)
}

func (f *crashFleet) setBrokenShare(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.brokenShare = share
}

// Guards against the refusal of calls that were merely there when targets failed: one that comes often, in flight at
// every target, and many that come a few times.
func TestSoundCallsAreNotRefusedWhenTargetsFail(t *testing.T) {
	const rounds = 3
	for _, size := range []int{8, 59, 76} {
		for _, each := range soundCases {
			t.Run(fmt.Sprintf("%d_entries/%s", size, each.name), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					ctx, cancel := context.WithCancel(t.Context())
					f := newCrashFleet(ctx, size)
					ignore := func(time.Time, bool) {}
					for _, kind := range callKinds {
						go f.generateCalls(kind, 200, func(int) (string, string) { return "popular " + kind.name, "" }, ignore)
						go f.generateCalls(kind, 20, func(number int) (string, string) { return fmt.Sprint(kind.name, number/12), "" }, ignore)
					}
					time.Sleep(modelHistoryTime)
					for range rounds {
						each.fail(f)
						time.Sleep(2 * modelRestart)
					}
					cancel()
					time.Sleep(time.Minute) // until all goroutines have ended
					f.mu.Lock()
					defer f.mu.Unlock()
					t.Logf("sound calls refused: %v", f.soundRefused)
					is.Equal(len(f.soundRefused), 0)
				})
			})
		}
	}
}
