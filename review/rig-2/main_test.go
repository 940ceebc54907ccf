//go:build review

// Package rig2 holds the programs of the second review: stand-ins of the platform's store, of engines and of clients, and one program a
// case, which starts the system's processes. See review/REPORT-2.md.
package rig2

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the programs, by name.
var cases = map[string]func(rig *rig) (broken bool, err error){}

// rig is what a case runs with.
type rig struct {
	*record
	folder  string
	trouble bool
	rec     string
}

// TestMain runs the case that the first argument names; the second one is the file for the record.
func TestMain(*testing.M) {
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) == 4 && os.Args[1] == engineCommand {
		fmt.Fprintln(os.Stderr, runEngineProcess(os.Args[2], os.Args[3]))
		return exitNotRun
	}
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-rig-2 CASE RECORD")
		return exitNotRun
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println(folder)
	}
	r := &rig{record: &record{begun: time.Now()}, folder: folder, trouble: os.Getenv("TROUBLE") != "0", rec: os.Args[2]}
	broken, err := cases[os.Args[1]](r)
	if writeErr := r.write(r.rec); err == nil {
		err = writeErr
	}
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}
