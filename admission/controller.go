package admission

import (
	"context"
	"sync"
	"time"
)

// QueueLimits limits the queues of an entry. Zero values mean the defaults.
type QueueLimits struct {
	// MaxRequests is the maximum number of requests queued for one deployment, MaxBytes the maximum memory
	// that they hold.
	MaxRequests, MaxBytes int
	// MaxWait is the maximum time that a request is queued; one that would wait longer is rejected at
	// once.
	MaxWait time.Duration
}

// Defaults of QueueLimits.
const (
	DefaultMaxRequests = 256
	DefaultMaxBytes    = 64 << 20
	DefaultMaxWait     = 2 * time.Second
)

const (
	// maxExpectedWaitRatio is the fraction of the maximum wait that a request may expect on arrival;
	// the rest is left for more urgent requests that arrive later.
	maxExpectedWaitRatio  = 0.5
	concurrencyRetryAfter = time.Second
	minRetryAfter         = 100 * time.Millisecond
	renewInterval         = time.Second
	renewTimeout          = 500 * time.Millisecond
	// firstGrantTimeout limits how long a customer's first request waits for the answer of the quota
	// owner.
	firstGrantTimeout = 100 * time.Millisecond
)

// Options configures a Controller. If Capacity is nil, only the customers' limits apply.
type Options struct {
	Customers   Customers
	Capacity    Capacity
	Members     Members
	QuotaOwners QuotaOwners
	QueueLimits QueueLimits
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Controller admits requests at one entry. It is safe for concurrent use.
type Controller struct {
	options Options

	mutex         sync.Mutex
	quotas        map[string]*quota
	queues        map[string]*queue
	quotaAccounts map[string]*quotaAccount
	ownership     ownership
	budgets       map[string]*RetryBudget
}

// NewController returns a Controller. Its quota leases are renewed by Run.
func NewController(options Options) *Controller {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.QueueLimits.MaxRequests == 0 {
		options.QueueLimits.MaxRequests = DefaultMaxRequests
	}
	if options.QueueLimits.MaxBytes == 0 {
		options.QueueLimits.MaxBytes = DefaultMaxBytes
	}
	if options.QueueLimits.MaxWait == 0 {
		options.QueueLimits.MaxWait = DefaultMaxWait
	}
	return &Controller{
		options:       options,
		quotas:        map[string]*quota{},
		queues:        map[string]*queue{},
		quotaAccounts: map[string]*quotaAccount{},
		budgets:       map[string]*RetryBudget{},
	}
}

// Ticket is the permission to run one request. Done must be called when the request has ended.
type Ticket struct {
	controller *Controller
	request    Request
	admittedAt time.Time
	once       sync.Once
}

// PendingRequest is a request that has been admitted or is queued.
type PendingRequest struct {
	controller *Controller
	waiter     *waiter
}

// Ready returns a channel that is closed once the request is admitted.
func (p *PendingRequest) Ready() <-chan struct{} { return p.waiter.admitted }

// Ticket returns the permission to run the request; it must only be called after Ready is closed.
func (p *PendingRequest) Ticket() *Ticket {
	return &Ticket{controller: p.controller, request: p.waiter.request, admittedAt: p.waiter.admittedAt}
}

// Cancel removes the request from its queue. It returns false if the request has been admitted
// meanwhile.
func (p *PendingRequest) Cancel() bool { return p.controller.cancelWait(p.waiter) }

// Admit waits until the request may run. If the request is rejected, Admit returns a *RejectedError,
// without waiting when the expected wait is too long.
func (c *Controller) Admit(ctx context.Context, request Request) (*Ticket, error) {
	pending, err := c.Enter(ctx, request)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(c.options.QueueLimits.MaxWait)
	defer timer.Stop()
	var reason error
	select {
	case <-pending.Ready():
		return pending.Ticket(), nil
	case <-ctx.Done():
		reason = ctx.Err()
	case <-timer.C:
		reason = &RejectedError{Reason: ReasonTooLate, RetryAfter: concurrencyRetryAfter}
	}
	if pending.Cancel() {
		return nil, reason
	}
	return pending.Ticket(), nil // it was admitted at the same moment
}

// Enter admits, queues or rejects the request, without waiting for a free slot.
func (c *Controller) Enter(ctx context.Context, request Request) (*PendingRequest, error) {
	if err := c.acquireFirstGrant(ctx, request.Customer); err != nil {
		return nil, err
	}
	now := c.options.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	limits := c.options.Customers.Limits(request.Customer)
	quota := c.quota(request.Customer)
	quota.replaceExpiredLease(limits, c.entries(), now)
	if refused := quota.admit(request, limits, now); refused != nil {
		return nil, refused
	}
	queue := c.queue(request.Deployment)
	arrival := &waiter{request: request, arrivedAt: now, admitted: make(chan struct{})}
	if !queue.hasFreeSlot(request.Priority) || queue.countAhead(arrival, now) > 0 {
		if refused := c.checkQueueLimits(queue, arrival, now); refused != nil {
			quota.release(request, 0, limits, now)
			return nil, refused
		}
	}
	queue.add(arrival)
	c.admitWaiting(queue, now)
	return &PendingRequest{c, arrival}, nil
}

// checkQueueLimits rejects a request that would wait too long or for which the queue has no room.
func (c *Controller) checkQueueLimits(queue *queue, arrival *waiter, now time.Time) *RejectedError {
	limits := c.options.QueueLimits
	wait := queue.expectedWait(arrival, now)
	request := arrival.request
	retryAfter := max(minRetryAfter, wait)
	full := len(queue.waiting) >= limits.MaxRequests || queue.bytes+request.Bytes > limits.MaxBytes
	customerFull := float64(queue.countWaiting(request.Customer)) >= maxCustomerQueueRatio*float64(limits.MaxRequests)
	if full || customerFull {
		return &RejectedError{Reason: ReasonQueueFull, RetryAfter: retryAfter}
	}
	late := !request.Deadline.IsZero() && now.Add(wait).After(request.Deadline)
	if float64(wait) > maxExpectedWaitRatio*float64(limits.MaxWait) || late {
		return &RejectedError{Reason: ReasonTooLate, RetryAfter: retryAfter}
	}
	return nil
}

// cancelWait removes a request from its queue. It returns false if the request was admitted before.
func (c *Controller) cancelWait(waiting *waiter) bool {
	now := c.options.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !waiting.admittedAt.IsZero() {
		return false
	}
	request := waiting.request
	c.queue(request.Deployment).remove(waiting)
	c.quota(request.Customer).release(request, 0, c.options.Customers.Limits(request.Customer), now)
	return true
}

// admitWaiting admits queued requests as long as there are free slots.
func (c *Controller) admitWaiting(queue *queue, now time.Time) {
	for {
		next := queue.takeNext(now)
		if next == nil {
			return
		}
		queue.running++
		c.budget(next.request.Deployment).Earn()
		next.admittedAt = now
		close(next.admitted)
	}
}

// Done ends the request. generated is the number of tokens that it generated.
func (t *Ticket) Done(generated int) {
	t.once.Do(func() { t.controller.finish(t, generated) })
}

func (c *Controller) finish(t *Ticket, generated int) {
	now := c.options.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	limits := c.options.Customers.Limits(t.request.Customer)
	c.quota(t.request.Customer).release(t.request, generated, limits, now)
	queue := c.queue(t.request.Deployment)
	queue.running--
	queue.recordHoldTime(now.Sub(t.admittedAt))
	c.admitWaiting(queue, now)
}

// AllowRetry reports whether a deployment's budget allows a retry, and charges the budget for it.
func (c *Controller) AllowRetry(deployment string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.budget(deployment).Spend()
}

func (c *Controller) quota(customer string) *quota {
	q, ok := c.quotas[customer]
	if !ok {
		q = &quota{renewedAt: c.options.Now()}
		c.quotas[customer] = q
	}
	return q
}

// queue returns a deployment's queue with its current number of slots.
func (c *Controller) queue(deployment string) *queue {
	q, ok := c.queues[deployment]
	if !ok {
		q = newQueue()
		c.queues[deployment] = q
	}
	if c.options.Capacity != nil {
		total := c.options.Capacity.Slots(deployment)
		entries := c.entries()
		q.slots = (total + entries - 1) / entries
	}
	return q
}

func (c *Controller) budget(deployment string) *RetryBudget {
	b, ok := c.budgets[deployment]
	if !ok {
		b = NewRetryBudget()
		c.budgets[deployment] = b
	}
	return b
}

func (c *Controller) entries() int { return max(1, len(c.options.Members.Live())) }
