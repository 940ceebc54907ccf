package journal

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/membership"
)

// Writer is the Appender of one generation.
type Writer struct {
	journal  *Journal
	observer Observer

	mu         sync.Mutex
	record     *Record
	handles    []*replicaHandle
	committed  int
	degraded   bool
	superseded bool
	closed     bool
	// failingSince is when the last replica that holds the record stopped answering, zero while one
	// answers.
	failingSince time.Time
	// firstAnswered is closed once unanswered is 0, or the writer is superseded.
	firstAnswered     chan struct{}
	firstAnsweredOnce sync.Once
	// unanswered counts the first replicas that have neither stored the record nor been replaced.
	unanswered int
}

var _ Appender = (*Writer)(nil)

// StartReplication starts the replication of a record, which the returned Appender then owns.
func (j *Journal) StartReplication(record *Record, observer Observer) Appender {
	w := &Writer{journal: j, observer: observer, record: record, firstAnswered: make(chan struct{})}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addReplicas()
	w.unanswered = len(w.handles)
	w.reportProgress()
	return w
}

// WaitForReplicas implements Appender.
func (w *Writer) WaitForReplicas(ctx context.Context) error {
	select {
	case <-w.firstAnswered:
	case <-ctx.Done():
		return ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.superseded {
		return ErrKeyTaken
	}
	return nil
}

// Append implements Appender.
func (w *Writer) Append(tokens []string, finish string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Tokens = append(w.record.Tokens, tokens...)
	if finish != "" {
		w.record.Finish = finish
	}
	w.addReplicas()
	w.enqueueAll()
	w.reportProgress()
}

// SetAttempt implements Appender.
func (w *Writer) SetAttempt(attempt Attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Attempt = attempt
	w.enqueueAll()
}

// Close implements Appender.
func (w *Writer) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
}

// enqueueAll queues the record at the sender of each replica.
func (w *Writer) enqueueAll() {
	for _, h := range w.handles {
		h.sender.enqueue(h)
	}
}

// addReplicas chooses replicas until there are replicaCount of them or no peer is left. It does nothing
// once the writer is closed or superseded.
func (w *Writer) addReplicas() {
	for len(w.handles) < replicaCount && !w.superseded && !w.closed {
		peer, found := w.journal.nextReplica(w.record.Key, w.peers(), failureCooldown)
		if !found && w.needsRecentlyFailed() {
			peer, found = w.journal.nextReplica(w.record.Key, w.peers(), degradedCooldown)
		}
		if !found {
			return
		}
		h := &replicaHandle{writer: w, sender: w.journal.sender(peer)}
		w.handles = append(w.handles, h)
		w.publishPointer()
		h.sender.enqueue(h)
	}
}

// needsRecentlyFailed reports whether a peer that failed within failureCooldown is better than one replica less. It
// isn't as long as the first token waits for the replicas, unless there is none.
func (w *Writer) needsRecentlyFailed() bool {
	return len(w.handles) == 0 || w.record.Length() > 0
}

func (w *Writer) peers() []membership.Peer {
	peers := make([]membership.Peer, len(w.handles))
	for i, h := range w.handles {
		peers[i] = h.sender.peer
	}
	return peers
}

// publishPointer tells the first ranks which replicas outside of them hold the record, so that look-ups
// find these.
func (w *Writer) publishPointer() {
	ranked := w.journal.ranked(w.record.Key)
	first := ranked[:min(firstRanks, len(ranked))]
	var outside []string
	for _, peer := range w.peers() {
		if !slices.ContainsFunc(first, func(p membership.Peer) bool { return p.Name == peer.Name }) {
			outside = append(outside, peer.Name)
		}
	}
	if len(outside) == 0 {
		return
	}
	pointer := Pointer{Key: w.record.Key, Replicas: outside}
	for _, peer := range first {
		w.journal.sendPointer(peer, pointer)
	}
}

func (j *Journal) sendPointer(peer membership.Peer, pointer Pointer) {
	if peer.Name == j.options.View.Self().Name {
		j.options.Store.Exchange(Batch{Pointers: []Pointer{pointer}})
		return
	}
	j.sender(peer).enqueuePointer(pointer)
}

// nextOperation returns what the replica lacks: the whole record, or an append with the rest of it.
// Both are nil when it lacks nothing.
func (w *Writer) nextOperation(h *replicaHandle) (*Record, *Append) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.dropped || w.superseded {
		return nil, nil
	}
	h.sent = w.record.Attempt
	if !h.installed {
		return w.record.Clone(), nil
	}
	if h.acked >= w.record.Length() && h.attempt == w.record.Attempt {
		return nil, nil
	}
	from := min(h.acked, len(w.record.Tokens))
	return nil, &Append{
		Key:        w.record.Key,
		Generation: w.record.Generation,
		Term:       w.record.Term,
		From:       from,
		Tokens:     slices.Clone(w.record.Tokens[from:]),
		Finish:     w.record.Finish,
		Attempt:    w.record.Attempt,
	}
}

