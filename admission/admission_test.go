package admission

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/membership"
)

// allLimits gives every customer the same limits.
type allLimits Limits

func (l allLimits) Limits(string) Limits { return Limits(l) }

// fixedSlots gives every deployment the same number of slots.
type fixedSlots int

func (p fixedSlots) Slots(string) int { return int(p) }

// cluster is a set of controllers that are connected in memory.
type cluster struct {
	mutex       sync.Mutex
	controllers map[string]*Controller
	// disconnected holds the entries that can't be reached and reach no other.
	disconnected map[string]bool
	// live is each entry's view of the live entries; known is the same for all.
	live  map[string][]membership.Peer
	known int
	// onRequest is called between an entry's demand and the decision of the quota owner.
	onRequest func(entry string)
}

// member is one entry's view of the cluster and its connection to it.
type member struct {
	cluster *cluster
	self    membership.Peer
}

// Self returns the entry as it sees itself: with its latest incarnation.
func (m member) Self() membership.Peer {
	for _, peer := range m.Live() {
		if peer.Name == m.self.Name {
			return peer
		}
	}
	return m.self
}

func (m member) KnownCount() int { return m.cluster.known }
func (m member) Live() []membership.Peer {
	m.cluster.mutex.Lock()
	defer m.cluster.mutex.Unlock()
	return m.cluster.live[m.self.Name]
}

func (m member) RequestGrants(ctx context.Context, owner membership.Peer, request GrantRequest) ([]Grant, error) {
	m.cluster.mutex.Lock()
	unreachable := m.cluster.disconnected[owner.Name] || m.cluster.disconnected[m.self.Name]
	onRequest := m.cluster.onRequest
	m.cluster.mutex.Unlock()
	if unreachable {
		return nil, errors.New("disconnected")
	}
	if onRequest != nil {
		onRequest(m.self.Name)
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return m.cluster.controllers[owner.Name].HandleGrantRequest(request)
}

func newCluster(t *testing.T, entries int, limits Limits) *cluster {
	c := &cluster{controllers: map[string]*Controller{}, disconnected: map[string]bool{}, live: map[string][]membership.Peer{}, known: entries}
	var peers []membership.Peer
	for i := range entries {
		peers = append(peers, membership.Peer{Name: fmt.Sprintf("e%d", i)})
	}
	for _, peer := range peers {
		m := member{c, peer}
		c.live[peer.Name] = peers
		c.controllers[peer.Name] = NewController(Options{Customers: allLimits(limits), Members: m, QuotaOwners: m})
	}
	for _, controller := range c.controllers {
		go func() { _ = controller.Run(t.Context()) }()
	}
	return c
}

func (c *cluster) setOnRequest(onRequest func(entry string)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.onRequest = onRequest
}

// setView sets the live entries as some entries see them.
func (c *cluster) setView(viewers, seen []membership.Peer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, viewer := range viewers {
		c.live[viewer.Name] = seen
	}
}

func (c *cluster) peers() []membership.Peer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.live["e0"])
}

// admitAll admits as many requests as possible at every given entry and returns the tickets.
func admitAll(t *testing.T, c *cluster, entries []membership.Peer, customer string) []*Ticket {
	var tickets []*Ticket
	for _, entry := range entries {
		for {
			ticket, err := c.controllers[entry.Name].Admit(t.Context(), Request{Customer: customer, Deployment: "d"})
			if err != nil {
				break
			}
			tickets = append(tickets, ticket)
		}
	}
	return tickets
}

const (
	testLimit  = 40
	maxRunning = testLimit * 11 / 10
	minRunning = testLimit * 9 / 10
)

func TestLimitIsSharedAndReachedOverEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 8, Limits{Concurrency: testLimit})
		running := 0
		for range 12 {
			running += len(admitAll(t, c, c.peers(), "c"))
			is.True(running <= maxRunning)
			time.Sleep(renewInterval)
		}
		is.True(running >= minRunning)
	})
}

func TestDemandMovesToTheEntryThatHasIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 8, Limits{Concurrency: testLimit})
		running := 0
		for range 30 {
			running += len(admitAll(t, c, c.peers()[3:4], "c"))
			time.Sleep(renewInterval)
		}
		is.True(running >= minRunning)
		is.True(running <= maxRunning)
	})
}

