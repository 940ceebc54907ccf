package admission

import (
	"math"
	"time"

	"github.com/azurebarrow/azurebarrow/membership"
)

// quotaLeaseTTL is how long a quota lease is valid. It is longer than the detection of a failed quota
// owner takes, so that the new owner is known before the leases from the former one expire.
const quotaLeaseTTL = 4 * time.Second

// quotaOwner returns the entry that divides a customer's limits among the entries by quota leases.
func quotaOwner(live []membership.Peer, customer string) membership.Peer {
	best := live[0]
	if len(live) > 1 {
		best = membership.Rank(live, "quota/"+customer)[0]
	}
	return best
}

// entryGroup counts the entries that a quota owner sees as live, and those that it knows, including
// the unreachable ones.
type entryGroup struct{ live, known int }

// limitRatio is the part of a limit that the owner in this group may grant. For any two groups
// separated by a network partition the parts add up to 1, for more groups to less; a group that
// misses few entries has nearly all.
func (g entryGroup) limitRatio() float64 {
	if g.live >= g.known {
		return 1
	}
	part := float64(g.live) / float64(g.known)
	return part * part * (3 - 2*part)
}

// leasedPart is what an entry may use of one limit: what was granted last, and what the entry may hold
// until it has that grant.
type leasedPart[T int | float64] struct{ granted, mayHold T }

// recordHeld records what the entry reports to hold. A smaller grant frees nothing before the entry
// reports to hold it: the answer may be lost or on its way, and the entry admits requests meanwhile.
func (p *leasedPart[T]) recordHeld(held T, holdsLastGrant bool) {
	if holdsLastGrant && held == p.granted {
		p.mayHold = held
		return
	}
	p.mayHold = max(p.mayHold, p.granted, held)
}

func (p leasedPart[T]) outstanding() T { return max(p.granted, p.mayHold) }

// quotaLease is a quota owner's record of the lease of one entry.
type quotaLease struct {
	concurrency leasedPart[int]
	rate        leasedPart[float64]
	inUse       int
	wanted      int
	wantedRate  float64
	expires     time.Time
}

// recordDemand records what the entry holds, uses and wants. A demand may arrive after a later one, for
// example when this entry was paused; the expiry of the held lease shows that it is not the last grant.
func (l *quotaLease) recordDemand(demand Demand, now time.Time) {
	if now.After(l.expires) {
		l.concurrency, l.rate = leasedPart[int]{}, leasedPart[float64]{}
	}
	held, heldRate := demand.HeldConcurrency, demand.HeldRate
	if demand.HeldFor <= 0 {
		held, heldRate = 0, 0
	}
	holdsLastGrant := !now.Add(demand.HeldFor + renewTimeout).Before(l.expires)
	l.concurrency.recordHeld(held, holdsLastGrant)
	l.rate.recordHeld(heldRate, holdsLastGrant)
	l.inUse, l.wanted, l.wantedRate = demand.InUse, demand.Wanted, demand.WantedRate
}

// outstanding returns the concurrency that the entry may be using.
func (l *quotaLease) outstanding(now time.Time) int {
	if now.After(l.expires) {
		return 0
	}
	return max(l.concurrency.outstanding(), l.inUse)
}

func (l *quotaLease) outstandingRate(now time.Time) float64 {
	if now.After(l.expires) {
		return 0
	}
	return l.rate.outstanding()
}

// quotaAccount is a quota owner's record of one customer.
type quotaAccount struct {
	leases map[string]*quotaLease
	// ownerSince is when this entry became the quota owner; leases from a former owner may be valid
	// until quotaLeaseTTL later.
	ownerSince time.Time
	// newConcurrency and newRate were granted since ownerSince to entries that held nothing.
	newConcurrency int
	newRate        float64
}

// startAgain makes the account that of a new owner, from a time after which another owner may have granted leases.
func (a *quotaAccount) startAgain(since time.Time) {
	if since.After(a.ownerSince) {
		a.ownerSince, a.newConcurrency, a.newRate = since, 0, 0
	}
}

// grant decides the lease of an entry. Until the leases from a former owner have expired, no entry
// gets more than it holds, because what the others hold is not known yet.
func (a *quotaAccount) grant(entry string, demand Demand, group entryGroup, limits Limits, now time.Time) Grant {
	own := a.leases[entry]
	if own == nil {
		own = &quotaLease{}
		a.leases[entry] = own
	}
	own.recordDemand(demand, now)
	if a.knowsOthers(now) {
		own.concurrency.granted = a.concurrencyFor(entry, limits, group, now)
		own.rate.granted = a.rateFor(entry, limits, group, now)
	} else {
		own.concurrency.granted, own.rate.granted = a.warmUpGrant(demand, group, limits, now)
	}
	own.expires = now.Add(quotaLeaseTTL)
	a.removeExpired(now)
	return Grant{
		Customer:        demand.Customer,
		Concurrency:     own.concurrency.granted,
		TokensPerSecond: own.rate.granted,
		ValidFor:        quotaLeaseTTL,
	}
}

