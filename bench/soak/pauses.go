package soak

import (
	"context"
	"fmt"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/standin/fault"
	"github.com/azurebarrow/azurebarrow/standin/target"
)

const (
	// askedPause is the pause that a target asks for, and turnAwayFor how long it turns requests away.
	askedPause  = 3 * time.Second
	turnAwayFor = 4 * time.Second
	// In the users' deployments, no more than maxInPause requests of an entry reach a target between pauseSlack after it
	// asked that entry for a pause and the end of that time.
	pauseSlack = 500 * time.Millisecond
	maxInPause = 2
)

// askPause has a target turn requests away and ask for pauses.
func (d *deployment) askPause(ctx context.Context, t *soakTarget) {
	d.disturb(t.name, AskPause, true, func() {
		asked := fault.Fault{Kind: fault.AskedPause, Factor: askedPause.Seconds(), Duration: v1.Duration(turnAwayFor)}
		if err := activateFault(ctx, "http://"+t.listen, asked); err != nil {
			return // the target is down
		}
		_ = wait.For(ctx, turnAwayFor)
	})
}

// checkPauses checks that targets get nothing from entries that they asked for a pause. Requests that peers may have
// sent, for an entry whose links were cut, don't count.
func (e *Evidence) checkPauses(map[string][]target.Record) []Violation {
	entries := e.entriesByRequest()
	var found []Violation
	for _, refusal := range e.Records {
		entry, until := entries[refusal.Request], refusal.At.Add(refusal.AskedPause)
		if refusal.What != target.Refused || refusal.AskedPause == 0 || !e.undisturbed(refusal.At, until, entry) || e.anyCut(refusal.At, until) {
			continue
		}
		count := 0
		for _, record := range e.Records {
			arrived := record.What == target.Began || record.What == target.Refused
			if arrived && record.Target == refusal.Target && entries[record.Request] == entry &&
				record.At.After(refusal.At.Add(pauseSlack)) && record.At.Before(until) {
				count++
			}
		}
		if count > maxInPause {
			found = append(found, Violation{"BUDGET", refusal.Request, fmt.Sprintf(
				"%s asked %s for %v without requests and got %d", refusal.Target, entry, askedPause, count)})
		}
	}
	return found
}

// anyCut reports whether an entry's links were cut at some time from stableWindow before from until to.
func (e *Evidence) anyCut(from, to time.Time) bool {
	for _, d := range e.Disturbances {
		if d.Fault == CutLinks && d.overlaps(from, to) {
			return true
		}
	}
	return false
}