// churn repeatedly ends the oldest quarter of the requests and admits new ones at the given entries.
// It returns the maximum number that ran and the number that runs last.
func churn(t *testing.T, c *cluster, entries []membership.Peer, running *[]*Ticket, rounds int) (peak, last int) {
	for range rounds {
		for range len(*running)/4 + 1 {
			if len(*running) > 0 {
				(*running)[0].Done(0)
				*running = (*running)[1:]
			}
		}
		*running = append(*running, admitAll(t, c, entries, "c")...)
		peak = max(peak, len(*running))
		time.Sleep(renewInterval / 2)
	}
	return peak, len(*running)
}

func TestLimitHoldsWhenTheQuotaOwnerFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 8, Limits{Concurrency: testLimit})
		peers := c.peers()
		var running []*Ticket
		churn(t, c, peers, &running, 24)
		owner := quotaOwner(peers, "c")
		survivors := slices.DeleteFunc(slices.Clone(peers), func(p membership.Peer) bool { return p == owner })
		c.mutex.Lock()
		c.disconnected[owner.Name] = true
		c.mutex.Unlock()
		// Requests at the failed entry have ended; the others notice its failure after two seconds.
		running = slices.DeleteFunc(running, func(t *Ticket) bool { return t.controller == c.controllers[owner.Name] })
		beforeDetection, _ := churn(t, c, survivors, &running, 4)
		c.setView(survivors, survivors)
		peak, last := churn(t, c, survivors, &running, 40)
		is.True(max(beforeDetection, peak) <= maxRunning)
		is.True(last >= minRunning)
	})
}

func TestLimitHoldsDuringAndAfterAPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 8, Limits{Concurrency: testLimit})
		peers := c.peers()
		var running []*Ticket
		churn(t, c, peers, &running, 24)
		isolated, rest := peers[2:3], slices.Delete(slices.Clone(peers), 2, 3)
		c.mutex.Lock()
		c.disconnected[isolated[0].Name] = true
		c.mutex.Unlock()
		before, _ := churn(t, c, peers, &running, 4)
		c.setView(isolated, isolated)
		c.setView(rest, rest)
		during, _ := churn(t, c, peers, &running, 40)
		c.mutex.Lock()
		delete(c.disconnected, isolated[0].Name)
		c.mutex.Unlock()
		c.setView(peers, peers)
		after, last := churn(t, c, peers, &running, 40)
		t.Logf("max running before detection %d, during the partition %d, after it %d; limit %d", before, during, after, testLimit)
		is.True(max(before, during, after) <= maxRunning)
		is.True(last >= minRunning)
	})
}

func TestPartitionedGroupsGrantNoMoreThanTheLimit(t *testing.T) {
	is := is.New(t)
	for known := 2; known <= 128; known++ {
		for part := 1; part < known; part++ {
			sum := entryGroup{part, known}.limitRatio() + entryGroup{known - part, known}.limitRatio()
			is.True(sum < 1+1e-9)
		}
	}
	is.True(entryGroup{7, 8}.limitRatio() >= 0.9)
}

func TestTokenRateIsReachedAndKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const rate, perRequest = 1000.0, 10
		c := newCluster(t, 4, Limits{TokensPerSecond: rate})
		admit := func(span time.Duration) (tokens float64) {
			for start := time.Now(); time.Since(start) < span; time.Sleep(10 * time.Millisecond) {
				for _, peer := range c.peers() {
					for range 2 { // eight times the limit in all
						ticket, err := c.controllers[peer.Name].Admit(t.Context(), Request{Customer: "c", Deployment: "d", Tokens: perRequest})
						if err == nil {
							ticket.Done(perRequest)
							tokens += perRequest
						}
					}
				}
			}
			return tokens
		}
		admit(10 * time.Second)
		share := admit(20*time.Second) / (20 * rate)
		is.True(share <= 1.1)
		is.True(share >= 0.9)
	})
}

func newQueueController(slots int) *Controller {
	self := membership.Peer{Name: "e0"}
	c := &cluster{live: map[string][]membership.Peer{"e0": {self}}, known: 1}
	return NewController(Options{Customers: allLimits{}, Capacity: fixedSlots(slots), Members: member{c, self}})
}

