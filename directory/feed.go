package directory

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/objects"
)

// Kinds of objects in a directory.
const (
	KindConfiguration = "configuration"
	KindTarget        = "target"
	// KindRollout is only read by entries that carry out rollouts.
	KindRollout = "rollout"
)

// kinds are the kinds that every entry reads.
var kinds = []string{KindConfiguration, KindTarget}

// tombstoneTTL is how long the tombstone of a removed object is kept, so that a late message of another
// entry does not restore the object.
const tombstoneTTL = time.Minute

// Part holds the objects of one kind, or their changes, as the store or a feed returns them.
type Part struct {
	Kind string
	// Era is the era of the store that the revisions belong to; 0 if it is not known.
	Era int64
	// Revision is the revision of the store up to which the reader knows the kind after this part.
	Revision int64
	// Full is set if Objects holds all objects of the kind. Otherwise it holds the changes since the
	// requested revision.
	Full    bool
	Objects []objects.Object
	// Restored is set in a list that this entry requested from the store and whose revision is lower than one known before: the
	// store was restored from an older copy.
	Restored bool
	// Age is the time since the part was known to be up to date with the store.
	Age time.Duration
}

const (
	// CompressedFrom is the size from which parts are sent compressed. Most hold no object, or a few, and fit into one packet.
	CompressedFrom = 1400
	// compressedShare is the share of a part's bytes that is charged for it if it is sent compressed. Objects of the platform are JSON texts
	// that resemble each other, and take an eighth to a quarter; a configuration that is mostly keys takes up to half.
	compressedShare = 0.25
)

// size returns the approximate number of bytes that the part takes on the wire.
func (p Part) size(compressed bool) int {
	bytes := 0
	for _, object := range p.Objects {
		bytes += len(object.Name) + len(object.Value)
	}
	if compressed && bytes >= CompressedFrom {
		return int(compressedShare * float64(bytes))
	}
	return bytes
}

// Feed holds the objects of a directory, as read from the store or from the feeds of other entries, and
// lets other entries read them. An object is only replaced by a later revision, whatever the source. A Feed
// is safe for concurrent use.
type Feed struct {
	// kindNames are the kinds that the feed holds, in the order of its answers.
	kindNames []string

	mu     sync.Mutex
	kinds  map[string]*feedKind
	budget feedBudget
	// withheld counts the parts that the budget did not allow to be sent.
	withheld int64
	// changed is closed, and replaced, with each applied part.
	changed chan struct{}
}

// feedKind holds the objects of one kind.
type feedKind struct {
	// era is the era of the store that the revisions belong to; 0 if it is not known. hasChangedEra is set once a list of a later
	// era has replaced what was known.
	era           int64
	hasChangedEra bool
	// revision is the revision of the store up to which the kind is known.
	revision int64
	// revisedAt is when the revision last changed, or was last confirmed by a list of the store.
	revisedAt time.Time
	// confirmedAt is when the kind was last known to be up to date with the store; zero before.
	confirmedAt time.Time
	items       map[string]feedItem
	// compactedRevision is the revision up to which tombstones may have been dropped. A reader that knows
	// only an earlier revision gets a full part.
	compactedRevision int64
	// lostAfter and lostBefore are the revisions between which the last list of all objects left a gap. A reader that knows
	// a revision in between may know objects that were created and removed there, and gets a full part.
	lostAfter, lostBefore int64
	// newestRevision is the latest revision of an object. A list of several pages may hold objects that are newer than the
	// revision of the list.
	newestRevision int64
	// arriving is set while this entry reads a large change of the kind from the store, which takes seconds.
	arriving bool
}

// feedItem is an object, or the tombstone of a removed one.
type feedItem struct {
	object objects.Object
	// sourceRevision is the revision of the part with which this entry got the object. For a removal it can
	// be later than the revision of the object.
	sourceRevision int64
	removedAt      time.Time
}

// newFeed returns a feed of the kinds that every entry reads, and of others.
func newFeed(others ...string) *Feed {
	f := &Feed{kindNames: slices.Concat(kinds, others), kinds: map[string]*feedKind{}, changed: make(chan struct{})}
	for _, kind := range f.kindNames {
		f.kinds[kind] = &feedKind{items: map[string]feedItem{}}
	}
	return f
}

