package generation

import (
	"slices"

	"github.com/azurebarrow/azurebarrow/internal/defect"
	"github.com/azurebarrow/azurebarrow/journal"
)

// Log is the token log of one generation. The end of the generation takes the position after the last
// token.
type Log struct {
	Generation string
	Lineage    journal.Lineage
	Tokens     []string
	Finish     FinishReason
	// Committed is the number of committed positions, which callers may see.
	Committed int
}

// NewLog returns a log with the contents of a record, all of it committed.
func NewLog(record *journal.Record) Log {
	return Log{
		Generation: record.Generation,
		Lineage:    slices.Clone(record.Lineage),
		Tokens:     slices.Clone(record.Tokens),
		Finish:     FinishReason(record.Finish),
		Committed:  record.Length(),
	}
}

// Next returns the index of the next token.
func (l *Log) Next() int { return len(l.Tokens) }

// Length returns the number of positions, the end included.
func (l *Log) Length() int {
	if l.Finish != "" {
		return len(l.Tokens) + 1
	}
	return len(l.Tokens)
}

// Visible returns the number of positions that callers may see.
func (l *Log) Visible() int {
	if defect.Enabled(defect.OutputCommitOff) {
		return l.Length()
	}
	return l.Committed
}

// Done reports whether the end is committed.
func (l *Log) Done() bool { return l.Finish != "" && l.Committed == l.Length() }

// Event returns the event at a position, which must be below Length.
func (l *Log) Event(position int) Event {
	event := Event{ID: EventID{Generation: l.Generation, Term: l.Lineage.TermAt(position), Index: position}}
	event.Token.Index = position
	if position < len(l.Tokens) {
		event.Token.Text = l.Tokens[position]
	} else {
		event.Finish = l.Finish
	}
	return event
}

// Contains reports whether an event that a caller has received belongs to this log.
func (l *Log) Contains(id EventID) bool {
	return id.Generation == l.Generation && l.Lineage.Contains(id.Term, id.Index)
}
