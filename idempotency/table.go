package idempotency

import "time"

// ClaimRequest asks for the right to dispatch a call.
type ClaimRequest struct {
	Key         Key
	Fingerprint Fingerprint
	Holder      Holder
	Attempt     AttemptID
	// Supersedes names an attempt whose own holder has replied that it never dispatched the call and
	// never will; empty if none.
	Supersedes AttemptID
}

// CompleteRequest asks to record the outcome of a claimed call.
type CompleteRequest struct {
	Key     Key
	Attempt AttemptID
	// State is a final state.
	State  State
	Answer *Answer
}

// Verdict is the result of a request to the ledger.
type Verdict string

// Verdicts of the ledger.
const (
	// VerdictGranted: the attempt holds the claim.
	VerdictGranted Verdict = "granted"
	// VerdictHeld: another attempt holds the claim, and no outcome is recorded.
	VerdictHeld Verdict = "held"
	// VerdictFinished: the outcome is recorded.
	VerdictFinished Verdict = "finished"
	// VerdictMismatch: the key is bound to a request with another fingerprint.
	VerdictMismatch Verdict = "mismatch"
	// VerdictAbsent: the ledger has no claim on the key, or another attempt holds it.
	VerdictAbsent Verdict = "absent"
	// VerdictNotOwner: the entry that was asked does not own the shard.
	VerdictNotOwner Verdict = "not-owner"
	// VerdictUnavailable: the platform did not accept the write; it may still take effect.
	VerdictUnavailable Verdict = "unavailable"
	// VerdictCorrupt: the shard's content is invalid and was rejected.
	VerdictCorrupt Verdict = "corrupt"
)

// Decision is the result of a state transition.
type Decision struct {
	Verdict Verdict
	// Record is the record that the verdict is based on, or the one to be appended.
	Record Record
	// Append reports whether Record must become durable before the verdict is valid.
	Append bool
}

// Table holds the last record of each key of a shard.
type Table struct {
	records map[Key]Record
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[Key]Record{}} }

// Len returns the number of keys.
func (t *Table) Len() int { return len(t.records) }

// Lookup returns the record of a key.
func (t *Table) Lookup(key Key) (Record, bool) {
	record, ok := t.records[key]
	return record, ok
}

// Apply stores a durable record in place of the earlier one of its key.
func (t *Table) Apply(record Record) { t.records[record.Key] = record }

// Expire removes the keys that were claimed before the given time.
func (t *Table) Expire(before time.Time) {
	for key, record := range t.records {
		if record.ClaimedAt().Before(before) {
			delete(t.records, key)
		}
	}
}

// DecideClaim returns the decision on a claim, given the current record of its key.
func DecideClaim(current Record, exists bool, request ClaimRequest, now time.Time) Decision {
	if !exists {
		return Decision{Verdict: VerdictGranted, Record: newClaimRecord(request, now), Append: true}
	}
	if current.Fingerprint != request.Fingerprint {
		return Decision{Verdict: VerdictMismatch, Record: current}
	}
	if current.State.Final() {
		return Decision{Verdict: VerdictFinished, Record: current}
	}
	if current.Attempt == request.Attempt {
		return Decision{Verdict: VerdictGranted, Record: current} // the reply to an earlier request was lost
	}
	if request.Supersedes == current.Attempt {
		return Decision{Verdict: VerdictGranted, Record: newClaimRecord(request, now), Append: true}
	}
	return Decision{Verdict: VerdictHeld, Record: current}
}

// DecideComplete returns the decision on the outcome of a call, given the current record of its
// key.
func DecideComplete(current Record, exists bool, request CompleteRequest) Decision {
	if !exists || current.Attempt != request.Attempt {
		return Decision{Verdict: VerdictAbsent, Record: current}
	}
	if current.State.Final() {
		return Decision{Verdict: VerdictFinished, Record: current}
	}
	completed := current
	completed.State = request.State
	completed.Answer = request.Answer
	return Decision{Verdict: VerdictFinished, Record: completed, Append: true}
}

func newClaimRecord(request ClaimRequest, now time.Time) Record {
	return Record{
		Key:         request.Key,
		Fingerprint: request.Fingerprint,
		State:       StateClaimed,
		Holder:      request.Holder,
		Attempt:     request.Attempt,
		ClaimedAtMs: now.UnixMilli(),
	}
}
