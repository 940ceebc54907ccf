package membership

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// member is what the table holds of one peer.
type member struct {
	delta Delta
	// fingerprint is that of the incarnation in delta.
	fingerprint Fingerprint
	// ringPosition is the peer's place on the ring of entries.
	ringPosition uint64
	// listed tells that the directory or the seeds name the peer.
	listed bool
	// changed is when the state last changed.
	changed time.Time
	// suspicion is set while this entry itself fails to reach the peer.
	suspicion *suspicion
}

// suspicion is this entry's own failure to reach a peer.
type suspicion struct {
	since time.Time
	// confirmations counts the probes that failed since.
	confirmations int
}

// table holds the peers. Its methods are deterministic; only the owner of the table calls them.
type table struct {
	self    Peer
	members map[string]*member
	// order is the present round of probes, shuffled; next is the position in it.
	order []string
	next  int
}

func newTable(self Peer) *table {
	return &table{self: self, members: map[string]*member{}}
}

// list records who exists; peers that are no longer named stay until they are silent.
func (t *table) list(peers []Peer, now time.Time) {
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
		m = &member{delta: Delta{Peer: peer}, changed: now}
		t.members[peer.Name] = m
	}
	m.listed = true
}

// outcome tells what merging a delta changed.
type outcome struct {
	// news: the delta was newer than what the table held and should be passed on.
	news bool
	// refuted: the delta was about this entry, which now has a higher incarnation.
	refuted bool
	// joined: nothing was heard of the peer before.
	joined bool
	// liveChanged: the list of live entries differs from before.
	liveChanged bool
}

// merge takes a delta in.
func (t *table) merge(delta Delta, now time.Time) outcome {
	if delta.Peer.Name == t.self.Name {
		return t.mergeSelf(delta)
	}
	m, ok := t.members[delta.Peer.Name]
	if !ok {
		m = &member{changed: now}
	}
	if !delta.Supersedes(m.delta) {
		return outcome{}
	}
	if !ok && delta.State >= StateDead {
		// Nobody needs to learn of a peer that is gone; it would only keep the news alive.
		return outcome{}
	}
	if m.delta.State != delta.State || m.delta.Peer.Incarnation != delta.Peer.Incarnation {
		m.changed = now
	}
	liveChanged := answers(m.delta.State) != answers(delta.State) || m.delta.Peer != delta.Peer ||
		delta.State == StateLeft
	joined := m.delta.State == StateUnknown && answers(delta.State)
	if m.delta.Peer != delta.Peer || !ok {
		m.fingerprint = fingerprintOf(delta.Peer)
		m.ringPosition = ringPosition(delta.Peer.Name)
	}
	m.delta = delta
	if delta.State != StateSuspect {
		m.suspicion = nil
	}
	t.members[delta.Peer.Name] = m
	return outcome{news: true, joined: joined, liveChanged: liveChanged}
}

func (t *table) mergeSelf(delta Delta) outcome {
	incarnation, ok := refutation(t.self, delta)
	if !ok {
		return outcome{}
	}
	t.self.Incarnation = incarnation
	return outcome{refuted: true, liveChanged: true}
}

// probeFailed records that this entry could not reach the peer's given incarnation, and returns
// the delta that follows from it.
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

// convicted returns the deltas of suspects that stayed silent through their suspicion.
func (t *table) convicted(now time.Time, timeout time.Duration) []Delta {
	var dead []Delta
	for _, m := range t.members {
		if m.suspicion == nil || m.delta.State != StateSuspect {
			continue
		}
		if now.Sub(m.suspicion.since) < timeout || m.suspicion.confirmations < confirmationsToConvict {
			continue
		}
		dead = append(dead, Delta{Peer: m.delta.Peer, State: StateDead})
	}
	sort.Slice(dead, func(i, j int) bool { return dead[i].Peer.Name < dead[j].Peer.Name })
	return dead
}

// resetDetectors forgets this entry's own failures: it was itself paused, so that they prove
// nothing.
func (t *table) resetDetectors() {
	for _, m := range t.members {
		m.suspicion = nil
	}
}

// suspects returns the peers that this entry itself fails to reach, longest first.
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

// nextToProbe returns the next peer of the shuffled round, or one of the silent ones when silent is
// set: peers that are listed or were lost, and may be back.
func (t *table) nextToProbe(silent bool, random *rand.Rand) (Peer, bool) {
	if silent {
		if peer, ok := t.randomSilent(random); ok {
			return peer, true
		}
	}
	for range len(t.order) + 1 {
		if t.next >= len(t.order) {
			t.shuffle(random)
		}
		if len(t.order) == 0 {
			return t.randomSilent(random)
		}
		name := t.order[t.next]
		t.next++
		if m, ok := t.members[name]; ok && answers(m.delta.State) {
			return m.delta.Peer, true
		}
	}
	return t.randomSilent(random)
}

