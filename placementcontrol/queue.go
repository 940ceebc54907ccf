package placementcontrol

import (
	"context"
	"slices"
	"time"

	"github.com/azurebarrow/azurebarrow/admission"
	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/routing"
)

const (
	// holdTime is how long a repeated request is held, unless it is decided before.
	holdTime = 250 * time.Millisecond
	// maxHeld is the number of requests that are held at the same time. Each takes one of the connections from peers, of which the smallest
	// VM has 768, and the membership needs some of them. Further requests are answered at once.
	maxHeld = 192
	// repeatWithin is the time within which a queued stream must be repeated.
	repeatWithin = 500 * time.Millisecond
	// repeatGrace is the time after the answer to a request in which the next one is certain to come, unless the entry or its caller is lost.
	repeatGrace = 50 * time.Millisecond
	// decideInterval is the least time between two looks at a queue: each looks at all engines for several streams.
	decideInterval = 10 * time.Millisecond
	// maxDecisions is the number of streams that get room at one look, during which all other messages wait.
	maxDecisions = 16
	// replacedRetryAfter is the time after which a caller may return whose request ID another request has taken over.
	replacedRetryAfter = time.Second
)

// waiter is a stream that waits for room. Manager.coordinatedMu guards it.
type waiter struct {
	request Request
	// seenAt is when the last request arrived, or when it was answered.
	seenAt time.Time
	// holds gets the answer to the request that is held; nil while none is.
	holds chan held
	// polls is set if the last request was not held although it repeated another one.
	polls bool
	// decided is the answer to the next request; nil while the stream is in the queue.
	decided *Answer
}

// held is the answer to a request that was held.
type held struct {
	answer Answer
	err    error
}

// isPresent reports whether the stream's next request is held, or certain to come soon.
func (w *waiter) isPresent(now time.Time) bool {
	grace := repeatGrace
	if w.polls {
		grace += minRepeatInterval
	}
	return w.holds != nil || now.Sub(w.seenAt) <= grace
}

// answerHeld answers the request that is held, and reports whether there is one.
func (w *waiter) answerHeld(answer held) bool {
	if w.holds == nil {
		return false
	}
	w.holds <- answer
	w.holds = nil
	return true
}

// deliver ends the wait of a stream, which is no longer in the queue. The answer is kept for the next request if none is held.
func (c *coordination) deliver(id string, w *waiter, answer Answer) {
	if w.answerHeld(held{answer: answer}) {
		delete(c.waiters, id)
		return
	}
	w.decided = &answer
}

// queueID identifies the stream among all that wait. Callers choose the IDs of their requests, so that two customers may use the same.
func (r *Request) queueID() string { return r.Customer + "\x00" + r.ID }

// noStreams is the number of streams that any customer has in progress. The entries' states don't name customers; the queue counts what
// was admitted lately.
func noStreams(string) int { return 0 }

// enqueue answers a request, or holds it: then the answer comes through holds. The caller holds coordinatedMu.
func (m *Manager) enqueue(c *coordination, request *Request, query routing.SharedQuery) (w *waiter, holds chan held, answer Answer) {
	now := m.options.Now()
	id := request.queueID()
	w = c.waiters[id]
	if !slices.ContainsFunc(query.Engines, query.Allows) { // no engine can get room for it
		if w != nil {
			w.answerHeld(held{})
			c.removeWaiter(id)
		}
		return nil, nil, Answer{}
	}
	if w == nil {
		if c.view.HasRoom(query) && !m.anyWaitsForRoom(c, query) {
			c.queue.RecordPlaced(request.Priority, request.Customer)
			return nil, nil, c.place(query)
		}
		refused, retryAfter := c.queue.Add(admission.QueuedStream{
			Request: id, Customer: request.Customer, Prompt: request.Affinity, Priority: request.Priority, Arrived: now.Add(-max(0, request.Waited)),
			Objective: request.Objective, Deadline: query.Deadline,
		}, noStreams)
		if refused {
			return nil, nil, Answer{Refused: true, RetryAfter: retryAfter}
		}
		w = &waiter{}
		c.waiters[id] = w
	}
	if w.decided != nil {
		delete(c.waiters, id)
		return nil, nil, *w.decided
	}
	// The other request with the ID is one whose caller has left and returned.
	w.answerHeld(held{answer: Answer{Refused: true, RetryAfter: replacedRetryAfter}})
	holds = make(chan held, 1)
	w.request, w.seenAt, w.holds, w.polls = *request, now, holds, false
	w.request.Engines, w.request.Paces, w.request.Tickets = nil, nil, nil // the view has them, and 4,096 streams may wait
	m.decide(c)
	m.wakeQueue()
	switch {
	case len(holds) > 0:
		return nil, nil, (<-holds).answer
	case !request.Queued || m.held.Load() >= maxHeld:
		w.holds, w.polls = nil, request.Queued
		return nil, nil, Answer{Queued: true, Position: c.queue.Len()}
	}
	m.held.Add(1)
	return w, holds, Answer{}
}

// maxFailedChecks bounds the streams without room that one look at a queue checks against all engines.
const maxFailedChecks = 8

// roomLook is one look at the streams of a queue, during which no engine gets more room.
type roomLook struct {
	// failed are the streams that have found no room.
	failed []routing.SharedQuery
}

