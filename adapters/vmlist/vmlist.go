// Package vmlist is the adapter that reads the platform's list of VMs over HTTP.
package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/jsonhttp"
	"github.com/azurebarrow/azurebarrow/draining"
	"github.com/azurebarrow/azurebarrow/internal/rawjson"
)

// stateTerminating is the state of a VM that the platform is going to terminate.
const stateTerminating = "leaving"

// Client implements draining.VMList.
type Client struct {
	url  string
	http *http.Client
}

// New returns a Client that reads the VM list at baseURL.
func New(baseURL string, client *http.Client) *Client {
	return &Client{url: strings.TrimSuffix(baseURL, "/") + "/v1/vms", http: client}
}

type vm struct {
	Address          string          `json:"address"`
	AvailabilityZone string          `json:"availabilityZone"`
	State            string          `json:"state"`
	LeaveAtMs        json.RawMessage `json:"leaveAtMs"`
}

// maxTerminatesIn limits the times that are believed; it is far above any notice of a platform.
const maxTerminatesIn = 365 * 24 * time.Hour

// VMs implements draining.VMList. It skips VMs that can't be decoded or have no address: one of them must not hide the others.
func (c *Client) VMs(ctx context.Context) ([]draining.VM, error) {
	text, err := jsonhttp.Read(ctx, c.http, c.url)
	if err != nil {
		return nil, fmt.Errorf("vm list: %w", err)
	}
	items, err := splitItems(text)
	if err != nil {
		return nil, fmt.Errorf("vm list: %w", err)
	}
	vms := make([]draining.VM, 0, len(items))
	for _, text := range items {
		var item vm
		if json.Unmarshal(text, &item) != nil || !isAddress(item.Address) {
			continue
		}
		vms = append(vms, draining.VM{
			Address:          item.Address,
			AvailabilityZone: item.AvailabilityZone,
			Terminating:      item.State == stateTerminating,
			TerminatesIn:     terminatesIn(item.LeaveAtMs),
		})
	}
	return vms, nil
}

// splitItems returns the texts of the VMs.
func splitItems(text []byte) ([]json.RawMessage, error) {
	fields, err := rawjson.Fields(text)
	if err != nil {
		return nil, err
	}
	items, present := fields["items"]
	if !present || string(items) == "null" {
		return nil, nil
	}
	return rawjson.Elements(items)
}

func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}

// terminatesIn returns the time that a VM has left; 0, which is unknown, for one out of range.
func terminatesIn(text json.RawMessage) time.Duration {
	var milliseconds int64
	if json.Unmarshal(text, &milliseconds) != nil || milliseconds < 0 || milliseconds > maxTerminatesIn.Milliseconds() {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}