// apply applies a part and returns the objects that changed. Removed ones have Deleted set.
func (f *Feed) apply(part Part, now time.Time) []objects.Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[part.Kind]
	if k == nil {
		return nil
	}
	if k.judge(part, k.era) != partUsable {
		return nil
	}
	changes := k.apply(part, now)
	if confirmed := now.Add(-part.Age); confirmed.After(k.confirmedAt) {
		k.confirmedAt = confirmed
	}
	k.dropTombstones(now)
	close(f.changed)
	f.changed = make(chan struct{})
	return changes
}

// apply applies a part and returns the objects that changed.
func (k *feedKind) apply(part Part, now time.Time) []objects.Object {
	if part.Full || part.Revision > k.revision {
		k.revisedAt = now
	}
	isLaterEra := k.era != 0 && part.Era > k.era
	k.era, k.hasChangedEra = max(k.era, part.Era), k.hasChangedEra || isLaterEra
	if part.Restored || isLaterEra {
		return k.restore(part, now)
	}
	var changes []objects.Object
	listed := map[string]bool{}
	for _, object := range part.Objects {
		listed[object.Name] = true
		if k.applyObject(object, part.Revision, now) {
			changes = append(changes, object)
		}
	}
	if part.Full {
		changes = append(changes, k.removeUnlisted(listed, part.Revision, now)...)
		k.recordGap(part.Revision)
	}
	k.revision = max(k.revision, part.Revision)
	return changes
}

// applyObject stores the object if it is newer than the known one, and reports whether it did. At the same
// revision, a removal is newer than the object.
func (k *feedKind) applyObject(object objects.Object, sourceRevision int64, now time.Time) bool {
	present, known := k.items[object.Name]
	switch {
	case known && object.Revision < present.object.Revision:
		return false
	case known && object.Revision == present.object.Revision && (present.object.Deleted || !object.Deleted):
		return false
	case !known && object.Deleted && sourceRevision <= k.revision:
		return false
	}
	item := feedItem{object: object, sourceRevision: sourceRevision}
	k.newestRevision = max(k.newestRevision, object.Revision)
	if object.Deleted {
		item.removedAt = now
		item.object.Value = nil // no reader uses it, and it would be sent to all followers
	}
	k.items[object.Name] = item
	return true
}

// removeUnlisted replaces the objects that a full list of the given revision lacks by tombstones, and
// returns these.
func (k *feedKind) removeUnlisted(listed map[string]bool, revision int64, now time.Time) []objects.Object {
	var removed []objects.Object
	for name, item := range k.items {
		if listed[name] || item.object.Deleted || item.object.Revision > revision {
			continue
		}
		tombstone := item.object
		tombstone.Deleted, tombstone.Value = true, nil
		k.items[name] = feedItem{object: tombstone, sourceRevision: revision, removedAt: now}
		removed = append(removed, tombstone)
	}
	return removed
}

// recordGap records that all objects were listed at the revision, so that what happened since the known one is not known.
func (k *feedKind) recordGap(listed int64) {
	if k.revision == 0 {
		k.compactedRevision = max(k.compactedRevision, listed)
	}
	if k.revision == 0 || listed <= k.revision {
		return
	}
	k.compactedRevision = max(k.compactedRevision, k.lostBefore)
	k.lostAfter, k.lostBefore = k.revision, listed
}

// needsFull reports whether a reader that knows the revision needs all objects.
func (k *feedKind) needsFull(since int64) bool {
	return since < k.compactedRevision || k.lostAfter < since && since < k.lostBefore
}

func (k *feedKind) dropTombstones(now time.Time) {
	for name, item := range k.items {
		if item.object.Deleted && now.Sub(item.removedAt) > tombstoneTTL {
			k.compactedRevision = max(k.compactedRevision, item.sourceRevision)
			delete(k.items, name)
		}
	}
}

// Revision returns the revision of the store up to which the feed knows a kind; 0 if it knows nothing.
func (f *Feed) Revision(kind string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kinds[kind].revision
}

// position returns the revision of the store up to which the feed knows a kind, with its era.
func (f *Feed) position(kind string) position {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[kind]
	return position{era: k.era, revision: k.revision}
}

