package idempotency

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/objects"
	"github.com/azurebarrow/azurebarrow/objects/budget"
)

// maintenance moves records from the head to archives, merges archives and drops expired ones. It
// works beside the writes of the head; what it has prepared counts with the next of them.
type maintenance struct {
	mu       sync.Mutex
	running  bool
	epoch    int                 // grows when the shard is unloaded; results of an older one are dropped
	cleaned  bool                // archives that a former owner left behind were deleted
	prepared []func(h Head) Head // changes to apply with the next write
	replaced []ArchiveRef        // archives to delete once that write has succeeded
	garbage  []ArchiveRef        // archives that no head lists any more
}

func newMaintenance() maintenance { return maintenance{} }

// reset drops what was prepared for a head that is no longer the present one.
func (m *maintenance) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.epoch++
	m.cleaned = false
	m.prepared = nil
	m.replaced = nil
	m.garbage = nil
}

// apply makes the prepared changes part of the head that is written next.
func (m *maintenance) apply(o *owner) {
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

// committed notes that a write of the head has succeeded.
func (m *maintenance) committed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.prepared) == 0 {
		m.garbage = append(m.garbage, m.replaced...)
		m.replaced = nil
	}
}

// start begins a round of maintenance if there is work and none is under way.
func (m *maintenance) start(ctx context.Context, o *owner) {
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
	idle := head.Bytes() < o.options.HeadBytes && len(m.garbage) == 0 && m.cleaned
	if m.running || idle || len(m.prepared) > 0 {
		return
	}
	m.running = true
	go m.round(ctx, o, head, revision, m.epoch)
}

func (m *maintenance) round(ctx context.Context, o *owner, head Head, revision int64, epoch int) {
	defer func() {
		m.mu.Lock()
		m.running = false
		m.mu.Unlock()
	}()
	m.clean(ctx, o, head, revision)
	m.deleteGarbage(ctx, o)
	if head.Bytes() >= o.options.HeadBytes {
		m.archive(ctx, o, head, epoch)
	}
	m.compact(ctx, o, head, epoch)
	m.expire(o, epoch)
}

// clean deletes the archives that a former owner wrote but never listed. Only those older than this
// entry's own write of the head are: no write of a former owner can list them any more. A newer one
// may belong to a next owner of whom this entry does not know yet.
func (m *maintenance) clean(ctx context.Context, o *owner, head Head, revision int64) {
	m.mu.Lock()
	cleaned := m.cleaned
	m.mu.Unlock()
	if cleaned {
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
		own := strings.HasPrefix(object.Name, HeadName(o.number))
		if own && object.Revision < revision && !listed[object.Name] {
			m.delete(ctx, o, object)
		}
	}
	m.mu.Lock()
	m.cleaned = true
	m.mu.Unlock()
}

func (m *maintenance) deleteGarbage(ctx context.Context, o *owner) {
	m.mu.Lock()
	garbage := m.garbage
	m.garbage = nil
	m.mu.Unlock()
	for _, ref := range garbage {
		object, err := o.get(ctx, KindArchive, ref.Name)
		if err == nil {
			m.delete(ctx, o, object)
		}
	}
}

// delete removes an archive; one that stays is found by the next owner.
func (m *maintenance) delete(ctx context.Context, o *owner, object objects.Object) {
	if o.options.Budget.Acquire(ctx, budget.Outcomes) != nil {
		return
	}
	_ = o.options.Store.Delete(ctx, KindArchive, object.Name, object.Revision)
}

// archive copies the head's present records to an archive.
func (m *maintenance) archive(ctx context.Context, o *owner, head Head, epoch int) {
	before := time.Now().Add(-o.options.Retention)
	refs, ok := m.write(ctx, o, LatestRecords(head.Records, before))
	if !ok {
		return
	}
	m.prepare(epoch, nil, func(h Head) Head { return h.Roll(head.Records, refs) })
	o.options.Observe(Event{Kind: EventArchived, Shard: o.number})
}

// compact merges the newest archives while they are small.
func (m *maintenance) compact(ctx context.Context, o *owner, head Head, epoch int) {
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
	refs, ok := m.write(ctx, o, LatestRecords(records, before))
	if !ok {
		return
	}
	m.prepare(epoch, small, func(h Head) Head { return h.Replace(from, len(small), refs) })
}

// expire drops archives and keys older than the retention.
func (m *maintenance) expire(o *owner, epoch int) {
	before := time.Now().Add(-o.options.Retention)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.shard == nil {
		return
	}
	o.shard.table.Expire(before)
	_, expired := o.shard.Head.Expire(before)
	if len(expired) == 0 {
		return
	}
	m.prepare(epoch, expired, func(h Head) Head {
		next, _ := h.Expire(before)
		return next
	})
}

// prepare notes a change of the head for the next write, and the archives that it makes useless.
func (m *maintenance) prepare(epoch int, replaced []ArchiveRef, change func(Head) Head) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.epoch != epoch {
		return
	}
	m.prepared = append(m.prepared, change)
	m.replaced = append(m.replaced, replaced...)
}

// write creates archives for the records, each below the size bound.
func (m *maintenance) write(ctx context.Context, o *owner, records []Record) ([]ArchiveRef, bool) {
	var refs []ArchiveRef
	for len(records) > 0 {
		count := archiveCount(records)
		name := HeadName(o.number) + "-" + newNonce()
		value, ref, err := EncodeArchive(name, o.number, o.options.Shards, records[:count])
		if err != nil || o.options.Budget.Acquire(ctx, budget.Outcomes) != nil {
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

// archiveCount returns how many of the records fit into one archive; at least one.
func archiveCount(records []Record) int {
	size := 0
	for i, record := range records {
		size += recordOverheadBytes + record.Answer.sizeBytes()
		if size > maxArchiveBytes && i > 0 {
			return i
		}
	}
	return len(records)
}
