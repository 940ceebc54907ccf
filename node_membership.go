package azurebarrow

import (
	"math/rand/v2"
	"net/http"

	"github.com/azurebarrow/azurebarrow/adapters/peertwirp/peermembership"
	"github.com/azurebarrow/azurebarrow/adapters/platformhttp"
	"github.com/azurebarrow/azurebarrow/membership"
)

// buildMembership creates the membership view. It contains the entries that the settings name, the
// platform lists or peers report, for as long as they answer probes.
func (n *Entry) buildMembership(platform *platformhttp.Client) {
	seeds := make([]membership.Peer, 0, len(n.settings.Peers))
	for _, peer := range n.settings.Peers {
		if peer.Name != n.settings.Name {
			seeds = append(seeds, membership.Peer{Name: peer.Name, Address: peer.Address, AvailabilityZone: peer.AvailabilityZone})
		}
	}
	n.members = membership.NewManager(membership.Options{
		Self: membership.Peer{
			Name:             n.settings.Name,
			Address:          n.settings.PeerAddress,
			AvailabilityZone: n.settings.AvailabilityZone,
			Incarnation:      n.incarnation,
		},
		Prober:           peermembership.NewProber(&http.Client{Transport: peermembership.NewTransport()}),
		Directory:        membership.NewObjectDirectory(platform),
		Seeds:            seeds,
		Seed:             rand.Uint64(),
		OnDirectoryError: func(err error) { n.log.WithError(err).Warn("entries-not-listed") },
	})
}
