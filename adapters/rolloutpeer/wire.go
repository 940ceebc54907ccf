package rolloutpeer

import (
	"errors"

	"github.com/azurebarrow/azurebarrow/rollout"
	"github.com/azurebarrow/azurebarrow/rolloutcontrol"
)

// wireReport is a report in the wire format. Its names are short, since the coordinator gets hundreds a second.
type wireReport struct {
	Entry         string        `json:"entry"`
	Service       string        `json:"service"`
	To            string        `json:"to"`
	Sequence      int64         `json:"seq"`
	Old           wireEvidence  `json:"old,omitzero"`
	New           wireEvidence  `json:"new,omitzero"`
	OldInProgress int           `json:"oldRunning,omitempty"`
	Stage         rollout.Stage `json:"stage,omitempty"`
}

type wireEvidence struct {
	Started int64       `json:"n,omitempty"`
	Routes  []wireRoute `json:"r,omitempty"`
}

// IsZero reports whether there is nothing to send.
func (e wireEvidence) IsZero() bool { return e.Started == 0 && len(e.Routes) == 0 }

type wireRoute struct {
	Route    string `json:"name"`
	Requests int64  `json:"n,omitempty"`
	Failures int64  `json:"f,omitempty"`
	Broken   int64  `json:"b,omitempty"`
	// Latency holds the buckets that are not empty, as pairs of their number and count: within one report most are empty.
	Latency []uint32 `json:"l,omitempty"`
}

func reportToWire(report rolloutcontrol.Report) wireReport {
	return wireReport{
		Entry: report.Entry, Service: report.Service, To: report.To, Sequence: report.Sequence, OldInProgress: report.OldInProgress,
		Stage: report.Stage, Old: evidenceToWire(report.Old), New: evidenceToWire(report.New),
	}
}

func evidenceToWire(evidence rollout.Evidence) wireEvidence {
	wire := wireEvidence{Started: evidence.Started}
	for _, route := range evidence.Routes {
		each := wireRoute{Route: route.Route, Requests: route.Requests, Failures: route.Failures, Broken: route.Broken}
		for bucket, count := range route.Latency {
			if count > 0 {
				each.Latency = append(each.Latency, uint32(bucket), count)
			}
		}
		wire.Routes = append(wire.Routes, each)
	}
	return wire
}

var errBadBuckets = errors.New("the latency buckets are not valid")

func (w wireReport) decode() (rolloutcontrol.Report, error) {
	older, oldErr := w.Old.decode()
	newer, newErr := w.New.decode()
	return rolloutcontrol.Report{
		Entry: w.Entry, Service: w.Service, To: w.To, Sequence: w.Sequence, OldInProgress: w.OldInProgress, Stage: w.Stage, Old: older, New: newer,
	}, errors.Join(oldErr, newErr)
}

func (e wireEvidence) decode() (rollout.Evidence, error) {
	evidence := rollout.Evidence{Started: e.Started}
	for _, route := range e.Routes {
		each := rollout.RouteEvidence{Route: route.Route, Requests: route.Requests, Failures: route.Failures, Broken: route.Broken}
		if len(route.Latency)%2 != 0 {
			return rollout.Evidence{}, errBadBuckets
		}
		for i := 0; i < len(route.Latency); i += 2 {
			bucket := int(route.Latency[i])
			if bucket >= rollout.LatencyBuckets || bucket < len(each.Latency) {
				return rollout.Evidence{}, errBadBuckets
			}
			each.Latency = append(append(each.Latency, make([]uint32, bucket-len(each.Latency))...), route.Latency[i+1])
		}
		evidence.Routes = append(evidence.Routes, each)
	}
	return evidence, nil
}
