package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/azurebarrow/azurebarrow/standin/target"
)

// Bounds of the users' deployments.
const (
	// stableWindow must have passed since a disturbance for bounds in time to hold.
	stableWindow = 3 * time.Second
	applyTime    = 2 * time.Second
	drainTime    = 2 * time.Second
	stopGrace    = 8 * time.Second
	// recoveryTime is how long after the last fault requests must be served again.
	recoveryTime = 12 * time.Second
	retryRatio   = 0.8
	retrySlack   = 150
	budgetWindow = 10 * time.Second
	// answerSlack is how long after a bound an answer, or the end of a target's work, may come.
	answerSlack = 500 * time.Millisecond
	// recoveredShare is the part of requests that must be served after recoveryTime.
	recoveredShare = 0.25
	// Beyond a few, more than this part of those who left may keep their targets at work.
	abandonedShare = 0.25
	fewRequests    = 20
)

// Check judges the evidence and returns every broken promise.
func Check(e *Evidence) []Violation {
	slices.SortFunc(e.Records, func(a, b target.Record) int { return a.At.Compare(b.At) })
	runs := runsByRequest(e.Records)
	var found []Violation
	for _, attempt := range e.Attempts {
		found = append(found, e.checkAttempt(attempt, runs[attempt.ID])...)
	}
	for _, check := range []func(map[string][]target.Record) []Violation{
		e.checkOrigin, e.checkDeadlines, e.checkBudget, e.checkDraining, e.checkAbandoned, e.checkRecovery,
	} {
		found = append(found, check(runs)...)
	}
	return found
}

// runsByRequest returns the records of targets that began to run a request.
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
	violate := func(rule, format string, args ...any) {
		found = append(found, Violation{rule, a.ID, fmt.Sprintf(format, args...)})
	}
	if a.Class == Booking && len(runs) > 1 {
		violate("TWICE", "ran %d times", len(runs))
	}
	if a.Class == Booking && a.promisesNotRun() && len(runs) > 0 {
		violate("REFUSED", "answered %d and ran at %s", a.Status, runs[0].Target)
	}
	if _, known := e.Keys[a.Key]; !known && (len(runs) > 0 || a.Status == 200) {
		violate("ROUTE", "a key that never held is served: status %d, %d runs", a.Status, len(runs))
	}
	if a.Status != 0 && a.AnswerTo != "" && a.AnswerTo != a.ID {
		violate("MIXED", "got the answer to %s", a.AnswerTo)
	}
	if a.Status == 200 {
		e.checkSuccess(a, violate)
	}
	e.checkKey(a, runs, violate)
	e.checkLost(a, runs, violate)
	return found
}

// checkSuccess compares a success with what a target sends.
func (e *Evidence) checkSuccess(a *Attempt, violate func(rule, format string, args ...any)) {
	if a.Signature != target.Signature(a.ID) {
		violate("MIXED", "signature %q", a.Signature)
	}
	wanted := target.CallBody("POST", a.Path, a.Body)
	rule := "MIXED"
	if a.Class == Stream {
		rule = "ORDER"
		var whole strings.Builder
		for id := a.After + 1; id <= e.Events; id++ {
			whole.WriteString(target.Event(a.Path, id))
		}
		wanted = whole.String()
	}
	if a.Whole && a.Text != wanted {
		violate(rule, "complete with %d of %d bytes: %.80q", len(a.Text), len(wanted), a.Text)
	}
	if !strings.HasPrefix(wanted, a.Text) {
		violate(rule, "other bytes than the target's: %.80q", a.Text)
	}
}

// checkKey: a key that was taken away is refused soon, and one that holds is not.
func (e *Evidence) checkKey(a *Attempt, runs []target.Record, violate func(rule, format string, args ...any)) {
	life, known := e.Keys[a.Key]
	if !known {
		return
	}
	revoked := !life.Revoked.IsZero() && a.Sent.After(life.Revoked.Add(applyTime))
	if revoked && (len(runs) > 0 || a.Status == 200) && e.inTouch(life.Revoked, a.Ended, a.Entry, subjectStore) {
		violate("CONFIG", "key revoked %v before is served by %s", a.Sent.Sub(life.Revoked).Round(time.Millisecond), a.Entry)
	}
	holds := a.Sent.After(life.Accepted.Add(applyTime)) && (life.RevokeSent.IsZero() || a.Ended.Before(life.RevokeSent))
	denied := a.Status == 401 || a.Status == 403 || a.Status == 404
	if holds && denied && e.inTouch(life.Accepted, a.Ended, a.Entry, subjectStore) {
		violate("DENIED", "%d of %s for a key that holds since %v", a.Status, a.Entry, a.Sent.Sub(life.Accepted).Round(time.Millisecond))
	}
}

