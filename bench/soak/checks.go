package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/azurebarrow/azurebarrow/standin/target"
)

// Bounds that the checks enforce, as in the users' deployments.
const (
	// stableWindow is the time after a disturbance during which time bounds are not checked.
	stableWindow = 3 * time.Second
	// applyTime is how long an entry may take to apply a change of the configuration.
	applyTime = 2 * time.Second
	// drainTime is how long after a target starts draining it may still get new requests.
	drainTime = 2 * time.Second
	stopGrace = 8 * time.Second
	// recoveryTime is the time after the last fault from which requests must be served again.
	recoveryTime = 12 * time.Second
	// The retry budget: in budgetWindow, retryRatio times the requests plus retrySlack.
	retryRatio   = 0.8
	retrySlack   = 150
	budgetWindow = 10 * time.Second
	// answerSlack is the tolerance, after a time bound, for a response or the end of a target's work.
	answerSlack = 500 * time.Millisecond
	// minServedShare is the share of requests that must be served after recoveryTime.
	minServedShare = 0.25
	// maxAbandonedShare is the share of runs that may continue after their caller disconnected.
	maxAbandonedShare = 0.25
	// maxLateDeadlines is the number of late deadlines up to which they are not reported.
	maxLateDeadlines = 20
)

// Check returns every violation of a guarantee that the evidence shows.
func Check(e *Evidence) []Violation {
	slices.SortFunc(e.Records, func(a, b target.Record) int { return a.At.Compare(b.At) })
	runs := runsByRequest(e.Records)
	var found []Violation
	for _, attempt := range e.Attempts {
		found = append(found, e.checkAttempt(attempt, runs[attempt.ID])...)
	}
	for _, check := range []func(map[string][]target.Record) []Violation{
		e.checkOrigin, e.checkDeadlines, e.checkBudget, e.checkDraining, e.checkAbandoned, e.checkRecovery, e.checkBadParts, e.checkLimits, e.checkVersions, e.checkTakenUp, e.checkAcknowledged, e.checkPartitions, e.checkPauses,
		e.checkCrowds, e.checkRollouts,
	} {
		found = append(found, check(runs)...)
	}
	return found
}

// runsByRequest returns, by request ID, the records of runs that targets began.
func runsByRequest(records []target.Record) map[string][]target.Record {
	runs := map[string][]target.Record{}
	for _, record := range records {
		if record.What == target.Began {
			runs[record.Request] = append(runs[record.Request], record)
		}
	}
	return runs
}

func (e *Evidence) checkAttempt(a *Attempt, runs []target.Record) []Violation {
	var found []Violation
	report := func(rule, format string, args ...any) {
		found = append(found, Violation{rule, a.ID, fmt.Sprintf(format, args...)})
	}
	if a.Class == Booking && len(runs) > 1 {
		report("TWICE", "ran %d times", len(runs))
	}
	if a.Class == Booking && a.guaranteesNotRun() && len(runs) > 0 {
		report("REFUSED", "answered %d and ran at %s", a.Status, runs[0].Target)
	}
	if _, known := e.Keys[a.Key]; !known && (len(runs) > 0 || a.Status == 200) {
		report("ROUTE", "a key that never held is served: status %d, %d runs", a.Status, len(runs))
	}
	if a.Status != 0 && a.ResponseRequestID != "" && a.ResponseRequestID != a.ID {
		report("MIXED", "got the answer to %s", a.ResponseRequestID)
	}
	if a.Status == 200 {
		e.checkSuccess(a, report)
	}
	e.checkKey(a, runs, report)
	e.checkLost(a, runs, report)
	return found
}

// checkSuccess compares a successful response with what a target sends.
func (e *Evidence) checkSuccess(a *Attempt, report func(rule, format string, args ...any)) {
	if a.Signature != target.Signature(a.ID) {
		report("MIXED", "signature %q", a.Signature)
	}
	wanted := target.CallBody("POST", a.Path, a.Body)
	rule := "MIXED"
	if a.Class == Stream {
		rule = "ORDER"
		var whole strings.Builder
		for id := a.LastEvent + 1; id <= e.Events; id++ {
			whole.WriteString(target.Event(a.Path, id))
		}
		wanted = whole.String()
	}
	if a.Complete && a.Text != wanted {
		report(rule, "complete with %d of %d bytes: %.80q", len(a.Text), len(wanted), a.Text)
	}
	if !strings.HasPrefix(wanted, a.Text) {
		report(rule, "other bytes than the target's: %.80q", a.Text)
	}
}

