package peertwirp

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/slo"
)

type fixedConfiguration struct{ snapshot *config.Snapshot }

func (f fixedConfiguration) Snapshot() *config.Snapshot { return f.snapshot }

// mutableView shares its list of live entries, so that the test can add each server after its start.
type mutableView struct {
	self membership.Peer
	live *[]membership.Peer
}

func (v mutableView) Self() membership.Peer   { return v.self }
func (v mutableView) Live() []membership.Peer { return *v.live }

// TestZoneReportsAreMergedAndNameUnreachableEntries runs three entries in two availability zones over
// HTTP; a fourth one is unreachable.
func TestZoneReportsAreMergedAndNameUnreachableEntries(t *testing.T) {
	is := is.New(t)
	snapshot := config.NewSnapshot(1)
	snapshot.Deployments["d"] = &v1.Deployment{Spec: v1.DeploymentSpec{Objectives: []v1.Objective{
		{Kind: v1.ObjectiveResumeLatency, Share: 0.9, Threshold: v1.Duration(time.Second)},
	}}}
	var live []membership.Peer
	var collectors []*slo.Collector
	for _, entry := range []membership.Peer{{Name: "e1", AvailabilityZone: "a"}, {Name: "e2", AvailabilityZone: "a"}, {Name: "e3", AvailabilityZone: "b"}} {
		recorder := slo.NewRecorder(fixedConfiguration{snapshot})
		recorder.RecordLatency("d", v1.ObjectiveResumeLatency, 100*time.Millisecond)
		collector := slo.NewCollector(recorder, mutableView{entry, &live}, ObjectivesClient{Client: http.DefaultClient})
		prefix, handler := NewObjectivesServer(collector)
		mux := http.NewServeMux()
		mux.Handle(prefix, handler)
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		entry.Address = strings.TrimPrefix(server.URL, "http://")
		live = append(live, entry)
		collectors = append(collectors, collector)
	}
	dead := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(dead.URL, "http://")
	dead.Close()
	live = append(live, membership.Peer{Name: "e4", AvailabilityZone: "a", Address: address})

	zones := collectors[2].ZoneReports(context.Background())
	is.Equal(len(zones), 2)
	is.Equal(zones[0].AvailabilityZone, "b")
	is.Equal(zones[1].Reported, []string{"e1", "e2"})
	is.Equal(zones[1].Missing, []string{"e4"})
	whole := slo.Merge(zones...)
	is.Equal(whole.Measurements[0].Latencies.TotalCount(), int64(3))
	is.Equal(whole.Measurements[0].WindowCounts[0], slo.Counts{Total: 3, Good: 3})
}

func TestMalformedHistogramIsAnError(t *testing.T) {
	message, err := reportToProto(slo.Report{Measurements: []slo.Measurement{{}}})
	is := is.New(t)
	is.NoErr(err)
	message.Measured[0].Latencies = []byte("no histogram")
	_, err = reportFromProto(message)
	is.True(err != nil)
	is.True(!errors.Is(err, context.Canceled))
}
