package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/standin/fault"
	"github.com/azurebarrow/azurebarrow/standin/target"
)

// Settings of the faults about which the entries must agree.
const (
	// badPartPrefix begins the IDs of prompt parts, and the ends of paths, that crash targets.
	badPartPrefix = "bad"
	// badRequestsPerSecond and badRequestsFor determine the requests with one such part.
	badRequestsPerSecond = 4
	badRequestsFor       = 9 * time.Second
	// crashRestart is the time until a crashed target is started again.
	crashRestart = time.Second
	// namedLimit is the limit that a target names, in requests a second, and limitFor how long it does.
	namedLimit = 1
	limitFor   = 9 * time.Second
)

// Bounds of the users' deployments.
const (
	// evidenceCrashes is the number of crashes after which stableWindow begins, and maxLateBadArrivals the number of
	// requests with the part that may reach engines after it.
	evidenceCrashes    = 5
	maxLateBadArrivals = 3
	// evidenceCallCrashes is evidenceCrashes for one call that comes again.
	evidenceCallCrashes = 3
	// In limitWindow, a target gets limitRatio times what its limit allows, plus limitSlack.
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
)

// sendBadRequests sends streams whose prompts share one part that crashes engines, and no two of which are alike.
func (d *deployment) sendBadRequests(ctx context.Context, c *callers, step Step) {
	part := fmt.Sprintf("%s%d", badPartPrefix, step.At.Milliseconds())
	d.options.Logf("requests with %s", part)
	for end := time.Now().Add(badRequestsFor); time.Now().Before(end); {
		go c.sendBadRequest(part)
		if wait.For(ctx, time.Second/badRequestsPerSecond) != nil {
			return
		}
	}
}

func (c *callers) sendBadRequest(part string) {
	chosen := c.draw()
	attempt := &Attempt{
		ID: fmt.Sprintf("%s-%d", part, chosen.number), Class: Stream, Path: fmt.Sprintf("/%s/%d", Stream, chosen.number),
		Body: fmt.Sprintf("body of %d", chosen.number), BadPart: part, Key: c.deployment.key(), Timeout: streamTimeout,
	}
	_ = c.sendAttempt(c.clients[chosen.client], attempt, c.deployment.pickEntry(chosen.number), 0) // it is not sent again
}

// sendBadCalls sends the same call, which crashes the target that runs it, again and again to all entries.
func (d *deployment) sendBadCalls(ctx context.Context, c *callers, step Step) {
	class := []Class{Lookup, Booking}[step.Variant%2]
	part := fmt.Sprintf("%s-%s-%d", badPartPrefix, class, step.At.Milliseconds())
	d.options.Logf("calls with %s", part)
	for end := time.Now().Add(badRequestsFor); time.Now().Before(end); {
		go c.sendBadCall(class, part)
		if wait.For(ctx, time.Second/badRequestsPerSecond) != nil {
			return
		}
	}
}

func (c *callers) sendBadCall(class Class, part string) {
	chosen := c.draw()
	attempt := &Attempt{
		ID: fmt.Sprintf("%s-%d", part, chosen.number), Class: class, Path: fmt.Sprintf("/%s/%s", class, part),
		Body: part, BadPart: part, Key: c.deployment.key(), Timeout: callTimeout,
	}
	_ = c.sendAttempt(c.clients[chosen.client], attempt, c.deployment.pickEntry(chosen.number), 0) // the next one comes by itself
}

// restartCrashed starts targets again that a prompt crashed, until ctx ends.
func (d *deployment) restartCrashed(ctx context.Context) {
	for wait.For(ctx, pollInterval) == nil {
		for _, t := range d.targets {
			if t.exited() && t.busy.TryLock() {
				go d.restartTarget(t)
			}
		}
	}
}

// restartTarget starts a target again whose process has ended. It releases the target's lock.
func (d *deployment) restartTarget(t *soakTarget) {
	defer t.busy.Unlock()
	if !t.exited() {
		return
	}
	d.disturb(t.name, Crash, false, func() {
		time.Sleep(crashRestart)
		d.restart(&t.program)
	})
}