// settledPosition returns the position from which changes of a kind complete what the feed knows. Its revision is 0 if a list brought
// objects that are newer than its revision and the changes since have not arrived yet.
func (f *Feed) settledPosition(kind string) position {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[kind]
	if k.newestRevision <= k.revision {
		return position{era: k.era, revision: k.revision}
	}
	return position{era: k.era}
}

// ageOf returns the time since a kind was known to be up to date with the store.
func (f *Feed) ageOf(kind string, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.kinds[kind].confirmedAt)
}

// Withheld returns the number of parts that were not sent because they exceeded the feed's budget.
func (f *Feed) Withheld() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.withheld
}

// setArriving records whether this entry is reading a large change of a kind from the store. Readers that can
// read the store themselves must not wait until it has arrived here.
func (f *Feed) setArriving(kind string, arriving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.kinds[kind].arriving == arriving {
		return
	}
	f.kinds[kind].arriving = arriving
	close(f.changed)
	f.changed = make(chan struct{})
}

// hasRecord reports whether the feed has the object or its tombstone, which it keeps for tombstoneTTL.
func (f *Feed) hasRecord(kind, name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, known := f.kinds[kind].items[name]
	return known
}

// Age returns the time since the kinds that every entry reads were known to be up to date with the store.
func (f *Feed) Age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	oldest := now
	for _, kind := range kinds {
		if confirmedAt := f.kinds[kind].confirmedAt; confirmedAt.Before(oldest) {
			oldest = confirmedAt
		}
	}
	return now.Sub(oldest)
}

// FeedQuery is a query for the changes in a feed.
type FeedQuery struct {
	// Revisions are the revisions up to which the reader knows each kind.
	Revisions map[string]int64
	// Eras are the eras of the store that these revisions belong to. Readers of a former build name none.
	Eras map[string]int64
	// Wait limits the time to wait for a change.
	Wait time.Duration
	// OnlyChanges is set by a reader that can read the store itself: kinds for which the feed has only a
	// full part are omitted, and so are changes that are too large to be sent to all readers, as soon as
	// this entry begins to read them.
	OnlyChanges bool
	// Compressed is set if the answer is sent compressed.
	Compressed bool
}

// reads reports whether the reader knows the kind. One of a former build names only the kinds that every entry reads, and can't take
// parts of others.
func (q FeedQuery) reads(kind string) bool {
	_, named := q.Revisions[kind]
	return named || slices.Contains(kinds, kind)
}

// Since returns the changes after the revisions of the query: one part for each kind that the feed knows,
// except those that it omits; see FeedQuery.OnlyChanges and feedBudget. It waits for a change, at most for the
// Wait of the query, and doesn't wait if it omits a kind. It returns nil if ctx ends.
func (f *Feed) Since(ctx context.Context, query FeedQuery) []Part {
	timer := time.NewTimer(query.Wait)
	defer timer.Stop()
	for {
		parts, immediate, changed := f.partsSince(query, time.Now())
		if immediate {
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

// partsSince returns the current parts for the query. immediate is set if the reader must not wait for a
// change; changed is closed at the next one.
func (f *Feed) partsSince(query FeedQuery, now time.Time) (parts []Part, immediate bool, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, kind := range f.kindNames {
		k := f.kinds[kind]
		if k.revision == 0 || !query.reads(kind) {
			continue
		}
		since := query.Revisions[kind]
		full := k.needsFull(since) || k.isOtherEra(query.Eras[kind])
		if query.OnlyChanges && (full || k.arriving) || query.Eras[kind] > k.era {
			immediate = true // the reader must know without delay that it has to read the store
			continue
		}
		part := Part{Kind: kind, Era: k.era, Revision: k.revision, Full: full, Age: now.Sub(k.confirmedAt)}
		for _, item := range k.items {
			if part.Full && !item.object.Deleted || !part.Full && item.sourceRevision > since {
				part.Objects = append(part.Objects, item.object)
			}
		}
		if len(part.Objects) > 0 && !f.budget.take(part.size(query.Compressed), query.OnlyChanges, now) {
			f.withheld++
			immediate = true // the reader must know without delay that it needs another source
			continue
		}
		immediate = immediate || len(part.Objects) > 0 || part.Full
		parts = append(parts, part)
	}
	return parts, immediate, f.changed
}
