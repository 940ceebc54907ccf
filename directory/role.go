package directory

import "github.com/azurebarrow/azurebarrow/membership"

const (
	// minWatchers is the minimum number of entries that read the store for the others.
	minWatchers = 2
	// followersPerWatcher is the maximum number of entries per entry that reads the store.
	followersPerWatcher = 30
)

// watchersOf returns the entries, other than self, that read the store for the others. They are in the
// order in which self follows them: those of its own availability zone first. isWatcher reports whether
// self reads the store for the others too.
func watchersOf(self membership.Peer, live []membership.Peer) (upstream []membership.Peer, isWatcher bool) {
	ranked := membership.Rank(live, "directory")
	count := max(minWatchers, (len(live)+followersPerWatcher-1)/followersPerWatcher)
	ranked = ranked[:min(count, len(ranked))]
	var near, far []membership.Peer
	for _, peer := range membership.Rank(ranked, self.Name) {
		switch {
		case peer.Name == self.Name:
			isWatcher = true
		case peer.AvailabilityZone == self.AvailabilityZone:
			near = append(near, peer)
		default:
			far = append(far, peer)
		}
	}
	return append(near, far...), isWatcher
}
