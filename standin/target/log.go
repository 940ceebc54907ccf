package target

import (
	"bufio"
	"encoding/json"
	"os"
	"time"
)

// RecordKind is the kind of event in a Record: a step of a request, or a change of the target itself.
type RecordKind string

// Kinds of events. A request that began has one further record, Ended or Abandoned, unless the process ends
// first.
const (
	// Began: the target started to run the request.
	Began RecordKind = "began"
	// Ended: the target finished, or a fault broke the answer off.
	Ended RecordKind = "ended"
	// Abandoned: the caller disconnected, or the request or answer could not be transferred.
	Abandoned RecordKind = "abandoned"
	// Refused: the target did not run the request, for a lack of slots, a fault or a missing KV cache copy.
	Refused RecordKind = "refused"
	// Crashed: the target crashed as it began to answer the request; the process ends.
	Crashed RecordKind = "crashed"
	// Draining: the store has accepted that the target is draining.
	Draining RecordKind = "draining"
)

// Record is one line of a target's log.
type Record struct {
	At                                       time.Time
	What                                     RecordKind
	Target, Service, Request, Customer, Path string
	// Left is the time until the request's deadline, as the request's header gives it.
	Left time.Duration
	// Prompt is the list of the prompt's parts in the request's header.
	Prompt string
	// Limit is the limit that the answer names, in requests a second; 0 for none.
	Limit float64
	// AskedPause is the time for which the answer asks the sender to send nothing; 0 for none.
	AskedPause time.Duration
	// KeyLeaked reports whether the caller's key was passed on to the target, which must not happen.
	KeyLeaked bool
}

// Log is a file of Records, one JSON object a line. Each Record is written at once, so that it survives a
// crash of the process.
type Log struct{ file *os.File }

// OpenLog opens the file at path for appending.
func OpenLog(path string) (*Log, error) {
	const ownerOnly = 0o600
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, ownerOnly)
	if err != nil {
		return nil, err
	}
	return &Log{file}, nil
}

// Write appends a record. It panics on an error, because checks on an incomplete log prove nothing.
func (l *Log) Write(record Record) {
	line, err := json.Marshal(record)
	if err == nil {
		_, err = l.file.Write(append(line, '\n'))
	}
	if err != nil {
		panic(err)
	}
}

// ReadLog returns the records of the file at path. It skips a line that is not a whole record: the process may
// have ended while it wrote the last one.
func ReadLog(path string) ([]Record, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var records []Record
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var record Record
		if json.Unmarshal(lines.Bytes(), &record) == nil {
			records = append(records, record)
		}
	}
	return records, nil
}