// checkKey checks that a revoked key is rejected within applyTime, and that a valid key is not rejected.
func (e *Evidence) checkKey(a *Attempt, runs []target.Record, report func(rule, format string, args ...any)) {
	life, known := e.Keys[a.Key]
	if !known {
		return
	}
	revoked := !life.Revoked.IsZero() && a.Sent.After(life.Revoked.Add(applyTime))
	if revoked && (len(runs) > 0 || a.Status == 200) && e.undisturbed(life.Revoked, a.Ended, a.Entry, subjectStore) {
		report("CONFIG", "key revoked %v before is served by %s", a.Sent.Sub(life.Revoked).Round(time.Millisecond), a.Entry)
	}
	valid := a.Sent.After(life.Accepted.Add(applyTime)) && (life.RevokeSent.IsZero() || a.Ended.Before(life.RevokeSent))
	denied := a.Status == 401 || a.Status == 403 || a.Status == 404
	if valid && denied && e.undisturbed(life.Accepted, a.Ended, a.Entry, subjectStore) {
		report("DENIED", "%d of %s for a key that holds since %v", a.Status, a.Entry, a.Sent.Sub(life.Accepted).Round(time.Millisecond))
	}
}

// checkLost checks that planned work breaks off no request that a target had begun to run.
func (e *Evidence) checkLost(a *Attempt, runs []target.Record, report func(rule, format string, args ...any)) {
	ended := a.Status != 0 && a.Complete || !a.DisconnectedAt.IsZero()
	if ended || a.BadPart != "" || len(runs) == 0 || !e.noUnplannedFault(a.Sent, a.Ended) || !a.Ended.Before(a.deadline().Add(-answerSlack)) {
		return
	}
	for _, d := range e.Disturbances {
		// Requests that still run in the last sixth of the stop grace period may be broken off.
		lastSixth := d.From.Add(stopGrace * 5 / 6)
		if d.Planned && d.Subject == a.Entry && a.Ended.After(d.From) && a.Ended.Before(lastSixth) {
			report("LOST", "cut %v after %s: %s", a.Ended.Sub(d.From).Round(time.Millisecond), d.Fault, a.Error)
			return
		}
	}
}

// checkOrigin checks that targets run only what callers sent, for the right customer, and get no API key.
func (e *Evidence) checkOrigin(map[string][]target.Record) []Violation {
	sent := map[string]*Attempt{}
	for _, attempt := range slices.Concat(e.Attempts, e.CrowdAttempts) {
		sent[attempt.ID] = attempt
	}
	var found []Violation
	for _, record := range e.Records {
		if record.What != target.Began {
			continue
		}
		attempt := sent[record.Request]
		if attempt == nil || attempt.Path != record.Path || record.Customer != customerName || record.KeyLeaked {
			found = append(found, Violation{"UNASKED", record.Request, fmt.Sprintf("%s ran %s of %q", record.Target, record.Path, record.Customer)})
		}
	}
	return found
}

// checkDeadlines checks that targets get no more time than the caller has left.
func (e *Evidence) checkDeadlines(runs map[string][]target.Record) []Violation {
	var found []Violation
	all := 0
	for _, attempt := range e.Attempts {
		for _, run := range runs[attempt.ID] {
			all++
			if run.At.Add(run.Left).After(attempt.deadline().Add(answerSlack)) && e.undisturbed(attempt.Sent, run.At, attempt.Entry, programOf(run.Target)) {
				found = append(found, Violation{"BUDGET", attempt.ID, fmt.Sprintf("handed %v with %v left", run.Left, attempt.deadline().Sub(run.At))})
			}
		}
	}
	// Up to a fifth of all runs with a late deadline is tolerated too.
	if len(found) <= maxLateDeadlines || len(found)*5 <= all {
		return nil
	}
	return found
}