func TestUrgentGoesFirstWithoutStarvingLowPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newQueueController(1)
		c.options.QueueLimits.MaxWait = time.Hour
		running, err := c.Admit(t.Context(), Request{Deployment: "d", Priority: 5})
		is.NoErr(err)
		order := make(chan int, 100)
		ask := func(priority int) {
			ticket, err := c.Admit(t.Context(), Request{Deployment: "d", Priority: priority})
			if err != nil {
				t.Error(err)
				return
			}
			order <- priority
			time.Sleep(time.Second)
			ticket.Done(1)
		}
		go ask(0)
		synctest.Wait()
		go ask(5)
		synctest.Wait()
		running.Done(1)
		is.Equal(<-order, 5)
		// A stream of higher-priority requests does not hold up the lowest priority forever.
		for range 30 {
			go ask(5)
			if first := <-order; first == 0 {
				time.Sleep(time.Minute) // lets the rest end
				return
			}
		}
		t.Error("the lowest priority was never admitted")
	})
}

func TestEarliestDeadlineGoesFirstWithinAPriority(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	q := newQueue()
	late := &waiter{request: Request{Deadline: now.Add(time.Minute)}, arrivedAt: now}
	early := &waiter{request: Request{Deadline: now.Add(time.Second)}, arrivedAt: now}
	never := &waiter{arrivedAt: now}
	q.add(never)
	q.add(late)
	q.add(early)
	q.slots = 2
	is.Equal(q.takeNext(now), early)
	is.Equal(q.takeNext(now), late)
	is.Equal(q.takeNext(now), never)
}

func TestTooLongWaitIsRejectedAtOnceWithRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newQueueController(1)
		_, err := c.Admit(t.Context(), Request{Deployment: "d"})
		is.NoErr(err)
		start := time.Now()
		_, err = c.Admit(t.Context(), Request{Deployment: "d"})
		var refused *RejectedError
		is.True(errors.As(err, &refused))
		is.Equal(time.Since(start), time.Duration(0)) // virtual time: it was not queued
		is.Equal(refused.Reason, ReasonTooLate)
		is.Equal(refused.RetryAfter, initialHoldTime)
	})
}

func TestDisconnectedCallerReleasesItsQueueEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newQueueController(1)
		c.options.QueueLimits.MaxWait = time.Hour
		running, err := c.Admit(t.Context(), Request{Deployment: "d", Bytes: 5})
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = c.Admit(ctx, Request{Deployment: "d", Bytes: 7})
		is.True(errors.Is(err, context.DeadlineExceeded))
		running.Done(0)
		running.Done(0) // a second call changes nothing
		is.Equal(c.queues["d"].running, 0)
		is.Equal(c.queues["d"].bytes, 0)
		is.Equal(c.quotas[""].inUse, 0)
	})
}

func TestOneCustomerCannotFillTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newQueueController(1)
		c.options.QueueLimits = QueueLimits{MaxRequests: 10, MaxBytes: 100, MaxWait: time.Hour}
		ctx, cancel := context.WithCancel(t.Context())
		ask := func(customer string) error {
			_, err := c.Admit(ctx, Request{Customer: customer, Deployment: "d", Bytes: 1})
			return err
		}
		is.NoErr(ask("flood"))
		for range 5 {
			go func() { _ = ask("flood") }()
		}
		synctest.Wait()
		var refused *RejectedError
		is.True(errors.As(ask("flood"), &refused))
		is.Equal(refused.Reason, ReasonQueueFull)
		go func() { _ = ask("other") }()
		synctest.Wait()
		is.Equal(len(c.queues["d"].waiting), 6)
		cancel()
		synctest.Wait()
	})
}

func TestRetriesAreATenthOfTheRequests(t *testing.T) {
	is := is.New(t)
	budget := NewRetryBudget()
	retries := 0
	for range 1000 {
		budget.Earn()
		if budget.Spend() {
			retries++
		}
	}
	is.True(retries > 0)
	is.True(retries <= 100)
}

// Requests that end just before a renewal are followed by others. If the demand followed the use at
// that moment, the leases would move between the entries and leave a part of the limit unused.
func TestDemandIsThePeakOfUse(t *testing.T) {
	is := is.New(t)
	limits := Limits{Concurrency: testLimit}
	start := time.Now()
	q := &quota{concurrency: 6, expires: start.Add(quotaLeaseTTL), renewedAt: start}
	for range 6 {
		is.True(q.admit(Request{}, limits, start) == nil)
	}
	for range 4 {
		q.release(Request{}, 0, limits, start)
	}
	renewed := start.Add(renewInterval)
	demand := q.takeDemand("c", limits, renewed)
	is.Equal(demand.InUse, 2)
	is.Equal(demand.Wanted, 6+spareConcurrency)
	// If the use stays low, the next renewal asks for less.
	is.Equal(q.takeDemand("c", limits, renewed.Add(renewInterval)).Wanted, 2+spareConcurrency)
}
