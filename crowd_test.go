package azurebarrow

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/adapters/callerlimit"
)

// Guards against listeners of the native interface without limits: callers whose heads stay unfinished would take the memory of the entry.
func TestListenersLimitWhatCallersHold(t *testing.T) {
	const crowd = 100
	is := is.NewRelaxed(t)
	configured := testSettings(t)
	configured.Limits.CallerMemoryBytes = 8 << 20
	entry, err := New(configured, Options{})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- entry.Run(ctx) }()
	var head strings.Builder
	head.WriteString("GET /livez HTTP/1.1\r\nHost: h\r\n")
	for i := range 2500 {
		fmt.Fprintf(&head, "X%04d: abcdefgh\r\n", i)
	}
	var conns []net.Conn
	for address, limiter := range map[string]*callerlimit.Limiter{
		configured.CallerAddress: entry.servers.callers.limiter,
		configured.PeerAddress:   entry.servers.peers.limiter,
		configured.AdminAddress:  entry.servers.admin.limiter,
	} {
		for range crowd {
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			conns = append(conns, conn)
			go func() { _, _ = io.WriteString(conn, head.String()) }() // it is refused before it has sent all
		}
		refused := func() int64 {
			return limiter.RefusalCount(callerlimit.KindHead) + limiter.RefusalCount(callerlimit.KindEvicted)
		}
		for range 200 { // until the crowd has arrived
			if refused() > crowd/2 {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.True(refused() > 0)
		is.True(limiter.HeldBytes() < 24<<20)
	}
	response, err := http.Get("http://" + configured.AdminAddress + "/livez")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.NoErr(response.Body.Close())
	for _, conn := range conns {
		_ = conn.Close()
	}
	cancel()
	is.NoErr(<-ended)
}
