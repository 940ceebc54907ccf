package scenarios

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/azurebarrow/azurebarrow/bench/cluster"
)

// entryCommand: entry start NAME… | kill NAME [with=ENGINE] | stop | continue | terminate | wait | restart NAME |
// expect clean. Entries that start together are in availability zones a, b, c in turn.
func entryCommand(ctx context.Context, w *world, a arguments) error {
	if err := w.started(); err != nil {
		return err
	}
	if a.verb == "start" {
		return startEntries(ctx, w, a)
	}
	if a.verb == "expect" {
		return expectClean(w)
	}
	name, err := a.only()
	if err != nil {
		return err
	}
	e, err := w.entry(name)
	if err != nil {
		return err
	}
	if with := a.text("with", ""); with != "" {
		t, err := w.target(with)
		if err != nil {
			return err
		}
		return e.KillWithTarget(t)
	}
	return actOnEntry(ctx, e, a.verb)
}

func startEntries(ctx context.Context, w *world, a arguments) error {
	zones := []string{"a", "b", "c"}
	var added []*cluster.Entry
	for _, name := range a.names {
		zone := a.text("zone", zones[len(w.cluster.Entries)%len(zones)])
		e, err := w.cluster.AddEntry(name, zone)
		if err != nil {
			return err
		}
		added = append(added, e)
	}
	for _, e := range added {
		if err := e.Start(); err != nil {
			return err
		}
	}
	return w.cluster.WaitReady(ctx)
}

func actOnEntry(ctx context.Context, e *cluster.Entry, verb string) error {
	switch verb {
	case "kill":
		return e.Kill()
	case "stop":
		return e.Stop()
	case "continue":
		return e.Continue()
	case "terminate":
		return e.Terminate()
	case "wait":
		return e.Wait(ctx)
	case "restart":
		if err := e.Start(); err != nil {
			return err
		}
		return e.WaitReady(ctx)
	}
	return fmt.Errorf("%w: entry %s", errUsage, verb)
}

// expectClean fails when an entry has logged a broken invariant or a panic.
func expectClean(w *world) error {
	for _, e := range w.cluster.Entries {
		text, err := os.ReadFile(e.LogFile())
		if err != nil {
			return err
		}
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, "violated") || strings.HasPrefix(line, "panic:") {
				return fmt.Errorf("entry %s: %s", e.Name, line)
			}
		}
	}
	return nil
}
