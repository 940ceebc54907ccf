package directory

import (
	"context"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/objects"
)

// Kinds of objects that a directory is made of.
const (
	KindConfiguration = "configuration"
	KindTarget        = "target"
)

// kinds lists them.
var kinds = []string{KindConfiguration, KindTarget}

// tombstoneAge is how long a removed object is remembered, so that a late word of it from another
// entry does not bring it back.
const tombstoneAge = time.Minute

// Part is what a feed tells of one kind of objects.
type Part struct {
	Kind string
	// Revision is the store's revision that the reader knows of after this part.
	Revision int64
	// Full tells that the objects are all there are; else they are the changes since the revision
	// that was asked for.
	Full    bool
	Objects []objects.Object
	// Age is the time since the store is known to have had nothing newer.
	Age time.Duration
}

// Feed keeps the objects of a directory as the store or other entries told of them, and tells others.
// An object is replaced by a later revision only, whoever tells of it. It is safe for concurrent use.
type Feed struct {
	mu      sync.Mutex
	kinds   map[string]*feedKind
	changed chan struct{}
}

// feedKind holds the objects of one kind.
type feedKind struct {
	revision int64
	// confirmed is when the store was last known to have nothing newer; zero before.
	confirmed time.Time
	items     map[string]feedItem
	// forgotten is the revision up to which tombstones may have been dropped.
	forgotten int64
}

// feedItem is an object, or the tombstone of a removed one.
type feedItem struct {
	object objects.Object
	// at is the store's revision at which this entry's source told of the object.
	at      int64
	removed time.Time
}

// newFeed returns a feed that knows nothing.
func newFeed() *Feed {
	f := &Feed{kinds: map[string]*feedKind{}, changed: make(chan struct{})}
	for _, kind := range kinds {
		f.kinds[kind] = &feedKind{items: map[string]feedItem{}}
	}
	return f
}

// apply takes a part in and returns the objects that are new; removed ones have Deleted set.
func (f *Feed) apply(part Part, now time.Time) []objects.Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[part.Kind]
	if k == nil {
		return nil
	}
	var changes []objects.Object
	listed := map[string]bool{}
	for _, object := range part.Objects {
		listed[object.Name] = true
		if k.replace(object, part.Revision, now) {
			changes = append(changes, object)
		}
	}
	if part.Full {
		changes = append(changes, k.removeUnlisted(listed, part.Revision, now)...)
		k.forgotten = max(k.forgotten, part.Revision)
	}
	k.revision = max(k.revision, part.Revision)
	if confirmed := now.Add(-part.Age); confirmed.After(k.confirmed) {
		k.confirmed = confirmed
	}
	k.dropTombstones(now)
	close(f.changed)
	f.changed = make(chan struct{})
	return changes
}

// replace tells whether the object is newer than what is known of it. Of the same revision, the word
// that it was removed is the later one.
func (k *feedKind) replace(object objects.Object, at int64, now time.Time) bool {
	present, known := k.items[object.Name]
	switch {
	case known && object.Revision < present.object.Revision:
		return false
	case known && object.Revision == present.object.Revision && (present.object.Deleted || !object.Deleted):
		return false
	case !known && object.Deleted && at <= k.revision:
		return false
	}
	item := feedItem{object: object, at: at}
	if object.Deleted {
		item.removed = now
	}
	k.items[object.Name] = item
	return true
}

// removeUnlisted marks the objects that a full list of the given revision lacks as removed.
func (k *feedKind) removeUnlisted(listed map[string]bool, revision int64, now time.Time) []objects.Object {
	var removed []objects.Object
	for name, item := range k.items {
		if listed[name] || item.object.Deleted || item.object.Revision > revision {
			continue
		}
		gone := item.object
		gone.Deleted = true
		k.items[name] = feedItem{object: gone, at: revision, removed: now}
		removed = append(removed, gone)
	}
	return removed
}

func (k *feedKind) dropTombstones(now time.Time) {
	for name, item := range k.items {
		if item.object.Deleted && now.Sub(item.removed) > tombstoneAge {
			k.forgotten = max(k.forgotten, item.at)
			delete(k.items, name)
		}
	}
}

// Revision returns the store's revision up to which the feed knows a kind; 0 when it knows nothing.
func (f *Feed) Revision(kind string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kinds[kind].revision
}

// ageOf returns the time since the store is known to have had nothing newer of a kind.
func (f *Feed) ageOf(kind string, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.kinds[kind].confirmed)
}

// knew tells whether an object is there or was removed a short time ago.
func (f *Feed) knew(kind, name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, known := f.kinds[kind].items[name]
	return known
}

// Age returns the time since the store is known to have had nothing newer of any kind.
func (f *Feed) Age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	oldest := now
	for _, k := range f.kinds {
		if k.confirmed.Before(oldest) {
			oldest = k.confirmed
		}
	}
	return now.Sub(oldest)
}

// FeedQuery asks a feed what is new.
type FeedQuery struct {
	// Revisions are those up to which the asker knows each kind.
	Revisions map[string]int64
	// Wait is how long the answer may wait for something new.
	Wait time.Duration
	// OnlyChanges leaves out the kinds of which the feed could only tell everything.
	OnlyChanges bool
}

// Since returns what is new after the query's revisions, one part for each kind that the feed knows.
// It waits for something new, unless a kind is left out.
func (f *Feed) Since(ctx context.Context, query FeedQuery) []Part {
	timer := time.NewTimer(query.Wait)
	defer timer.Stop()
	for {
		parts, news, changed := f.partsSince(query, time.Now())
		if news {
			return parts
		}
		select {
		case <-changed:
		case <-timer.C:
			parts, _, _ = f.partsSince(query, time.Now())
			return parts
		case <-ctx.Done():
			return nil
		}
	}
}

func (f *Feed) partsSince(query FeedQuery, now time.Time) (parts []Part, news bool, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, kind := range kinds {
		k := f.kinds[kind]
		if k.revision == 0 {
			continue
		}
		since := query.Revisions[kind]
		if query.OnlyChanges && since < k.forgotten {
			news = true // the asker learns at once that it has to read the store
			continue
		}
		part := Part{Kind: kind, Revision: k.revision, Full: since < k.forgotten, Age: now.Sub(k.confirmed)}
		for _, item := range k.items {
			if part.Full && !item.object.Deleted || !part.Full && item.at > since {
				part.Objects = append(part.Objects, item.object)
			}
		}
		news = news || len(part.Objects) > 0 || part.Full
		parts = append(parts, part)
	}
	return parts, news, f.changed
}
