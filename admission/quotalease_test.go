package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/membership"
)

func TestRequestsAdmittedDuringARenewalAreNotLentToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 2, Limits{Concurrency: testLimit})
		owner := quotaOwner(c.peers(), "c")
		holder := slices.DeleteFunc(c.peers(), func(p membership.Peer) bool { return p == owner })
		awaitRenewals := func() {
			time.Sleep(renewInterval)
			synctest.Wait()
		}
		var running []*Ticket
		for range 8 {
			running = append(running, admitAll(t, c, holder, "c")...)
			awaitRenewals()
		}
		for _, ticket := range running {
			ticket.Done(0)
		}
		awaitRenewals()
		running = nil
		c.setOnRequest(func(string) {
			running = append(running, admitAll(t, c, holder, "c")...)
		})
		awaitRenewals()
		c.setOnRequest(nil)
		is.True(len(running) > testLimit/2) // it holds most of the limit until it knows of the smaller grant
		for range 4 {
			running = append(running, admitAll(t, c, []membership.Peer{owner}, "c")...)
			is.True(len(running) <= maxRunning)
			awaitRenewals()
		}
	})
}

func TestConcurrentFirstRequestsMakeOneRenewalThatOutlivesEachOfThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 8, Limits{Concurrency: testLimit})
		owner := quotaOwner(c.peers(), "c")
		entry := slices.DeleteFunc(c.peers(), func(p membership.Peer) bool { return p == owner })[0]
		var renewals, admitted atomic.Int64
		c.setOnRequest(func(string) {
			renewals.Add(1)
			time.Sleep(firstGrantTimeout / 2)
		})
		first, cancel := context.WithCancel(t.Context())
		for i := range 10 {
			ctx := t.Context()
			if i == 0 {
				ctx = first
			}
			go func() {
				if _, err := c.controllers[entry.Name].Admit(ctx, Request{Customer: "c", Deployment: "d"}); err == nil {
					admitted.Add(1)
				}
			}()
			synctest.Wait()
		}
		cancel()
		time.Sleep(firstGrantTimeout)
		synctest.Wait()
		is.Equal(renewals.Load(), int64(1))
		granted, _ := new(quotaAccount).warmUpGrant(Demand{}, entryGroup{live: 8, known: 8}, Limits{Concurrency: testLimit}, time.Now())
		is.Equal(admitted.Load(), int64(granted)) // not the part that an entry takes when the quota owner does not answer
	})
}

// twoEntries is an account of a quota owner that knows all leases, with the limits and the group for it.
func twoEntries(now time.Time) (*quotaAccount, Limits, entryGroup) {
	account := &quotaAccount{leases: map[string]*quotaLease{}, ownerSince: now.Add(-time.Hour)}
	return account, Limits{Concurrency: testLimit}, entryGroup{live: 2, known: 2}
}

func TestDemandsThatArriveAfterALaterOneFreeNothing(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	account, limits, group := twoEntries(now)
	decide := func(entry string, demand Demand) int {
		return account.grant(entry, demand, group, limits, now).Concurrency
	}
	held := decide("a", Demand{Wanted: testLimit / 2})
	// The quota owner pauses; a asks three times, and the answer to the last demand, decided first, arrives.
	now = now.Add(3 * renewInterval)
	is.Equal(decide("a", Demand{Wanted: testLimit, InUse: held, HeldConcurrency: held, HeldFor: renewInterval}), testLimit)
	for _, heldFor := range []time.Duration{2 * renewInterval, 3 * renewInterval} {
		is.Equal(decide("a", Demand{Wanted: testLimit / 2, HeldConcurrency: held, HeldFor: heldFor}), held)
	}
	is.Equal(decide("b", Demand{Wanted: testLimit}), 0)
}

func TestLeaseIsNotInUseAfterItsExpiryAtTheQuotaOwner(t *testing.T) {
	is := is.New(t)
	asked := time.Now()
	account, limits, group := twoEntries(asked)
	holder := &quota{renewedAt: asked}
	grant := account.grant("a", holder.takeDemand("c", limits, asked), group, limits, asked)
	holder.applyGrant(grant, asked, asked.Add(renewTimeout)) // a slow answer
	now := asked.Add(quotaLeaseTTL + time.Millisecond)
	is.Equal(account.grant("b", Demand{Wanted: testLimit}, group, limits, now).Concurrency, testLimit)
	is.True(now.After(holder.expires))
}

