package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"
)

func storedTarget(name string, revision int64) objects.Object {
	return objects.Object{Kind: KindTarget, Name: name, Revision: revision, Value: []byte(name)}
}

// targetsSince returns a query for the changes of targets after the revision.
func targetsSince(revision int64) FeedQuery {
	return FeedQuery{Revisions: map[string]int64{KindTarget: revision}}
}

// objectNames returns the names of the objects of a kind; the value is false for removed ones.
func objectNames(parts []Part, kind string) map[string]bool {
	found := map[string]bool{}
	for _, part := range parts {
		if part.Kind != kind {
			continue
		}
		for _, object := range part.Objects {
			found[object.Name] = !object.Deleted
		}
	}
	return found
}

func TestFeedReturnsOnlyChanges(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	f.apply(Part{Kind: KindTarget, Revision: 5, Full: true, Objects: []objects.Object{storedTarget("a", 2), storedTarget("b", 5)}}, testStart)
	f.apply(Part{Kind: KindTarget, Revision: 7, Objects: []objects.Object{storedTarget("b", 7)}}, testStart)
	parts, immediate, _ := f.partsSince(targetsSince(5), testStart)
	is.True(immediate)
	is.Equal(objectNames(parts, KindTarget), map[string]bool{"b": true})
	parts, immediate, _ = f.partsSince(targetsSince(7), testStart)
	is.True(!immediate)
	is.Equal(len(objectNames(parts, KindTarget)), 0)
	parts, _, _ = f.partsSince(FeedQuery{}, testStart)
	is.Equal(objectNames(parts, KindTarget), map[string]bool{"a": true, "b": true})
	is.True(parts[0].Full)
}

func TestFeedReturnsRemovalWithOldRevision(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	f.apply(Part{Kind: KindTarget, Revision: 5, Full: true, Objects: []objects.Object{storedTarget("a", 2)}}, testStart)
	removed := storedTarget("a", 2)
	removed.Deleted = true
	is.Equal(len(f.apply(Part{Kind: KindTarget, Revision: 9, Objects: []objects.Object{removed}}, testStart)), 1)
	parts, _, _ := f.partsSince(targetsSince(5), testStart)
	is.Equal(objectNames(parts, KindTarget), map[string]bool{"a": false})
	// A part from a peer that lags behind does not restore it.
	is.Equal(len(f.apply(Part{Kind: KindTarget, Revision: 6, Objects: []objects.Object{storedTarget("a", 2)}}, testStart)), 0)
}

func TestFeedReturnsFullPartAfterTombstonesWereDropped(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	f.apply(Part{Kind: KindTarget, Revision: 5, Full: true, Objects: []objects.Object{storedTarget("a", 2), storedTarget("b", 3)}}, testStart)
	removed := storedTarget("a", 6)
	removed.Deleted = true
	f.apply(Part{Kind: KindTarget, Revision: 6, Objects: []objects.Object{removed}}, testStart)
	later := testStart.Add(2 * tombstoneTTL)
	f.apply(Part{Kind: KindTarget, Revision: 8}, later)
	parts, _, _ := f.partsSince(targetsSince(5), later)
	is.True(parts[0].Full)
	is.Equal(objectNames(parts, KindTarget), map[string]bool{"b": true})
}

// An entry that reads the store requests only changes from peers, because a full list grows with the number
// of targets. The feed must omit a kind for which it has only a full list.
func TestFeedOmitsFullPartsIfOnlyChangesAreRequested(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFeed()
		f.apply(Part{Kind: KindConfiguration, Revision: 4, Objects: []objects.Object{{Kind: KindConfiguration, Name: "main", Revision: 4}}}, time.Now())
		f.apply(Part{Kind: KindTarget, Revision: 5, Full: true, Objects: []objects.Object{storedTarget("a", 2)}}, time.Now())
		start := time.Now()
		behind := FeedQuery{Revisions: map[string]int64{KindTarget: 4}, Wait: time.Second, OnlyChanges: true}
		parts := f.Since(t.Context(), behind)
		is.Equal(len(parts), 1)
		is.Equal(parts[0].Kind, KindConfiguration)
		is.Equal(time.Since(start), time.Duration(0)) // at once
		behind.OnlyChanges = false
		is.Equal(objectNames(f.Since(t.Context(), behind), KindTarget), map[string]bool{"a": true})
	})
}

func TestFeedWaitsForChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFeed()
		f.apply(Part{Kind: KindTarget, Revision: 5, Full: true}, time.Now())
		go func() {
			time.Sleep(100 * time.Millisecond)
			f.apply(Part{Kind: KindTarget, Revision: 6, Objects: []objects.Object{storedTarget("a", 6)}}, time.Now())
		}()
		start := time.Now()
		parts := f.Since(t.Context(), FeedQuery{Revisions: targetsSince(5).Revisions, Wait: time.Second})
		is.Equal(time.Since(start), 100*time.Millisecond)
		is.Equal(objectNames(parts, KindTarget), map[string]bool{"a": true})
		start = time.Now()
		parts = f.Since(t.Context(), FeedQuery{Revisions: targetsSince(6).Revisions, Wait: time.Second})
		is.Equal(time.Since(start), time.Second)
		is.Equal(parts[0].Age, time.Second) // the reader must know the age of the part
	})
}

// A follower that gets changes from several feeds, in any order and repeatedly, converges to the state of
// the store once it has read the latest state from one of them.
func TestFeedsConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader, follower := newFeed(), newFeed()
		truth := map[string]bool{}
		var revision int64
		var told []Part
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			revision++
			object := storedTarget(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), revision)
			object.Deleted = truth[object.Name] && rapid.Bool().Draw(t, "deleted")
			truth[object.Name] = !object.Deleted
			part := Part{Kind: KindTarget, Revision: revision, Objects: []objects.Object{object}}
			leader.apply(part, testStart)
			told = append(told, part)
		}
		for range rapid.IntRange(0, 20).Draw(t, "old words") {
			part := told[rapid.IntRange(0, len(told)-1).Draw(t, "word")]
			part.Revision = 0 // a part out of order doesn't advance the follower's revision
			follower.apply(part, testStart)
		}
		parts, _, _ := leader.partsSince(FeedQuery{}, testStart)
		for _, part := range parts {
			follower.apply(part, testStart)
		}
		for name, item := range follower.kinds[KindTarget].items {
			if item.object.Deleted == truth[name] {
				t.Fatalf("%s: deleted %v, want %v", name, item.object.Deleted, !truth[name])
			}
		}
	})
}

func peer(name, zone string) membership.Peer {
	return membership.Peer{Name: name, AvailabilityZone: zone, Address: name + ":1"}
}

func TestWatchersAreFewAndAgreed(t *testing.T) {
	is := is.New(t)
	var live []membership.Peer
	for _, zone := range []string{"a", "b", "c"} {
		for i := range 40 {
			live = append(live, peer(zone+string(rune('0'+i/10))+string(rune('0'+i%10)), zone))
		}
	}
	watchers := 0
	for _, self := range live {
		upstream, isWatcher := watchersOf(self, live)
		if isWatcher {
			watchers++
			is.Equal(len(upstream), 3)
		} else {
			is.Equal(len(upstream), 4)
		}
		for i := 1; i < len(upstream); i++ {
			near := upstream[i].AvailabilityZone == self.AvailabilityZone
			is.True(!near || upstream[i-1].AvailabilityZone == self.AvailabilityZone) // own availability zone first
		}
	}
	is.Equal(watchers, 4) // one for each 30 of the 120 entries
	_, isWatcher := watchersOf(live[0], live[:1])
	is.True(isWatcher)
}

