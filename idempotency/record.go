package idempotency

import (
	"fmt"
	"time"
)

// State is the state of a request's record.
type State string

// States of a record. All but StateClaimed are final.
const (
	// StateClaimed: only the holder may dispatch the call.
	StateClaimed State = "claimed"
	// StateAnswered: the call ran and returned an answer.
	StateAnswered State = "answered"
	// StateNotRun: no target received the call under this key, and none ever will.
	StateNotRun State = "not-run"
	// StateUnknown: the call may have run; it will not be dispatched again.
	StateUnknown State = "unknown"
)

// Final reports whether a record in state s never changes again.
func (s State) Final() bool {
	return s == StateAnswered || s == StateNotRun || s == StateUnknown
}

// AttemptID identifies one attempt to claim a key; it is random and never reused.
type AttemptID string

// Holder identifies the process of an entry that made a claim or that owns a shard.
type Holder struct {
	Entry       string `json:"e"`
	Incarnation uint64 `json:"i"`
}

// HeaderField is one field of an answer's header.
type HeaderField struct {
	Name  string `json:"n"`
	Value string `json:"v"`
}

// Answer is the stored answer of a call.
type Answer struct {
	Status int           `json:"s"`
	Header []HeaderField `json:"h,omitempty"`
	Body   []byte        `json:"b,omitempty"`
	// Omitted reports that the answer was too large to store; only its status is known.
	Omitted bool `json:"o,omitempty"`
}

// recordOverheadBytes is an upper bound of the size that a record without an answer takes in a
// head.
const recordOverheadBytes = 320

// Bounded returns a, or only its status if header and body have more than limit bytes.
func (a Answer) Bounded(limit int) Answer {
	if len(a.Body)+a.headerBytes() <= limit {
		return a
	}
	return Answer{Status: a.Status, Omitted: true}
}

func (a Answer) headerBytes() int {
	size := 0
	for _, field := range a.Header {
		size += len(field.Name) + len(field.Value)
	}
	return size
}

// sizeBytes returns the approximate size that a takes in a head; bodies are encoded in base64.
func (a *Answer) sizeBytes() int {
	if a == nil {
		return 0
	}
	return len(a.Body)*4/3 + a.headerBytes() + len(a.Header)*len(`{"n":"","v":""},`)
}

// Record is the whole state of one key. In a list of records, the last record of a key is the valid
// one.
type Record struct {
	Key         Key         `json:"k"`
	Fingerprint Fingerprint `json:"f"`
	State       State       `json:"s"`
	Holder      Holder      `json:"h"`
	Attempt     AttemptID   `json:"a"`
	// ClaimedAtMs is the shard owner's wall clock at the time of the claim, in milliseconds; it is
	// used for retention only.
	ClaimedAtMs int64   `json:"t"`
	Answer      *Answer `json:"r,omitempty"`
}

// ClaimedAt returns the time of the claim by the clock of the shard owner.
func (r Record) ClaimedAt() time.Time { return time.UnixMilli(r.ClaimedAtMs) }

func (r Record) validate() error {
	if r.State != StateClaimed && !r.State.Final() {
		return fmt.Errorf("record %s: state %q is not known", r.Key, r.State)
	}
	if r.Attempt == "" || r.Holder.Entry == "" {
		return fmt.Errorf("record %s: attempt or holder is missing", r.Key)
	}
	if (r.State == StateAnswered) != (r.Answer != nil) {
		return fmt.Errorf("record %s: state %q does not fit the presence of an answer", r.Key, r.State)
	}
	return nil
}
