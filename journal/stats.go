package journal

import "sync/atomic"

// Stats holds the counters of a Journal since the process started.
type Stats struct {
	// Batches is the number of batches sent.
	Batches atomic.Int64
	// Operations is the number of installs and appends in these batches.
	Operations atomic.Int64
	// Tokens is the number of tokens appended, counted once per replica.
	Tokens atomic.Int64
	// ReplicasReplaced is the number of replicas that were replaced.
	ReplicasReplaced atomic.Int64
	// Takeovers is the number of generations taken over.
	Takeovers atomic.Int64
}
