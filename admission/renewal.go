package admission

import (
	"context"
	"errors"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurebarrow/azurebarrow/membership"
)

// ErrNotQuotaOwner: the entry is not the customer's quota owner, as far as it knows.
var ErrNotQuotaOwner = errors.New("admission: not the customer's lender")

// Run renews the quota leases that this entry holds until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.Renew(ctx)
		}
	}
}

// renewalBatch is the set of demands for one quota owner.
type renewalBatch struct {
	owner   membership.Peer
	askedAt time.Time
	demands []Demand
	// quotas are those of the demands, by customer.
	quotas map[string]*quota
	// finished is closed when the quotas are renewed, or the renewal has failed.
	finished chan struct{}
}

func newRenewalBatch(owner membership.Peer, now time.Time) *renewalBatch {
	return &renewalBatch{owner: owner, askedAt: now, quotas: map[string]*quota{}, finished: make(chan struct{})}
}

func (b *renewalBatch) add(customer string, q *quota, limits Limits) {
	b.demands = append(b.demands, q.takeDemand(customer, limits, b.askedAt))
	b.quotas[customer] = q
	q.renewal = b.finished
}

// finish applies the grants, if any, and allows the next renewal of the quotas.
func (b *renewalBatch) finish(grants []Grant, now time.Time) {
	for _, grant := range grants {
		if q := b.quotas[grant.Customer]; q != nil {
			q.applyGrant(grant, b.askedAt, now)
		}
	}
	for _, q := range b.quotas {
		q.renewal = nil
	}
	close(b.finished)
}

// Renew asks each quota owner once. The leases from an owner that does not answer stay as they are
// until they expire.
func (c *Controller) Renew(ctx context.Context) {
	c.observeOwnership()
	batches := c.renewalBatches()
	finished := make(chan struct{})
	for _, batch := range batches {
		go func() {
			c.renewBatch(ctx, batch, renewTimeout)
			finished <- struct{}{}
		}()
	}
	for range batches {
		<-finished
	}
	c.removeUnusedAccounts()
}

func (c *Controller) observeOwnership() {
	now, incarnation := c.options.Now(), c.options.Members.Self().Incarnation
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ownership.observe(incarnation, now)
	c.ownership.observeEntries(c.options.Members.Live(), now)
}

func (c *Controller) renewBatch(ctx context.Context, batch *renewalBatch, timeout time.Duration) {
	request := GrantRequest{Entry: c.options.Members.Self().Name, Demands: batch.demands}
	grants, err := c.requestGrants(ctx, batch.owner, request, timeout)
	if err != nil {
		grants = nil
	}
	now := c.options.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	batch.finish(grants, now)
}

