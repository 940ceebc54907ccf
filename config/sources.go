package config

import (
	"slices"
	"time"

	"github.com/azurebarrow/azurebarrow/membership"
)

// chooseSource returns the first usable peer of the group. It returns false if there is none.
func (m *Manager) chooseSource(group sourceGroup) (membership.Peer, bool) {
	self := m.options.View.Self()
	now := time.Now()
	for _, peer := range rankedSources(m.options.View.Live(), self, group) {
		if peer.Name != self.Name && m.sources.usable(peer.Name, now) {
			return peer, true
		}
	}
	return membership.Peer{}, false
}

// rankedSources returns the peers of the group in the order of preference of this entry. The entries of an availability zone form a
// tree under its watchers, so that no entry sends a change to many others: an entry prefers its parent, then its parent's parents. From
// another zone it prefers the entry at its own place in that zone's tree. All peers of the group follow in an order of its own.
func rankedSources(live []membership.Peer, self membership.Peer, group sourceGroup) []membership.Peer {
	zones := treesByZone(live)
	place := slices.IndexFunc(zones[self.AvailabilityZone], func(peer membership.Peer) bool { return peer.Name == self.Name })
	place = max(place, 0) // an entry that its view lacks has no followers
	if group == ownZone {
		tree := zones[self.AvailabilityZone]
		return append(ancestors(tree, place), membership.Rank(tree, self.Name)...)
	}
	var preferred, others []membership.Peer
	for _, zone := range zonesAfter(zones, self.AvailabilityZone) {
		tree := zones[zone]
		preferred = append(preferred, tree[place%len(tree)])
		others = append(others, tree...)
	}
	return append(preferred, membership.Rank(others, self.Name)...)
}

// treesByZone returns the entries of each availability zone in the order of their places: the watchers first, and each entry after
// the one that it follows. Views that differ in a few entries give nearly the same order.
func treesByZone(live []membership.Peer) map[string][]membership.Peer {
	zones := map[string][]membership.Peer{}
	for _, peer := range membership.Rank(live, watchRankKey) {
		zones[peer.AvailabilityZone] = append(zones[peer.AvailabilityZone], peer)
	}
	return zones
}

// ancestors returns the entries above a place, from its parent to the watcher at the root, and the other watchers.
func ancestors(tree []membership.Peer, place int) []membership.Peer {
	var above []membership.Peer
	for place >= watchersPerZone {
		place = (place - watchersPerZone) / followersPerEntry
		above = append(above, tree[place])
	}
	return append(above, tree[:min(len(tree), watchersPerZone)]...)
}

// zonesAfter returns the other availability zones, from the next one by name on.
func zonesAfter(zones map[string][]membership.Peer, own string) []string {
	var before, after []string
	for zone := range zones {
		switch {
		case zone > own:
			after = append(after, zone)
		case zone < own:
			before = append(before, zone)
		}
	}
	slices.Sort(before)
	slices.Sort(after)
	return append(after, before...)
}
