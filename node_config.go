package azurebarrow

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/azurebarrow/azurebarrow/adapters/peertwirp/configpeer"
	"github.com/azurebarrow/azurebarrow/adapters/platformhttp"
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/membership"
)

// newConfiguration returns the entry's configuration manager.
func (n *Entry) newConfiguration(platform *platformhttp.Client, view membership.View, client *http.Client) *config.Manager {
	return config.NewManager(config.Options{
		Platform: platform,
		Peers:    configpeer.NewClient(client),
		View:     view,
		Registration: config.Registration{
			Name:             n.settings.Name,
			Address:          n.settings.PeerAddress,
			AvailabilityZone: n.settings.AvailabilityZone,
			Incarnation:      n.incarnation,
		},
		Observe: n.logConfiguration,
	})
}

func (n *Entry) logConfiguration(event config.Event) {
	log := n.log.WithFields(logrus.Fields{"source": event.Source, "revision": event.Revision})
	if event.Err != nil {
		log.WithError(event.Err).Warn(string(event.Kind))
		return
	}
	log.Info(string(event.Kind))
}

// ready reports whether the entry may accept requests: a configuration is in force, and the entry
// knows which targets are draining.
func (n *Entry) ready() bool { return n.configuration.Ready() && n.control.watcher.Ready() }
