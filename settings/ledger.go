package settings

import "time"

// Ledger configures the ledger, which records calls that must not run twice. It must be the same on all
// entries.
type Ledger struct {
	// Shards is the number of shards. It can't be changed once the ledger has records; 0 means the
	// default.
	Shards int `yaml:"shards"`
	// Retention is how long the record of a call's key is kept; 0 means the default.
	Retention time.Duration `yaml:"retention"`
	// AnswerBytes is the maximum size of an answer that is stored for retries; 0 means the default.
	AnswerBytes int `yaml:"answerBytes"`
}

// maxLedgerShards limits the number of objects that all entries together write to the platform.
const maxLedgerShards = 64

func (l Ledger) validate(addFault func(field, format string, args ...any)) {
	if l.Shards < 0 || l.Shards > maxLedgerShards {
		addFault("ledger.shards", "%d is not between 0 and %d", l.Shards, maxLedgerShards)
	}
	if l.Retention < 0 {
		addFault("ledger.retention", "%v is negative", l.Retention)
	}
	const maxAnswerBytes = 256 << 10
	if l.AnswerBytes < 0 || l.AnswerBytes > maxAnswerBytes {
		addFault("ledger.answerBytes", "%d is not between 0 and %d", l.AnswerBytes, maxAnswerBytes)
	}
}
