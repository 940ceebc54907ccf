package streamversion

import (
	"context"
	"slices"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/defect"
	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/membership"
)

const (
	// minWriteInterval and fleetWriteSpacing, times the number of entries, limit the writes of an entry: 160 a second of 8 entries
	// and 400 of 20 and more, which the smallest store takes. Streams that begin are fewer.
	minWriteInterval  = 50 * time.Millisecond
	fleetWriteSpacing = 2500 * time.Microsecond
	// rewriteInterval is the minimum time between a write that failed and the next.
	rewriteInterval = 250 * time.Millisecond
	// removeInterval is the time after which a write is made only to remove what is no longer needed.
	removeInterval = 30 * time.Second
	// writeTimeout limits a write to the store, which answers in milliseconds.
	writeTimeout = time.Second
	// readTimeout limits a read as a whole: the objects of hundreds of entries take tens of seconds on a slow link, and a read that
	// is cut begins again. The store's client ends a silent one sooner.
	readTimeout = time.Minute
	// minReadInterval is the minimum time between two reads of the store by an entry.
	minReadInterval = time.Second
	// keepers is the number of entries that keep the serving versions in the store.
	keepers = 3
	// keeperInterval is the time for which a choice of keepers holds, and successionTime that for which an entry that is no keeper any
	// more, or whose former process was one, goes on as one: its successors write theirs meanwhile.
	keeperInterval = 5 * time.Second
	successionTime = 4 * keeperInterval
	// keeperDelay is the time after its start from which an entry may be a keeper: until then it may know too few of the others.
	keeperDelay = 3 * time.Second
	// askedForServing is the number of peers that are asked for the serving versions when the store can't be read.
	askedForServing = 3
)

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	// EventRead: the objects of all entries were read from the store.
	EventRead EventKind = "stream-versions-read"
	// EventServingLearned: the versions that have served lately were learned from a peer.
	EventServingLearned EventKind = "serving-versions-learned"
	// EventStoreLost and EventStoreRegained: calls to the store fail, and succeed again.
	EventStoreLost     EventKind = "stream-version-store-lost"
	EventStoreRegained EventKind = "stream-version-store-regained"
	// EventStoreRestored: the store was restored from an older copy, so that what this entry keeps there is written again.
	EventStoreRestored EventKind = "stream-version-store-restored"
	// EventUnusable: an object in the store can't be decoded.
	EventUnusable EventKind = "stream-versions-unusable"
	// EventDeleted: the object of an entry that has left was deleted.
	EventDeleted EventKind = "stream-versions-deleted"
)

// Event is a change of what a Manager knows.
type Event struct {
	Kind EventKind
	// Entry is the entry of the object, or the peer.
	Entry string
	// Entries and Streams count what was read.
	Entries, Streams int
	Serving          map[string][]string
	Err              error
}

// Run learns what the store holds of other entries and of this one's former process, and keeps the records of this entry in the
// store, until ctx ends. It writes nothing before a read has succeeded: that would replace what the former process wrote.
func (m *Manager) Run(ctx context.Context) error {
	if m.options.Store == nil {
		<-ctx.Done()
		return nil
	}
	for !m.readStore(ctx) {
		m.learnServing(ctx)
		if wait.For(ctx, minReadInterval) != nil {
			return nil
		}
	}
	check := time.NewTicker(minReadInterval)
	defer check.Stop()
	for {
		m.collectGarbage(ctx)
		called, err := m.writeStore(ctx)
		pause := max(minWriteInterval, time.Duration(len(m.options.View.Live()))*fleetWriteSpacing)
		switch {
		case err != nil:
			pause = max(pause, rewriteInterval)
		case !called:
			pause = 0
			select {
			case <-ctx.Done():
				return nil
			case <-m.unsaved:
			case <-check.C:
			}
		}
		if wait.For(ctx, pause) != nil {
			return nil
		}
	}
}

// chooseKeepers updates whether this entry keeps the serving versions in the store, and whether it is the first of those.
func (m *Manager) chooseKeepers(now time.Time) {
	if now.Sub(m.startedAt) < keeperDelay || now.Sub(m.keepersChosenAt) < keeperInterval {
		return
	}
	m.keepersChosenAt = now
	self := m.options.View.Self().Name
	ranked := membership.Rank(m.options.View.Live(), "stream-version-keepers")
	place := slices.IndexFunc(ranked, func(peer membership.Peer) bool { return peer.Name == self })
	if place >= 0 && place < keepers {
		m.keeperUntil = now.Add(successionTime)
	}
	m.isFirstKeeper = place == 0
}

