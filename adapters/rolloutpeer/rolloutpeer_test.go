package rolloutpeer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/rollout"
	"github.com/azurebarrow/azurebarrow/rolloutcontrol"
)

// exampleReport is a report of an entry after a number of requests at each version, on 4 routes.
func exampleReport(requests int) rolloutcontrol.Report {
	report := rolloutcontrol.Report{
		Entry: "entry-ams-1-0042", Service: "drafts-large", To: "2026.12.06-3", Sequence: time.Now().UnixNano(), OldInProgress: 17, Stage: rollout.Canary,
	}
	for i := range requests {
		for _, evidence := range []*rollout.Evidence{&report.Old, &report.New} {
			evidence.AddStarted()
			evidence.Record(fmt.Sprint("drafts-route-", i%4), rollout.Answered, time.Duration(20+7*i%300)*time.Millisecond)
		}
	}
	return report
}

// Guards against evidence that is changed by its encoding.
func TestReportsTravelUnchanged(t *testing.T) {
	for _, requests := range []int{0, 1, 40, 400} {
		is := is.New(t)
		report := exampleReport(requests)
		text, err := json.Marshal(reportToWire(report))
		is.NoErr(err)
		var wire wireReport
		is.NoErr(json.Unmarshal(text, &wire))
		again, err := wire.decode()
		is.NoErr(err)
		is.Equal(again, report)
	}
}

// Guards against a report that makes the coordinator panic or count what was not observed.
func TestInvalidReportsAreRefused(t *testing.T) {
	manager := rolloutcontrol.NewManager(rolloutcontrol.Options{Snapshot: func() rolloutcontrol.Directory { return &directory.Snapshot{} }, View: membership.Static{}})
	mux := http.NewServeMux()
	mux.Handle(NewHandler(manager))
	for _, body := range []string{
		``, `[]`, `{}`, `{"entry":"e","old":{"r":[{"name":"r","l":[1]}]}}`, `{"entry":"e","new":{"r":[{"name":"r","l":[80,1]}]}}`,
		`{"entry":"e","new":{"r":[{"name":"r","l":[5,1,5,1]}]}}`, `{"entry":"e","new":{"n":-1}}`, `{"entry":"e","oldRunning":-1}`,
		`{"entry":"` + strings.Repeat("e", maxReportBytes) + `"}`,
	} {
		is := is.New(t)
		recorder := httptest.NewRecorder()
		mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		t.Logf("%.60s: %d", body, recorder.Code)
		is.Equal(recorder.Code, http.StatusBadRequest)
	}
}

// Guards against a peer of a former build, which has no such path, that is taken for a coordinator.
func TestEntryWithoutThePathIsNoCoordinator(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	_, err := NewClient(server.Client()).Report(t.Context(), membership.Peer{Address: strings.TrimPrefix(server.URL, "http://")}, exampleReport(1))
	is.True(err != nil)
}

// countingConn counts the bytes in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Guards against reports that take more of a link than an entry may spend for control, 5 KB/s, and of the coordinator's more than an
// eighth of the slowest, 10 Mbit/s. The service has 300 requests a second, of which each entry gets its part.
func TestCostOfReports(t *testing.T) {
	const (
		requestsPerSecond     = 300
		maxEntryBytesPerS     = 5 << 10
		maxCoordinatorBytesPS = 10e6 / 8 / 8 * 2 // both directions of a link count for themselves
	)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(rolloutcontrol.Answer{To: "2026.12.06-3", Stage: rollout.Canary, Share: 0.04})
	}))
	t.Cleanup(server.Close)
	peer := membership.Peer{Address: strings.TrimPrefix(server.URL, "http://")}
	for _, entries := range []int{30, 73, 195, 300} {
		is := is.New(t)
		var bytesOnWire atomic.Int64
		client := NewClient(&http.Client{Transport: &http.Transport{DisableCompression: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return countingConn{conn, &bytesOnWire}, err
		}}})
		interval := rolloutcontrol.ReportInterval(entries).Seconds()
		requests := max(1, int(requestsPerSecond*interval/float64(entries)+0.5))
		const reports = 20
		for range reports {
			_, err := client.Report(t.Context(), peer, exampleReport(requests))
			is.NoErr(err)
		}
		each := float64(bytesOnWire.Load()) / reports
		perSecond := float64(entries-1) / interval
		t.Logf("%d entries: %d requests at each version in a report of %.0f bytes with its answer; an entry sends %.1f a second, %.2f KB/s; the coordinator gets %.0f a second, %.0f KB/s",
			entries, requests, each, 1/interval, each/interval/1024, perSecond, perSecond*each/1024)
		is.True(each/interval <= maxEntryBytesPerS)
		is.True(perSecond*each <= maxCoordinatorBytesPS)
	}
}
