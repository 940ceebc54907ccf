package directory

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against calls to the store that grow with the fleet beyond one for each entry: a large configuration is read from the
// store by all, and targets, which change meanwhile, by the watchers only.
func TestFollowersReadOnlyTheConfigurationOfALargeChangeFromTheStore(t *testing.T) {
	const (
		changeBytesPerMs = linkBytesPerMs * 60 / 100 // entry.watchLinkShare
		lasts            = 4 * time.Second
		targetInterval   = 500 * time.Millisecond
		// maxCallsPerFollower allows for the call that brings the change, and for one that begins as it has arrived.
		maxCallsPerFollower = 2
	)
	for _, entries := range []int{30, 76, 195, 300} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newModelStore()
				store.changeBytesPerMs = changeBytesPerMs
				fleet, stop := startFleetOf(t.Context(), entries, store, func(int) bool { return false })
				defer stop()
				time.Sleep(5 * time.Second)
				is.Equal(fleet.entriesAt(1), entries)
				play := func() map[string]int {
					store.takeCalls()
					for number := range int(lasts / targetInterval) {
						time.Sleep(targetInterval)
						store.replaceTarget(number)
					}
					synctest.Wait()
					return store.takeCalls()
				}
				quiet := play()
				store.configure(2, largeConfigBytes)
				busy := play()
				is.Equal(fleet.countedCalls(), store.taken)
				is.Equal(fleet.entriesAt(2), entries)
				watchers := fleet.readerCount()
				t.Logf("%d entries, %d watchers; calls in %v: quiet %v, with a large change %v", entries, watchers, lasts, quiet, busy)
				is.True(busy[KindTarget] <= quiet[KindTarget]+watchers)
				is.True(busy[KindConfiguration]-quiet[KindConfiguration] <= maxCallsPerFollower*entries)
			})
		})
	}
}

// countedCalls returns the calls that the entries counted, by kind of objects.
func (f *modelFleet) countedCalls() map[string]int {
	counted := map[string]int{}
	for _, manager := range f.managers {
		for class, count := range manager.StoreCalls() {
			kind, _, _ := strings.Cut(class, "_")
			counted[kind] += int(count())
		}
	}
	return counted
}

// Guards against followers that read the store although a peer knows what changed: its calls then grow with the fleet.
func TestFollowersLeaveTheStoreToItsReaders(t *testing.T) {
	const (
		lasts = 4 * time.Second
		// maxCallsPerReader allows each reader one more list, and watches that end early as something changes.
		maxCallsPerReader = 12
	)
	occasions := []struct {
		name string
		play func(store *modelStore)
	}{
		{"quiet", func(*modelStore) {}},
		{"history lost", func(store *modelStore) { store.loseHistory() }},
	}
	for _, entries := range []int{30, 76, 195, 300} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				store := newModelStore()
				fleet, stop := startFleetOf(t.Context(), entries, store, func(int) bool { return false })
				defer stop()
				time.Sleep(5 * time.Second)
				quiet := map[string]int{}
				for _, occasion := range occasions {
					synctest.Wait()
					store.takeCalls()
					occasion.play(store)
					time.Sleep(lasts)
					synctest.Wait()
					calls := store.takeCalls()
					t.Logf("%d entries, %s: calls %v", entries, occasion.name, calls)
					if occasion.name == "quiet" {
						quiet = calls
					}
					for kind, count := range calls {
						is.True(count-quiet[kind] <= maxCallsPerReader*fleet.readerCount())
					}
				}
			})
		})
	}
}

// readerCount returns the number of entries that read the store for the others.
func (f *modelFleet) readerCount() int {
	count := 0
	for _, self := range f.live {
		if _, isWatcher := watchersOf(self, f.live); isWatcher {
			count++
		}
	}
	return count
}
