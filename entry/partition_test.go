package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
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
	// dialTime is how long it takes to open a connection.
	dialTime time.Duration
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
	cut, forwarder, dialTime := l.cut, l.forwarders[address], l.dialTime
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
	time.Sleep(dialTime)
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
			c.startDesks(t, 6, 0)
			c.generateRequests("before", 0, perSecond, time.Second)
			c.severAll(partitioned, &cut)
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

// severAll cuts the links of the first entries.
func (c *testCluster) severAll(entries int, cut *partition) {
	for _, links := range c.links[:entries] {
		links.sever(cut)
	}
}

// eventCount returns how often the entries logged an event.
func (c *testCluster) eventCount(event string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, lines := range c.logs {
		for _, line := range strings.Split(lines, "\n") {
			if strings.HasPrefix(line, event+" ") {
				count++
			}
		}
	}
	return count
}

// playPopularCalls has five of eight entries lose their links again and again, while all entries send the same sound call
// and the same sound stream.
func playPopularCalls(t *testing.T, cut *partition) *testCluster {
	const entries, partitioned, rounds = 8, 5, 4
	c := startClusterWithLinks(t, entries, newTargetLinks(t, entries))
	c.startDesks(t, 60, 200*time.Millisecond)
	var calls sync.WaitGroup
	for round := range rounds {
		for entry := range entries {
			for _, path := range []string{"/find/popular", "/drafts/popular"} {
				calls.Go(func() {
					_, _, _ = c.request(entry, "POST", path, fmt.Sprintf("p-%d-%d-%s", round, entry, path), "k1", "") // many are lost
				})
			}
		}
		time.Sleep(100 * time.Millisecond) // the calls are at the targets
		c.severAll(partitioned, cut)
		time.Sleep(500 * time.Millisecond)
		for _, links := range c.links {
			links.restore()
		}
		time.Sleep(time.Second)
	}
	calls.Wait()
	return c
}

// Guards against crashes that entries record because their own links broke: peers would refuse sound requests.
func TestPartitionedEntriesAccuseNoSoundRequest(t *testing.T) {
	for _, cut := range partitions[1:3] {
		t.Run(cut.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := playPopularCalls(t, &cut)
			t.Logf("%d connections that ended were excused", c.eventCount("crash-excused"))
			is.True(c.eventCount("crash-excused") > 0)
			is.Equal(c.eventCount("crash-recorded"), 0)
			is.Equal(c.eventCount("request-refused"), 0)
			response, _, err := c.request(len(c.entries)-1, "POST", "/find/popular", "last", "k1", "")
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
		})
	}
}

// Guards against requests that run twice, or after an answer that says they have not run, while links are cut, and
// against targets that get more time than the caller has left.
func TestRequestsInFlightAsLinksAreCutKeepTheirPromises(t *testing.T) {
	const entries, partitioned, perSecond = 8, 5, 150
	for _, cut := range partitions {
		t.Run(cut.name, func(t *testing.T) {
			t.Parallel()
			is := is.NewRelaxed(t)
			c := startClusterWithLinks(t, entries, newTargetLinks(t, entries))
			desks := c.startDesks(t, 60, 30*time.Millisecond)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				for range 3 {
					time.Sleep(400 * time.Millisecond)
					c.severAll(partitioned, &cut)
					time.Sleep(400 * time.Millisecond)
					for _, links := range c.links {
						links.restore()
					}
				}
			}()
			var mu sync.Mutex
			statuses := map[string]int{}
			var calls sync.WaitGroup
			for number := 0; ; number++ {
				select {
				case <-ended:
				default:
					calls.Go(func() {
						id := fmt.Sprintf("b%d", number)
						response, _, err := c.request(number%entries, "POST", "/hold/"+id, id, "k1", "")
						mu.Lock()
						defer mu.Unlock()
						if err == nil {
							statuses[id] = response.StatusCode
						}
					})
					time.Sleep(time.Second / perSecond)
					continue
				}
				break
			}
			calls.Wait()
			var records []target.Record
			for _, desk := range desks {
				log, err := target.ReadLog(desk.log)
				is.NoErr(err)
				records = append(records, log...)
			}
			runs := map[string]int{}
			for _, record := range records {
				if record.What != target.Began {
					continue
				}
				runs[record.Request]++
				is.True(record.Left <= 800*time.Millisecond) // the route's timeout
				is.Equal(record.Customer, "ranch")
				is.True(!record.KeyLeaked)
			}
			counts := map[int]int{}
			for id, status := range statuses {
				counts[status]++
				is.True(runs[id] <= 1)
				is.True(status != http.StatusServiceUnavailable || runs[id] == 0)
				is.True(status != http.StatusOK || runs[id] == 1)
			}
			t.Logf("answers by status %v, %d runs", counts, len(runs))
			is.True(len(statuses) > 100)
		})
	}
}

