// Package soak runs the real programs as processes of their own, with the passthrough interface, the users'
// store and their targets, while faults are injected from outside. What callers and targets saw is the
// evidence by which the promises are judged.
package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/azurebarrow/azurebarrow/standin/target"
)

// Class is the class of a request.
type Class string

// Classes.
const (
	// Stream may be resumed at another entry.
	Stream Class = "stream"
	// Booking runs at most once for each attempt.
	Booking Class = "booking"
	// Lookup may be repeated.
	Lookup Class = "lookup"
)

// Attempt is one attempt of a caller, as the caller saw it.
type Attempt struct {
	ID    string
	Entry string
	Class Class
	Path  string
	Body  string
	// Key is the caller's secret.
	Key string
	// After is the last event that the caller had before.
	After int
	// Sent is when the request was sent, Ended when its answer or connection ended.
	Sent, Ended time.Time
	// Patience is how long the caller waits from Sent on; Left is when it went before that, or zero.
	Patience time.Duration
	Left     time.Time
	// Status is 0 without an answer.
	Status    int
	Signature string
	// AnswerTo is the request that the answer names.
	AnswerTo string
	// Text is the answer's body as far as it came; Whole tells that it ended as complete.
	Text  string
	Whole bool
	Error string
}

// served tells whether the attempt got a whole success.
func (a *Attempt) served() bool { return a.Status == 200 && a.Whole }

// promisesNotRun tells whether the answer says that the request has not run and never will.
func (a *Attempt) promisesNotRun() bool {
	switch a.Status {
	case 408, 421, 429, 503:
		return true
	}
	return false
}

// deadline is when the caller stops waiting.
func (a *Attempt) deadline() time.Time { return a.Sent.Add(a.Patience) }

// Disturbance is a span in which a fault was on.
type Disturbance struct {
	// Subject is the entry or target that was hit, or store.
	Subject string
	Fault   Kind
	// Planned tells that it is planned work: a stop or a reload.
	Planned  bool
	From, To time.Time
}

// KeyLife tells when a key held. Times are zero while they lie ahead.
type KeyLife struct {
	// Accepted is when the store accepted the key.
	Accepted time.Time
	// RevokeSent is when the key's revocation was first sent, Revoked when the store accepted it.
	RevokeSent, Revoked time.Time
}

// Evidence is everything that a run has shown.
type Evidence struct {
	Attempts     []*Attempt
	Records      []target.Record
	Disturbances []Disturbance
	// Keys are the keys that ever held.
	Keys map[string]KeyLife
	// Events is the number of events of a stream.
	Events int
	// QuietFrom is when the last fault had ended.
	QuietFrom time.Time
}

// calm tells whether nothing unplanned hit anything from the stable window before from until to.
func (e *Evidence) calm(from, to time.Time) bool {
	return !slices.ContainsFunc(e.Disturbances, func(d Disturbance) bool {
		return !d.Planned && d.overlaps(from, to)
	})
}

// inTouch tells whether nothing hit the subjects from the stable window before from until to; a reload, and the
// planned leaving of a target, disturb nobody.
func (e *Evidence) inTouch(from, to time.Time, subjects ...string) bool {
	return !slices.ContainsFunc(e.Disturbances, func(d Disturbance) bool {
		return d.Fault != Reload && d.Fault != DrainTarget && slices.Contains(subjects, d.Subject) && d.overlaps(from, to)
	})
}

func (d Disturbance) overlaps(from, to time.Time) bool {
	return !d.To.Before(from.Add(-stableWindow)) && !d.From.After(to)
}

// Violation is a broken promise.
type Violation struct {
	Rule    string
	Request string
	Text    string
}

// String implements fmt.Stringer.
func (v Violation) String() string { return fmt.Sprintf("%s request=%s %s", v.Rule, v.Request, v.Text) }

// ServedShares returns the part of the attempts of each class that got a whole success, of those whose caller
// stayed and whose key held.
func (e *Evidence) ServedShares() map[Class]float64 {
	all, served := map[Class]int{}, map[Class]int{}
	for _, attempt := range e.Attempts {
		if !attempt.Left.IsZero() || !e.holds(attempt) {
			continue
		}
		all[attempt.Class]++
		if attempt.served() {
			served[attempt.Class]++
		}
	}
	shares := map[Class]float64{}
	for class, count := range all {
		shares[class] = float64(served[class]) / float64(count)
	}
	return shares
}
