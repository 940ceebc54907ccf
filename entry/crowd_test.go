package entry

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/adapters/callerlimit"
	"github.com/azurebarrow/azurebarrow/platform"
	"github.com/azurebarrow/azurebarrow/settings"
)

// Guards against callers whose unfinished heads at one listener take the memory of the entry, and against a listener that stops
// answering because of callers at another.
func TestCrowdAtOneListenerLeavesTheOthersAlone(t *testing.T) {
	const crowd = 100
	is := is.NewRelaxed(t)
	c := startCluster(t, 1)
	entry := c.entries[0]
	var head strings.Builder
	head.WriteString("GET /v1/ready HTTP/1.1\r\nHost: h\r\n")
	for i := range 2500 {
		fmt.Fprintf(&head, "X%04d: abcdefgh\r\n", i)
	}
	for _, listener := range []struct {
		address string
		server  *boundServer
	}{
		{entry.settings.Passthrough.ReadyAddress, &entry.ready},
		{entry.settings.PeerAddress, &entry.peers},
		{entry.settings.AdminAddress, &entry.admin},
	} {
		for range crowd {
			conn, err := net.Dial("tcp", listener.address)
			is.NoErr(err)
			defer conn.Close()
			go func() { _, _ = io.WriteString(conn, head.String()) }() // it is refused before it has sent all
		}
		refused := func() int64 {
			var sum int64
			for _, kind := range callerlimit.Kinds() {
				sum += listener.server.limiter.RefusalCount(kind)
			}
			return sum
		}
		for range 200 { // until the crowd has arrived
			if refused() > crowd/2 {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.True(refused() > 0)
		is.True(listener.server.limiter.HeldBytes() < 24<<20)
		is.Equal(entry.callerLimits.HeldBytes()>>20, int64(0))
		for _, url := range []string{
			"http://" + entry.settings.Passthrough.ReadyAddress + platform.ReadyPath, "http://" + entry.settings.AdminAddress + "/livez",
		} {
			response, err := http.Get(url)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			is.NoErr(response.Body.Close())
		}
	}
	response, _, err := c.request(0, "POST", "/book/x", "c1", "k1", "312 kg")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
}

// Guards against requests that run although they were refused with 503 for lack of memory, which promises that they never do: a request is
// refused while its body arrives, or as it is about to be forwarded.
func TestRequestsRefusedForMemoryHaveNotRun(t *testing.T) {
	const (
		callers = 240 // of which the memory is enough for about half
		size    = 120 << 10
	)
	is := is.NewRelaxed(t)
	c := startCluster(t, 1)
	desks := c.startDesks(t, 64, 0)
	goOn := make(chan struct{})
	statuses := map[string]int{}
	var mu sync.Mutex
	var arriving, calls sync.WaitGroup
	arriving.Add(callers)
	for i := range callers {
		calls.Go(func() {
			id := fmt.Sprint("r", i)
			conn, err := net.Dial("tcp", c.entries[0].settings.CallerAddress)
			is.NoErr(err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST /search/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 9000\r\nAuthorization: Bearer k1\r\nContent-Length: %d\r\n\r\n", id, size)
			is.NoErr(err)
			_, _ = conn.Write(bytes.Repeat([]byte("x"), size-1)) // the request may have been refused
			arriving.Done()
			<-goOn
			_, _ = conn.Write([]byte("x"))
			status := 0 // the kernel may discard a refusal when more bytes arrive
			if response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: "POST"}); err == nil {
				status = response.StatusCode
				_ = response.Body.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[id] = status
		})
	}
	arriving.Wait()
	time.Sleep(300 * time.Millisecond) // from then on the first ones may be evicted
	response, _, err := c.request(0, "POST", "/search/x", "ordinary", "k1", strings.Repeat("x", 4<<10))
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	response, _, err = c.request(0, "POST", "/search/x", "large", "k1", strings.Repeat("x", size))
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK) // others were evicted for it
	close(goOn)
	calls.Wait()
	counts := map[int]int{}
	for id, status := range statuses {
		counts[status]++
		for _, desk := range desks {
			if _, ran := desk.runs(t)[id]; ran && status == http.StatusServiceUnavailable {
				t.Error(id, " was refused and has run")
			}
		}
	}
	t.Log(counts)
	is.True(counts[http.StatusOK] > 0)
	is.True(c.entries[0].callerLimits.RefusalCount(callerlimit.KindEvicted) > 0)
}

// Guards against requests that run although they were refused with 503 while their body arrived: calls in progress, which are never evicted,
// hold all of the memory.
func TestRequestsRefusedBesideForwardedCallsHaveNotRun(t *testing.T) {
	const (
		most   = 64 // of which the memory is enough for a few
		wanted = 5
		size   = 120 << 10
	)
	is := is.NewRelaxed(t)
	c := startPreparedCluster(t, 1, &testCluster{callerMemory: 2 * settings.MinCallerMemoryBytes})
	desks := c.startDesks(t, most, time.Minute)
	isRunning := func(id string) bool {
		for _, desk := range desks {
			if _, running := desk.runs(t)[id]; running {
				return true
			}
		}
		return false
	}
	ended := make(chan struct{}, most)
	send := func(id string) {
		conn, err := net.Dial("tcp", c.entries[0].settings.CallerAddress)
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		go func() {
			_, _ = fmt.Fprintf(conn, "POST /search/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 9000\r\nAuthorization: Bearer k1\r\nContent-Length: %d\r\n\r\n%s",
				id, size, strings.Repeat("x", size)) // it may be refused before it has sent all
			_, _ = io.Copy(io.Discard, conn) // calls in progress end with the test
			ended <- struct{}{}
		}()
	}
	refused := map[string]bool{}
	for i := 0; i < most && len(refused) < wanted; i++ {
		id := fmt.Sprint("r", i)
		for send(id); !isRunning(id) && !refused[id]; {
			select {
			case <-ended:
				refused[id] = true
			case <-time.After(time.Millisecond):
			}
		}
	}
	is.Equal(len(refused), wanted)
	is.True(c.entries[0].callerLimits.RefusalCount(callerlimit.KindBody) >= int64(wanted))
	for id := range refused {
		if isRunning(id) {
			t.Error(id, " was refused and has run")
		}
	}
}
