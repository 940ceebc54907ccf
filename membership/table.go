package membership

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// member is the table's record of one peer.
type member struct {
	delta Delta
	// fingerprint identifies the incarnation in delta.
	fingerprint Fingerprint
	// ringPosition is the peer's position on the hash ring of entries.
	ringPosition uint64
	// listed is set while the directory or the seeds contain the peer.
	listed bool
	// changedAt is when the state or the incarnation last changed.
	changedAt time.Time
	// suspicion is set while this entry's own probes of the peer fail.
	suspicion *suspicion
}

// suspicion records that this entry's own probes of a peer fail.
type suspicion struct {
	since time.Time
	// confirmations counts the further probes that have failed since then.
	confirmations int
}

// table holds the peers. Its methods are deterministic, and only the event loop calls them.
type table struct {
	self    Peer
	members map[string]*member
	// order is the shuffled current round of probes; next is the position in it.
	order []string
	next  int
}

func newTable(self Peer) *table {
	return &table{self: self, members: map[string]*member{}}
}

// setListed replaces the listed peers. Peers that are no longer listed stay while they are alive.
func (t *table) setListed(peers []Peer, now time.Time) {
	for _, m := range t.members {
		m.listed = false
	}
	for _, peer := range peers {
		t.addListed(peer, now)
	}
}

func (t *table) addListed(peer Peer, now time.Time) {
	if peer.Name == t.self.Name || peer.Address == t.self.Address {
		return
	}
	m, ok := t.members[peer.Name]
	if !ok {
		m = &member{delta: Delta{Peer: peer}, changedAt: now}
		t.members[peer.Name] = m
	}
	m.listed = true
}

// mergeResult is what merging a delta changed.
type mergeResult struct {
	// updated: the delta replaced an older one and should be passed on.
	updated bool
	// refuted: the delta was a wrong report about this entry, which now has a higher incarnation.
	refuted bool
	// joined: the peer is live, and its state was unknown before.
	joined bool
	// liveChanged: the list of live entries may have changed.
	liveChanged bool
}

// merge applies a delta to the table.
func (t *table) merge(delta Delta, now time.Time) mergeResult {
	if delta.Peer.Name == t.self.Name {
		return t.mergeSelf(delta)
	}
	m, ok := t.members[delta.Peer.Name]
	if !ok {
		m = &member{changedAt: now}
	}
	if !delta.Supersedes(m.delta) {
		return mergeResult{}
	}
	if !ok && delta.State >= StateDead {
		// A dead peer that is not in the table is not added: the update would only circulate longer.
		return mergeResult{}
	}
	if m.delta.State != delta.State || m.delta.Peer.Incarnation != delta.Peer.Incarnation {
		m.changedAt = now
	}
	liveChanged := isLive(m.delta.State) != isLive(delta.State) || m.delta.Peer != delta.Peer ||
		delta.State == StateLeft
	joined := m.delta.State == StateUnknown && isLive(delta.State)
	if m.delta.Peer != delta.Peer || !ok {
		m.fingerprint = fingerprintOf(delta.Peer)
		m.ringPosition = ringPosition(delta.Peer.Name)
	}
	m.delta = delta
	if delta.State != StateSuspect {
		m.suspicion = nil
	}
	t.members[delta.Peer.Name] = m
	return mergeResult{updated: true, joined: joined, liveChanged: liveChanged}
}

func (t *table) mergeSelf(delta Delta) mergeResult {
	incarnation, ok := refutation(t.self, delta)
	if !ok {
		return mergeResult{}
	}
	t.self.Incarnation = incarnation
	return mergeResult{refuted: true, liveChanged: true}
}

// isJoining reports whether a peer is not known, or has started or become reachable again less than joiningPeriod ago. The clocks of
// entries may differ, so that its incarnation doesn't tell.
func (t *table) isJoining(peer Peer, now time.Time) bool {
	m, known := t.members[peer.Name]
	return !known || now.Sub(m.changedAt) < joiningPeriod
}

// probeFailed records a failed probe of the given incarnation of a peer. It returns a suspect delta if
// the peer was alive and not suspected by this entry.
func (t *table) probeFailed(name string, incarnation uint64, now time.Time) (Delta, bool) {
	m, ok := t.members[name]
	if !ok || m.delta.Peer.Incarnation != incarnation {
		return Delta{}, false
	}
	switch m.delta.State {
	case StateAlive, StateSuspect:
	default:
		return Delta{}, false
	}
	if m.suspicion != nil {
		m.suspicion.confirmations++
		return Delta{}, false
	}
	m.suspicion = &suspicion{since: now}
	if m.delta.State == StateSuspect {
		return Delta{}, false
	}
	return Delta{Peer: m.delta.Peer, State: StateSuspect}, true
}

