package leavingpeer

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/draining"
	"github.com/azurebarrow/azurebarrow/membership"
)

// TestReportsAreExchangedBothWays checks that each of two entries receives the other's report, and that the
// time until a target terminates is passed on with it.
func TestReportsAreExchangedBothWays(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	targets := []draining.Target{{Name: "t1", Address: "a1"}, {Name: "t2", Address: "a2"}}
	local, remote := draining.NewTracker(), draining.NewTracker()
	local.SetTargets(targets)
	remote.SetTargets(targets)
	local.ObserveHealth("t1", draining.Health{Incarnation: "1", Draining: true, TerminatesIn: time.Minute}, now)
	remote.ObserveVMs([]draining.VM{{Address: "a2", Terminating: true}}, now)

	watcher := draining.NewWatcher(remote, draining.Options{View: membership.Static{}})
	mux := http.NewServeMux()
	mux.Handle(NewHandler(watcher))
	server := httptest.NewServer(mux)
	defer server.Close()
	peer := membership.Peer{Address: strings.TrimPrefix(server.URL, "http://")}
	reports, err := NewClient(server.Client()).Exchange(t.Context(), peer, local.Reports())
	is.NoErr(err)
	local.ObserveReports(reports, time.Now())
	is.True(local.Draining("t2"))
	is.True(remote.Draining("t1"))
	deadline, ok := remote.Deadline("t1")
	is.True(ok)
	is.True(deadline.After(now) && !deadline.After(now.Add(2*time.Minute)))
}
