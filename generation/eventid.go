package generation

import (
	"fmt"
	"strconv"
	"strings"
)

// EventID is the position of an event in an answer. Its text form is "generation.term.index".
type EventID struct {
	Generation string
	// Term is the producer's term when the event was committed.
	Term int
	// Index is the token's index; for the end, the number of tokens.
	Index int
}

const eventIDParts = 3

// String returns the text form, which the caller sends back as Last-Event-ID.
func (id EventID) String() string {
	return id.Generation + "." + strconv.Itoa(id.Term) + "." + strconv.Itoa(id.Index)
}

// ParseEventID parses the text form.
func ParseEventID(text string) (EventID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != eventIDParts || parts[0] == "" {
		return EventID{}, fmt.Errorf("event ID %q: want generation.term.index", text)
	}
	term, err := strconv.ParseUint(parts[1], 10, 31)
	if err != nil {
		return EventID{}, fmt.Errorf("event ID %q: term: %w", text, err)
	}
	index, err := strconv.ParseUint(parts[2], 10, 31)
	if err != nil {
		return EventID{}, fmt.Errorf("event ID %q: index: %w", text, err)
	}
	return EventID{Generation: parts[0], Term: int(term), Index: int(index)}, nil
}