// expiredSuspects returns death deltas for the suspects that did not answer before the suspicion timeout.
func (t *table) expiredSuspects(now time.Time, timeout time.Duration) []Delta {
	var dead []Delta
	for _, m := range t.members {
		if m.suspicion == nil || m.delta.State != StateSuspect {
			continue
		}
		if now.Sub(m.suspicion.since) < timeout || m.suspicion.confirmations < minConfirmations {
			continue
		}
		dead = append(dead, Delta{Peer: m.delta.Peer, State: StateDead})
	}
	sort.Slice(dead, func(i, j int) bool { return dead[i].Peer.Name < dead[j].Peer.Name })
	return dead
}

// clearSuspicions discards this entry's own suspicions. It is called after a pause of this entry, when
// its failed probes say nothing about the peers.
func (t *table) clearSuspicions() {
	for _, m := range t.members {
		m.suspicion = nil
	}
}

// suspects returns the peers that this entry itself suspects, the longest suspected first.
func (t *table) suspects() []*member {
	var list []*member
	for _, m := range t.members {
		if m.suspicion != nil {
			list = append(list, m)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if !list[i].suspicion.since.Equal(list[j].suspicion.since) {
			return list[i].suspicion.since.Before(list[j].suspicion.since)
		}
		return list[i].delta.Peer.Name < list[j].delta.Peer.Name
	})
	return list
}

// nextToProbe returns the next live peer of the shuffled round. If unreachable is set, it prefers a random
// peer in StateUnknown or StateDead, which may have become reachable.
func (t *table) nextToProbe(unreachable bool, random *rand.Rand) (Peer, bool) {
	if unreachable {
		if peer, ok := t.randomUnreachable(random); ok {
			return peer, true
		}
	}
	for range len(t.order) + 1 {
		if t.next >= len(t.order) {
			t.startRound(random)
		}
		if len(t.order) == 0 {
			return t.randomUnreachable(random)
		}
		name := t.order[t.next]
		t.next++
		if m, ok := t.members[name]; ok && isLive(m.delta.State) {
			return m.delta.Peer, true
		}
	}
	return t.randomUnreachable(random)
}

// successor returns the peer at the given position after this entry on the ring of live entries.
func (t *table) successor(position int) (Peer, bool) {
	own := ringPosition(t.self.Name)
	distance := func(m *member) uint64 { return m.ringPosition - own }
	var nearest []*member
	for _, m := range t.members {
		if !isLive(m.delta.State) {
			continue
		}
		at := sort.Search(len(nearest), func(i int) bool { return distance(nearest[i]) > distance(m) })
		if at <= position {
			nearest = slices.Insert(nearest, at, m)
			nearest = nearest[:min(len(nearest), position+1)]
		}
	}
	if position >= len(nearest) {
		return Peer{}, false
	}
	return nearest[position].delta.Peer, true
}

// ringPosition is the hash of the name, which spreads the entries of each availability zone over the ring.
func ringPosition(name string) uint64 { return xxhash.Sum64String(name) }

func isLive(state State) bool { return state == StateAlive || state == StateSuspect }

// endRound makes the next probe start a new round, which includes the peers learned of meanwhile.
func (t *table) endRound() { t.next = len(t.order) }

func (t *table) startRound(random *rand.Rand) {
	t.order = t.order[:0]
	t.next = 0
	for name, m := range t.members {
		if isLive(m.delta.State) {
			t.order = append(t.order, name)
		}
	}
	sort.Strings(t.order)
	random.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
}