// checkBudget checks that the repeated arrivals of requests stay within the retry budget of their service.
func (e *Evidence) checkBudget(map[string][]target.Record) []Violation {
	type service struct{ firsts, repeats []time.Time }
	services := map[string]*service{}
	seen := map[string]bool{}
	for _, record := range e.Records {
		if record.What != target.Began && record.What != target.Refused {
			continue
		}
		s := services[record.Service]
		if s == nil {
			s = &service{}
			services[record.Service] = s
		}
		if seen[record.Request] {
			s.repeats = append(s.repeats, record.At)
			continue
		}
		seen[record.Request] = true
		s.firsts = append(s.firsts, record.At)
	}
	var found []Violation
	for name, s := range services {
		for _, end := range s.repeats {
			repeats := within(s.repeats, end)
			requests := max(within(s.firsts, end), within(s.firsts, end.Add(-budgetWindow)), within(s.firsts, end.Add(-budgetWindow/2)))
			if float64(repeats) > retryRatio*float64(requests)+retrySlack {
				found = append(found, Violation{"BUDGET", name, fmt.Sprintf("%d repeats for %d requests in %v", repeats, requests, budgetWindow)})
				break
			}
		}
	}
	return found
}

// within counts the times in the budgetWindow that ends at end; times are sorted.
func within(times []time.Time, end time.Time) int {
	first, _ := slices.BinarySearchFunc(times, end.Add(-budgetWindow), time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, end.Add(1), time.Time.Compare)
	return last - first
}

// checkDraining checks that a draining target gets no new requests after drainTime.
func (e *Evidence) checkDraining(runs map[string][]target.Record) []Violation {
	draining := map[string]time.Time{}
	for _, record := range e.Records {
		if record.What == target.Draining {
			draining[record.Target] = record.At
		}
	}
	var found []Violation
	for _, attempt := range e.Attempts {
		for _, run := range runs[attempt.ID] {
			at, isDraining := draining[run.Target]
			if isDraining && run.At.After(at.Add(drainTime)) && e.undisturbed(at, run.At, attempt.Entry, programOf(run.Target), subjectStore) {
				found = append(found, Violation{"DRAIN", attempt.ID, fmt.Sprintf("%s leaves since %v", run.Target, run.At.Sub(at).Round(time.Millisecond))})
			}
		}
	}
	return found
}

// checkAbandoned checks that targets stop work within answerSlack after the caller disconnected.
func (e *Evidence) checkAbandoned(runs map[string][]target.Record) []Violation {
	ended := map[string]time.Time{}
	for _, record := range e.Records {
		if record.What == target.Ended || record.What == target.Abandoned {
			ended[record.Request+record.Target] = record.At
		}
	}
	var late []Violation
	disconnected := 0
	for _, attempt := range e.Attempts {
		bound := attempt.DisconnectedAt.Add(answerSlack)
		if attempt.DisconnectedAt.IsZero() || !e.noUnplannedFault(attempt.Sent, bound) {
			continue
		}
		for _, run := range runs[attempt.ID] {
			disconnected++
			if ended[attempt.ID+run.Target].After(bound) {
				late = append(late, Violation{"GONE", attempt.ID, fmt.Sprintf("%s still works %v after its caller left", run.Target, answerSlack)})
			}
		}
	}
	if float64(len(late)) <= maxAbandonedShare*float64(disconnected) {
		return nil
	}
	return late
}

// checkRecovery checks that requests are served again recoveryTime after the last fault.
func (e *Evidence) checkRecovery(map[string][]target.Record) []Violation {
	all, served := 0, 0
	for _, attempt := range e.Attempts {
		if attempt.Sent.Before(e.QuietFrom.Add(recoveryTime)) || !attempt.DisconnectedAt.IsZero() || attempt.BadPart != "" || !e.keyValid(attempt) {
			continue
		}
		all++
		if attempt.served() {
			served++
		}
	}
	if float64(served) >= minServedShare*float64(all) && all > 0 {
		return nil
	}
	return []Violation{{"RECOVER", "", fmt.Sprintf("%d of %d served after the last fault", served, all)}}
}

// keyValid reports whether the attempt's key was valid when the attempt was sent.
func (e *Evidence) keyValid(a *Attempt) bool {
	life, known := e.Keys[a.Key]
	return known && (life.RevokeSent.IsZero() || a.Sent.Before(life.RevokeSent))
}

// programOf returns the program name in a target ID, which also has the number of the program's start.
func programOf(id string) string {
	name, _, _ := strings.Cut(id, ".")
	return name
}
