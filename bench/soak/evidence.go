// Package soak runs the real programs as separate processes, with the passthrough interface and stand-ins of
// the users' store and targets, and injects faults from outside. It checks the guarantees of the system against
// what callers and targets recorded, which is the evidence of a run.
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
	// Stream is a stream that may be resumed at another entry.
	Stream Class = "stream"
	// Booking is a call that runs at most once for each attempt.
	Booking Class = "booking"
	// Lookup is an idempotent call.
	Lookup Class = "lookup"
)

// Attempt is one attempt of a caller, as the caller saw it.
type Attempt struct {
	ID    string
	Entry string
	// Try counts the attempts at the caller's request, from 0.
	Try   int
	Class Class
	Path  string
	Body  string
	// BadPart is a part of the prompt, or the end of the path, that crashes targets; empty for none.
	BadPart string
	// Key is the caller's API key.
	Key string
	// Resumes is the ID of the attempt that brought the stream's first event; empty if there is none.
	Resumes string
	// LastEvent is the ID of the last event that the caller received in earlier attempts.
	LastEvent int
	// Sent is when the request was sent, Ended when its response or connection ended.
	Sent, Ended time.Time
	// Timeout is the caller's timeout, counted from Sent; DisconnectedAt is when the caller disconnected before
	// that, or zero.
	Timeout        time.Duration
	DisconnectedAt time.Time
	// Status is the HTTP status, or 0 without a response.
	Status    int
	Signature string
	// ResponseRequestID is the request ID in the response.
	ResponseRequestID string
	// Text is the part of the response body that was received; Complete reports whether the body ended
	// properly.
	Text     string
	Complete bool
	// Versions are the software versions of the engines whose events were received; Text doesn't name them.
	Versions []string
	Error    string
}

// served reports whether the attempt got a complete successful response.
func (a *Attempt) served() bool { return a.Status == 200 && a.Complete }

// guaranteesNotRun reports whether the response guarantees that the request has not run and never will.
func (a *Attempt) guaranteesNotRun() bool {
	switch a.Status {
	case 408, 421, 429, 503:
		return true
	}
	return false
}

// deadline returns when the caller stops waiting.
func (a *Attempt) deadline() time.Time { return a.Sent.Add(a.Timeout) }

// Disturbance is a period during which a fault was active.
type Disturbance struct {
	// Subject is the name of the affected entry or target, or "store".
	Subject string
	Fault   Kind
	// Planned reports whether it is planned work: a stop, a reload or the draining of a target.
	Planned  bool
	From, To time.Time
	// Serving are the versions of engines that have served through the loss of all entries.
	Serving []string
}

// KeyLifetime is the period during which an API key was valid. The time of an event that hasn't happened is zero.
type KeyLifetime struct {
	// Accepted is when the store accepted the key.
	Accepted time.Time
	// RevokeSent is when the key's revocation was first sent, Revoked when the store accepted it.
	RevokeSent, Revoked time.Time
}

// Evidence is everything that was recorded in a run.
type Evidence struct {
	Attempts     []*Attempt
	Records      []target.Record
	Disturbances []Disturbance
	// Keys are all keys that were ever valid.
	Keys map[string]KeyLifetime
	// Events is the number of events of a stream.
	Events int
	// Crowds are the results of crowds of misbehaving callers, CrowdAttempts their requests.
	Crowds        []CrowdResult
	CrowdAttempts []*Attempt
	Rollouts      []RolloutResult
	// QuietFrom is when the last fault had ended.
	QuietFrom time.Time
}

// noUnplannedFault reports whether no unplanned fault was active from stableWindow before from until to.
func (e *Evidence) noUnplannedFault(from, to time.Time) bool {
	return !slices.ContainsFunc(e.Disturbances, func(d Disturbance) bool {
		return !d.Planned && d.overlaps(from, to)
	})
}

// undisturbed reports whether no fault of the subjects was active from stableWindow before from until to. A
// reload and the planned draining of a target don't count, since they disturb no request, nor does a cut of an entry's
// links to targets, in which all promises hold.
func (e *Evidence) undisturbed(from, to time.Time, subjects ...string) bool {
	return !slices.ContainsFunc(e.Disturbances, func(d Disturbance) bool {
		return d.Fault != Reload && d.Fault != DrainTarget && d.Fault != CutLinks && slices.Contains(subjects, d.Subject) && d.overlaps(from, to)
	})
}

// overlaps reports whether d was active from stableWindow before from until to.
func (d Disturbance) overlaps(from, to time.Time) bool {
	return !d.To.Before(from.Add(-stableWindow)) && !d.From.After(to)
}

// onlyDisturbedBy reports whether no fault of another kind was active at the subject.
func (e *Evidence) onlyDisturbedBy(kind Kind, from, to time.Time, subject string) bool {
	return !slices.ContainsFunc(e.Disturbances, func(d Disturbance) bool {
		return d.Fault != kind && d.Subject == subject && d.overlaps(from, to)
	})
}

// Violation is a violated guarantee.
type Violation struct {
	Rule    string
	Request string
	Text    string
}

// String implements fmt.Stringer.
func (v Violation) String() string { return fmt.Sprintf("%s request=%s %s", v.Rule, v.Request, v.Text) }

// ServedShares returns, by class, the share of attempts that got a complete successful response. Attempts whose
// caller disconnected or whose key was not valid don't count.
func (e *Evidence) ServedShares() map[Class]float64 {
	all, served := map[Class]int{}, map[Class]int{}
	for _, attempt := range e.Attempts {
		if !attempt.DisconnectedAt.IsZero() || attempt.BadPart != "" || !e.keyValid(attempt) {
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