// handleResult processes the result of one operation at a replica; install reports its kind.
func (w *Writer) handleResult(h *replicaHandle, result Result, install bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.dropped {
		return
	}
	switch result.Code {
	case Accepted:
		w.handleAccepted(h, result, install)
	case Missing:
		h.installed = false
		h.sender.enqueue(h)
	case Superseded:
		w.supersede(result.Term)
	default:
		w.replace(h)
	}
	w.reportProgress()
}

func (w *Writer) handleAccepted(h *replicaHandle, result Result, install bool) {
	if install && !h.installed {
		w.markAnswered()
	}
	h.installed = true
	w.failingSince = time.Time{}
	h.acked = max(h.acked, result.Held)
	h.attempt = h.sent
	w.observer.AttemptRecorded(h.attempt)
	if h.acked < w.record.Length() || h.attempt != w.record.Attempt {
		h.sender.enqueue(h)
	}
}

func (w *Writer) supersede(term int) {
	if w.superseded {
		return
	}
	w.superseded = true
	w.firstAnsweredOnce.Do(func() { close(w.firstAnswered) })
	w.observer.Superseded(term)
}

// lastReplicaTimeout is how long a record waits for its only replica before it continues without
// replicas.
const lastReplicaTimeout = 500 * time.Millisecond

// handleFailure handles a failed call to a replica. One that timed out is kept for lastReplicaTimeout
// when no other replica holds the record, since tokens that no replica holds are lost if this entry
// fails.
func (w *Writer) handleFailure(h *replicaHandle, timedOut bool) {
	if !timedOut || !w.keepLastReplica(h) {
		w.drop(h)
	}
}

// keepLastReplica queues the record for the replica again if no other replica holds it and
// lastReplicaTimeout has not passed, and reports whether it did.
func (w *Writer) keepLastReplica(h *replicaHandle) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	others := slices.ContainsFunc(w.handles, func(other *replicaHandle) bool { return other != h && other.installed })
	if h.dropped || others || w.closed {
		return false
	}
	if w.failingSince.IsZero() {
		w.failingSince = time.Now()
	}
	if time.Since(w.failingSince) >= lastReplicaTimeout {
		return false
	}
	h.sender.enqueue(h)
	w.addReplicas()
	return true
}

// drop replaces a replica.
func (w *Writer) drop(h *replicaHandle) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.dropped {
		return
	}
	w.replace(h)
	w.reportProgress()
}

// replace removes a replica and chooses another one.
func (w *Writer) replace(h *replicaHandle) {
	h.dropped = true
	w.journal.stats.ReplicasReplaced.Add(1)
	w.handles = slices.DeleteFunc(w.handles, func(other *replicaHandle) bool { return other == h })
	if !h.installed {
		w.markAnswered()
	}
	w.addReplicas()
}

func (w *Writer) markAnswered() {
	if w.unanswered > 0 {
		w.unanswered--
	}
}

// reportProgress notifies the observer when the commit position advances or the degradation changes,
// and releases the callers that wait for the first replicas.
func (w *Writer) reportProgress() {
	if w.unanswered == 0 {
		w.firstAnsweredOnce.Do(func() { close(w.firstAnswered) })
	}
	if w.superseded {
		return
	}
	acks := w.acks()
	if w.hasNoReplica() {
		acks = nil
	}
	if degraded := len(acks) == 0; degraded != w.degraded {
		w.degraded = degraded
		w.observer.Degraded(degraded)
	}
	position := commitPosition(w.record.Length(), w.committed, acks)
	if position > w.committed {
		w.committed = position
		w.observer.PositionCommitted(position)
	}
}

// hasNoReplica reports whether no replica holds the record and lastReplicaTimeout has passed.
func (w *Writer) hasNoReplica() bool {
	if w.failingSince.IsZero() || time.Since(w.failingSince) < lastReplicaTimeout {
		return false
	}
	return !slices.ContainsFunc(w.handles, func(h *replicaHandle) bool { return h.installed })
}

// ack is the state of one replica; held counts the positions that it holds.
type ack struct {
	installed bool
	held      int
}

func (w *Writer) acks() []ack {
	acks := make([]ack, len(w.handles))
	for i, h := range w.handles {
		acks[i] = ack{installed: h.installed, held: h.acked}
	}
	return acks
}

// commitPosition returns the position up to which every replica that has the record installed holds
// the log. A replica that was just added doesn't hold the position back, unless it is the only one.
// Without replicas the whole log is committed: the generation continues, degraded.
func commitPosition(length, committed int, acks []ack) int {
	if len(acks) == 0 {
		return length
	}
	position := -1
	for _, a := range acks {
		if a.installed && (position < 0 || a.held < position) {
			position = a.held
		}
	}
	return max(position, committed)
}
