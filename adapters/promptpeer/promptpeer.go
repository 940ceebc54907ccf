// Package promptpeer carries the prompt locations of package promptindex between entries, as JSON over HTTP.
package promptpeer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/promptindex"
)

const (
	path = "/prompt-locations"
	// promptParameter names the prompt in the query of a GET.
	promptParameter = "prompt"
	// maxLocationBytes limits what is read of one location.
	maxLocationBytes = 4 << 10
)

// location is the engine that prefills a prompt, as it is sent.
type location struct {
	Prompt string `json:"prompt"`
	Engine string `json:"engine"`
}

// Client implements promptindex.Peers.
type Client struct{ client *http.Client }

// NewClient returns a Client that sends through client.
func NewClient(client *http.Client) *Client { return &Client{client} }

// Tell implements promptindex.Peers.
func (c *Client) Tell(ctx context.Context, peer membership.Peer, prompt, engine string) error {
	body, err := json.Marshal(location{prompt, engine})
	if err != nil {
		return err
	}
	_, err = c.do(ctx, http.MethodPut, "http://"+peer.Address+path, body)
	return err
}

// Find implements promptindex.Peers.
func (c *Client) Find(ctx context.Context, peer membership.Peer, prompt string) (string, error) {
	body, err := c.do(ctx, http.MethodGet, "http://"+peer.Address+path+"?"+url.Values{promptParameter: {prompt}}.Encode(), nil)
	if err != nil || len(body) == 0 {
		return "", err
	}
	var found location
	if err := json.Unmarshal(body, &found); err != nil {
		return "", err
	}
	if found.Prompt != prompt {
		return "", fmt.Errorf("GET %s: the answer belongs to another prompt", path)
	}
	return found.Engine, nil
}

// do sends a request and returns the body of its answer, which is empty after status 204.
func (c *Client) do(ctx context.Context, method, address string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxLocationBytes))
	if err == nil && response.StatusCode >= http.StatusMultipleChoices {
		err = fmt.Errorf("%s %s: status %d", method, path, response.StatusCode)
	}
	return answer, err
}

// NewHandler returns the handler of what this entry knows, and its path.
func NewHandler(prompts *promptindex.Manager) (pattern string, handler http.Handler) {
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case http.MethodPut:
			var told location
			if err := json.NewDecoder(io.LimitReader(r.Body, maxLocationBytes)).Decode(&told); err != nil || told.Prompt == "" || told.Engine == "" {
				http.Error(w, "not the location of a prompt", http.StatusBadRequest)
				return
			}
			prompts.RecordTold(told.Prompt, told.Engine)
			w.WriteHeader(http.StatusNoContent)
		case http.MethodGet:
			prompt := r.URL.Query().Get(promptParameter)
			engine := prompts.FindTold(prompt)
			if engine == "" {
				w.WriteHeader(http.StatusNoContent)
				return
			}
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(location{prompt, engine}) // the peer may have left
		default:
			w.WriteHeader(http.StatusMethodNotAllowed)
		}
	})
}
