package journal

import (
	"container/list"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/defect"
	"github.com/azurebarrow/azurebarrow/invariant"
)

// Limits are the limits of a Store.
type Limits struct {
	// Bytes is the maximum memory of all records.
	Bytes int
	// Expiry is how long a record is kept after its last change.
	Expiry time.Duration
}

// DefaultLimits are the limits for a small entry VM.
var DefaultLimits = Limits{Bytes: 256 << 20, Expiry: 10 * time.Minute}

// Store holds this entry's copies of other entries' generations. It is safe for concurrent use.
type Store struct {
	mu     sync.Mutex
	limits Limits
	slots  map[string]*slot
	// order holds the slots, least recently changed first.
	order *list.List
	bytes int
	now   func() time.Time
}

// slot is what the store knows about one key.
type slot struct {
	key string
	// record is nil when the store holds no copy.
	record *Record
	// promised is the highest term that the store has accepted; lower terms are refused.
	promised int
	// holder is the name of the entry that holds promised.
	holder string
	// pointers names replicas outside the first ranks that hold the key.
	pointers []string
	changed  time.Time
	element  *list.Element
}

// slotBytes is the approximate memory of a slot without its record.
const slotBytes = 256

func (s *slot) bytes() int {
	if s.record == nil {
		return slotBytes
	}
	return slotBytes + s.record.bytes()
}

// NewStore returns an empty store.
func NewStore(limits Limits) *Store {
	return &Store{limits: limits, slots: map[string]*slot{}, order: list.New(), now: time.Now}
}

// Bytes returns the approximate memory of all slots.
func (s *Store) Bytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// Exchange applies a batch of operations from another entry.
func (s *Store) Exchange(batch Batch) BatchResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var result BatchResult
	for _, record := range batch.Installs {
		result.Installs = append(result.Installs, s.applyInstall(record))
	}
	for i := range batch.Appends {
		result.Appends = append(result.Appends, s.applyAppend(&batch.Appends[i]))
	}
	for _, pointer := range batch.Pointers {
		s.applyPointer(pointer)
	}
	return result
}

// Read returns what the store knows about a key.
func (s *Store) Read(key string) Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.copyOf(key)
}

// Takeover raises the term of a key, so that producers with older terms are refused, and returns the
// copy. The request is not granted when the store knows its term or a higher one.
func (s *Store) Takeover(request TakeoverRequest) TakeoverResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current := s.slots[request.Key]
	if current != nil && request.Term <= current.promised {
		return TakeoverResult{Copy: s.copyOf(request.Key)}
	}
	if current == nil {
		current = s.addSlot(request.Key)
	}
	s.raiseTerm(current, request.Term, request.Producer)
	s.touch(current)
	return TakeoverResult{Granted: true, Copy: s.copyOf(request.Key)}
}

// applyInstall stores a whole record.
func (s *Store) applyInstall(record *Record) Result {
	current := s.slots[record.Key]
	if current != nil && refusesInstall(current, record) {
		return s.supersededResult(current)
	}
	if current != nil && holdsAlready(current, record) {
		return acceptedResult(current)
	}
	if !s.makeRoom(record.bytes(), record.Key) {
		return Result{Code: Full}
	}
	if current == nil {
		current = s.addSlot(record.Key)
	}
	s.raiseTerm(current, record.Term, record.Producer)
	s.bytes -= current.bytes()
	current.record = record.Clone()
	s.bytes += current.bytes()
	s.touch(current)
	return acceptedResult(current)
}

// refusesInstall reports whether the slot belongs to another producer or another generation. Only a
// granted takeover may replace the log of another generation.
func refusesInstall(current *slot, record *Record) bool {
	held := current.record
	if record.Term < current.promised {
		return true
	}
	if record.Term > current.promised {
		return held != nil && held.Generation != record.Generation
	}
	if record.Producer != current.holder {
		return true
	}
	return held != nil && held.Term == record.Term && held.Generation != record.Generation
}

// holdsAlready reports whether the slot holds the same or a later state of the log, since the install
// was delayed.
func holdsAlready(current *slot, record *Record) bool {
	held := current.record
	return held != nil && held.Term == record.Term && held.Generation == record.Generation &&
		held.Length() >= record.Length()
}

// applyAppend adds tokens to the record of a key, if the record has the term and the generation of the
// operation and every position before it.
func (s *Store) applyAppend(operation *Append) Result {
	current := s.slots[operation.Key]
	if current == nil {
		return Result{Code: Missing}
	}
	if operation.Term < current.promised && !defect.Enabled(defect.TermCheckOff) {
		return s.supersededResult(current)
	}
	record := current.record
	if record == nil || (record.Term != operation.Term && !defect.Enabled(defect.TermCheckOff)) {
		return Result{Code: Missing, Term: current.promised}
	}
	if record.Generation != operation.Generation {
		return s.supersededResult(current)
	}
	if operation.From > len(record.Tokens) {
		return Result{Code: Missing, Held: record.Length(), Term: current.promised}
	}
	return s.extend(current, operation)
}

// extend adds the tokens that the record does not have yet. A finished record gets no more tokens.
func (s *Store) extend(current *slot, operation *Append) Result {
	record := current.record
	fresh := operation.Tokens[min(len(operation.Tokens), len(record.Tokens)-operation.From):]
	added := tokenBytes(fresh)
	if !s.makeRoom(added, operation.Key) {
		return Result{Code: Full}
	}
	if record.Finish == "" {
		record.Tokens = append(record.Tokens, fresh...)
		record.Finish = operation.Finish
		s.bytes += added
	}
	record.Attempt = operation.Attempt
	s.touch(current)
	return acceptedResult(current)
}

func (s *Store) applyPointer(pointer Pointer) {
	current := s.slots[pointer.Key]
	if current == nil {
		current = s.addSlot(pointer.Key)
	}
	current.pointers = append([]string(nil), pointer.Replicas...)
	s.touch(current)
}

func acceptedResult(current *slot) Result {
	return Result{Code: Accepted, Held: current.record.Length(), Term: current.promised}
}

func (s *Store) supersededResult(current *slot) Result {
	return Result{Code: Superseded, Term: current.promised}
}

// raiseTerm records that holder owns term; the term of a slot never decreases.
func (s *Store) raiseTerm(current *slot, term int, holder string) {
	err := invariant.Check(term >= current.promised, invariant.ReplicaTermNeverLower,
		"key %s: term %d after %d", current.key, term, current.promised)
	if err != nil {
		return
	}
	current.promised = term
	current.holder = holder
}

func (s *Store) copyOf(key string) Copy {
	current := s.slots[key]
	if current == nil {
		return Copy{}
	}
	result := Copy{Promised: current.promised, Holder: current.holder, Pointers: append([]string(nil), current.pointers...)}
	if current.record != nil {
		result.Record = current.record.Clone()
	}
	return result
}
