// Package invariant checks conditions that must always hold and counts their violations.
//
// Checks are always enabled. A violation is counted and reported; the request concerned fails with
// the returned error. With PanicOnViolation, which tests set, Check panics.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Name identifies an invariant.
type Name string

// The invariants.
const (
	// NextIndexContiguous: the index of each token is one above that of the token before it.
	NextIndexContiguous Name = "next-index-contiguous"
	// OneGenerationPerAnswer: all tokens of an answer belong to the same generation.
	OneGenerationPerAnswer Name = "one-generation-per-answer"
	AnswerKeyMatches       Name = "answer-key-matches"
	// ClaimBeforeDispatch: the claim of an at-most-once call is durable before the call is sent.
	ClaimBeforeDispatch Name = "claim-before-dispatch"
	NotRunIsTrue        Name = "not-run-is-true"
	// NoNewWorkToDrainingTarget: a target gets no new work when it has been known to be draining for
	// longer than draining.PropagationLimit.
	NoNewWorkToDrainingTarget Name = "no-new-work-to-leaving-target"
	// ConfigurationNeverReverts: a snapshot and its resources never go back to an older revision.
	ConfigurationNeverReverts Name = "configuration-never-reverts"
	// CommandUnderLease: a command is sent only while its sender holds the lease.
	CommandUnderLease Name = "order-under-lease"
	// ReplicaTermNeverLower: the term that a replica has promised never decreases.
	ReplicaTermNeverLower Name = "replica-term-never-lower"
)

// Violation is the error of a broken invariant.
type Violation struct {
	Invariant Name
	Detail    string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", v.Invariant, v.Detail)
}

// Reporter is called with every violation; the daemon logs and counts them.
type Reporter func(*Violation)

var (
	violations       atomic.Int64
	panicOnViolation atomic.Bool
	reporter         atomic.Pointer[Reporter]
)

// PanicOnViolation sets whether every violation panics; tests enable it.
func PanicOnViolation(on bool) { panicOnViolation.Store(on) }

// SetReporter sets the function that is called with every violation from now on.
func SetReporter(r Reporter) { reporter.Store(&r) }

// Violations returns the number of violations since the process started.
func Violations() int64 { return violations.Load() }

// Check returns nil if ok; otherwise it counts and reports a violation and returns it.
func Check(ok bool, name Name, format string, args ...any) error {
	if ok {
		return nil
	}
	violation := &Violation{Invariant: name, Detail: fmt.Sprintf(format, args...)}
	violations.Add(1)
	if report := reporter.Load(); report != nil {
		(*report)(violation)
	}
	if panicOnViolation.Load() {
		panic(violation)
	}
	return violation
}