func (c *Controller) requestGrants(ctx context.Context, owner membership.Peer, request GrantRequest, timeout time.Duration) ([]Grant, error) {
	if owner.Name == c.options.Members.Self().Name {
		return c.HandleGrantRequest(request)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.options.QuotaOwners.RequestGrants(ctx, owner, request)
}

// renewalBatches collects the demands for the customers that are in use, by quota owner.
func (c *Controller) renewalBatches() []*renewalBatch {
	now := c.options.Now()
	live := c.options.Members.Live()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	byOwner := map[string]*renewalBatch{}
	for customer, q := range c.quotas {
		if q.inUse == 0 && q.renewal == nil && now.Sub(q.lastUsed) > idleTime {
			delete(c.quotas, customer)
			continue
		}
		limits := c.options.Customers.Limits(customer)
		if limits == (Limits{}) || q.renewal != nil {
			continue
		}
		owner := quotaOwner(live, customer)
		batch, ok := byOwner[owner.Name]
		if !ok {
			batch = newRenewalBatch(owner, now)
			byOwner[owner.Name] = batch
		}
		batch.add(customer, q, limits)
	}
	return sortedBatches(byOwner)
}

func sortedBatches(byOwner map[string]*renewalBatch) []*renewalBatch {
	batches := make([]*renewalBatch, 0, len(byOwner))
	for _, batch := range byOwner {
		sort.Slice(batch.demands, func(i, j int) bool { return batch.demands[i].Customer < batch.demands[j].Customer })
		batches = append(batches, batch)
	}
	sort.Slice(batches, func(i, j int) bool { return batches[i].owner.Name < batches[j].owner.Name })
	return batches
}

// acquireFirstGrant requests a quota lease for a customer for which this entry holds none yet, or waits
// for the request that is in progress.
func (c *Controller) acquireFirstGrant(ctx context.Context, customer string) error {
	limits := c.options.Customers.Limits(customer)
	if limits == (Limits{}) {
		return nil
	}
	now := c.options.Now()
	c.mutex.Lock()
	q := c.quota(customer)
	if !q.expires.IsZero() {
		c.mutex.Unlock()
		return nil
	}
	q.lastUsed = now
	if pending := q.renewal; pending != nil {
		c.mutex.Unlock()
		return waitFor(ctx, pending, firstGrantTimeout)
	}
	batch := newRenewalBatch(quotaOwner(c.options.Members.Live(), customer), now)
	batch.add(customer, q, limits)
	c.mutex.Unlock()
	// Other requests wait for the answer too, so it does not end with this one.
	c.renewBatch(context.WithoutCancel(ctx), batch, firstGrantTimeout)
	return ctx.Err()
}

// waitFor waits until finished is closed, or for the timeout; it returns an error only if ctx ends.
func waitFor(ctx context.Context, finished <-chan struct{}, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-finished:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// HandleGrantRequest answers a request for grants from another entry or from this entry itself.
func (c *Controller) HandleGrantRequest(request GrantRequest) ([]Grant, error) {
	now := c.options.Now()
	live := c.options.Members.Live()
	group := entryGroup{live: len(live), known: max(c.options.Members.KnownCount(), len(live))}
	self := c.options.Members.Self().Name
	incarnation := c.options.Members.Self().Incarnation
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ownership.observe(incarnation, now)
	grants := make([]Grant, 0, len(request.Demands))
	for _, demand := range request.Demands {
		if quotaOwner(live, demand.Customer).Name != self {
			continue
		}
		limits := c.options.Customers.Limits(demand.Customer)
		grants = append(grants, c.account(demand.Customer, now).grant(request.Entry, demand, group, limits, now))
	}
	if len(grants) == 0 && len(request.Demands) > 0 {
		return nil, ErrNotQuotaOwner
	}
	return grants, nil
}

func (c *Controller) account(customer string, now time.Time) *quotaAccount {
	a, ok := c.quotaAccounts[customer]
	if !ok {
		c.ownership.observeEntries(c.options.Members.Live(), now)
		a = &quotaAccount{leases: map[string]*quotaLease{}, ownerSince: c.ownership.entriesSince}
		c.quotaAccounts[customer] = a
	}
	a.startAgain(c.ownership.since)
	return a
}

// maxOwnerPause is the pause of this process after which leases in its records may have expired that another quota owner has renewed.
const maxOwnerPause = quotaLeaseTTL - renewInterval

// ownership tells since when other entries can't have taken the place of this one as a quota owner.
type ownership struct {
	// since is the end of the last pause of this process, or the time at which it learned that others took it for dead.
	since       time.Time
	observedAt  time.Time
	incarnation uint64
	// entriesSince is the time since which the live entries are the same, and with them each customer's owner.
	entriesSince time.Time
	entries      uint64
}

// observe starts anew after a pause of this process, and when its incarnation shows that others took it for dead.
func (o *ownership) observe(incarnation uint64, now time.Time) {
	paused := !o.observedAt.IsZero() && now.Sub(o.observedAt) > maxOwnerPause
	if paused || incarnation != o.incarnation {
		o.since = now
	}
	o.observedAt, o.incarnation = now, incarnation
}

// observeEntries records the live entries.
func (o *ownership) observeEntries(live []membership.Peer, now time.Time) {
	var entries uint64
	for _, peer := range live {
		entries += xxhash.Sum64String(peer.Name) // the order is open
	}
	if o.entriesSince.IsZero() || entries != o.entries {
		o.entriesSince, o.entries = now, entries
	}
}

// removeUnusedAccounts removes the accounts of customers that have another quota owner by now, and of
// those without leases: the next owner starts a new account, and so waits for the existing leases to
// expire.
func (c *Controller) removeUnusedAccounts() {
	now := c.options.Now()
	self := c.options.Members.Self().Name
	c.mutex.Lock()
	defer c.mutex.Unlock()
	// An older view would remove an account that this entry has just begun as the new owner.
	live := c.options.Members.Live()
	for customer, a := range c.quotaAccounts {
		a.removeExpired(now)
		if len(a.leases) == 0 || quotaOwner(live, customer).Name != self {
			delete(c.quotaAccounts, customer)
		}
	}
}
