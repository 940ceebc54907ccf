package azurebarrow

import (
	"slices"
	"time"

	"github.com/azurebarrow/azurebarrow/membership"
)

// startupWindow is how long after its start an entry treats the peers named in its settings as live,
// whether or not they have answered a probe yet.
const startupWindow = 10 * time.Second

// startupView is a membership view that includes the peers named in the settings while the entry
// starts: entries with very different views would look for a generation's replicas on different peers.
type startupView struct {
	membership.View
	seeds []membership.Peer
	until time.Time
}

func (e *Entry) newStartupView(view membership.View) *startupView {
	startup := &startupView{View: view, until: time.Now().Add(startupWindow)}
	for _, peer := range e.settings.Peers {
		seed := membership.Peer{Name: peer.Name, Address: peer.Address, AvailabilityZone: peer.AvailabilityZone}
		startup.seeds = append(startup.seeds, seed)
	}
	return startup
}

// Live implements membership.View.
func (w *startupView) Live() []membership.Peer {
	live := w.View.Live()
	if time.Now().After(w.until) {
		return live
	}
	all := slices.Clone(live)
	for _, seed := range w.seeds {
		known := slices.ContainsFunc(live, func(p membership.Peer) bool { return p.Name == seed.Name })
		if !known && seed.Name != "" && seed.Name != w.Self().Name {
			all = append(all, seed)
		}
	}
	return all
}