// Guards against streams that wait for the links of their entry although peers reach the engines.
func TestStreamsGoOnThroughPeersWhenLinksAreCut(t *testing.T) {
	const maxPause = 700 * time.Millisecond // the route's objective
	for _, cut := range partitions {
		t.Run(cut.name, func(t *testing.T) {
			t.Parallel()
			is := is.NewRelaxed(t)
			c := startClusterWithLinks(t, 3, newTargetLinks(t, 3))
			c.slowEngines(t, 40, 50*time.Millisecond)
			var streams sync.WaitGroup
			for number := range 6 {
				streams.Go(func() {
					path := fmt.Sprintf("/long/%d", number)
					text, longest := c.readStream(path, fmt.Sprintf("l%d", number))
					t.Logf("%s: longest pause %v, %d bytes, begins with %.20q", path, longest, len(text), text)
					is.True(text == eventsOf(path, 40))
					is.True(longest <= maxPause)
				})
			}
			time.Sleep(600 * time.Millisecond)
			c.severAll(1, &cut)
			streams.Wait()
		})
	}
}

// slowEngines starts three engines of the service "long" whose streams last.
func (c *testCluster) slowEngines(t *testing.T, events int, interval time.Duration) {
	t.Helper()
	for i, zone := range []string{"a", "b", "c"} {
		c.startTarget(t, target.Options{
			ID: fmt.Sprintf("i-long%d", i), Service: "long", AvailabilityZone: zone, Slots: 64, Events: events, EventInterval: interval,
		})
	}
	c.awaitTargets(t, "long", 3)
}

// startDesks starts three targets of plain calls and waits until all entries know them.
func (c *testCluster) startDesks(t *testing.T, slots int, work time.Duration) []*standinTarget {
	t.Helper()
	var desks []*standinTarget
	for _, zone := range []string{"a", "b", "c"} {
		desks = append(desks, c.startTarget(t, target.Options{ID: "i-d" + zone, Service: "desk", AvailabilityZone: zone, Slots: slots, WorkTime: work}))
	}
	c.awaitTargets(t, "desk", len(desks))
	return desks
}

// awaitTargets waits until all entries know a service's targets.
func (c *testCluster) awaitTargets(t *testing.T, service string, count int) {
	t.Helper()
	for _, entry := range c.entries {
		for deadline := time.Now().Add(3 * time.Second); len(entry.directory.Snapshot().AvailableTargets(service)) < count; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s doesn't know the targets of %s", entry.settings.Name, service)
			}
		}
	}
}

func eventsOf(path string, count int) string {
	var text strings.Builder
	for id := 1; id <= count; id++ {
		text.WriteString(target.Event(path, id))
	}
	return text.String()
}

// readStream reads a stream from the first entry and returns its text and the longest pause within it.
func (c *testCluster) readStream(path, id string) (text string, longest time.Duration) {
	request, err := http.NewRequest("POST", "http://"+c.entries[0].settings.CallerAddress+path, strings.NewReader("prompt"))
	if err != nil {
		return err.Error(), 0
	}
	request.Host = "h.example"
	for name, value := range map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "9000", "X-Token-Usage": "100,200", "Authorization": "Bearer k1"} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error(), 0
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return response.Status, 0
	}
	var read strings.Builder
	buffer := make([]byte, 4096)
	for last := time.Now(); ; {
		n, err := response.Body.Read(buffer)
		longest = max(longest, time.Since(last))
		last = time.Now()
		read.Write(buffer[:n])
		if err != nil {
			return read.String(), longest
		}
	}
}
