package generation

import (
	"slices"

	"github.com/azurebarrow/azurebarrow/internal/defect"
)

// Verdict is what happened to an event of an attempt.
type Verdict int

// Verdicts.
const (
	// VerdictAccept: the event was added to the log.
	VerdictAccept Verdict = iota + 1
	// VerdictStray: the event belongs to another generation or attempt; dropped.
	VerdictStray
	// VerdictDuplicate: the log already holds the same token at this index; dropped.
	VerdictDuplicate
	// VerdictNotOwner: another attempt owns the log; the attempt must be cancelled.
	VerdictNotOwner
	// VerdictMismatch: the log holds another token at this index; the attempt must be cancelled.
	VerdictMismatch
	// VerdictGap: positions before the event are missing; its stream must be closed, the answer continues.
	VerdictGap
)

// AttemptArbiter decides which attempt may extend a log. Several attempts may run, but only one extends the
// log: the first one that sends the next token owns the log from then on, because the outputs of attempts
// differ and must never be mixed.
type AttemptArbiter struct {
	candidates []int
	owner      int
}

// Add adds an attempt that may extend the log. It must compete with the present owner, if there is one.
func (a *AttemptArbiter) Add(attempt int) {
	a.candidates = append(a.candidates, attempt)
	a.owner = 0
}

// Remove removes an attempt.
func (a *AttemptArbiter) Remove(attempt int) {
	a.candidates = slices.DeleteFunc(a.candidates, func(c int) bool { return c == attempt })
	if a.owner == attempt {
		a.owner = 0
	}
}

// Owner returns the attempt that owns the log, 0 while none does.
func (a *AttemptArbiter) Owner() int { return a.owner }

// Offer decides on an event of attempt's stream and adds it to the log if it is the next one.
func (a *AttemptArbiter) Offer(log *Log, attempt int, event StreamEvent) Verdict {
	if defect.Enabled(defect.IndexCheckOff) {
		appendEvent(log, event)
		return VerdictAccept
	}
	if event.ID.Generation != log.Generation || event.ID.Attempt != attempt {
		return VerdictStray
	}
	if !slices.Contains(a.candidates, attempt) || (a.owner != 0 && a.owner != attempt) {
		return VerdictNotOwner
	}
	if event.Token.Index < 0 {
		return VerdictGap // not a position
	}
	if event.Token.Index < log.Length() {
		return compareRepeated(log, event)
	}
	if event.Token.Index > log.Next() {
		return VerdictGap
	}
	a.owner = attempt
	appendEvent(log, event)
	return VerdictAccept
}

// compareRepeated decides on an event at a position that the log already holds.
func compareRepeated(log *Log, event StreamEvent) Verdict {
	if log.Event(event.Token.Index).sameAs(event) {
		return VerdictDuplicate
	}
	return VerdictMismatch
}

func (e Event) sameAs(other StreamEvent) bool {
	return e.Finish == other.Finish && e.Token.Text == other.Token.Text
}

func appendEvent(log *Log, event StreamEvent) {
	if event.Finish != "" {
		log.Finish = event.Finish
		return
	}
	log.Tokens = append(log.Tokens, event.Token.Text)
}