// successor returns the peer at the given position clockwise of this entry on the ring of all that answer.
func (t *table) successor(position int) (Peer, bool) {
	own := ringPosition(t.self.Name)
	distance := func(m *member) uint64 { return m.ringPosition - own }
	var nearest []*member
	for _, m := range t.members {
		if !answers(m.delta.State) {
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

// ringPosition spreads names, and with them availability zones, over the ring.
func ringPosition(name string) uint64 { return xxhash.Sum64String(name) }

func answers(state State) bool { return state == StateAlive || state == StateSuspect }

// newRound has the next probe begin a new round, which takes in peers heard of meanwhile.
func (t *table) newRound() { t.next = len(t.order) }

func (t *table) shuffle(random *rand.Rand) {
	t.order = t.order[:0]
	t.next = 0
	for name, m := range t.members {
		if answers(m.delta.State) {
			t.order = append(t.order, name)
		}
	}
	sort.Strings(t.order)
	random.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
}

func (t *table) randomSilent(random *rand.Rand) (Peer, bool) {
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

// unknown returns the peers that are listed but were never heard of, ordered by name.
func (t *table) unknown() []Peer {
	var list []Peer
	for _, m := range t.members {
		if m.delta.State == StateUnknown {
			list = append(list, m.delta.Peer)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// helpers chooses the peers that are asked to probe target: the first from target's availability
// zone, the second from this entry's own, so that a cut between zones shows; the rest at random.
func (t *table) helpers(target Peer, count int, random *rand.Rand) []Peer {
	candidates := t.sample(target.Name, count*helperSampleFactor, random)
	preferZone(candidates, 0, target.AvailabilityZone)
	preferZone(candidates, 1, t.self.AvailabilityZone)
	return candidates[:min(count, len(candidates))]
}

// sample draws up to count peers that are alive, other than the named one, from the round's order.
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

// preferZone moves a peer of the zone to the given position, if there is one behind it.
func preferZone(peers []Peer, position int, zone string) {
	for i := position; i < len(peers); i++ {
		if peers[i].AvailabilityZone == zone {
			peers[position], peers[i] = peers[i], peers[position]
			return
		}
	}
}

// live returns the peers that are thought to be alive and this entry, ordered by name.
func (t *table) live() []Peer {
	list := []Peer{t.self}
	for _, m := range t.members {
		if answers(m.delta.State) {
			list = append(list, m.delta.Peer)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// known counts the entries that live or fell silent without leaving.
func (t *table) known(now time.Time) int {
	count := 1
	for _, m := range t.members {
		recentlyDead := m.delta.State == StateDead && now.Sub(m.changed) < knownAfterDeath
		if answers(m.delta.State) || recentlyDead {
			count++
		}
	}
	return count
}

// forget drops peers that left or died some time ago and are no longer listed, and returns the
// dead or left ones that are still listed and whose entry in the directory is due for removal.
func (t *table) forget(now time.Time, after time.Duration) (forgotten int, removable []Peer) {
	for name, m := range t.members {
		if answers(m.delta.State) || now.Sub(m.changed) < after {
			continue
		}
		if !m.listed {
			delete(t.members, name)
			forgotten++
			continue
		}
		if m.delta.State >= StateDead && now.Sub(m.changed) >= knownAfterDeath {
			removable = append(removable, m.delta.Peer)
		}
	}
	sort.Slice(removable, func(i, j int) bool { return removable[i].Name < removable[j].Name })
	return forgotten, removable
}

// page returns the part of the table after the given name, in the order of names.
func (t *table) page(after string, maxBytes int) Page {
	deltas := t.answering()
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

func (t *table) answering() []Delta {
	deltas := make([]Delta, 0, len(t.members))
	for _, m := range t.members {
		if answers(m.delta.State) {
			deltas = append(deltas, m.delta)
		}
	}
	sort.Slice(deltas, func(i, j int) bool { return deltas[i].Peer.Name < deltas[j].Peer.Name })
	return deltas
}

// named returns the incarnations that the fingerprints name, as far as the table holds them; this entry's
// own may be among them.
func (t *table) named(fingerprints []Fingerprint) []Peer {
	if len(fingerprints) == 0 {
		return nil
	}
	var peers []Peer
	if slices.Contains(fingerprints, fingerprintOf(t.self)) {
		peers = append(peers, t.self)
	}
	for _, m := range t.members {
		if answers(m.delta.State) && slices.Contains(fingerprints, m.fingerprint) {
			peers = append(peers, m.delta.Peer)
		}
	}
	return peers
}

// belief returns the delta to tell peer what this entry thinks of it, if that is not that it lives.
func (t *table) belief(peer Peer) (Delta, bool) {
	m, ok := t.members[peer.Name]
	if !ok || m.delta.State < StateSuspect {
		return Delta{}, false
	}
	return m.delta, true
}
