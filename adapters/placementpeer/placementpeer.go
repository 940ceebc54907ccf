// Package placementpeer carries the messages of package placementcontrol to the coordinator of a service, as JSON over HTTP.
package placementpeer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/placementcontrol"
)

const (
	placementPath = "/placements"
	reportPath    = "/placement-reports"
	// maxRequestBytes limits a message: the state of an entry at 250 engines.
	maxRequestBytes = 64 << 10
	// maxAnswerBytes limits an answer.
	maxAnswerBytes = 4 << 10
)

// Client implements placementcontrol.Transport.
type Client struct{ client *http.Client }

// NewClient returns a Client that sends through client.
func NewClient(client *http.Client) *Client { return &Client{client} }

// Place implements placementcontrol.Transport.
func (c *Client) Place(ctx context.Context, peer membership.Peer, request placementcontrol.Request) (placementcontrol.Answer, error) {
	text, err := c.post(ctx, peer, placementPath, requestToWire(request))
	if err != nil {
		return placementcontrol.Answer{}, err
	}
	var wire wireAnswer
	if err := json.Unmarshal(text, &wire); err != nil {
		return placementcontrol.Answer{}, err
	}
	return wire.decode()
}

// Report implements placementcontrol.Transport.
func (c *Client) Report(ctx context.Context, peer membership.Peer, report placementcontrol.Report) error {
	_, err := c.post(ctx, peer, reportPath, reportToWire(report))
	return err
}

// post sends a message and returns the answer's text.
func (c *Client) post(ctx context.Context, peer membership.Peer, path string, message any) ([]byte, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, err
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return text, nil
	case http.StatusNotFound, http.StatusConflict: // 404 is the answer of builds that don't know the path
		return nil, fmt.Errorf("%s: status %d: %w", peer.Address, response.StatusCode, placementcontrol.ErrDeclined)
	}
	return nil, fmt.Errorf("%s: status %d", peer.Address, response.StatusCode)
}

// Coordinator is what receives the messages; *placementcontrol.Manager is one.
type Coordinator interface {
	Place(ctx context.Context, request placementcontrol.Request) (placementcontrol.Answer, error)
	Receive(report placementcontrol.Report) error
}

// Register adds the handlers of the messages that this entry receives.
func Register(mux *http.ServeMux, coordinator Coordinator) {
	mux.HandleFunc("POST "+placementPath, func(w http.ResponseWriter, r *http.Request) {
		var wire wireRequest
		if !decode(w, r, &wire) {
			return
		}
		request, err := wire.decode()
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := coordinator.Place(r.Context(), request)
		if err != nil {
			writeError(w, err)
			return
		}
		text, err := json.Marshal(answerToWire(answer))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(text) // the peer may have left
	})
	mux.HandleFunc("POST "+reportPath, func(w http.ResponseWriter, r *http.Request) {
		var wire wireReport
		if !decode(w, r, &wire) {
			return
		}
		report, err := wire.decode()
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := coordinator.Receive(report); err != nil {
			writeError(w, err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}

// decode decodes the body of a message, or refuses the message.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(text, into)
	}
	if err != nil {
		http.Error(w, "not a placement message", http.StatusBadRequest)
		return false
	}
	return true
}

// writeError answers a message that the coordinator did not take.
func writeError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	if errors.Is(err, placementcontrol.ErrDeclined) {
		status = http.StatusConflict
	}
	http.Error(w, err.Error(), status)
}
