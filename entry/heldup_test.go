package entry

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/standin/target"
)

// Guards against requests that a cut link holds up until after their target has left: the link returns, and the kernel sends them.
func TestRequestHeldUpOnACutLinkNeverReachesATargetThatLeavesMeanwhile(t *testing.T) {
	const (
		// cutTime is how long the link is cut: the kernel then waits longer for its next retransmission than drainBound.
		cutTime = 3200 * time.Millisecond
		// retransmissionTime is the time until the kernel has sent again what was held up for so long.
		retransmissionTime = 4 * time.Second
	)
	is := is.NewRelaxed(t)
	c := startClusterWithLinks(t, 1, newTargetLinks(t, 1))
	options := target.Options{ID: "i-only", Service: "desk", AvailabilityZone: "a", Slots: 6}
	desk := c.startTarget(t, options)
	c.awaitTargets(t, "desk", 1)
	paths := map[string]string{"ledger": "/ledger/x", "search": "/search/x"}
	var warm sync.WaitGroup
	for name, path := range paths { // a connection each
		warm.Go(func() {
			response, _, err := c.request(0, "POST", path, "first-"+name, "k1", "")
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
		})
	}
	warm.Wait()
	time.Sleep(50 * time.Millisecond) // the connections are idle
	c.links[0].sever(&partition{existing: (*cluster.Forwarder).Cut})
	cutAt := time.Now()
	type result struct {
		status int
		after  time.Duration
	}
	var calls sync.WaitGroup
	var mu sync.Mutex
	results := map[string]result{}
	for name, path := range paths {
		calls.Go(func() {
			response, _, err := c.request(0, "POST", path, name, "k1", "")
			is.NoErr(err)
			mu.Lock()
			defer mu.Unlock()
			results[name] = result{response.StatusCode, time.Since(cutAt)}
		})
	}
	time.Sleep(100 * time.Millisecond)
	leftAt := time.Now()
	c.register(desk, options, "draining")
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	c.links[0].restore()
	time.Sleep(retransmissionTime)
	for id, run := range desk.runs(t) {
		if late := run.At.Sub(leftAt); late > drainBound {
			t.Errorf("%s reached the target %v after it began to leave", id, late)
		}
	}
	calls.Wait()
	t.Logf("answers %+v", results)
	// The one that may run twice has no other target; whether the other one has run is unknown.
	is.Equal(results["ledger"].status, http.StatusBadGateway)
	for name, got := range results {
		if got.after > drainBound {
			t.Errorf("%s was answered after %v", name, got.after)
		}
	}
}

// Guards against requests that reach a target which began to leave after it was chosen, while a connection to it was opened.
func TestTargetThatLeavesWhileItsConnectionIsOpenedGetsNoRequest(t *testing.T) {
	const (
		dialTime = 150 * time.Millisecond // less than the time limit of the entry
		// watchPause is longer than the pause after which the entry watches the store again.
		watchPause = time.Second
	)
	is := is.NewRelaxed(t)
	c := startClusterWithLinks(t, 1, newTargetLinks(t, 1))
	c.links[0].dialTime = dialTime
	options := target.Options{ID: "i-only", Service: "desk", AvailabilityZone: "a", Slots: 6}
	desk := c.startTarget(t, options)
	c.awaitTargets(t, "desk", 1)
	time.Sleep(watchPause)
	var calls sync.WaitGroup
	for _, path := range []string{"/ledger/x", "/search/x"} {
		calls.Go(func() {
			response, _, err := c.request(0, "POST", path, path, "k1", "")
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		})
	}
	time.Sleep(dialTime / 5)
	c.register(desk, options, "draining")
	calls.Wait()
	is.Equal(len(desk.runs(t)), 0)
}
