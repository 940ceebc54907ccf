package idempotency

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/objects"
	"github.com/azurebarrow/azurebarrow/objects/writelimit"
)

// maintenance moves records from the head to archives, merges archives and deletes expired ones. It
// runs concurrently with the writes of the head; the changes that it has prepared take effect with
// the next write.
type maintenance struct {
	mu              sync.Mutex
	running         bool
	epoch           int                 // incremented when the shard is unloaded; older results are dropped
	unlistedDeleted bool                // archives that a former owner never listed were deleted
	prepared        []func(h Head) Head // changes to apply with the next write
	replaced        []ArchiveRef        // archives to delete once that write has succeeded
	obsolete        []ArchiveRef        // archives that no head lists any longer
}

func newMaintenance() maintenance { return maintenance{} }

// reset drops what was prepared for a head that is no longer the current one.
func (m *maintenance) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.epoch++
	m.unlistedDeleted = false
	m.prepared = nil
	m.replaced = nil
	m.obsolete = nil
}

// applyPrepared applies the prepared changes to the head that is written next.
func (m *maintenance) applyPrepared(o *shardOwner) {
	m.mu.Lock()
	prepared := m.prepared
	m.prepared = nil
	m.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, change := range prepared {
		o.shard.Head = change(o.shard.Head)
	}
}

// headWritten is called after each successful write of the head. Archives that the write has
// replaced become obsolete.
func (m *maintenance) headWritten() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.prepared) == 0 {
		m.obsolete = append(m.obsolete, m.replaced...)
		m.replaced = nil
	}
}

// startIfNeeded starts maintenance if there is work and none is running.
func (m *maintenance) startIfNeeded(ctx context.Context, o *shardOwner) {
	o.mu.Lock()
	if o.shard == nil {
		o.mu.Unlock()
		return
	}
	head := o.shard.Head
	revision := o.shard.Revision
	o.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	idle := head.RecordBytes() < o.options.HeadBytes && len(m.obsolete) == 0 && m.unlistedDeleted
	if m.running || idle || len(m.prepared) > 0 {
		return
	}
	m.running = true
	go m.runOnce(ctx, o, head, revision, m.epoch)
}

func (m *maintenance) runOnce(ctx context.Context, o *shardOwner, head Head, revision int64, epoch int) {
	defer func() {
		m.mu.Lock()
		m.running = false
		m.mu.Unlock()
	}()
	m.deleteUnlisted(ctx, o, head, revision)
	m.deleteObsolete(ctx, o)
	if head.RecordBytes() >= o.options.HeadBytes {
		m.archiveRecords(ctx, o, head, epoch)
	}
	m.compact(ctx, o, head, epoch)
	m.dropExpired(o, epoch)
}

// deleteUnlisted deletes the archives that a former owner wrote but never listed. It deletes only
// those older than this entry's own write of the head: no write of a former owner can list them any
// longer. A newer archive may belong to a next owner that this entry doesn't know of yet.
func (m *maintenance) deleteUnlisted(ctx context.Context, o *shardOwner, head Head, revision int64) {
	m.mu.Lock()
	done := m.unlistedDeleted
	m.mu.Unlock()
	if done {
		return
	}
	list, err := o.options.Store.List(ctx, KindArchive)
	if err != nil {
		return
	}
	listed := map[string]bool{}
	for _, ref := range head.Archives {
		listed[ref.Name] = true
	}
	for _, object := range list.Items {
		ofThisShard := strings.HasPrefix(object.Name, HeadName(o.shardNumber))
		if ofThisShard && object.Revision < revision && !listed[object.Name] {
			m.deleteArchive(ctx, o, object)
		}
	}
	m.mu.Lock()
	m.unlistedDeleted = true
	m.mu.Unlock()
}

// deleteObsolete deletes the archives that no head lists any longer.
func (m *maintenance) deleteObsolete(ctx context.Context, o *shardOwner) {
	m.mu.Lock()
	obsolete := m.obsolete
	m.obsolete = nil
	m.mu.Unlock()
	for _, ref := range obsolete {
		object, err := o.getObject(ctx, KindArchive, ref.Name)
		if err == nil {
			m.deleteArchive(ctx, o, object)
		}
	}
}

