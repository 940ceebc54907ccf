package idempotency

import "time"

// Operation is a claim or the outcome of a call; exactly one field is set.
type Operation struct {
	Claim    *ClaimRequest
	Complete *CompleteRequest
}

// Key returns the key that o concerns.
func (o Operation) Key() Key {
	if o.Claim != nil {
		return o.Claim.Key
	}
	return o.Complete.Key
}

// sizeBytes returns approximately how many bytes o adds to a head.
func (o Operation) sizeBytes() int {
	if o.Complete == nil {
		return recordOverheadBytes
	}
	return recordOverheadBytes + o.Complete.Answer.sizeBytes()
}

// Shard is an entry's copy of a shard: the head at a revision, and the table built from the head
// and its archives. It does no I/O; its methods are the state transitions of the ledger.
type Shard struct {
	Revision int64
	Head     Head
	table    *Table
}

// Batch is one write of a head and the decisions that become valid once it has succeeded. A batch
// is immutable: if the reply to its write is lost, the same batch is written again.
type Batch struct {
	// Expected is the revision that the head must have for the write to succeed.
	Expected  int64
	Head      Head
	Decisions []Decision
	// NeedsWrite reports whether the head must be written for the decisions to become valid.
	NeedsWrite bool
}

// NewShard returns the shard at a revision of its head, given the records of its archives in order.
func NewShard(revision int64, head Head, archived [][]Record) *Shard {
	shard := &Shard{Revision: revision, Head: head, table: NewTable()}
	for _, records := range archived {
		for _, record := range records {
			shard.table.Apply(record)
		}
	}
	for _, record := range head.Records {
		shard.table.Apply(record)
	}
	return shard
}

// Len returns the number of keys.
func (s *Shard) Len() int { return s.table.Len() }

// Lookup returns the durable record of a key.
func (s *Shard) Lookup(key Key) (Record, bool) { return s.table.Lookup(key) }

// Stage decides on the operations in order and returns the write that makes the decisions valid. An
// operation sees the records that earlier operations of the batch append.
func (s *Shard) Stage(operations []Operation, owner Holder, nonce string, now time.Time) (Batch, error) {
	batch := Batch{Expected: s.Revision}
	staged := map[Key]Record{}
	for _, operation := range operations {
		current, exists := staged[operation.Key()]
		if !exists {
			current, exists = s.table.Lookup(operation.Key())
		}
		decision := decide(current, exists, operation, now)
		if decision.Append {
			staged[decision.Record.Key] = decision.Record
		}
		batch.Decisions = append(batch.Decisions, decision)
	}
	head, err := s.Head.Append(latestOfEachKey(batch.Decisions, staged))
	if err != nil {
		return Batch{}, err
	}
	batch.NeedsWrite = len(staged) > 0 || s.Head.Owner != owner || anyAbsent(batch.Decisions)
	head.Owner = owner
	head.Nonce = nonce
	batch.Head = head
	return batch, nil
}

// anyAbsent reports whether a decision states that the ledger lacks a claim. An outdated copy of
// the shard would state that of a claim that a newer owner has recorded, and the holder would
// forget a call that ran; only a successful write proves that the copy is current. Decisions based
// on an existing record need no such proof: a final record never changes, and a claim is superseded
// only by a write.
func anyAbsent(decisions []Decision) bool {
	for _, decision := range decisions {
		if decision.Verdict == VerdictAbsent {
			return true
		}
	}
	return false
}

// latestOfEachKey returns the last record of each key in a batch, in the order of the decisions.
func latestOfEachKey(decisions []Decision, last map[Key]Record) []Record {
	var records []Record
	added := map[Key]bool{}
	for _, decision := range decisions {
		key := decision.Record.Key
		if decision.Append && !added[key] {
			added[key] = true
			records = append(records, last[key])
		}
	}
	return records
}

func decide(current Record, exists bool, operation Operation, now time.Time) Decision {
	if operation.Claim != nil {
		return DecideClaim(current, exists, *operation.Claim, now)
	}
	return DecideComplete(current, exists, *operation.Complete)
}

// Commit applies a batch whose write has succeeded; revision is the new revision of the head.
func (s *Shard) Commit(batch Batch, revision int64) {
	s.Revision = revision
	s.Head = batch.Head
	for _, decision := range batch.Decisions {
		if decision.Append {
			s.table.Apply(decision.Record)
		}
	}
}

// LatestRecords returns the last record of each key, in the given order, without those claimed
// before the given time.
func LatestRecords(records []Record, before time.Time) []Record {
	last := make(map[Key]int, len(records))
	for i, record := range records {
		last[record.Key] = i
	}
	var latest []Record
	for i, record := range records {
		if last[record.Key] == i && !record.ClaimedAt().Before(before) {
			latest = append(latest, record)
		}
	}
	return latest
}
