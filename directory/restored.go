package directory

import (
	"bytes"
	"time"

	"github.com/azurebarrow/azurebarrow/objects"
)

// A store that is restored from an older copy gives its revisions out again. What it answers then counts as newer than what this entry
// knows, although its revisions are lower. Only a list that this entry requests from the store proves that: its answers are
// linearizable, while a part of a peer may merely be late.

// showsRestore reports whether a list of the store shows that it was restored from an older copy: its revision is lower than one that was
// known before the list was requested.
func showsRestore(list objects.List, known int64) bool {
	return list.Revision > 0 && list.Revision < known
}

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
	return k != nil && part.Revision < k.revision && now.Add(-part.Age).Sub(k.revisedAt) > peerStaleAfter
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
