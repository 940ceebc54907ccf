// Package rolloutpeer carries the reports of package rolloutcontrol to the coordinator of a rollout, as JSON over HTTP.
package rolloutpeer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/rolloutcontrol"
)

const (
	path = "/rollout-reports"
	// maxReportBytes limits a report: evidence of two versions, with 16 routes of 80 latency buckets each.
	maxReportBytes = 64 << 10
	// maxAnswerBytes limits an answer.
	maxAnswerBytes = 4 << 10
)

// Client implements rolloutcontrol.Transport.
type Client struct{ client *http.Client }

// NewClient returns a Client that sends through client.
func NewClient(client *http.Client) *Client { return &Client{client} }

// Report implements rolloutcontrol.Transport.
func (c *Client) Report(ctx context.Context, peer membership.Peer, report rolloutcontrol.Report) (rolloutcontrol.Answer, error) {
	var answer rolloutcontrol.Answer
	body, err := json.Marshal(reportToWire(report))
	if err != nil {
		return answer, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.Address+path, bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer, err
	}
	if response.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("rollout report to %s: status %d", peer.Address, response.StatusCode)
	}
	return answer, json.Unmarshal(text, &answer)
}

// NewHandler returns the handler of the reports that this entry receives, and its path.
func NewHandler(manager *rolloutcontrol.Manager) (pattern string, handler http.Handler) {
	return "POST " + path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var wire wireReport
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxReportBytes)).Decode(&wire)
		report, invalid := wire.decode()
		if err != nil || invalid != nil || report.Entry == "" {
			http.Error(w, "not a report of a rollout", http.StatusBadRequest)
			return
		}
		answer, err := manager.Receive(report)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer) // the peer may have left
	})
}
