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
func (e *Entry) buildRouting(peerClient *http.Client) {
	inventories := enginestatus.NewInventories()
	e.router = routing.NewRouter(routing.Options{
		Configuration:    e.configuration,
		DrainState:       e.control.drainingTargets,
		Inventory:        inventories,
		AvailabilityZone: e.settings.AvailabilityZone,
		EntryPosition:    e.entryPosition,
		Seed:             rand.Uint64(),
	})
	e.engineStatus = enginestatus.NewPoller(e.options.DialTarget, e.configuration, e.router, inventories)
	e.admission = admission.NewController(admission.Options{
		Customers:   customerLimits{e.configuration},
		Capacity:    e.router,
		Members:     e.members,
		QuotaOwners: peerquota.NewClient(peerClient),
	})
}

// entryPosition returns this entry's index among the live entries, and their number.
func (e *Entry) entryPosition() routing.EntryPosition {
	live := e.members.Live()
	self := e.members.Self().Name
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
