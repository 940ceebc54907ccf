package directory

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/objects"
)

// copyNow returns a function that brings the store back to its present content. Revisions are given out again.
func (s *modelStore) copyNow() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, configuration, targets := s.revision, s.configuration, slices.Clone(s.targets)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.revision, s.configuration, s.targets = revision, configuration, slices.Clone(targets)
		if s.era > 0 {
			s.era++
		}
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// drainTarget has a target say that it drains.
func (s *modelStore) drainTarget(number int) {
	value, _ := json.Marshal(map[string]any{"Service": "drafts", "Address": fmt.Sprintf("10.0.0.%d:1", number), "StartedMs": 1, "Draining": true})
	s.mu.Lock()
	s.targets[number].Value = value
	s.mu.Unlock()
	s.replaceTarget(number)
}

// removeTarget removes the object of the last target.
func (s *modelStore) removeTarget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	last := &s.targets[len(s.targets)-1]
	last.Revision, last.Deleted = s.revision, true
	close(s.changed)
	s.changed = make(chan struct{})
}

// formerBuild is the store as entries of a former build take it: they believe no lower revision.
type formerBuild struct {
	storeClient
	mu    sync.Mutex
	known int64
}

func (c *formerBuild) List(ctx context.Context, kind string) (objects.List, error) {
	list, err := c.storeClient.List(ctx, kind)
	list.Revision = c.learn(list.Revision)
	return list, err
}

func (c *formerBuild) Watch(ctx context.Context, kind string, after int64, limit time.Duration) (objects.List, error) {
	list, err := c.storeClient.Watch(ctx, kind, after, limit)
	c.learn(list.Revision)
	return list, err
}

func (c *formerBuild) learn(revision int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = max(c.known, revision)
	return c.known
}

// using returns how many entries may send new work to a target.
func (f *modelFleet) using(number int) int {
	id, count := fmt.Sprintf("i-%d", number), 0
	for _, manager := range f.managers {
		if target := manager.Snapshot().Target(id); target != nil && !target.Draining {
			count++
		}
	}
	return count
}

// Guards against what a store that is restored from an older copy does to entries with newer objects: they took nothing more from it
// until its revisions had passed the one that they knew, and the watchers listed it without a pause meanwhile.
func TestKnowledgeOutlivesAStoreFromAnOlderCopy(t *testing.T) {
	const (
		before, after, last = 7, 9, targetsInStore - 1
		drainTime           = 2 * time.Second
		reused              = 40 // revisions that are given out again
		lasts, pollInterval = 5 * time.Second, 20 * time.Millisecond
		// maxCalls is that of an entry in this time: it reads each kind again, and watches until a peer has caught up.
		maxCalls = 30
	)
	for _, each := range []struct {
		entries int
		// mixed has every second entry run a former build.
		mixed bool
	}{{30, false}, {195, false}, {30, true}} {
		entries := each.entries
		t.Run(fmt.Sprintf("%d/mixed=%v", entries, each.mixed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newModelStore()
				store.mixed = each.mixed
				fleet, stop := startFleetOf(t.Context(), entries, store, func(int) bool { return false })
				defer stop()
				time.Sleep(5 * time.Second)
				restore := store.copyNow()
				store.drainTarget(before)
				store.drainTarget(last)
				store.configure(2, 0)
				time.Sleep(drainTime)
				store.removeTarget()
				for number := range reused {
					store.replaceTarget(100 + number)
				}
				time.Sleep(drainTime)
				is.Equal([]int{fleet.entriesAt(2), fleet.using(before), fleet.using(last)}, []int{entries, 0, 0})

				store.takeCalls()
				restore()
				wentBack := 0
				for range int(lasts / pollInterval) {
					time.Sleep(pollInterval)
					wentBack = max(wentBack, entries-fleet.entriesAt(2), fleet.using(before), fleet.using(last))
				}
				calls := store.takeCalls()
				t.Logf("%d entries went back; calls in %v: %v", wentBack, lasts, calls)
				is.Equal(wentBack, 0)
				is.True(calls[KindTarget]+calls[KindConfiguration] <= maxCalls*entries)
				if each.mixed {
					return // those of the former build, and their followers, take nothing new yet
				}
				store.drainTarget(after)
				store.configure(3, 0)
				time.Sleep(drainTime)
				t.Logf("%d entries have the next configuration, %d use the engine that drains", fleet.entriesAt(3), fleet.using(after))
				is.Equal([]int{fleet.entriesAt(3), fleet.using(after)}, []int{entries, 0})
			})
		})
	}
}

