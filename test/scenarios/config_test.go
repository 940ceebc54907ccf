package scenarios

import (
	"context"
	"fmt"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/bench/caller"
	"github.com/azurebarrow/azurebarrow/bench/cluster"
)

// configCommand: config prefer latency|cost | version V: an operator's change of the deployment;
// in-force [ENTRY…]: wait until the entries use it; keeps [ENTRY…]: they use nothing else.
func configCommand(ctx context.Context, w *world, a arguments) error {
	if err := w.started(); err != nil {
		return err
	}
	switch a.verb {
	case "prefer":
		name, err := a.only()
		if err != nil {
			return err
		}
		w.generation.Recovery.Prefer = v1.RecoveryPreference(name)
		return w.redeclare()
	case "version":
		name, err := a.only()
		if err != nil {
			return err
		}
		w.generation.Model, w.generation.Version = cluster.DefaultModel, name
		return w.redeclare()
	case "in-force":
		return w.waitInForce(ctx, a)
	case "keeps":
		return w.keepsInForce(ctx, a)
	}
	return fmt.Errorf("%w: config %s", errUsage, a.verb)
}

// probeTokens is the length of the answers by which a version in force is found out.
const probeTokens = 2

// inForce asks an entry for a short answer, and fails unless the present version gave it.
func (w *world) inForce(ctx context.Context, e *cluster.Entry) error {
	client := caller.New(caller.Options{Addresses: []string{e.CallerAddress}, Timeout: callerIdle})
	defer client.Close()
	result := client.Generate(ctx, caller.Request{
		APIKey:     cluster.APIKey(cluster.DefaultCustomer),
		Deployment: cluster.DefaultGeneration,
		Prompt:     "probe",
		MaxTokens:  probeTokens,
		Seed:       1,
		Model:      cluster.DefaultModel,
		Version:    w.generation.Version,
		Length:     probeTokens,
	})
	if result.Status != caller.Complete || len(result.Violations) > 0 {
		return fmt.Errorf("entry %s: %s %v: version %s is not in force", e.Name, result.Status, result.Violations, w.generation.Version)
	}
	return nil
}

func (w *world) entriesOf(a arguments) ([]*cluster.Entry, error) {
	if len(a.names) == 0 {
		return w.cluster.Entries, nil
	}
	var list []*cluster.Entry
	for _, name := range a.names {
		e, err := w.entry(name)
		if err != nil {
			return nil, err
		}
		list = append(list, e)
	}
	return list, nil
}

func (w *world) waitInForce(ctx context.Context, a arguments) error {
	entries, err := w.entriesOf(a)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if err := eventually(ctx, func() error { return w.inForce(ctx, e) }); err != nil {
			return err
		}
	}
	return nil
}

// keepProbes is how often "config keeps" asks each entry.
const keepProbes = 20

// keepsInForce asks again and again, and fails on the first answer by another version.
func (w *world) keepsInForce(ctx context.Context, a arguments) error {
	entries, err := w.entriesOf(a)
	if err != nil {
		return err
	}
	for range keepProbes {
		for _, e := range entries {
			if err := w.inForce(ctx, e); err != nil {
				return err
			}
		}
		time.Sleep(pollPause)
	}
	return nil
}