// checkLost: planned work cuts no request that a target had begun to run.
func (e *Evidence) checkLost(a *Attempt, runs []target.Record, violate func(rule, format string, args ...any)) {
	ended := a.Status != 0 && a.Whole || !a.Left.IsZero()
	if ended || len(runs) == 0 || !e.calm(a.Sent, a.Ended) || !a.Ended.Before(a.deadline().Add(-answerSlack)) {
		return
	}
	for _, d := range e.Disturbances {
		// Work that is left in the last sixth of the grace may be broken off.
		lastSixth := d.From.Add(stopGrace * 5 / 6)
		if d.Planned && d.Subject == a.Entry && a.Ended.After(d.From) && a.Ended.Before(lastSixth) {
			violate("LOST", "cut %v after %s: %s", a.Ended.Sub(d.From).Round(time.Millisecond), d.Fault, a.Error)
			return
		}
	}
}

// checkOrigin: targets run what callers have sent, under the right customer, and see no key.
func (e *Evidence) checkOrigin(map[string][]target.Record) []Violation {
	sent := map[string]*Attempt{}
	for _, attempt := range e.Attempts {
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

// checkDeadlines: targets are handed no more time than the caller has left.
func (e *Evidence) checkDeadlines(runs map[string][]target.Record) []Violation {
	var found []Violation
	all := 0
	for _, attempt := range e.Attempts {
		for _, run := range runs[attempt.ID] {
			all++
			if run.At.Add(run.Left).After(attempt.deadline().Add(answerSlack)) && e.inTouch(attempt.Sent, run.At, attempt.Entry, programOf(run.Target)) {
				found = append(found, Violation{"BUDGET", attempt.ID, fmt.Sprintf("handed %v with %v left", run.Left, attempt.deadline().Sub(run.At))})
			}
		}
	}
	if len(found) <= fewRequests || len(found)*5 <= all {
		return nil
	}
	return found
}

// checkBudget: arrivals beyond the first of each request stay within the budget of their service.
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

// within counts the times in the window that ends at end; times are in order.
func within(times []time.Time, end time.Time) int {
	first, _ := slices.BinarySearchFunc(times, end.Add(-budgetWindow), time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, end.Add(1), time.Time.Compare)
	return last - first
}

// checkDraining: a target that leaves gets nothing new after the drain time.
func (e *Evidence) checkDraining(runs map[string][]target.Record) []Violation {
	leaving := map[string]time.Time{}
	for _, record := range e.Records {
		if record.What == target.Draining {
			leaving[record.Target] = record.At
		}
	}
	var found []Violation
	for _, attempt := range e.Attempts {
		for _, run := range runs[attempt.ID] {
			at, left := leaving[run.Target]
			if left && run.At.After(at.Add(drainTime)) && e.inTouch(at, run.At, attempt.Entry, programOf(run.Target), subjectStore) {
				found = append(found, Violation{"DRAIN", attempt.ID, fmt.Sprintf("%s leaves since %v", run.Target, run.At.Sub(at).Round(time.Millisecond))})
			}
		}
	}
	return found
}

// checkAbandoned: targets stop work soon after the caller has left.
func (e *Evidence) checkAbandoned(runs map[string][]target.Record) []Violation {
	over := map[string]time.Time{}
	for _, record := range e.Records {
		if record.What == target.Ended || record.What == target.Abandoned {
			over[record.Request+record.Target] = record.At
		}
	}
	var late []Violation
	left := 0
	for _, attempt := range e.Attempts {
		bound := attempt.Left.Add(answerSlack)
		if attempt.Left.IsZero() || !e.calm(attempt.Sent, bound) {
			continue
		}
		for _, run := range runs[attempt.ID] {
			left++
			if over[attempt.ID+run.Target].After(bound) {
				late = append(late, Violation{"GONE", attempt.ID, fmt.Sprintf("%s still works %v after its caller left", run.Target, answerSlack)})
			}
		}
	}
	if float64(len(late)) <= abandonedShare*float64(left) {
		return nil
	}
	return late
}

// checkRecovery: some time after the last fault requests are served again.
func (e *Evidence) checkRecovery(map[string][]target.Record) []Violation {
	all, served := 0, 0
	for _, attempt := range e.Attempts {
		if attempt.Sent.Before(e.QuietFrom.Add(recoveryTime)) || !attempt.Left.IsZero() || !e.holds(attempt) {
			continue
		}
		all++
		if attempt.served() {
			served++
		}
	}
	if float64(served) >= recoveredShare*float64(all) && all > 0 {
		return nil
	}
	return []Violation{{"RECOVER", "", fmt.Sprintf("%d of %d served after the last fault", served, all)}}
}

// holds tells whether the attempt's key held when it was sent.
func (e *Evidence) holds(a *Attempt) bool {
	life, known := e.Keys[a.Key]
	return known && (life.RevokeSent.IsZero() || a.Sent.Before(life.RevokeSent))
}

// programOf returns the name of the program of which a target's ID names one incarnation.
func programOf(id string) string {
	name, _, _ := strings.Cut(id, ".")
	return name
}
