package soak

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/standin/linkfault"
	"github.com/azurebarrow/azurebarrow/standin/target"
)

const (
	// cutFor is how long an entry's links to targets are cut: so that some time is left after stableWindow.
	cutFor = 7 * time.Second
	// confirmTime is the time within which an entry applies a cut. A program that was not built for it doesn't.
	confirmTime = 500 * time.Millisecond
)

// Bounds of the users' deployments: while some entries are cut off from all targets, first tries there are served at
// least minCutShare as often as at the others, or no more than allowedCutFailures + maxCutFailureShare of all first tries
// fail there.
const (
	minCutShare        = 2.0 / 3
	allowedCutFailures = 10
	maxCutFailureShare = 1.0 / 50
)

// cutLinks cuts an entry's links to all targets. One of the entries is never cut.
func (d *deployment) cutLinks(ctx context.Context, e *entry, step Step) {
	if e == d.entries[len(d.entries)-1] || !e.cutting.TryLock() {
		return
	}
	defer e.cutting.Unlock()
	mode := linkfault.Modes[step.Variant%len(linkfault.Modes)]
	from := time.Now()
	if !e.setLinks(ctx, mode) {
		d.options.Logf("%s can't cut its links", e.name)
		return
	}
	d.options.Logf("%s: %s (%s)", e.name, CutLinks, mode)
	_ = wait.For(ctx, cutFor)
	to := time.Now()
	e.setLinks(ctx, linkfault.Sound)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disturbances = append(d.disturbances, Disturbance{Subject: e.name, Fault: CutLinks, From: from, To: to})
}

// setLinks puts a mode into force and reports whether the entry has confirmed it.
func (e *entry) setLinks(ctx context.Context, mode linkfault.Mode) bool {
	const ownerOnly = 0o600
	_ = os.Remove(e.links + linkfault.ConfirmedSuffix)
	if os.WriteFile(e.links, []byte(mode), ownerOnly) != nil {
		return false
	}
	for end := time.Now().Add(confirmTime); time.Now().Before(end); {
		if confirmed, err := os.ReadFile(e.links + linkfault.ConfirmedSuffix); err == nil && linkfault.Mode(confirmed) == mode {
			return true
		}
		if wait.For(ctx, pollInterval) != nil {
			return false
		}
	}
	return false
}

// checkPartitions checks that entries whose links to all targets are cut serve first tries as the others do, over each
// time in which some are cut: in parts of it the others get too few tries to compare with.
func (e *Evidence) checkPartitions(map[string][]target.Record) []Violation {
	var found []Violation
	for _, period := range e.cutPeriods() {
		cut, others := e.countFirstTries(period.From.Add(stableWindow), period.To)
		allowed := allowedCutFailures + maxCutFailureShare*float64(cut.sent+others.sent)
		if cut.share() < minCutShare*others.share() && float64(cut.sent-cut.served) > allowed {
			found = append(found, Violation{"RECOVER", period.Subject, fmt.Sprintf(
				"entries without links to targets served %d of %d first tries, the others %d of %d", cut.served, cut.sent, others.served, others.sent)})
		}
	}
	return found
}

// cutPeriods returns the times in which links of some entries were cut; cuts that overlap are one.
func (e *Evidence) cutPeriods() []Disturbance {
	cuts := slices.DeleteFunc(slices.Clone(e.Disturbances), func(d Disturbance) bool { return d.Fault != CutLinks })
	slices.SortFunc(cuts, func(a, b Disturbance) int { return a.From.Compare(b.From) })
	var periods []Disturbance
	for _, cut := range cuts {
		last := len(periods) - 1
		if last < 0 || cut.From.After(periods[last].To) {
			periods = append(periods, cut)
			continue
		}
		periods[last].Subject += ", " + cut.Subject
		if cut.To.After(periods[last].To) {
			periods[last].To = cut.To
		}
	}
	return periods
}

// tries counts first tries.
type tries struct{ sent, served int }

func (t tries) share() float64 { return float64(t.served) / float64(max(1, t.sent)) }

// countFirstTries counts the first tries within a time at entries that were cut off for stableWindow, and at others.
// Entries with another disturbance don't count.
func (e *Evidence) countFirstTries(from, to time.Time) (cut, others tries) {
	for _, attempt := range e.Attempts {
		if attempt.Try > 0 || attempt.BadPart != "" || !attempt.DisconnectedAt.IsZero() || !e.keyValid(attempt) ||
			attempt.Sent.Before(from) || attempt.Sent.After(to) || !e.anyInTouch(attempt.Sent, attempt.Ended) || !e.onlyDisturbedBy(CutLinks, attempt.Sent, attempt.Ended, attempt.Entry) {
			continue
		}
		counts := &others
		switch {
		case e.isCut(attempt.Entry, attempt.Sent.Add(-stableWindow), attempt.Sent):
			counts = &cut
		case e.cutLately(attempt.Entry, attempt.Sent, attempt.Ended):
			continue
		}
		counts.sent++
		if attempt.served() {
			counts.served++
		}
	}
	return cut, others
}

// anyInTouch reports whether an entry had its links and no disturbance, so that there was a path to the targets.
func (e *Evidence) anyInTouch(from, to time.Time) bool {
	for _, attempt := range e.Attempts {
		if !e.cutLately(attempt.Entry, from, to) && e.undisturbed(from, to, attempt.Entry) {
			return true
		}
	}
	return false
}

// isCut reports whether an entry's links were cut for the whole time.
func (e *Evidence) isCut(entry string, from, to time.Time) bool {
	for _, d := range e.Disturbances {
		if d.Fault == CutLinks && d.Subject == entry && !d.From.After(from) && !d.To.Before(to) {
			return true
		}
	}
	return false
}

// cutLately reports whether an entry's links were cut at some time from stableWindow before from until to.
func (e *Evidence) cutLately(entry string, from, to time.Time) bool {
	for _, d := range e.Disturbances {
		if d.Fault == CutLinks && d.Subject == entry && d.overlaps(from, to) {
			return true
		}
	}
	return false
}