// content returns what the store is to hold of this entry.
func (m *Manager) content(now time.Time) Content {
	m.chooseKeepers(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	content := Content{Streams: m.own.byVersion()}
	if now.Before(m.keeperUntil) {
		content.Serving = m.serving.all(now)
	}
	return content
}

// writeStore brings the store's object up to date. It reports whether it made a call, which failed if err is set.
func (m *Manager) writeStore(ctx context.Context) (called bool, err error) {
	now := time.Now()
	content := m.content(now)
	m.checkEra(content)
	isNew := m.mustRewrite || m.saved.lacks(content)
	isSurplus := content.lacks(m.saved)
	if !isNew && (!isSurplus || now.Sub(m.savedAt) < removeInterval) {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err = m.options.Store.WriteStreamVersions(ctx, m.options.View.Self().Name, content)
	m.stats.Writes.Add(1)
	m.recordStoreState(err)
	if err == nil {
		m.saved, m.savedAt, m.mustRewrite = content, now, false
	}
	return true, err
}

// checkEra has the content written again if the store was restored from an older copy, which may lack it, or hold more.
func (m *Manager) checkEra(content Content) {
	era := m.options.Store.Era()
	if era == m.storeEra {
		return
	}
	if m.storeEra != 0 {
		nothing := Content{}
		m.mustRewrite = m.mustRewrite || nothing.lacks(content) || nothing.lacks(m.saved)
		m.left = nil // revisions are given out again
		m.options.Observe(Event{Kind: EventStoreRestored, Entry: m.options.View.Self().Name})
	}
	m.storeEra = era
}

// readStore reads the store, or waits for the read in progress. It reports whether the store has been read since the start.
func (m *Manager) readStore(ctx context.Context) bool {
	select {
	case <-m.startRead():
	case <-ctx.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hasRead
}

// startRead starts a read of the store, or joins the one in progress. The channel is closed when the read ends, or at once if
// the last one was too recent.
func (m *Manager) startRead() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reading != nil {
		return m.reading
	}
	done := make(chan struct{})
	if time.Now().Before(m.nextRead) {
		close(done)
		return done
	}
	m.reading = done
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		defer cancel()
		objects, err := m.options.Store.ReadStreamVersions(ctx, false)
		m.stats.Reads.Add(1)
		m.recordStoreState(err)
		if err == nil {
			m.merge(objects, time.Now())
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.nextRead = time.Now().Add(minReadInterval)
		m.reading = nil
		close(done)
	}()
	return done
}

// merge adds what the store holds to what this entry knows.
func (m *Manager) merge(objects []Object, now time.Time) {
	event := Event{Kind: EventRead}
	self := m.options.View.Self().Name
	for _, object := range objects {
		if object.Unusable {
			m.options.Observe(Event{Kind: EventUnusable, Entry: object.Entry})
		}
	}
	m.mu.Lock()
	expires := now.Add(recordTTL)
	for _, object := range objects {
		if object.Unusable || defect.Enabled(defect.VersionsForgotten) {
			continue
		}
		event.Entries++
		for service, versions := range object.Serving {
			m.serving.observe(service, versions, now)
		}
		for version, streams := range object.Streams {
			event.Streams += len(streams)
			for _, stream := range streams {
				m.restored.Add(stream, restoredStream{version, expires})
				if object.Entry == self && !m.hasRead {
					m.own.add(stream, version, expires)
				}
			}
		}
		if object.Entry == self && !m.hasRead {
			m.saved, m.savedAt = object.Content, now
			if len(object.Serving) > 0 {
				m.keeperUntil = now.Add(successionTime)
			}
		}
	}
	m.hasRead, m.servingKnown, m.readAt = true, true, now
	event.Serving = m.serving.all(now)
	m.mu.Unlock()
	m.options.Observe(event)
}

// learnServing asks peers for the versions that have served lately.
func (m *Manager) learnServing(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	for _, peer := range m.ranked(m.options.View.Self().Name, askedForServing) {
		serving, known, err := m.options.Transport.Serving(ctx, peer)
		if err != nil || !known {
			continue
		}
		now := time.Now()
		m.mu.Lock()
		for service, versions := range serving {
			m.serving.observe(service, versions, now)
		}
		m.servingKnown = true
		m.mu.Unlock()
		m.options.Observe(Event{Kind: EventServingLearned, Entry: peer.Name, Serving: serving})
		return
	}
}

// foreignObject is an object of an entry that was not live when it was seen.
type foreignObject struct {
	revision int64
	seenAt   time.Time
}

// collectGarbage has the first keeper delete the objects of entries that left for good: those that are not live and whose
// object has not changed for servingTTL.
func (m *Manager) collectGarbage(ctx context.Context) {
	now := time.Now()
	if !m.isFirstKeeper || now.Sub(m.collectedAt) < servingTTL {
		return
	}
	m.collectedAt = now
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	objects, err := m.options.Store.ReadStreamVersions(ctx, true)
	m.stats.Reads.Add(1)
	m.recordStoreState(err)
	if err != nil {
		return
	}
	live := map[string]bool{}
	for _, peer := range m.options.View.Live() {
		live[peer.Name] = true
	}
	left := map[string]foreignObject{}
	for _, object := range objects {
		if live[object.Entry] {
			continue
		}
		known, found := m.left[object.Entry]
		if !found || known.revision != object.Revision {
			known = foreignObject{object.Revision, now}
		}
		left[object.Entry] = known
		if now.Sub(known.seenAt) < servingTTL {
			continue
		}
		err := m.options.Store.DeleteStreamVersions(ctx, object.Entry, object.Revision)
		m.stats.Writes.Add(1)
		m.options.Observe(Event{Kind: EventDeleted, Entry: object.Entry, Err: err})
	}
	m.left = left
}

// recordStoreState records whether the store can be called, and reports changes of this.
func (m *Manager) recordStoreState(err error) {
	if failing := err != nil; m.storeFailing.Swap(failing) != failing {
		kind := EventStoreRegained
		if failing {
			kind = EventStoreLost
		}
		m.options.Observe(Event{Kind: kind, Err: err})
	}
}
