// Package vmlist is the adapter that reads the platform's list of VMs over HTTP.
package vmlist

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/jsonhttp"
	"github.com/azurebarrow/azurebarrow/draining"
)

// stateTerminating is the state of a VM that the platform is going to terminate.
const stateTerminating = "leaving"

// Client implements leaving.VMList.
type Client struct {
	url  string
	http *http.Client
}

// New returns a Client that reads the VM list at baseURL.
func New(baseURL string, client *http.Client) *Client {
	return &Client{url: strings.TrimSuffix(baseURL, "/") + "/v1/vms", http: client}
}

type listBody struct {
	Items []vm `json:"items"`
}

type vm struct {
	Address          string `json:"address"`
	AvailabilityZone string `json:"availabilityZone"`
	State            string `json:"state"`
	LeaveAtMs        int64  `json:"leaveAtMs"`
}

// VMs implements leaving.VMList.
func (c *Client) VMs(ctx context.Context) ([]draining.VM, error) {
	var list listBody
	if err := jsonhttp.Get(ctx, c.http, c.url, &list); err != nil {
		return nil, fmt.Errorf("vm list: %w", err)
	}
	vms := make([]draining.VM, 0, len(list.Items))
	for _, item := range list.Items {
		vms = append(vms, draining.VM{
			Address:          item.Address,
			AvailabilityZone: item.AvailabilityZone,
			Terminating:      item.State == stateTerminating,
			TerminatesIn:     time.Duration(item.LeaveAtMs) * time.Millisecond,
		})
	}
	return vms, nil
}
