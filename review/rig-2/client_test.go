//go:build review

package rig2

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

// attempt is one request of a client and what came of it.
type attempt struct {
	id, kind, entry string
	sent, ended     time.Time
	status          int
	signature       string
	retryAfter      string
	body            string
	err             error
	// kept is set if the connection had carried an answer before; closes if the answer asks for its end.
	kept, closes bool
}

func (a *attempt) served() bool { return a.err == nil && a.status/100 == 2 && a.signature != "" }

// record holds what was sent, answered and run.
type record struct {
	mu       sync.Mutex
	begun    time.Time
	notes    []string
	runs     []*run
	attempts []*attempt
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.begun).Seconds()) + fmt.Sprintf(format, args...)
	r.notes = append(r.notes, line)
	fmt.Println(line)
}

func (r *record) addRun(begun *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, begun)
}

func (r *record) endRun(begun *run, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	begun.ended, begun.complete = time.Now(), complete
}

func (r *record) addAttempt(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
}

// write writes all to a file, in the order of time.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	type line struct {
		at   time.Time
		text string
	}
	var lines []line
	for _, a := range r.attempts {
		lines = append(lines, line{a.sent, fmt.Sprintf("sent %s %s to %s", a.kind, a.id, a.entry)})
		lines = append(lines, line{a.ended, fmt.Sprintf("answered %s: %d signature %q retry-after %q error %v", a.id, a.status, a.signature, a.retryAfter, a.err)})
	}
	for _, each := range r.runs {
		lines = append(lines, line{each.began, fmt.Sprintf("run %s begins at %s", each.id, each.engine)})
		if !each.ended.IsZero() {
			lines = append(lines, line{each.ended, fmt.Sprintf("run %s ends at %s, complete %v", each.id, each.engine, each.complete)})
		}
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
	var text strings.Builder
	for _, note := range r.notes {
		text.WriteString("note " + note + "\n")
	}
	for _, each := range lines {
		fmt.Fprintf(&text, "%8.3f  %s\n", each.at.Sub(r.begun).Seconds(), each.text)
	}
	return os.WriteFile(path, []byte(text.String()), 0o644)
}

// call is a request of a client.
type call struct {
	kind, method, path, host, key string
	deadline                      time.Duration
	header                        map[string]string
	body                          string
}

// send sends a request on a connection of its own and reads the whole answer.
func (r *record) send(e *entryProcess, id string, c call) *attempt {
	a := &attempt{id: id, kind: c.kind, entry: e.name, sent: time.Now()}
	defer func() {
		a.ended = time.Now()
		r.addAttempt(a)
	}()
	conn, err := net.DialTimeout("tcp", e.callers, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	a.readAnswer(conn, bufio.NewReader(conn), c)
	return a
}

// wasRun reports whether an engine began to work on the request.
func (r *record) wasRun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.runs, func(each *run) bool { return each.id == id })
}
