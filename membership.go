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
func (e *Entry) buildMembership(platform *platformhttp.Client) {
	seeds := make([]membership.Peer, 0, len(e.settings.Peers))
	for _, peer := range e.settings.Peers {
		if peer.Name != e.settings.Name {
			seeds = append(seeds, membership.Peer{Name: peer.Name, Address: peer.Address, AvailabilityZone: peer.AvailabilityZone})
		}
	}
	e.members = membership.NewManager(membership.Options{
		Self: membership.Peer{
			Name:             e.settings.Name,
			Address:          e.settings.PeerAddress,
			AvailabilityZone: e.settings.AvailabilityZone,
			Incarnation:      e.incarnation,
		},
		Prober:           peermembership.NewProber(&http.Client{Transport: peermembership.NewTransport()}),
		Directory:        membership.NewObjectDirectory(platform),
		Seeds:            seeds,
		Seed:             rand.Uint64(),
		OnDirectoryError: func(err error) { e.log.WithError(err).Warn("entries-not-listed") },
	})
}
