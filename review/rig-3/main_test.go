//go:build review

// Package rig holds the stand-ins and the cases of the third review. The test binary is run like any program:
//
//	review-rig-3 CASE FOLDER
package rig

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

var cases = map[string]func(folder string, trouble bool) int{
	"upgraded-in-place": upgradedInPlace,
	"early-success":     earlySuccess,
	"leader-killed":     leaderLost(0, 2, 4),
	"leader-frozen":     leaderLost(3*time.Second, 1, 2),
	"bad-later":         badVersion(badDuration/2, 0.5, false),
	"bad-early":         badVersion(badDuration/6, 0.5, false),
	"bad-part":          badVersion(0, 0.04, false),
	"slow-part":         badVersion(0, 0.08, true),
	"brittle":           brittleEnginesFall,
	"poison-before":     poisonedPrompts(0),
	"poison-after":      poisonedPrompts(1),
}

func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig-3 CASE FOLDER")
		os.Exit(exitUnable)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		endEntries()
		os.Exit(exitUnable)
	}()
	code := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	endEntries()
	os.Exit(code)
}