func (t *table) randomUnreachable(random *rand.Rand) (Peer, bool) {
	var names []string
	for name, m := range t.members {
		if m.delta.State == StateUnknown || m.delta.State == StateDead {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return Peer{}, false
	}
	sort.Strings(names)
	return t.members[names[random.IntN(len(names))]].delta.Peer, true
}

// unknownPeers returns the peers in StateUnknown, ordered by name.
func (t *table) unknownPeers() []Peer {
	var list []Peer
	for _, m := range t.members {
		if m.delta.State == StateUnknown {
			list = append(list, m.delta.Peer)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// canBeSuspected reports whether a failed probe says anything about the peer. A peer in StateUnknown may not have started
// yet; if others reach it, their gossip says so, and helpers are not needed.
func (t *table) canBeSuspected(peer Peer) bool {
	m, ok := t.members[peer.Name]
	return ok && m.delta.State != StateUnknown
}

// helpers chooses the peers through which target is probed: the first from target's availability zone and
// the second from this entry's own, to detect a partition between zones; the rest at random.
func (t *table) helpers(target Peer, count int, random *rand.Rand) []Peer {
	candidates := t.sample(target.Name, count*helperSampleFactor, random)
	preferZone(candidates, 0, target.AvailabilityZone)
	preferZone(candidates, 1, t.self.AvailabilityZone)
	return candidates[:min(count, len(candidates))]
}

// sample returns up to count consecutive peers of the current round that are in StateAlive, from a random
// start; it skips the peer named except.
func (t *table) sample(except string, count int, random *rand.Rand) []Peer {
	if len(t.order) == 0 {
		return nil
	}
	var drawn []Peer
	start := random.IntN(len(t.order))
	for i := 0; i < len(t.order) && len(drawn) < count; i++ {
		name := t.order[(start+i)%len(t.order)]
		if m, ok := t.members[name]; ok && name != except && m.delta.State == StateAlive {
			drawn = append(drawn, m.delta.Peer)
		}
	}
	return drawn
}

// preferZone swaps the first peer of the zone at or after the given position to that position.
func preferZone(peers []Peer, position int, zone string) {
	for i := position; i < len(peers); i++ {
		if peers[i].AvailabilityZone == zone {
			peers[position], peers[i] = peers[i], peers[position]
			return
		}
	}
}

// live returns the live peers and this entry, ordered by name.
func (t *table) live() []Peer {
	list := []Peer{t.self}
	for _, m := range t.members {
		if isLive(m.delta.State) {
			list = append(list, m.delta.Peer)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// knownCount returns the number of entries that are live, or died without leaving within deadPeerRetention.
func (t *table) knownCount(now time.Time) int {
	count := 1
	for _, m := range t.members {
		recentlyDead := m.delta.State == StateDead && now.Sub(m.changedAt) < deadPeerRetention
		if isLive(m.delta.State) || recentlyDead {
			count++
		}
	}
	return count
}

// forgetGone removes the peers that are not live, have not changed state for the duration after, and are
// no longer listed; it returns their number. It also returns the dead or left peers that are still
// listed and whose directory object is due for removal.
func (t *table) forgetGone(now time.Time, after time.Duration) (forgotten int, removable []Peer) {
	for name, m := range t.members {
		if isLive(m.delta.State) || now.Sub(m.changedAt) < after {
			continue
		}
		if !m.listed {
			delete(t.members, name)
			forgotten++
			continue
		}
		if m.delta.State >= StateDead && now.Sub(m.changedAt) >= deadPeerRetention {
			removable = append(removable, m.delta.Peer)
		}
	}
	sort.Slice(removable, func(i, j int) bool { return removable[i].Name < removable[j].Name })
	return forgotten, removable
}

// page returns the live peers whose names sort after the given one, up to maxBytes but at least one.
func (t *table) page(after string, maxBytes int) Page {
	deltas := t.liveDeltas()
	start := sort.Search(len(deltas), func(i int) bool { return deltas[i].Peer.Name > after })
	used := 0
	for end := start; end < len(deltas); end++ {
		used += deltas[end].encodedBytes()
		if used > maxBytes && end > start {
			return Page{Deltas: deltas[start:end]}
		}
	}
	return Page{Deltas: deltas[start:], Last: true}
}

func (t *table) liveDeltas() []Delta {
	deltas := make([]Delta, 0, len(t.members))
	for _, m := range t.members {
		if isLive(m.delta.State) {
			deltas = append(deltas, m.delta)
		}
	}
	sort.Slice(deltas, func(i, j int) bool { return deltas[i].Peer.Name < deltas[j].Peer.Name })
	return deltas
}

// liveWithFingerprints returns the live incarnations in the table, including this entry's own, that have
// one of the fingerprints.
func (t *table) liveWithFingerprints(fingerprints []Fingerprint) []Peer {
	if len(fingerprints) == 0 {
		return nil
	}
	var peers []Peer
	if slices.Contains(fingerprints, fingerprintOf(t.self)) {
		peers = append(peers, t.self)
	}
	for _, m := range t.members {
		if isLive(m.delta.State) && slices.Contains(fingerprints, m.fingerprint) {
			peers = append(peers, m.delta.Peer)
		}
	}
	return peers
}

// nonAliveDelta returns the delta about peer if this entry considers it suspect, dead or left. It is sent
// to the peer itself, so that it can refute it.
func (t *table) nonAliveDelta(peer Peer) (Delta, bool) {
	m, ok := t.members[peer.Name]
	if !ok || m.delta.State < StateSuspect {
		return Delta{}, false
	}
	return m.delta, true
}
