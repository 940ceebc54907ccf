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

func stored(name string, revision int64) objects.Object {
	return objects.Object{Kind: KindTarget, Name: name, Revision: revision, Value: []byte(name)}
}

// since asks for what is new of the targets.
func since(revision int64) FeedQuery {
	return FeedQuery{Revisions: map[string]int64{KindTarget: revision}}
}

func names(parts []Part, kind string) map[string]bool {
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

func TestFeedTellsOnlyWhatIsNew(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	f.apply(Part{Kind: KindTarget, Revision: 5, Full: true, Objects: []objects.Object{stored("a", 2), stored("b", 5)}}, began)
	f.apply(Part{Kind: KindTarget, Revision: 7, Objects: []objects.Object{stored("b", 7)}}, began)
	parts, news, _ := f.partsSince(since(5), began)
	is.True(news)
	is.Equal(names(parts, KindTarget), map[string]bool{"b": true})
	parts, news, _ = f.partsSince(since(7), began)
	is.True(!news)
	is.Equal(len(names(parts, KindTarget)), 0)
	parts, _, _ = f.partsSince(FeedQuery{}, began)
	is.Equal(names(parts, KindTarget), map[string]bool{"a": true, "b": true})
	is.True(parts[0].Full)
}

func TestFeedTellsOfARemovalWhoseRevisionIsOld(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	f.apply(Part{Kind: KindTarget, Revision: 5, Full: true, Objects: []objects.Object{stored("a", 2)}}, began)
	removed := stored("a", 2)
	removed.Deleted = true
	is.Equal(len(f.apply(Part{Kind: KindTarget, Revision: 9, Objects: []objects.Object{removed}}, began)), 1)
	parts, _, _ := f.partsSince(since(5), began)
	is.Equal(names(parts, KindTarget), map[string]bool{"a": false})
	// A peer that lags does not bring it back.
	is.Equal(len(f.apply(Part{Kind: KindTarget, Revision: 6, Objects: []objects.Object{stored("a", 2)}}, began)), 0)
}

func TestFeedGivesTheWholeOnceItForgotRemovals(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	f.apply(Part{Kind: KindTarget, Revision: 5, Full: true, Objects: []objects.Object{stored("a", 2), stored("b", 3)}}, began)
	removed := stored("a", 6)
	removed.Deleted = true
	f.apply(Part{Kind: KindTarget, Revision: 6, Objects: []objects.Object{removed}}, began)
	later := began.Add(2 * tombstoneAge)
	f.apply(Part{Kind: KindTarget, Revision: 8}, later)
	parts, _, _ := f.partsSince(since(5), later)
	is.True(parts[0].Full)
	is.Equal(names(parts, KindTarget), map[string]bool{"b": true})
}

// An entry that reads the store is told changes only: a whole list from a peer is the size of the fleet.
func TestFeedLeavesOutWhatItCouldOnlyTellWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFeed()
		f.apply(Part{Kind: KindConfiguration, Revision: 4, Objects: []objects.Object{{Kind: KindConfiguration, Name: "main", Revision: 4}}}, time.Now())
		f.apply(Part{Kind: KindTarget, Revision: 5, Full: true, Objects: []objects.Object{stored("a", 2)}}, time.Now())
		start := time.Now()
		behind := FeedQuery{Revisions: map[string]int64{KindTarget: 4}, Wait: time.Second, OnlyChanges: true}
		parts := f.Since(t.Context(), behind)
		is.Equal(len(parts), 1)
		is.Equal(parts[0].Kind, KindConfiguration)
		is.Equal(time.Since(start), time.Duration(0)) // at once
		behind.OnlyChanges = false
		is.Equal(names(f.Since(t.Context(), behind), KindTarget), map[string]bool{"a": true})
	})
}

func TestFeedWaitsForNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFeed()
		f.apply(Part{Kind: KindTarget, Revision: 5, Full: true}, time.Now())
		go func() {
			time.Sleep(100 * time.Millisecond)
			f.apply(Part{Kind: KindTarget, Revision: 6, Objects: []objects.Object{stored("a", 6)}}, time.Now())
		}()
		start := time.Now()
		parts := f.Since(t.Context(), FeedQuery{Revisions: since(5).Revisions, Wait: time.Second})
		is.Equal(time.Since(start), 100*time.Millisecond)
		is.Equal(names(parts, KindTarget), map[string]bool{"a": true})
		start = time.Now()
		parts = f.Since(t.Context(), FeedQuery{Revisions: since(6).Revisions, Wait: time.Second})
		is.Equal(time.Since(start), time.Second)
		is.Equal(parts[0].Age, time.Second) // the reader learns how old the word is
	})
}

// A follower that hears of changes by any mix of feeds, in any order and repeatedly, ends with what
// the store holds once one of them has told it the latest.
func TestFeedsConvergeWhateverTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader, follower := newFeed(), newFeed()
		truth := map[string]bool{}
		var revision int64
		var told []Part
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			revision++
			object := stored(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), revision)
			object.Deleted = truth[object.Name] && rapid.Bool().Draw(t, "deleted")
			truth[object.Name] = !object.Deleted
			part := Part{Kind: KindTarget, Revision: revision, Objects: []objects.Object{object}}
			leader.apply(part, began)
			told = append(told, part)
		}
		for range rapid.IntRange(0, 20).Draw(t, "old words") {
			part := told[rapid.IntRange(0, len(told)-1).Draw(t, "word")]
			part.Revision = 0 // a word out of order says nothing of how far it goes
			follower.apply(part, began)
		}
		parts, _, _ := leader.partsSince(FeedQuery{}, began)
		for _, part := range parts {
			follower.apply(part, began)
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
		upstream, mine := watchersOf(self, live)
		if mine {
			watchers++
			is.Equal(len(upstream), 3)
		} else {
			is.Equal(len(upstream), 4)
		}
		for i := 1; i < len(upstream); i++ {
			near := upstream[i].AvailabilityZone == self.AvailabilityZone
			is.True(!near || upstream[i-1].AvailabilityZone == self.AvailabilityZone) // near ones first
		}
	}
	is.Equal(watchers, 4) // 120 entries, one for each 30
	_, mine := watchersOf(live[0], live[:1])
	is.True(mine)
}