// hasRoom reports whether an engine has room for the stream. A stream that needs as much as one without room is not checked; that the entry of
// the former may have lost a zone alone, which lasts for a second, is neglected.
func (l *roomLook) hasRoom(view View, query routing.SharedQuery) bool {
	if len(l.failed) >= maxFailedChecks {
		return false
	}
	for _, each := range l.failed {
		if each.Size.Prompt <= query.Size.Prompt && each.Size.Output <= query.Size.Output && query.CachedAt == "" &&
			len(each.Exclude) == 0 && each.Objective >= query.Objective && query.Objective > 0 {
			return false
		}
	}
	if view.HasRoom(query) {
		return true
	}
	l.failed = append(l.failed, query)
	return false
}

// anyWaitsForRoom reports whether one of the first streams in the queue would get the room that a new stream finds. The others wait for
// more than there is, such as an engine that can take a long prompt, and don't hold the new one up. The caller holds coordinatedMu.
func (m *Manager) anyWaitsForRoom(c *coordination, query routing.SharedQuery) bool {
	look := roomLook{}
	_, found := c.queue.NextFitting(noStreams, func(stream admission.QueuedStream) bool {
		w := c.waiters[stream.Request]
		return w != nil && look.hasRoom(c.view, m.sharedQuery(&w.request, query.Spec, query.Engines))
	})
	return found
}

// hold waits for the answer to a request that is held.
func (m *Manager) hold(ctx context.Context, c *coordination, w *waiter, holds chan held, request *Request) (Answer, error) {
	defer m.held.Add(-1)
	timer := time.NewTimer(holdTime)
	defer timer.Stop()
	select {
	case decided := <-holds:
		return decided.answer, decided.err
	case <-timer.C:
	case <-ctx.Done():
	}
	m.coordinatedMu.Lock()
	defer m.coordinatedMu.Unlock()
	isGone := ctx.Err() != nil
	if w.holds != holds { // answered just now
		decided := <-holds
		if isGone && decided.answer.Engine != "" {
			c.view.Update(request.Entry, request.Incarnation, 0, nil, nil, []uint64{decided.answer.Ticket}) // releases the reservation
		}
		return decided.answer, decided.err
	}
	w.holds, w.seenAt = nil, m.options.Now()
	if isGone {
		c.removeWaiter(request.queueID())
		return Answer{}, ctx.Err()
	}
	return Answer{Queued: true, Position: c.queue.Len()}, nil
}

// removeWaiter removes a stream that got no room.
func (c *coordination) removeWaiter(id string) {
	c.queue.Remove(id, false)
	delete(c.waiters, id)
}

// decide gives free room to waiting streams, and refuses those that can no longer be served. The caller holds coordinatedMu.
func (m *Manager) decide(c *coordination) {
	now := m.options.Now()
	if len(c.waiters) == 0 || now.Sub(c.decidedAt) < decideInterval {
		return
	}
	c.decidedAt = now
	for id, w := range c.waiters {
		if w.holds == nil && now.Sub(w.seenAt) > repeatWithin {
			c.removeWaiter(id)
		}
	}
	m.refuseExpired(c)
	spec, engines := m.options.Service(c.service)
	if spec == nil {
		return
	}
	// A stream that hasn't repeated its request gets no room: its entry may be lost, and the room with it.
	look := roomLook{}
	fits := func(stream admission.QueuedStream) bool {
		w := c.waiters[stream.Request]
		return w != nil && w.isPresent(now) && look.hasRoom(c.view, m.sharedQuery(&w.request, spec, engines))
	}
	for range maxDecisions {
		next, ok := c.queue.NextFitting(noStreams, fits)
		if !ok {
			return
		}
		w := c.waiters[next.Request]
		c.queue.Remove(next.Request, true)
		c.deliver(next.Request, w, c.place(m.sharedQuery(&w.request, spec, engines)))
	}
}

// refuseExpired refuses the streams that can no longer be served. The caller holds coordinatedMu.
func (m *Manager) refuseExpired(c *coordination) {
	expired, retryAfter := c.queue.Expired()
	for i, stream := range expired {
		if i > 0 {
			retryAfter = c.queue.RetryAfter(stream)
		}
		if w := c.waiters[stream.Request]; w != nil {
			c.deliver(stream.Request, w, Answer{Refused: true, RetryAfter: retryAfter})
		}
	}
}

// wakeQueue has runQueue look at the queues until they are empty.
func (m *Manager) wakeQueue() {
	select {
	case m.waiting <- struct{}{}:
	default:
	}
}

// runQueue looks at the queues while streams wait: room also comes of states and reservations that expire.
func (m *Manager) runQueue(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.waiting:
		}
		for m.decideAll() {
			if wait.For(ctx, decideInterval) != nil {
				return
			}
		}
	}
}

// decideAll looks at all queues, and reports whether any stream waits.
func (m *Manager) decideAll() (anyWaits bool) {
	m.coordinatedMu.Lock()
	defer m.coordinatedMu.Unlock()
	for _, c := range m.coordinated {
		m.decide(c)
		anyWaits = anyWaits || len(c.waiters) > 0
	}
	return anyWaits
}

// QueueLength returns the number of streams with a priority from first to last that wait here.
func (m *Manager) QueueLength(first, last int) int {
	m.coordinatedMu.Lock()
	defer m.coordinatedMu.Unlock()
	count := 0
	for _, c := range m.coordinated {
		for _, w := range c.waiters {
			if w.decided == nil && w.request.Priority >= first && w.request.Priority <= last {
				count++
			}
		}
	}
	return count
}
