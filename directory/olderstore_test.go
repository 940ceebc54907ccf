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
		s.revision, s.configuration, s.targets = revision, configuration, targets
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