// Guards against a store that is restored from an older copy and has given out the known revisions again before an entry asks: what was
// written at these, such as the newest configuration, was never read.
func TestStoreIsReadAgainThoughItsRevisionsPassTheKnownOnes(t *testing.T) {
	const (
		draining, moved = 7, 9
		// inTouchAfter is the users' time after the store's return from which changes must be in force.
		inTouchAfter = 3 * time.Second
		// maxCalls is that of an entry in this time: it lists each kind again, and watches meanwhile.
		maxCalls = 30
	)
	for _, each := range []struct {
		name    string
		away    storeAbsence
		awayFor time.Duration
		// written is how many revisions are given out again at once.
		written int
		entries []int
	}{
		{"silent", storeSilent, 500 * time.Millisecond, 20, []int{8, 30, 76, 195}},
		{"silent for longer", storeSilent, 4 * time.Second, 60, []int{30}},
		{"rejects", storeRejects, 500 * time.Millisecond, 20, []int{30}},
		{"at once", storeAnswers, 0, 60, []int{30}},
		{"same revision", storeSilent, 500 * time.Millisecond, 10, []int{30}},
	} {
		for _, entries := range each.entries {
			t.Run(fmt.Sprintf("%s/%d", each.name, entries), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					store := newModelStore()
					store.era = 4
					fleet, stop := startFleetOf(t.Context(), entries, store, func(int) bool { return false })
					defer stop()
					time.Sleep(5 * time.Second)
					restore := store.copyNow()
					for number := range 12 {
						store.replaceTarget(100 + number)
					}
					store.configure(2, 0)
					time.Sleep(2 * time.Second)
					is.Equal(fleet.entriesAt(2), entries)

					store.takeCalls()
					store.setAway(each.away)
					time.Sleep(each.awayFor)
					restore()
					store.setAway(storeAnswers)
					store.configure(3, 0)
					store.drainTarget(draining)
					for number := range each.written {
						store.replaceTarget(100 + number)
					}
					time.Sleep(inTouchAfter)
					calls := store.takeCalls()
					t.Logf("%d entries have the newest configuration, %d use the target that drains; calls: %v", fleet.entriesAt(3), fleet.using(draining), calls)
					is.Equal([]int{fleet.entriesAt(3), fleet.using(draining)}, []int{entries, 0})
					is.True(calls[KindTarget]+calls[KindConfiguration] <= maxCalls*entries)

					store.drainTarget(moved)
					store.configure(4, 0)
					time.Sleep(2 * time.Second)
					is.Equal([]int{fleet.entriesAt(4), fleet.using(moved)}, []int{entries, 0})
				})
			})
		}
	}
}

// Guards against a part of an earlier era, or changes of a later one, that complete what a feed knows of another era.
func TestFeedUsesPartsOfItsEraOnly(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	f.apply(Part{Kind: KindTarget, Era: 4, Revision: 9, Full: true, Objects: []objects.Object{storedTarget("a", 2), storedTarget("b", 9)}}, testStart)
	f.apply(Part{Kind: KindTarget, Era: 5, Revision: 12, Objects: []objects.Object{storedTarget("c", 12)}}, testStart)
	is.Equal(f.position(KindTarget), position{era: 4, revision: 9})
	is.Equal(f.judge(Part{Kind: KindTarget, Era: 5, Revision: 12}, 0), partIncomplete)
	is.Equal(f.judge(Part{Kind: KindTarget, Revision: 12}, 0), partUsable) // of a former build
	is.Equal(f.judge(Part{Kind: KindTarget, Revision: 12}, 5), partStale)

	changes := f.apply(Part{Kind: KindTarget, Era: 5, Revision: 8, Full: true, Objects: []objects.Object{storedTarget("a", 2), storedTarget("c", 7)}}, testStart)
	is.Equal(len(changes), 2) // b is removed and c is new
	is.Equal(f.position(KindTarget), position{era: 5, revision: 8})
	for _, stale := range []Part{{Kind: KindTarget, Era: 4, Revision: 10}, {Kind: KindTarget, Revision: 10}, {Kind: KindTarget, Era: 4, Revision: 10, Full: true}} {
		is.Equal(f.judge(stale, 0), partStale)
		f.apply(stale, testStart)
	}
	is.Equal(f.position(KindTarget), position{era: 5, revision: 8})

	reader := FeedQuery{Revisions: map[string]int64{KindTarget: 9}, Eras: map[string]int64{KindTarget: 4}}
	parts, _, _ := f.partsSince(reader, testStart)
	is.Equal([]bool{parts[0].Full, parts[0].Era == 5}, []bool{true, true})
	reader.OnlyChanges = true
	parts, immediate, _ := f.partsSince(reader, testStart)
	is.Equal([]int{len(parts)}, []int{0})
	is.True(immediate)
	reader.Eras[KindTarget] = 6 // the reader knows a later era than this feed
	parts, immediate, _ = f.partsSince(reader, testStart)
	is.Equal([]int{len(parts)}, []int{0})
	is.True(immediate)
}
