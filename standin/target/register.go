package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
)

// Kind is the kind of the store's objects that name targets.
const Kind = "servers"

// entry is a target's object in the store.
type entry struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	Calls   int    `json:"call_seq"`
	Born    int64  `json:"born"`
}

// Registration keeps a target's entry in the store.
type Registration struct {
	// Store is the base URL; Heartbeat the time between two writes.
	Store     string
	Heartbeat time.Duration
	// DrainTime is how long the target serves on after the store has accepted that it leaves.
	DrainTime time.Duration
}

// Run writes the target's entry until ctx ends; then it reports that the target leaves, serves on for the drain
// time and removes the entry.
func (t *Target) Run(ctx context.Context, registration Registration) {
	own := entry{
		Service: t.options.Service, Address: t.options.Advertise, Zone: t.options.AvailabilityZone,
		Slots: t.options.Slots, State: "ready", Born: time.Now().UnixMilli(),
	}
	for {
		_ = registration.put(t.options.ID, own) // the next heartbeat tries again
		if wait.For(ctx, registration.Heartbeat) != nil {
			break
		}
	}
	own.State = "draining"
	for registration.put(t.options.ID, own) != nil {
		time.Sleep(registration.Heartbeat)
	}
	t.options.Log.Write(Record{At: time.Now(), What: Draining, Target: t.options.ID, Service: t.options.Service})
	for until := time.Now().Add(registration.DrainTime); time.Now().Before(until); time.Sleep(registration.Heartbeat) {
		_ = registration.put(t.options.ID, own)
	}
}

func (r Registration) put(name string, own entry) error {
	ctx, cancel := context.WithTimeout(context.Background(), r.Heartbeat)
	defer cancel()
	return PutObject(ctx, r.Store, Kind, name, own)
}

// PutObject replaces an object in the store at the base URL, or creates it if there is none.
func PutObject(ctx context.Context, store, kind, name string, spec any) error {
	body, err := json.Marshal(map[string]any{"metadata": map[string]any{"name": name}, "spec": spec})
	if err != nil {
		return err
	}
	err = Send(ctx, http.MethodPut, store+"/v1/objects/"+kind+"/"+name, body)
	var refused *StatusError
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return Send(ctx, http.MethodPost, store+"/v1/objects/"+kind, body)
	}
	return err
}

// StatusError is a call that was answered with a failure.
type StatusError struct {
	URL    string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("%s answers %d", e.URL, e.Status) }

// Send makes a call without an answer to read; any status but a success is an error.
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
