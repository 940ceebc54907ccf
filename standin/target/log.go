package target

import (
	"bufio"
	"encoding/json"
	"os"
	"time"
)

// What tells what happened to a request, or to the target itself.
type What string

// What happened.
const (
	Began     What = "began"
	Ended     What = "ended"
	Abandoned What = "abandoned"
	Refused   What = "refused"
	// Draining: the store has accepted that the target leaves.
	Draining What = "draining"
)

// Record is one line of a target's log.
type Record struct {
	At                                       time.Time
	What                                     What
	Target, Service, Request, Customer, Path string
	// Left is the time that the request still had, as the target was told.
	Left time.Duration
	// KeyLeaked tells that the caller's key came with the request.
	KeyLeaked bool
}

// Log is a file of Records. Each is written at once, so that it outlives the process.
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

// Write appends a record. A target that can't write its log proves nothing, so it ends.
func (l *Log) Write(record Record) {
	line, err := json.Marshal(record)
	if err == nil {
		_, err = l.file.Write(append(line, '\n'))
	}
	if err != nil {
		panic(err)
	}
}

// ReadLog returns the records of the file at path; the last may be cut short by the process's end.
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
