package directory

import (
	"bytes"
	"time"

	"github.com/azurebarrow/azurebarrow/objects"
)

// A store that is restored from an older copy gives its revisions out again, and raises its era. A revision orders states of one era
// only: changes after a known revision complete what is known only if both are of the same era, and a list of a later era replaces it.
// A store may also name no era. Then a list that this entry requests proves a restore by a lower revision: answers of the store are
// linearizable, while a part of a peer may merely be late.

// position is a revision of the store, with its era; 0 if the era is not known.
type position struct{ era, revision int64 }

// showsRestore reports whether a list of the store shows that it was restored from an older copy: it is of a later era than the position
// that was known before it was requested, or of a lower revision.
func showsRestore(list objects.List, known position) bool {
	if known.revision == 0 || list.Revision <= 0 {
		return false
	}
	return known.era != 0 && list.Era > known.era || list.Revision < known.revision
}

// partUse says how a part may be used.
type partUse int

const (
	partUsable partUse = iota
	// partStale: the part is of an earlier era, or may be.
	partStale
	// partIncomplete: the part has changes of a later era only, so that the objects must be listed.
	partIncomplete
)

// judge returns how a part may be used by a feed that knows of the latest era. A part of unknown era comes from an entry of a former
// build, which may not have noticed a restore.
func (k *feedKind) judge(part Part, latest int64) partUse {
	switch {
	case part.Era == 0 && latest != 0 && (k.hasChangedEra || latest > k.era && k.era != 0):
		return partStale
	case part.Era != 0 && part.Era < latest:
		return partStale
	case !part.Full && part.Era > k.era && k.revision > 0:
		return partIncomplete
	}
	return partUsable
}

// judge returns how a part of a peer may be used, if the store is known to be of the latest era.
func (f *Feed) judge(part Part, latest int64) partUse {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[part.Kind]
	if k == nil {
		return partUsable
	}
	return k.judge(part, max(k.era, latest))
}

// isOtherEra reports whether a reader of the era knows revisions of another era than this feed; false if either is not known.
func (k *feedKind) isOtherEra(era int64) bool { return era != 0 && k.era != 0 && era != k.era }

// restore replaces the objects of the kind by those of a store that was restored from an older copy, and returns the changes. Those that
// it lacks become tombstones of its revision, so that later states of them count as newer.
func (k *feedKind) restore(part Part, now time.Time) []objects.Object {
	var changes []objects.Object
	items := make(map[string]feedItem, len(part.Objects))
	newest := part.Revision
	for _, object := range part.Objects {
		newest = max(newest, object.Revision)
		present, known := k.items[object.Name]
		if !known || present.object.Deleted || !bytes.Equal(present.object.Value, object.Value) {
			changes = append(changes, object)
		}
		items[object.Name] = feedItem{object: object, sourceRevision: part.Revision}
	}
	for name, item := range k.items {
		if _, listed := items[name]; listed {
			continue
		}
		removedAt := item.removedAt
		if !item.object.Deleted {
			removedAt = now
		}
		tombstone := item.object
		tombstone.Deleted, tombstone.Revision, tombstone.Value = true, part.Revision, nil
		items[name] = feedItem{object: tombstone, sourceRevision: part.Revision, removedAt: removedAt}
		if !item.object.Deleted {
			changes = append(changes, tombstone)
		}
	}
	k.items, k.revision, k.compactedRevision = items, part.Revision, part.Revision
	k.lostAfter, k.lostBefore, k.newestRevision = 0, 0, newest
	return changes
}

// contradicts reports whether a part of a peer shows that the store may have been restored from an older copy: the peer was up to date with
// the store at a lower revision than this feed, at a time when the feed had long known its own. A watch may be late by peerStaleAfter.
func (f *Feed) contradicts(part Part, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[part.Kind]
	return k != nil && part.Era <= k.era && part.Revision < k.revision && now.Add(-part.Age).Sub(k.revisedAt) > peerStaleAfter
}

// drainedMemory is how long a target that drained and was removed stays known as draining.
const drainedMemory = tombstoneTTL

// drainedTarget is a draining target that was removed from the directory.
type drainedTarget struct {
	target    *Target
	removedAt time.Time
}

// keepDraining has a target drain that this entry knows as draining: within one incarnation, draining is final, whatever an older copy
// of the store says. Of an object that names no start it isn't known whether it is of the same one.
func (m *Manager) keepDraining(target, before *Target) {
	if target.StartedMs == 0 {
		return
	}
	drained, known := m.drained[target.ID]
	if before != nil && before.Draining && before.SameIncarnation(target) || known && drained.target.SameIncarnation(target) {
		target.Draining = true
	}
}

// rememberDrained remembers a target that is removed, if it is draining.
func (m *Manager) rememberDrained(target *Target, now time.Time) {
	for id, drained := range m.drained {
		if now.Sub(drained.removedAt) > drainedMemory {
			delete(m.drained, id)
		}
	}
	if target.Draining {
		m.drained[target.ID] = drainedTarget{target: target, removedAt: now}
	}
}
