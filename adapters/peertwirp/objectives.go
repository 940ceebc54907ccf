// Package peertwirp implements the protocols between entries over Twirp: the idempotency ledger and the
// reports of service-level objectives. Its subfolders hold the other protocols and the generated code.
package peertwirp

import (
	"context"
	"net/http"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/azurebarrow/azurebarrow/adapters/peertwirp/slopb"
	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/slo"
)

// Objectives requests reports of service-level objectives from other entries. It implements slo.Peers.
type ObjectivesClient struct {
	Client *http.Client
}

// EntryReport implements slo.Peers.
func (o ObjectivesClient) EntryReport(ctx context.Context, peer membership.Peer) (slo.Report, error) {
	return o.requestReport(ctx, peer, slopb.Scope_SCOPE_ENTRY)
}

// ZoneReport implements slo.Peers.
func (o ObjectivesClient) ZoneReport(ctx context.Context, peer membership.Peer) (slo.Report, error) {
	return o.requestReport(ctx, peer, slopb.Scope_SCOPE_AVAILABILITY_ZONE)
}

func (o ObjectivesClient) requestReport(ctx context.Context, peer membership.Peer, scope slopb.Scope) (slo.Report, error) {
	client := slopb.NewObjectivesProtobufClient("http://"+peer.Address, o.Client)
	response, err := client.Report(ctx, &slopb.ReportRequest{Scope: scope})
	if err != nil {
		return slo.Report{}, err
	}
	return reportFromProto(response)
}

// NewObjectivesServer returns the path prefix and the HTTP handler that serve the reports of this entry and
// of its availability zone to other entries.
func NewObjectivesServer(collector *slo.Collector) (string, http.Handler) {
	server := slopb.NewObjectivesServer(objectivesServer{collector})
	return server.PathPrefix(), server
}

type objectivesServer struct{ collector *slo.Collector }

// Report implements slopb.Objectives.
func (s objectivesServer) Report(ctx context.Context, request *slopb.ReportRequest) (*slopb.ReportResponse, error) {
	if request.Scope == slopb.Scope_SCOPE_AVAILABILITY_ZONE {
		return reportToProto(s.collector.ZoneReport(ctx))
	}
	return reportToProto(s.collector.EntryReport())
}

func reportToProto(report slo.Report) (*slopb.ReportResponse, error) {
	message := &slopb.ReportResponse{AvailabilityZone: report.AvailabilityZone, Reported: report.Reported, Missing: report.Missing}
	for _, measured := range report.Measurements {
		converted := &slopb.Measured{Deployment: measured.Series.Deployment, Objective: string(measured.Series.Kind)}
		for _, counts := range measured.WindowCounts {
			converted.Windows = append(converted.Windows, &slopb.Counts{Total: counts.Total, Good: counts.Good})
		}
		if measured.Latencies != nil {
			encoded, err := measured.Latencies.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
			if err != nil {
				return nil, err
			}
			converted.Latencies = encoded
		}
		message.Measured = append(message.Measured, converted)
	}
	return message, nil
}

func reportFromProto(message *slopb.ReportResponse) (slo.Report, error) {
	report := slo.Report{AvailabilityZone: message.AvailabilityZone, Reported: message.Reported, Missing: message.Missing}
	for _, converted := range message.Measured {
		measured := slo.Measurement{Series: slo.Series{Deployment: converted.Deployment, Kind: v1.ObjectiveKind(converted.Objective)}}
		for _, counts := range converted.Windows {
			measured.WindowCounts = append(measured.WindowCounts, slo.Counts{Total: counts.Total, Good: counts.Good})
		}
		if len(converted.Latencies) > 0 {
			decoded, err := hdrhistogram.Decode(converted.Latencies)
			if err != nil {
				return slo.Report{}, err
			}
			measured.Latencies = decoded
		}
		report.Measurements = append(report.Measurements, measured)
	}
	return report, nil
}
