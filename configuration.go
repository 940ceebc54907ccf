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
func (e *Entry) newConfiguration(platform *platformhttp.Client, view membership.View, client *http.Client) *config.Manager {
	return config.NewManager(config.Options{
		Platform: platform,
		Peers:    configpeer.NewClient(client),
		View:     view,
		Registration: config.Registration{
			Name:             e.settings.Name,
			Address:          e.settings.PeerAddress,
			AvailabilityZone: e.settings.AvailabilityZone,
			Incarnation:      e.incarnation,
		},
		Observe: e.logConfiguration,
	})
}

func (e *Entry) logConfiguration(event config.Event) {
	log := e.log.WithFields(logrus.Fields{"source": event.Source, "revision": event.Revision})
	if event.Err != nil {
		log.WithError(event.Err).Warn(string(event.Kind))
		return
	}
	log.Info(string(event.Kind))
}

// ready reports whether the entry may accept requests: a configuration is in force, and the entry
// knows which targets are draining.
func (e *Entry) ready() bool { return e.configuration.Ready() && e.control.watcher.Ready() }
