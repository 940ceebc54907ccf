// Package enginecontrol is the adapter that sends commands to engines and reads their inventory and
// health, over HTTP.
package enginecontrol

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/jsonhttp"
	"github.com/azurebarrow/azurebarrow/adapters/targetcall"
	"github.com/azurebarrow/azurebarrow/control"
	"github.com/azurebarrow/azurebarrow/draining"
)

// Client implements control.Engines and draining.HealthReader.
type Client struct {
	http *http.Client
}

// New returns a Client with its own connection pool, whose connections dial opens; nil dials from this host.
func New(dial targetcall.Dial) *Client { return &Client{http: targetcall.NewClient(dial)} }

// weights identifies a model version, with or without an adapter.
type weights struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
}

type inventoryAnswer struct {
	Incarnation string    `json:"incarnation"`
	Role        string    `json:"role"`
	Loaded      []weights `json:"loaded"`
	Loading     []weights `json:"loading"`
	Fence       int64     `json:"fence"`
}

type healthAnswer struct {
	Incarnation string `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	LeaveAtMs   int64  `json:"leaveAtMs"`
}

// commandBody is the body of a command to an engine.
type commandBody struct {
	ID   string `json:"id"`
	Kind string `json:"kind"`
	weights
	Role  string `json:"role"`
	Fence int64  `json:"fence"`
}

// Inventory implements control.Engines.
func (c *Client) Inventory(ctx context.Context, address string) (control.Inventory, error) {
	var answer inventoryAnswer
	if err := jsonhttp.Get(ctx, c.http, "http://"+address+"/v1/inventory", &answer); err != nil {
		return control.Inventory{}, err
	}
	return control.Inventory{
		Incarnation: answer.Incarnation,
		Role:        answer.Role,
		Loaded:      toWeights(answer.Loaded),
		Loading:     toWeights(answer.Loading),
		Fence:       control.Token(answer.Fence),
	}, nil
}

func toWeights(list []weights) []control.Weights {
	converted := make([]control.Weights, len(list))
	for i, each := range list {
		converted[i] = control.Weights(each)
	}
	return converted
}

// Health implements draining.HealthReader.
func (c *Client) Health(ctx context.Context, address string) (draining.Health, error) {
	var answer healthAnswer
	if err := jsonhttp.Get(ctx, c.http, "http://"+address+"/v1/health", &answer); err != nil {
		return draining.Health{}, err
	}
	return draining.Health{
		Incarnation:  answer.Incarnation,
		Draining:     answer.Leaving,
		TerminatesIn: terminatesIn(answer.LeaveAtMs),
	}, nil
}

// maxTerminatesIn limits the times that are believed; it is far above any notice of an engine.
const maxTerminatesIn = 365 * 24 * time.Hour

// terminatesIn returns the time that an engine has left; 0, which is unknown, for one out of range.
func terminatesIn(milliseconds int64) time.Duration {
	if milliseconds < 0 || milliseconds > maxTerminatesIn.Milliseconds() {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// Send implements control.Engines.
func (c *Client) Send(ctx context.Context, address string, command control.Command) error {
	body, err := json.Marshal(commandBody{
		ID:      command.ID,
		Kind:    string(command.Kind),
		weights: weights(command.Weights),
		Role:    command.Role,
		Fence:   int64(command.Fence),
	})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return control.ErrFenced
	}
	return fmt.Errorf("engine %s: order %s: status %d", address, command.Kind, response.StatusCode)
}