// exited reports whether the process has ended.
func (p *program) exited() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process == nil {
		return false
	}
	select {
	case <-p.process.Done():
		return true
	default:
		return false
	}
}

// limitTarget has a target of the records service name a limit.
func (d *deployment) limitTarget(ctx context.Context, step Step) {
	t := d.targets[d.options.Engines+step.Index%d.options.Records]
	d.disturb(t.name, LimitTarget, true, func() {
		limit := fault.Fault{Kind: fault.NamedLimit, Factor: namedLimit}
		if err := activateFault(ctx, "http://"+t.listen, limit); err != nil {
			return // the target is down
		}
		_ = wait.For(ctx, limitFor)
		// If the target has restarted meanwhile, it names no limit any more.
		_ = target.Send(ctx, http.MethodDelete, "http://"+t.listen+"/faults", nil)
	})
}

// checkBadParts checks that requests with a part that crashes engines, and calls that crash targets, reach none once
// there is evidence.
func (e *Evidence) checkBadParts(map[string][]target.Record) []Violation {
	entries := e.entriesByRequest()
	crashes := map[string][]time.Time{}
	late := map[string]int{}
	for _, record := range e.Records {
		part, needed := badPartOf(record.Prompt), evidenceCrashes
		if part == "" {
			part, needed = badCallOf(record.Path), evidenceCallCrashes
		}
		if part == "" {
			continue
		}
		if record.What == target.Crashed {
			crashes[part] = append(crashes[part], record.At)
			continue
		}
		if record.What != target.Began || len(crashes[part]) < needed {
			continue
		}
		enough := crashes[part][needed-1]
		if record.At.After(enough.Add(stableWindow)) && e.undisturbed(record.At, record.At, entries[record.Request]) {
			late[part]++
		}
	}
	var found []Violation
	for part, count := range late {
		if count > maxLateBadArrivals {
			found = append(found, Violation{"BUDGET", part, fmt.Sprintf("%d requests with it reach engines late, %d crashes", count, len(crashes[part]))})
		}
	}
	return found
}

// badPartOf returns the part of a prompt that crashes engines; empty if there is none.
func badPartOf(prompt string) string {
	for _, part := range strings.Split(prompt, ",") {
		if strings.HasPrefix(part, badPartPrefix) {
			id, _, _ := strings.Cut(part, ":")
			return id
		}
	}
	return ""
}

// badCallOf returns the end of the path of a call that crashes targets; empty for other paths.
func badCallOf(path string) string {
	last := path[strings.LastIndex(path, "/")+1:]
	if !strings.HasPrefix(last, badPartPrefix) {
		return ""
	}
	return last
}

func (e *Evidence) entriesByRequest() map[string]string {
	entries := map[string]string{}
	for _, attempt := range slices.Concat(e.Attempts, e.CrowdAttempts) {
		entries[attempt.ID] = attempt.Entry
	}
	return entries
}

// checkLimits checks that a target gets no more requests than the limit that it names.
func (e *Evidence) checkLimits(map[string][]target.Record) []Violation {
	entries := e.entriesByRequest()
	var found []Violation
	for _, d := range e.Disturbances {
		if d.Fault != LimitTarget || !e.onlyDisturbedBy(LimitTarget, d.From, d.To, d.Subject) {
			continue
		}
		var arrivals []time.Time
		var named time.Time
		for _, record := range e.Records {
			if programOf(record.Target) != d.Subject || record.Limit == 0 || record.What != target.Began && record.What != target.Refused {
				continue
			}
			if named.IsZero() {
				named = record.At
			}
			if record.At.After(named.Add(stableWindow)) && e.undisturbed(d.From, record.At, entries[record.Request]) {
				arrivals = append(arrivals, record.At)
			}
		}
		for i, first := range arrivals {
			count := 0
			for _, at := range arrivals[i:] {
				if at.Sub(first) < limitWindow {
					count++
				}
			}
			if float64(count) > limitRatio*namedLimit*limitWindow.Seconds()+limitSlack {
				found = append(found, Violation{"LIMIT", d.Subject, fmt.Sprintf("%d requests in %v with a limit of %d a second", count, limitWindow, namedLimit)})
				break
			}
		}
	}
	return found
}
