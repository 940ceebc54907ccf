package rollout

import "time"

// Decision is what a judge has concluded of a version.
type Decision int

// Decisions of a judge.
const (
	Undecided Decision = iota
	Good
	Bad
)

// Verdict is a decision with its reason.
type Verdict struct {
	Decision Decision
	// Reason is "failures", "connections" or "latency", with "on route NAME" if only one route is affected. It is
	// empty unless the decision is Bad.
	Reason string
}

// Judge compares a new version with the old one, as evidence of both from the same seconds comes in.
type Judge struct{}

// NewJudge returns a judge without evidence.
func NewJudge() *Judge { return &Judge{} }

// Add takes in what was seen of both versions since the call before.
func (j *Judge) Add(now time.Time, older, newer Evidence) { panic("not built yet") }

// Verdict returns the decision on all evidence so far. Bad is final; Good is not.
func (j *Judge) Verdict() Verdict { panic("not built yet") }
