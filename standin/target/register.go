package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/rawjson"
	"github.com/azurebarrow/azurebarrow/internal/wait"
)

// ObjectKind is the kind of the store's objects that describe targets.
const ObjectKind = "servers"

// targetSpec is the spec of a target's object in the store.
type targetSpec struct {
	Service      string `json:"service"`
	Address      string `json:"address"`
	Zone         string `json:"zone"`
	Version      string `json:"version,omitempty"`
	Slots        int    `json:"slots"`
	State        string `json:"state"`
	CallSequence int    `json:"call_seq"`
	StartedMs    int64  `json:"born"`
}

// Registration configures how a target registers itself in the store.
type Registration struct {
	// StoreURL is the base URL of the store. Heartbeat is the interval between two writes of the target's object.
	StoreURL  string
	Heartbeat time.Duration
	// DrainTime is how long the target still serves after the store has accepted that it is draining.
	DrainTime time.Duration
}

// Run registers the target and writes its object at each heartbeat until ctx ends. Then it reports the
// target as draining, and returns after the drain time. It leaves the object in the store, where it expires
// for lack of heartbeats.
func (t *Target) Run(ctx context.Context, registration Registration) {
	spec := targetSpec{
		Service: t.options.Service, Address: t.options.Advertise, Zone: t.options.AvailabilityZone, Version: t.options.Version,
		Slots: t.options.Slots, State: "ready", StartedMs: time.Now().UnixMilli(),
	}
	for {
		_ = registration.put(t.options.ID, spec) // the next heartbeat retries
		if wait.For(ctx, registration.Heartbeat) != nil {
			break
		}
	}
	spec.State = "draining"
	for registration.put(t.options.ID, spec) != nil {
		time.Sleep(registration.Heartbeat)
	}
	t.options.Log.Write(Record{At: time.Now(), What: Draining, Target: t.options.ID, Service: t.options.Service})
	for until := time.Now().Add(registration.DrainTime); time.Now().Before(until); time.Sleep(registration.Heartbeat) {
		_ = registration.put(t.options.ID, spec)
	}
}

func (r Registration) put(name string, spec targetSpec) error {
	ctx, cancel := context.WithTimeout(context.Background(), r.Heartbeat)
	defer cancel()
	return PutObject(ctx, r.StoreURL, ObjectKind, name, spec)
}

// PutObject replaces an object in the store at the base URL, or creates it if it does not exist.
func PutObject(ctx context.Context, store, kind, name string, spec any) error {
	body, err := json.Marshal(map[string]any{"metadata": map[string]any{"name": name}, "spec": spec})
	if err != nil {
		return err
	}
	err = Send(ctx, http.MethodPut, store+"/v1/objects/"+kind+"/"+name, body)
	var failure *StatusError
	if errors.As(err, &failure) && failure.Status == http.StatusNotFound {
		return Send(ctx, http.MethodPost, store+"/v1/objects/"+kind, body)
	}
	return err
}

// StatusError is an answer with a status other than a success.
type StatusError struct {
	URL    string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("%s answers %d", e.URL, e.Status) }

// Send makes a call and ignores the body of the answer. A status of 300 or above is a StatusError.
func Send(ctx context.Context, method, url string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return &StatusError{URL: url, Status: response.StatusCode}
	}
	return nil
}

// ListObjects returns the specs of the objects of a kind that the store holds, as far as one page lists them.
func ListObjects(ctx context.Context, store, kind string) ([]json.RawMessage, error) {
	const timeout = time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	url := store + "/v1/objects/" + kind
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{URL: url, Status: response.StatusCode}
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	page, err := rawjson.Fields(text)
	if err != nil {
		return nil, err
	}
	items, err := rawjson.Elements(page["items"])
	if err != nil {
		return nil, err
	}
	specs := make([]json.RawMessage, len(items))
	for i, item := range items {
		object, err := rawjson.Fields(item)
		if err != nil {
			return nil, err
		}
		specs[i] = object["spec"]
	}
	return specs, nil
}