// knowsOthers reports whether all leases from former owners have expired.
func (a *quotaAccount) knowsOthers(now time.Time) bool { return now.Sub(a.ownerSince) >= quotaLeaseTTL }

const (
	// newEntryRatio is the fraction of an equal share that an entry without a lease gets while it is not
	// known what the others hold.
	newEntryRatio = 0.5
	// newEntriesRatio is the fraction of the limit that all entries without a lease get then, since the
	// others may hold the whole limit: it may be exceeded by a tenth.
	newEntriesRatio = 0.1
)

// warmUpGrant renews what the entry holds, or uses by requests that have outlived its lease. An entry that holds nothing gets a
// fraction of an equal share.
func (a *quotaAccount) warmUpGrant(demand Demand, group entryGroup, limits Limits, now time.Time) (concurrency int, rate float64) {
	held, heldRate := demand.InUse, 0.0
	if demand.HeldFor > 0 {
		held, heldRate = max(held, demand.HeldConcurrency), demand.HeldRate
	}
	concurrency, rate = min(held, limits.Concurrency), min(heldRate, limits.TokensPerSecond)
	part := newEntryRatio / float64(group.known)
	if held == 0 {
		most := int(float64(limits.Concurrency) * newEntriesRatio)
		if limits.Concurrency > 0 {
			most = max(1, most) // else customers of small limits would get nothing
		}
		spare := limits.Concurrency + most - a.totalOutstanding(now)
		concurrency = max(0, min(int(math.Ceil(float64(limits.Concurrency)*part)), most-a.newConcurrency, spare))
		a.newConcurrency += concurrency
	}
	if heldRate == 0 {
		most := limits.TokensPerSecond * newEntriesRatio
		spare := limits.TokensPerSecond + most - a.totalOutstandingRate(now)
		rate = max(0, min(limits.TokensPerSecond*part, most-a.newRate, spare))
		a.newRate += rate
	}
	return concurrency, rate
}

// totalOutstanding returns the concurrency that the known entries may be using.
func (a *quotaAccount) totalOutstanding(now time.Time) (total int) {
	for _, lease := range a.leases {
		total += lease.outstanding(now)
	}
	return total
}

func (a *quotaAccount) totalOutstandingRate(now time.Time) (total float64) {
	for _, lease := range a.leases {
		total += lease.outstandingRate(now)
	}
	return total
}

// maxHeldRatio is the multiple of its fair share up to which an entry keeps what it has while the entries want more than the limit: a
// place that moves to another entry is idle until the next renewal.
const maxHeldRatio = 1.3

// concurrencyFor returns the entry's fair share of the concurrency by demand, as far as the leases of
// the others leave it.
func (a *quotaAccount) concurrencyFor(entry string, limits Limits, group entryGroup, now time.Time) int {
	total := int(math.Round(float64(limits.Concurrency) * group.limitRatio()))
	others, wanted := 0, 0
	for name, lease := range a.leases {
		if now.After(lease.expires) && name != entry {
			continue
		}
		wanted += lease.wanted
		if name != entry {
			others += lease.outstanding(now)
		}
	}
	own := a.leases[entry]
	fair := group.fairShare(float64(total), float64(own.wanted), float64(wanted))
	share := int(math.Ceil(fair))
	if held := own.concurrency.granted; wanted >= total && float64(held) <= maxHeldRatio*fair {
		share = max(share, held)
	}
	return max(0, min(share, total-others))
}

func (a *quotaAccount) rateFor(entry string, limits Limits, group entryGroup, now time.Time) float64 {
	total := limits.TokensPerSecond * group.limitRatio()
	others, wanted := 0.0, 0.0
	for name, lease := range a.leases {
		if now.After(lease.expires) && name != entry {
			continue
		}
		wanted += lease.wantedRate
		if name != entry {
			others += lease.outstandingRate(now)
		}
	}
	own := a.leases[entry]
	return max(0, min(group.fairShare(total, own.wantedRate, wanted), total-others))
}

// fairShare returns the share of total for an entry that wants a part of totalWanted. If the entries
// want more than total, it is divided in proportion. Otherwise each entry that asks gets what it wants
// and an equal part of what nobody wants; the rest is left for entries that ask later.
func (g entryGroup) fairShare(total, wanted, totalWanted float64) float64 {
	if totalWanted > 0 && totalWanted >= total {
		return total * wanted / totalWanted
	}
	return wanted + (total-totalWanted)/float64(g.live+1)
}

func (a *quotaAccount) removeExpired(now time.Time) {
	for name, lease := range a.leases {
		if now.Sub(lease.expires) > quotaLeaseTTL {
			delete(a.leases, name)
		}
	}
}
