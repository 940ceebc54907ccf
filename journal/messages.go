package journal

// Append is an operation that adds tokens to a record at a replica.
type Append struct {
	Key        string
	Generation string
	Term       int
	// From is the position of the first token of Tokens.
	From    int
	Tokens  []string
	Finish  string
	Attempt Attempt
}

// Pointer names the replicas that hold a key and are outside the first ranks of its rendezvous order, so
// that look-ups that ask only the first ranks find them.
type Pointer struct {
	Key      string
	Replicas []string
	// tries counts the failed tries to send the pointer.
	tries int
}

// Batch holds the operations that a producer sends to one replica in one call. Installs store whole
// records; they are applied before appends.
type Batch struct {
	Installs []*Record
	Appends  []Append
	Pointers []Pointer
}

// Code is the outcome of one operation at a replica.
type Code int

// Outcomes of an operation.
const (
	// Accepted: the replica holds what was sent.
	Accepted Code = iota + 1
	// Superseded: the replica has accepted a newer term, or holds the key for another producer or
	// generation.
	Superseded
	// Missing: the replica lacks the record or positions before From.
	Missing
	// Full: the replica has reached its memory limit.
	Full
)

// Result is the result of one operation.
type Result struct {
	Code Code
	// Held is the number of positions that the replica holds.
	Held int
	// Term is the highest term that the replica has accepted.
	Term int
}

// BatchResult holds the results of the operations of a Batch, in the same order.
type BatchResult struct {
	Installs []Result
	Appends  []Result
}

// Copy is what one replica knows about a key.
type Copy struct {
	// Record is nil when the replica holds none.
	Record *Record
	// Promised is the highest term that the replica has accepted; it refuses lower ones. Holder is the
	// name of the entry that holds it.
	Promised int
	Holder   string
	// Pointers names replicas outside the first ranks that hold the key.
	Pointers []string
}

// TakeoverRequest asks a replica to refuse terms below Term from now on.
type TakeoverRequest struct {
	Key      string
	Term     int
	Producer string
}

// TakeoverResult is the result of a TakeoverRequest. Copy is the state at that time.
type TakeoverResult struct {
	Granted bool
	Copy    Copy
}