// Guards against a list after the store lost its history that makes each follower read the store too, although the feed knows
// what changed: it had the state before.
func TestFeedServesItsReadersAcrossALostHistory(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	f.apply(Part{Kind: KindTarget, Revision: 5, Full: true, Objects: []objects.Object{storedTarget("a", 2), storedTarget("b", 3)}}, testStart)
	f.apply(Part{Kind: KindTarget, Revision: 7}, testStart)
	f.apply(Part{Kind: KindTarget, Revision: 20, Full: true, Objects: []objects.Object{storedTarget("b", 3), storedTarget("c", 15)}}, testStart)
	for since, full := range map[int64]bool{4: true, 5: false, 7: false, 8: true, 19: true, 20: false} {
		parts, _, _ := f.partsSince(targetsSince(since), testStart)
		is.Equal(parts[0].Full, full) // between 7 and 20, the reader may know an object that was created and removed meanwhile
	}
	parts, _, _ := f.partsSince(targetsSince(7), testStart)
	is.Equal(objectNames(parts, KindTarget), map[string]bool{"a": false, "c": true})
	f.apply(Part{Kind: KindTarget, Revision: 40, Full: true, Objects: []objects.Object{storedTarget("c", 15)}}, testStart)
	for since, full := range map[int64]bool{7: true, 19: true, 20: false, 30: true, 40: false} {
		parts, _, _ := f.partsSince(targetsSince(since), testStart)
		is.Equal(parts[0].Full, full) // one lost history is remembered
	}
}

// Guards against a target that stays known for ever: a list of several pages held it although it was created after the list's
// revision, and the peer that is followed then never knew it, since it was removed in the gap of a lost history.
func TestRevisionOfAListWithNewerObjectsIsNotSettled(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	f.apply(Part{Kind: KindTarget, Revision: 5, Full: true, Objects: []objects.Object{storedTarget("a", 2), storedTarget("b", 8)}}, testStart)
	is.Equal(f.settledPosition(KindTarget).revision, int64(0))
	f.apply(Part{Kind: KindTarget, Revision: 8}, testStart)
	is.Equal(f.settledPosition(KindTarget).revision, int64(8))
}

// Two feeds read the store, each with histories that it loses, and a follower reads changes from either, or lists the store.
func TestFollowerConvergesAcrossLostHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leaders := []*Feed{newFeed(), newFeed()}
		follower := newFeed()
		stored := map[string]objects.Object{}
		revision := int64(1)
		list := func() Part {
			part := Part{Kind: KindTarget, Revision: revision, Full: true}
			for _, object := range stored {
				part.Objects = append(part.Objects, object)
			}
			return part
		}
		lost := []bool{true, true}
		follow := func(leader *Feed) {
			query := FeedQuery{Revisions: map[string]int64{KindTarget: follower.settledPosition(KindTarget).revision}, OnlyChanges: true}
			parts, _, _ := leader.partsSince(query, testStart)
			if len(parts) == 0 {
				parts = []Part{list()}
			}
			follower.apply(parts[0], testStart)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			revision++
			object := storedTarget(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name"), revision)
			_, exists := stored[object.Name]
			object.Deleted = exists && rapid.Bool().Draw(t, "deleted")
			if stored[object.Name] = object; object.Deleted {
				delete(stored, object.Name)
			}
			for i, leader := range leaders {
				lost[i] = lost[i] || rapid.IntRange(0, 4).Draw(t, "lost") == 0
				switch {
				case !lost[i]:
					leader.apply(Part{Kind: KindTarget, Revision: revision, Objects: []objects.Object{object}}, testStart)
				case rapid.Bool().Draw(t, "listed"):
					leader.apply(list(), testStart)
					lost[i] = false
				}
			}
			if rapid.Bool().Draw(t, "followed") {
				follow(leaders[rapid.IntRange(0, 1).Draw(t, "leader")])
			}
		}
		leaders[0].apply(list(), testStart)
		follow(leaders[0])
		for name, item := range follower.kinds[KindTarget].items {
			if _, exists := stored[name]; exists == item.object.Deleted {
				t.Fatalf("%s: deleted %v, want %v", name, item.object.Deleted, !exists)
			}
		}
	})
}
