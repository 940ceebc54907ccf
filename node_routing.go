package azurebarrow

import (
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/azurebarrow/azurebarrow/adapters/enginestatus"
	"github.com/azurebarrow/azurebarrow/adapters/peertwirp/peerquota"
	"github.com/azurebarrow/azurebarrow/admission"
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/routing"
)

// buildRouting creates the router that chooses targets, the poller of engine status that it uses, and
// the admission controller.
func (n *Entry) buildRouting(peerClient *http.Client) {
	inventories := enginestatus.NewInventories()
	n.router = routing.NewRouter(routing.Options{
		Configuration:    n.configuration,
		DrainState:       n.control.drainingTargets,
		Inventory:        inventories,
		AvailabilityZone: n.settings.AvailabilityZone,
		EntryPosition:    n.entryPosition,
		Seed:             rand.Uint64(),
	})
	n.engineStatus = enginestatus.NewPoller(peerClient, n.configuration, n.router, inventories)
	n.admission = admission.NewController(admission.Options{
		Customers:   customerLimits{n.configuration},
		Capacity:    n.router,
		Members:     n.members,
		QuotaOwners: peerquota.NewClient(peerClient),
	})
}

// entryPosition returns this entry's index among the live entries, and their number.
func (n *Entry) entryPosition() routing.EntryPosition {
	live := n.members.Live()
	self := n.members.Self().Name
	index := slices.IndexFunc(live, func(peer membership.Peer) bool { return peer.Name == self })
	return routing.EntryPosition{Index: index, Count: len(live)}
}

// customerLimits reads the customers' limits from the current configuration.
type customerLimits struct{ configuration *config.Manager }

// Limits implements admission.Customers.
func (c customerLimits) Limits(customer string) admission.Limits {
	declared, ok := c.configuration.Snapshot().Customers[customer]
	if !ok {
		return admission.Limits{}
	}
	return admission.Limits{
		Concurrency:     declared.Spec.Concurrency,
		TokensPerSecond: declared.Spec.TokensPerSecond,
	}
}
