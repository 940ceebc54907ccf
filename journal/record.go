// Package journal replicates running generations to the memory of other entries, so that a generation
// survives the failure of the entry that produces it.
//
// A producer appends tokens to replicas in other availability zones and sends a token to its caller
// only after the replicas hold it (output commit). Another entry takes a generation over by raising its
// term at the replicas, which then refuse the appends of the former producer. Replicas hold soft
// state: the loss of all replicas costs repeated work but not correctness, since every position that
// a caller has received names the term that produced it, and a lineage shows whether that term's
// tokens are still part of the log.
package journal

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// TermStart is the index of the first token of a term.
type TermStart struct {
	Term  int
	Index int
}

// Lineage lists the terms that produced a log, oldest first. Their start indexes never decrease.
type Lineage []TermStart

// TermAt returns the term that produced the given index, 0 for an empty lineage.
func (l Lineage) TermAt(index int) int {
	term := 0
	for _, start := range l {
		if start.Index <= index {
			term = start.Term
		}
	}
	return term
}

// Contains reports whether the position that a caller received under the term is part of this log.
func (l Lineage) Contains(term, index int) bool {
	return len(l) > 0 && index >= 0 && l.TermAt(index) == term
}

// WithTerm returns a copy of the lineage with a new term that starts at index.
func (l Lineage) WithTerm(term, index int) Lineage {
	return append(slices.Clone(l), TermStart{Term: term, Index: index})
}

// Attempt identifies the engine stream that produces the tokens of a generation.
type Attempt struct {
	Number int
	Target string
}

// Pin holds the settings that every attempt of a generation must share, so that its tokens continue
// those of the attempts before.
type Pin struct {
	Version string
	Adapter string
	Seed    int64
}

// Record is the replicated state of one generation.
type Record struct {
	// Key is the key of the request.
	Key string
	// Generation is the ID of the generation.
	Generation string
	// BodyHash is the hash of the request, used to refuse a different request with the same key.
	BodyHash string
	Pin      Pin
	// Term is the term under which the record was last written.
	Term int
	// Producer is the name of the entry that holds Term.
	Producer string
	Lineage  Lineage
	Tokens   []string
	// Finish is the reason why the generation ended, empty while it runs.
	Finish  string
	Attempt Attempt
}

// Length returns the number of positions: one for each token, and one for the end.
func (r *Record) Length() int {
	if r.Finish != "" {
		return len(r.Tokens) + 1
	}
	return len(r.Tokens)
}

// Clone returns a copy that shares no mutable state.
func (r *Record) Clone() *Record {
	clone := *r
	clone.Lineage = slices.Clone(r.Lineage)
	clone.Tokens = slices.Clone(r.Tokens)
	return &clone
}

// recordOverheadBytes is the approximate memory of a record without its strings.
const recordOverheadBytes = 512

// tokenOverheadBytes is the approximate memory of a token without its text.
const tokenOverheadBytes = 16

func (r *Record) bytes() int {
	total := recordOverheadBytes + len(r.Key) + len(r.Generation) + len(r.BodyHash)
	return total + tokenBytes(r.Tokens)
}

func tokenBytes(tokens []string) int {
	total := 0
	for _, token := range tokens {
		total += tokenOverheadBytes + len(token)
	}
	return total
}

// NewestRecord returns the record to continue with, nil when there is none: the one with the newest term,
// then the longest log, then the newest attempt. Between two generations without tokens, it prefers
// the one with more copies, then the smaller ID: so all entries choose the same one, and an entry that
// lost a race to start a generation does not override the winner.
func NewestRecord(records []*Record) *Record {
	copies := map[string]int{}
	for _, record := range records {
		copies[record.Generation]++
	}
	var newest *Record
	for _, record := range records {
		if newest == nil || isNewer(record, newest, copies) {
			newest = record
		}
	}
	return newest
}

// isNewer reports whether NewestRecord prefers a to b; copies counts the copies of each generation.
func isNewer(a, b *Record, copies map[string]int) bool {
	if a.Generation != b.Generation && a.Length()+b.Length() == 0 {
		if copies[a.Generation] != copies[b.Generation] {
			return copies[a.Generation] > copies[b.Generation]
		}
		return a.Generation < b.Generation
	}
	if a.Term != b.Term {
		return a.Term > b.Term
	}
	if a.Length() != b.Length() {
		return a.Length() > b.Length()
	}
	return a.Attempt.Number > b.Attempt.Number
}

// producerBits is the width of the producer's part of a term.
const producerBits = 16

// NextTerm returns a term above current. Its low bits are a hash of the producer's name, so that two
// entries that can't reach each other do not use the same term.
func NextTerm(current int, producer string) int {
	round := current>>producerBits + 1
	low := int(xxhash.Sum64String(producer) & (1<<producerBits - 1))
	return round<<producerBits | low
}

// WithTerm returns a copy of the record with which the producer continues under a newer term.
func (r *Record) WithTerm(term int, producer string) *Record {
	adopted := r.Clone()
	adopted.Term = term
	adopted.Producer = producer
	adopted.Lineage = r.Lineage.WithTerm(term, r.Length())
	return adopted
}
