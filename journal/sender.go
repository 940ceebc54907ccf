package journal

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/membership"
)

// maxBatchGenerations is the maximum number of generations in one batch.
const maxBatchGenerations = 512

// maxBatchBytes is the size from which on nothing more is added to a batch. A batch must arrive within
// DefaultTimeouts.Append also beside other traffic: 16 KB take 13 ms of a link of 1.25 MB/s. Whole records, which
// a new replica gets of all streams at once, would exceed it many times over.
const maxBatchBytes = 16 << 10

// sender sends operations to one peer, one batch at a time. What is queued while a batch is in flight is
// sent in the next one. Its goroutine runs only while there is work.
type sender struct {
	journal *Journal
	peer    membership.Peer

	mu       sync.Mutex
	running  bool
	queue    []*replicaHandle
	pointers []Pointer
	// consecutiveFailures is used only by the sender's goroutine.
	consecutiveFailures int
}

// replicaHandle is the state of one replica of one writer. The writer's lock guards it, except for
// queued, which the sender's lock guards.
type replicaHandle struct {
	writer *Writer
	sender *sender
	queued bool

	dropped   bool
	installed bool
	// acked is the number of positions that the replica holds.
	acked int
	// attempt is the attempt that the replica has stored, sent the one in the last operation.
	attempt, sent Attempt
}

func (s *sender) enqueue(h *replicaHandle) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !h.queued {
		h.queued = true
		s.queue = append(s.queue, h)
	}
	s.ensureRunning()
}

func (s *sender) enqueuePointer(pointer Pointer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pointers = append(s.pointers, pointer)
	s.ensureRunning()
}

// ensureRunning starts the sender's goroutine unless it runs.
func (s *sender) ensureRunning() {
	if s.running {
		return
	}
	s.running = true
	go s.run()
}

func (s *sender) run() {
	for {
		handles, pointers, more := s.takeQueued()
		if !more {
			return
		}
		s.sendBatch(handles, pointers)
	}
}

// takeQueued returns the operations of the next batch. With an empty queue it returns false, and the
// goroutine must end.
func (s *sender) takeQueued() ([]*replicaHandle, []Pointer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 && len(s.pointers) == 0 {
		s.running = false
		return nil, nil, false
	}
	count := min(len(s.queue), maxBatchGenerations)
	handles := append([]*replicaHandle(nil), s.queue[:count]...)
	s.queue = append([]*replicaHandle(nil), s.queue[count:]...)
	for _, h := range handles {
		h.queued = false
	}
	pointers := s.pointers
	s.pointers = nil
	return handles, pointers, true
}

// sendBatch sends one batch, with whatever each replica lacks at this moment, and processes the results.
func (s *sender) sendBatch(handles []*replicaHandle, pointers []Pointer) {
	batch := Batch{Pointers: pointers}
	var installing, appending []*replicaHandle
	size := 0
	for i, h := range handles {
		if size >= maxBatchBytes {
			s.requeueFirst(handles[i:])
			break
		}
		record, operation := h.writer.nextOperation(h)
		if record != nil {
			batch.Installs = append(batch.Installs, record)
			installing = append(installing, h)
			size += recordEncodedBytes + encodedBytes(record.Tokens)
		}
		if operation != nil {
			batch.Appends = append(batch.Appends, *operation)
			appending = append(appending, h)
			size += appendEncodedBytes + encodedBytes(operation.Tokens)
		}
	}
	if len(installing)+len(appending)+len(pointers) == 0 {
		return
	}
	s.countBatch(batch)
	start := time.Now()
	result, err := s.exchange(batch)
	if err != nil && time.Since(start) > s.timeout()+pauseThreshold {
		s.requeue(installing, appending)
		s.retryPointers(pointers)
		return
	}
	if err != nil {
		s.journal.markFailed(s.peer.Name)
		s.retryPointers(pointers)
		timedOut := errors.Is(err, context.DeadlineExceeded)
		handleFailures(installing, timedOut)
		handleFailures(appending, timedOut)
		s.consecutiveFailures++
		return
	}
	s.consecutiveFailures = 0
	s.journal.markAlive(s.peer.Name)
	handleResults(installing, result.Installs, true)
	handleResults(appending, result.Appends, false)
}

// recordEncodedBytes, appendEncodedBytes and tokenEncodedBytes are the approximate encoded sizes of a record, of an
// append and of a token, each without its tokens or text.
const (
	recordEncodedBytes = 200
	appendEncodedBytes = 40
	tokenEncodedBytes  = 2
)

func encodedBytes(tokens []string) int {
	size := 0
	for _, token := range tokens {
		size += tokenEncodedBytes + len(token)
	}
	return size
}

// requeueFirst puts handles that did not fit into a batch back to the head of the queue.
func (s *sender) requeueFirst(handles []*replicaHandle) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first []*replicaHandle
	for _, h := range handles {
		if !h.queued {
			h.queued = true
			first = append(first, h)
		}
	}
	s.queue = append(first, s.queue...)
}

const (
	// pointerRetry is the delay before a pointer is sent again, pointerTries the maximum number of tries.
	pointerRetry = 500 * time.Millisecond
	pointerTries = 20
)

// retryPointers queues pointers again that were not delivered.
func (s *sender) retryPointers(pointers []Pointer) {
	for _, pointer := range pointers {
		pointer.tries++
		if pointer.tries < pointerTries {
			time.AfterFunc(pointerRetry, func() { s.enqueuePointer(pointer) })
		}
	}
}

// pauseThreshold: a call that ends later than this after its timeout shows that this process was
// paused. It is repeated and does not count as a failure of the replica.
const pauseThreshold = 100 * time.Millisecond

func (s *sender) requeue(lists ...[]*replicaHandle) {
	for _, handles := range lists {
		for _, h := range handles {
			s.enqueue(h)
		}
	}
}

// timeout returns the timeout of the next batch; it doubles with every consecutive failure.
func (s *sender) timeout() time.Duration {
	return s.journal.options.Timeouts.Append << min(s.consecutiveFailures, maxTimeoutDoublings)
}

func (s *sender) exchange(batch Batch) (BatchResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout())
	defer cancel()
	return s.journal.options.Transport.Exchange(ctx, s.peer, batch)
}

func (s *sender) countBatch(batch Batch) {
	stats := &s.journal.stats
	stats.Batches.Add(1)
	stats.Operations.Add(int64(len(batch.Installs) + len(batch.Appends)))
	for i := range batch.Appends {
		stats.Tokens.Add(int64(len(batch.Appends[i].Tokens)))
	}
}

// maxTimeoutDoublings limits the doubling of the timeout for a peer that keeps being slow, since a writer
// without another replica continues to wait for it.
const maxTimeoutDoublings = 3

func handleFailures(handles []*replicaHandle, timedOut bool) {
	for _, h := range handles {
		h.writer.handleFailure(h, timedOut)
	}
}

// handleResults passes the results of a batch to the writers. A replica without a result is replaced.
func handleResults(handles []*replicaHandle, results []Result, install bool) {
	for i, h := range handles {
		if i >= len(results) {
			h.writer.drop(h)
			continue
		}
		h.writer.handleResult(h, results[i], install)
	}
}