// deleteArchive deletes an archive; one that remains is deleted by the next owner.
func (m *maintenance) deleteArchive(ctx context.Context, o *shardOwner, object objects.Object) {
	if o.options.Budget.Acquire(ctx, writelimit.Outcomes) != nil {
		return
	}
	_ = o.options.Store.Delete(ctx, KindArchive, object.Name, object.Revision)
}

// archiveRecords copies the head's current records to archives.
func (m *maintenance) archiveRecords(ctx context.Context, o *shardOwner, head Head, epoch int) {
	before := time.Now().Add(-o.options.Retention)
	refs, ok := m.writeArchives(ctx, o, LatestRecords(head.Records, before))
	if !ok {
		return
	}
	m.addPrepared(epoch, nil, func(h Head) Head { return h.MoveToArchives(head.Records, refs) })
	o.options.Observe(Event{Kind: EventArchived, Shard: o.shardNumber})
}

// compact merges the newest archives as far back as they are small, once there are enough of them.
func (m *maintenance) compact(ctx context.Context, o *shardOwner, head Head, epoch int) {
	from := len(head.Archives)
	for from > 0 && head.Archives[from-1].Bytes < compactBelowBytes {
		from--
	}
	small := head.Archives[from:]
	if len(small) < compactCount {
		return
	}
	archived, err := o.readArchives(ctx, small)
	if err != nil {
		return
	}
	var records []Record
	for _, part := range archived {
		records = append(records, part...)
	}
	before := time.Now().Add(-o.options.Retention)
	refs, ok := m.writeArchives(ctx, o, LatestRecords(records, before))
	if !ok {
		return
	}
	m.addPrepared(epoch, small, func(h Head) Head { return h.ReplaceArchives(from, len(small), refs) })
}

// dropExpired drops archives and keys older than the retention.
func (m *maintenance) dropExpired(o *shardOwner, epoch int) {
	before := time.Now().Add(-o.options.Retention)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.shard == nil {
		return
	}
	o.shard.table.Expire(before)
	_, expired := o.shard.Head.ExpireArchives(before)
	if len(expired) == 0 {
		return
	}
	m.addPrepared(epoch, expired, func(h Head) Head {
		next, _ := h.ExpireArchives(before)
		return next
	})
}

// addPrepared adds a change of the head for the next write, and the archives that it makes
// obsolete.
func (m *maintenance) addPrepared(epoch int, replaced []ArchiveRef, change func(Head) Head) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.epoch != epoch {
		return
	}
	m.prepared = append(m.prepared, change)
	m.replaced = append(m.replaced, replaced...)
}

// writeArchives writes the records to new archives, each within the size limit.
func (m *maintenance) writeArchives(ctx context.Context, o *shardOwner, records []Record) ([]ArchiveRef, bool) {
	var refs []ArchiveRef
	for len(records) > 0 {
		count := archiveRecordCount(records)
		name := HeadName(o.shardNumber) + "-" + newNonce()
		value, ref, err := EncodeArchive(name, o.shardNumber, o.options.Shards, records[:count])
		if err != nil || o.options.Budget.Acquire(ctx, writelimit.Outcomes) != nil {
			return nil, false
		}
		writeCtx, cancel := context.WithTimeout(ctx, archiveTimeout)
		_, err = o.options.Store.Put(writeCtx, KindArchive, name, objects.MustNotExist, value)
		cancel()
		if err != nil {
			return nil, false
		}
		refs = append(refs, ref)
		records = records[count:]
	}
	return refs, true
}

// archiveRecordCount returns how many of the records fit into one archive; at least one.
func archiveRecordCount(records []Record) int {
	size := 0
	for i, record := range records {
		size += recordOverheadBytes + record.Answer.sizeBytes()
		if size > maxArchiveBytes && i > 0 {
			return i
		}
	}
	return len(records)
}
