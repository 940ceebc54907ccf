package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/standin/target"
)

// partition is how an entry's links to all targets are cut.
type partition struct {
	name string
	// existing is done to the open connections; nil leaves them as they are.
	existing func(*cluster.Forwarder)
	// refuse reports that new connections are refused at once; otherwise they are not answered.
	refuse bool
}

var partitions = []partition{
	{"open connections hang", (*cluster.Forwarder).Cut, false},
	{"open connections are reset", (*cluster.Forwarder).Reset, false},
	{"open connections are reset and new ones refused", (*cluster.Forwarder).Reset, true},
	{"open connections live on and new ones are refused", nil, true},
}

// targetLinks are the links of one entry to the targets.
type targetLinks struct {
	mu         sync.Mutex
	forwarders map[string]*cluster.Forwarder
	cut        *partition
}

func newTargetLinks(t *testing.T, entries int) []*targetLinks {
	t.Helper()
	links := make([]*targetLinks, entries)
	for i := range links {
		links[i] = &targetLinks{forwarders: map[string]*cluster.Forwarder{}}
		t.Cleanup(links[i].close)
	}
	return links
}

// dial implements Options.DialTarget.
func (l *targetLinks) dial(ctx context.Context, network, address string) (net.Conn, error) {
	l.mu.Lock()
	cut, forwarder := l.cut, l.forwarders[address]
	var err error
	if forwarder == nil {
		forwarder, err = cluster.NewForwarder(address)
		l.forwarders[address] = forwarder
	}
	l.mu.Unlock()
	switch {
	case err != nil:
		return nil, err
	case cut != nil && cut.refuse:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case cut != nil:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	return new(net.Dialer).DialContext(ctx, network, forwarder.Address())
}

// sever cuts the links, restore ends the cut.
func (l *targetLinks) sever(cut *partition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	for _, forwarder := range l.forwarders {
		if cut.existing != nil {
			cut.existing(forwarder)
		}
	}
}

func (l *targetLinks) restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = nil
	for _, forwarder := range l.forwarders {
		forwarder.Heal()
	}
}

func (l *targetLinks) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, forwarder := range l.forwarders {
		forwarder.Close()
	}
}

// servedCount counts requests and those that were answered with the target's whole answer.
type servedCount struct{ sent, served int }

func (c servedCount) share() float64 { return float64(c.served) / float64(max(1, c.sent)) }

// requestKinds are the kinds of requests of the test cluster, by path prefix.
var requestKinds = []struct{ method, path string }{{"POST", "/drafts/"}, {"POST", "/book/"}, {"GET", "/find/"}}

// generateRequests sends requests of all kinds to all entries for a while, and counts those of each kind at the first
// partitioned entries and at the others.
func (c *testCluster) generateRequests(name string, partitioned int, perSecond int, lasts time.Duration) (cut, others map[string]servedCount) {
	cut, others = map[string]servedCount{}, map[string]servedCount{}
	var mu sync.Mutex
	var requests sync.WaitGroup
	started := time.Now()
	for number := 0; time.Since(started) < lasts; number++ {
		kind, entry := requestKinds[number%len(requestKinds)], number/len(requestKinds)%len(c.entries)
		requests.Go(func() {
			path := fmt.Sprintf("%s%s-%d", kind.path, name, number)
			response, text, err := c.request(entry, kind.method, path, fmt.Sprintf("%s-%d", name, number), "k1", "")
			expected := target.CallBody(kind.method, path, "")
			if kind.path == "/drafts/" {
				expected = expectedStream(path)
			}
			mu.Lock()
			defer mu.Unlock()
			counts := others
			if entry < partitioned {
				counts = cut
			}
			count := counts[kind.path]
			count.sent++
			if err == nil && response.StatusCode == http.StatusOK && text == expected {
				count.served++
			}
			counts[kind.path] = count
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	requests.Wait()
	return cut, others
}

// minPartitionedShare is the least share of first tries that partitioned entries serve, of the share that others serve.
const minPartitionedShare = 2.0 / 3

// Guards against entries whose only path to the targets is their own link.
func TestEntriesThatLoseTheirLinksToAllTargetsServeAsOthersDo(t *testing.T) {
	const entries, partitioned, perSecond = 8, 5, 60
	for _, cut := range partitions {
		t.Run(cut.name, func(t *testing.T) {
			t.Parallel()
			is := is.NewRelaxed(t)
			c := startClusterWithLinks(t, entries, newTargetLinks(t, entries))
			for _, zone := range []string{"a", "b", "c"} {
				c.startTarget(t, target.Options{ID: "i-d" + zone, Service: "desk", AvailabilityZone: zone, Slots: 6})
			}
			c.generateRequests("before", 0, perSecond, time.Second)
			for _, links := range c.links[:partitioned] {
				links.sever(&cut)
			}
			c.generateRequests("onset", partitioned, perSecond, stableWindow)
			atCut, atOthers := c.generateRequests("cut", partitioned, perSecond, 2*time.Second)
			for _, kind := range requestKinds {
				t.Logf("%s: %+v at partitioned entries, %+v at others", kind.path, atCut[kind.path], atOthers[kind.path])
				is.True(atCut[kind.path].sent > 0)
				is.True(atOthers[kind.path].share() > minPartitionedShare)
				is.True(atCut[kind.path].share() >= minPartitionedShare*atOthers[kind.path].share())
			}
		})
	}
}
