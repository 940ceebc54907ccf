package idempotency

import (
	"context"
	"time"

	"github.com/azurebarrow/azurebarrow/membership"
)

const (
	// maxHops bounds the number of entries that are asked for one request.
	maxHops = 8
	// maxAlternatives bounds the number of entries asked after one that can't write to the platform.
	maxAlternatives = 2
	// hopTimeout is the timeout of a claim sent to an entry; after it, the next entry is asked.
	hopTimeout = 1200 * time.Millisecond
)

// ownerLookup finds the owner of a shard by asking entries in the order of their rank.
type ownerLookup struct {
	ledger          *Ledger
	shard           int
	unreachable     string // the entry that counts as unreachable
	deniedOwnership bool   // the entry in unreachable did reply, but denied that it owns the shard
	relay           bool   // next is asked to relay the request
	previous        string // the entry asked before next
	next            string // the entry to ask
	// alternatives counts the entries asked after one that can't write to the platform.
	alternatives int
}

func (l *Ledger) newOwnerLookup(shard int) *ownerLookup {
	return &ownerLookup{ledger: l, shard: shard, next: l.preferredOwner(shard, "")}
}

// preferredOwner returns the entry that should own a shard, apart from the one that is unreachable.
func (l *Ledger) preferredOwner(shard int, unreachable string) string {
	for _, peer := range membership.Rank(l.options.View.Live(), HeadName(shard)) {
		if peer.Name != unreachable {
			return peer.Name
		}
	}
	return l.self.Entry
}

// skipUnreachable records that the entry asked gave no reply, and selects the next one.
func (r *ownerLookup) skipUnreachable() {
	r.unreachable = r.next
	r.deniedOwnership = false
	r.relay = false
	r.next = r.ledger.preferredOwner(r.shard, r.unreachable)
}

// tryAlternative records that the entry asked can't write to the platform, and reports whether to
// ask another one: that entry alone may be cut off from the platform. In an outage the other
// entries give the same reply at once.
func (r *ownerLookup) tryAlternative() bool {
	if r.alternatives >= maxAlternatives {
		return false
	}
	r.alternatives++
	r.skipUnreachable()
	return true
}

// followRedirect handles a reply that names another owner. If that owner is unreachable from here,
// the entry that named it is asked to relay the request. If two entries name each other, the one
// that should own the shard is told not to wait for the other.
func (r *ownerLookup) followRedirect(owner string) {
	if owner == "" { // the entry is draining and hands its shards over
		r.skipUnreachable()
		return
	}
	if owner == r.unreachable && !r.deniedOwnership {
		r.relay = true
		return
	}
	if owner == r.previous {
		r.unreachable = r.next
		r.deniedOwnership = true
	}
	r.relay = false
	r.previous = r.next
	r.next = owner
}

// routeClaim sends a claim to the shard owner.
func (l *Ledger) routeClaim(ctx context.Context, request ClaimRequest, mayRelay bool) Reply {
	lookup := l.newOwnerLookup(request.Key.Shard(l.options.Shards))
	for range maxHops {
		call := ClaimCall{Request: request, Unreachable: lookup.unreachable, Relay: lookup.relay && mayRelay}
		reply, err := l.sendClaim(ctx, lookup.next, call)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			lookup.skipUnreachable()
			continue
		}
		if reply.Verdict == VerdictUnavailable && lookup.tryAlternative() {
			continue
		}
		if reply.Verdict != VerdictNotOwner {
			return reply
		}
		lookup.followRedirect(reply.Owner)
	}
	return Reply{Verdict: VerdictUnavailable}
}

func (l *Ledger) sendClaim(ctx context.Context, entry string, call ClaimCall) (Reply, error) {
	if entry == l.self.Entry {
		return l.HandleClaim(ctx, call), nil
	}
	peer, ok := l.livePeer(entry)
	if !ok {
		return Reply{}, errNoSuchPeer
	}
	ctx, cancel := context.WithTimeout(ctx, hopTimeout)
	defer cancel()
	return l.options.Peers.Claim(ctx, peer, call)
}

// HandleClaim decides on a claim as the shard owner, or names the owner.
func (l *Ledger) HandleClaim(ctx context.Context, call ClaimCall) Reply {
	if call.Relay {
		return l.routeClaim(ctx, call.Request, false)
	}
	shard := call.Request.Key.Shard(l.options.Shards)
	if redirect, ok := l.redirectToOwner(ctx, shard, call.Unreachable); ok {
		return redirect
	}
	return l.owners[shard].Submit(ctx, Operation{Claim: &call.Request})[0]
}

// redirectToOwner returns the reply that names the owner, and true, if another entry should own the
// shard. If this entry still owns the shard, it hands the shard over first.
func (l *Ledger) redirectToOwner(ctx context.Context, shard int, unreachable string) (Reply, bool) {
	owner := l.owners[shard]
	if unreachable != "" {
		owner.NoteUnreachable(unreachable)
	}
	preferred := l.preferredOwner(shard, unreachable)
	if l.draining.Load() {
		preferred = ""
	}
	if preferred == l.self.Entry {
		return Reply{}, false
	}
	if owner.Owns() {
		select {
		case <-owner.Release():
		case <-ctx.Done():
		}
	}
	return Reply{Verdict: VerdictNotOwner, Owner: preferred}, true
}

// routeComplete sends outcomes of calls to the shard owner.
func (l *Ledger) routeComplete(ctx context.Context, call CompleteCall) []Reply {
	mayRelay := !call.Relay
	lookup := l.newOwnerLookup(call.Shard)
	for range maxHops {
		call.Unreachable = lookup.unreachable
		call.Relay = lookup.relay && mayRelay
		replies, err := l.sendComplete(ctx, lookup.next, call)
		if ctx.Err() != nil {
			break
		}
		if err != nil || len(replies) != len(call.Requests) {
			lookup.skipUnreachable()
			continue
		}
		if len(replies) == 0 {
			return replies
		}
		if replies[0].Verdict == VerdictUnavailable && lookup.tryAlternative() {
			continue
		}
		if replies[0].Verdict != VerdictNotOwner {
			return replies
		}
		lookup.followRedirect(replies[0].Owner)
	}
	return repeatReply(Reply{Verdict: VerdictUnavailable}, len(call.Requests))
}

func (l *Ledger) sendComplete(ctx context.Context, entry string, call CompleteCall) ([]Reply, error) {
	if entry == l.self.Entry {
		return l.HandleComplete(ctx, call), nil
	}
	peer, ok := l.livePeer(entry)
	if !ok {
		return nil, errNoSuchPeer
	}
	return l.options.Peers.Complete(ctx, peer, call)
}

// HandleComplete records outcomes of calls as the shard owner, or names the owner.
func (l *Ledger) HandleComplete(ctx context.Context, call CompleteCall) []Reply {
	if call.Shard < 0 || call.Shard >= l.options.Shards {
		return repeatReply(Reply{Verdict: VerdictCorrupt}, len(call.Requests))
	}
	if call.Relay {
		return l.routeComplete(ctx, call)
	}
	if redirect, ok := l.redirectToOwner(ctx, call.Shard, call.Unreachable); ok {
		return repeatReply(redirect, len(call.Requests))
	}
	operations := make([]Operation, len(call.Requests))
	for i := range call.Requests {
		operations[i] = Operation{Complete: &call.Requests[i]}
	}
	return l.owners[call.Shard].Submit(ctx, operations...)
}

func repeatReply(reply Reply, count int) []Reply {
	replies := make([]Reply, count)
	for i := range replies {
		replies[i] = reply
	}
	return replies
}
