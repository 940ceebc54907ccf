package azurebarrow

import (
	"encoding/json"
	"net/http"

	"github.com/azurebarrow/azurebarrow/adapters/peertwirp"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/slo"
	"github.com/azurebarrow/azurebarrow/slo/page"
)

// buildObjectives creates the recorder of service-level objectives and the collector of the entries'
// reports on them.
func (e *Entry) buildObjectives(view membership.View, client *http.Client) {
	e.objectives = slo.NewRecorder(e.configuration)
	e.reports = slo.NewCollector(e.objectives, view, peertwirp.ObjectivesClient{Client: client})
}

// serveBurn answers with the burn rates of each availability zone and of all zones together.
func (e *Entry) serveBurn(w http.ResponseWriter, r *http.Request) {
	snapshot := e.configuration.Snapshot()
	reports := e.reports.ZoneReports(r.Context())
	document := page.Report{Overall: slo.Summarise(slo.Merge(reports...), snapshot)}
	document.Overall.AvailabilityZone = ""
	for _, report := range reports {
		document.Zones = append(document.Zones, slo.Summarise(report, snapshot))
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(document)
}