func TestSmallerGrantIsLentToOthersOnceItsHolderReportsIt(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	account, limits, group := twoEntries(now)
	is.Equal(account.grant("a", Demand{Wanted: testLimit}, group, limits, now).Concurrency, testLimit)
	now = now.Add(renewInterval)
	reduced := account.grant("a", Demand{Wanted: 2, HeldConcurrency: testLimit, HeldFor: 3 * renewInterval}, group, limits, now)
	is.True(reduced.Concurrency < testLimit)
	is.Equal(account.grant("b", Demand{Wanted: testLimit}, group, limits, now).Concurrency, 0)
	now = now.Add(renewInterval)
	account.grant("a", Demand{Wanted: 2, HeldConcurrency: reduced.Concurrency, HeldFor: 3 * renewInterval}, group, limits, now)
	is.True(account.grant("b", Demand{Wanted: testLimit}, group, limits, now).Concurrency >= testLimit-reduced.Concurrency)
}

// modelEntry is an entry of the random test: its quota, and the renewal that is under way.
type modelEntry struct {
	name  string
	quota quota
	// demands holds the demands that are on their way, the newest last; older ones timed out.
	demands []Demand
	// answer is the grant on its way to the entry for the newest demand.
	answer *Grant
	asking bool
	sentAt time.Time
}

func (e *modelEntry) inForce(now time.Time) (concurrency int, rate float64) {
	if now.After(e.quota.expires) {
		return 0, 0
	}
	return max(e.quota.concurrency, e.quota.inUse), e.quota.rate
}

// decide has the quota owner decide the waiting demands in a random order.
func (e *modelEntry) decide(random *rand.Rand, a *quotaAccount, limits Limits, group entryGroup, now time.Time) {
	for _, i := range random.Perm(len(e.demands)) {
		grant := a.grant(e.name, e.demands[i], group, limits, now)
		newest := i == len(e.demands)-1
		if newest && e.asking && random.IntN(4) > 0 { // else the answer is lost
			e.answer = &grant
		}
	}
	e.demands = nil
}

// step takes one random step at an entry and returns its name.
func (e *modelEntry) step(random *rand.Rand, a *quotaAccount, limits Limits, group entryGroup, now time.Time, paused bool) string {
	if now.After(e.quota.expires) {
		e.quota.inUse = 0 // requests at an entry without a lease don't count here
	}
	switch random.IntN(7) {
	case 0, 1:
		for range random.IntN(limits.Concurrency) {
			if !now.After(e.quota.expires) {
				e.quota.admit(Request{Tokens: 1}, limits, now)
			}
		}
		return "admit"
	case 2:
		for range random.IntN(e.quota.inUse + 1) {
			e.quota.release(Request{Tokens: 1}, 1, limits, now)
		}
		return "release"
	case 3:
		if e.asking && now.Sub(e.sentAt) < renewTimeout {
			return "wait"
		}
		e.asking, e.answer, e.sentAt = true, nil, now
		e.demands = append(e.demands, e.quota.takeDemand("c", limits, now))
		return "ask"
	case 4:
		if paused {
			return "wait"
		}
		e.decide(random, a, limits, group, now)
		return "decide"
	case 5:
		if e.answer != nil && now.Sub(e.sentAt) < renewTimeout {
			e.quota.applyGrant(*e.answer, e.sentAt, now)
		}
		if e.answer != nil {
			e.answer, e.asking = nil, false
		}
		return "answer"
	default:
		if random.IntN(20) == 0 { // the entry restarts, and its requests end
			e.quota = quota{renewedAt: now}
			e.answer, e.asking = nil, false
			return "restart"
		}
		return "wait"
	}
}

