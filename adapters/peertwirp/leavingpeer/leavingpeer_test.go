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

func TestWordsGoBothWaysWithTheTimeLeft(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	targets := []draining.Target{{Name: "t1", Address: "a1"}, {Name: "t2", Address: "a2"}}
	here, there := draining.NewTracker(), draining.NewTracker()
	here.SetTargets(targets)
	there.SetTargets(targets)
	here.ObserveHealth("t1", draining.Health{Incarnation: "1", Draining: true, TerminatesIn: time.Minute}, now)
	there.ObserveVMs([]draining.VM{{Address: "a2", Terminating: true}}, now)

	watcher := draining.NewWatcher(there, draining.Options{View: membership.Static{}})
	mux := http.NewServeMux()
	mux.Handle(NewHandler(there, watcher))
	server := httptest.NewServer(mux)
	defer server.Close()
	peer := membership.Peer{Address: strings.TrimPrefix(server.URL, "http://")}
	words, err := NewClient(server.Client()).Exchange(t.Context(), peer, here.Reports())
	is.NoErr(err)
	here.ObserveReports(words, time.Now())
	is.True(here.Draining("t2"))
	is.True(there.Draining("t1"))
	deadline, ok := there.Deadline("t1")
	is.True(ok)
	is.True(deadline.After(now) && !deadline.After(now.Add(2*time.Minute)))
}
