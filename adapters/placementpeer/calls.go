package placementpeer

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/placementcontrol"
	"github.com/azurebarrow/azurebarrow/service"
)

const callTargetPath = "/call-targets"

// wireCallRequest is a placementcontrol.CallRequest in the wire format.
type wireCallRequest struct {
	Entry     string         `json:"entry"`
	Zone      string         `json:"zone,omitempty"`
	Service   string         `json:"service"`
	Request   string         `json:"request,omitempty"`
	Exclude   []string       `json:"exclude,omitempty"`
	Connected []string       `json:"connected,omitempty"`
	Times     []wireCallTime `json:"times,omitempty"`
	Ended     []uint64       `json:"ended,omitempty"`
	Running   []uint64       `json:"running,omitempty"`
}

type wireCallTime struct {
	ID     string `json:"id"`
	TookUs int64  `json:"took_us"`
}

// wireCallAnswer is a placementcontrol.CallAnswer in the wire format.
type wireCallAnswer struct {
	Target string `json:"target,omitempty"`
	Ticket uint64 `json:"ticket,omitempty"`
}

// maxTookUs is far above the deadline of any call.
const maxTookUs = int64(time.Hour / time.Microsecond)

var errBadTime = errors.New("the time of a call is not valid")

func callRequestToWire(request placementcontrol.CallRequest) wireCallRequest {
	wire := wireCallRequest{
		Entry: request.Entry, Zone: request.Zone, Service: request.Service, Request: request.ID, Exclude: request.Exclude,
		Connected: request.Connected, Ended: request.Ended, Running: request.Running,
	}
	if len(request.Times) > 0 {
		wire.Times = make([]wireCallTime, 0, len(request.Times))
	}
	for _, each := range request.Times {
		wire.Times = append(wire.Times, wireCallTime{each.Target, min(max(1, each.Took.Microseconds()), maxTookUs)})
	}
	return wire
}

func (w *wireCallRequest) decode() (placementcontrol.CallRequest, error) {
	request := placementcontrol.CallRequest{
		CallState: service.CallState{Entry: w.Entry, Ended: w.Ended, Running: w.Running},
		Zone:      w.Zone, Service: w.Service, ID: w.Request, Exclude: w.Exclude, Connected: w.Connected,
	}
	if w.Entry == "" || w.Service == "" {
		return request, errNoSender
	}
	if len(w.Times) > 0 {
		request.Times = make([]service.CallTime, 0, len(w.Times))
	}
	for _, each := range w.Times {
		if each.ID == "" || each.TookUs <= 0 || each.TookUs > maxTookUs {
			return request, errBadTime
		}
		request.Times = append(request.Times, service.CallTime{Target: each.ID, Took: time.Duration(each.TookUs) * time.Microsecond})
	}
	return request, nil
}

// ChooseTarget implements placementcontrol.CallTransport.
func (c *Client) ChooseTarget(ctx context.Context, peer membership.Peer, request placementcontrol.CallRequest) (placementcontrol.CallAnswer, error) {
	text, err := c.post(ctx, peer, callTargetPath, callRequestToWire(request))
	if err != nil {
		return placementcontrol.CallAnswer{}, err
	}
	var wire wireCallAnswer
	if err := json.Unmarshal(text, &wire); err != nil {
		return placementcontrol.CallAnswer{}, err
	}
	return placementcontrol.CallAnswer{Target: wire.Target, Ticket: wire.Ticket}, nil
}

// CallCoordinator is what receives the messages of calls; *placementcontrol.Calls is one.
type CallCoordinator interface {
	ChooseTarget(ctx context.Context, request placementcontrol.CallRequest) (placementcontrol.CallAnswer, error)
}

// RegisterCalls adds the handler of the messages of calls that this entry receives.
func RegisterCalls(mux *http.ServeMux, coordinator CallCoordinator) {
	mux.HandleFunc("POST "+callTargetPath, func(w http.ResponseWriter, r *http.Request) {
		var wire wireCallRequest
		if !decode(w, r, &wire) {
			return
		}
		request, err := wire.decode()
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := coordinator.ChooseTarget(r.Context(), request)
		if err != nil {
			writeError(w, err)
			return
		}
		text, err := json.Marshal(wireCallAnswer{answer.Target, answer.Ticket})
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(text) // the peer may have left
	})
}