func TestQuotaOwnerNeverLendsMoreThanTheLimitInAnyOrderOfRenewals(t *testing.T) {
	limits := Limits{Concurrency: testLimit, TokensPerSecond: 1000}
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 0))
		now := time.Unix(0, 0)
		group := entryGroup{live: 2 + random.IntN(7)}
		group.known = group.live
		account := &quotaAccount{leases: map[string]*quotaLease{}, ownerSince: now.Add(-time.Hour)}
		entries := make([]modelEntry, group.live)
		for i := range entries {
			entries[i] = modelEntry{name: fmt.Sprintf("e%d", i), quota: quota{renewedAt: now}}
		}
		var pausedUntil time.Time
		for n := range 3000 {
			if random.IntN(200) == 0 {
				pausedUntil = now.Add(time.Duration(random.IntN(4000)) * time.Millisecond)
			}
			now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
			entry := &entries[random.IntN(len(entries))]
			did := entry.step(random, account, limits, group, now, now.Before(pausedUntil))
			concurrency, rate := 0, 0.0
			for i := range entries {
				c, r := entries[i].inForce(now)
				concurrency, rate = concurrency+c, rate+r
			}
			if concurrency > maxRunning || rate > limits.TokensPerSecond*1.1 {
				t.Fatalf("seed %d, step %d, %s %s: concurrency %d of %d, rate %.0f of %.0f are in force",
					seed, n, entry.name, did, concurrency, limits.Concurrency, rate, limits.TokensPerSecond)
			}
		}
	}
}

func TestNewQuotaOwnerKeepsTheLimitWhenEntriesWithoutALeaseAsk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 8, Limits{Concurrency: testLimit})
		peers := c.peers()
		owner := quotaOwner(peers, "c")
		survivors := slices.DeleteFunc(slices.Clone(peers), func(p membership.Peer) bool { return p == owner })
		var running []*Ticket
		for range 30 {
			running = append(running, admitAll(t, c, survivors[:1], "c")...)
			time.Sleep(renewInterval)
		}
		is.True(len(running) >= minRunning)
		c.mutex.Lock()
		c.disconnected[owner.Name] = true
		c.mutex.Unlock()
		time.Sleep(2 * renewInterval)
		c.setView(survivors, survivors)
		for range 12 {
			running = append(running, admitAll(t, c, survivors, "c")...)
			is.True(len(running) <= maxRunning)
			time.Sleep(renewInterval)
		}
	})
}

func TestQuotaOwnerThatWasPausedDoesNotLendWhatOthersHoldByNow(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := &cluster{controllers: map[string]*Controller{}, live: map[string][]membership.Peer{}, known: 3}
	peers := []membership.Peer{{Name: "e0"}, {Name: "e1"}, {Name: "e2"}}
	for _, peer := range peers {
		c.live[peer.Name] = peers
		m := member{c, peer}
		c.controllers[peer.Name] = NewController(Options{Customers: allLimits{Concurrency: testLimit}, Members: m, QuotaOwners: m,
			Now: func() time.Time { return now }})
	}
	owner := quotaOwner(peers, "c")
	others := slices.DeleteFunc(slices.Clone(peers), func(p membership.Peer) bool { return p == owner })
	var running []*Ticket
	advance := func(seconds int, renewing ...membership.Peer) {
		for range seconds {
			running = append(running, admitAll(t, c, others[:1], "c")...)
			now = now.Add(renewInterval)
			for _, peer := range renewing {
				c.controllers[peer.Name].Renew(t.Context())
			}
		}
	}
	advance(20, peers...)
	c.setView(others, others)
	advance(6, others...) // the quota owner is paused, and another takes its place
	returned := slices.Clone(peers)
	returned[slices.Index(peers, owner)].Incarnation++
	c.setView(peers, returned)
	is.True(len(running) >= minRunning)
	running = append(running, admitAll(t, c, others[1:], "c")...)
	is.True(len(running) <= maxRunning)
}

// Guards against customers who are refused at their first requests after a pause, since their quota owner takes itself for a new one, or
// since a tenth of a small limit is no place.
func TestCustomersWithoutLeasesAreServedAtOnce(t *testing.T) {
	for limit, atOnce := range map[int]int{3: 1, 5: 2, testLimit: testLimit / 4} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 8, Limits{Concurrency: limit})
			is.True(len(admitAll(t, c, c.peers(), "first")) >= 1) // the entries have just started
			time.Sleep(time.Minute)
			is.True(len(admitAll(t, c, c.peers(), "new")) >= atOnce)
			for _, ticket := range admitAll(t, c, c.peers(), "c") {
				ticket.Done(0)
			}
			time.Sleep(time.Minute)
			running := admitAll(t, c, c.peers(), "c")
			is.True(len(running) >= atOnce)
			is.True(len(running) <= limit)
		})
	}
}
