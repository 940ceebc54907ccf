package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/adapters/callerlimit"
	"github.com/azurebarrow/azurebarrow/platform"
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
