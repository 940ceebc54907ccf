package generation

import (
	"container/heap"
	"context"
	"sync"
)

// pacer bounds the replacement attempts that start concurrently, highest priority first, so that the
// streams of a lost availability zone don't overload the remaining targets. It is safe for concurrent use.
type pacer struct {
	mu        sync.Mutex
	freeSlots int
	waiting   pacerQueue
	arrivals  int
}

func newPacer(concurrency int) *pacer { return &pacer{freeSlots: concurrency} }

// pacerTicket is a place in the queue. Its index in the queue is -1 once it was taken out.
type pacerTicket struct {
	priority, arrival int
	admitted          chan struct{}
	index             int
}

// pacerQueue orders tickets by priority, then by arrival.
type pacerQueue []*pacerTicket

func (q pacerQueue) Len() int { return len(q) }

func (q pacerQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q pacerQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *pacerQueue) Push(x any) {
	ticket := x.(*pacerTicket)
	ticket.index = len(*q)
	*q = append(*q, ticket)
}

// Pop implements heap.Interface.
func (q *pacerQueue) Pop() any {
	last := len(*q) - 1
	ticket := (*q)[last]
	*q = (*q)[:last]
	ticket.index = -1
	return ticket
}

// acquire waits for a slot and returns the function that releases it.
func (p *pacer) acquire(ctx context.Context, priority int) (func(), error) {
	ticket := p.enqueue(priority)
	select {
	case <-ticket.admitted:
		return p.release, nil
	case <-ctx.Done():
		p.cancel(ticket)
		return nil, ctx.Err()
	}
}

func (p *pacer) enqueue(priority int) *pacerTicket {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals++
	ticket := &pacerTicket{priority: priority, arrival: p.arrivals, admitted: make(chan struct{})}
	heap.Push(&p.waiting, ticket)
	p.admitWaiting()
	return ticket
}

func (p *pacer) admitWaiting() {
	for p.freeSlots > 0 && len(p.waiting) > 0 {
		p.freeSlots--
		close(heap.Pop(&p.waiting).(*pacerTicket).admitted)
	}
}

func (p *pacer) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freeSlots++
	p.admitWaiting()
}

// cancel removes a ticket from the queue, or releases its slot if it was admitted in the meantime.
func (p *pacer) cancel(ticket *pacerTicket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ticket.index >= 0 {
		heap.Remove(&p.waiting, ticket.index)
		return
	}
	p.freeSlots++
	p.admitWaiting()
}
