package passthrough

import (
	"bufio"
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
)

// Guards against evicted requests that keep their memory and their connection while they wait for the room that large bodies in progress
// take: all other requests with a body were refused meanwhile, and the limit of connections did not hold.
func TestEvictedRequestsDoNotWaitForRoom(t *testing.T) {
	const (
		largeBytes  = 4 << 20
		connections = 40
		crowd       = 60
	)
	is := is.New(t)
	limiter := callerlimit.New(callerlimit.Options{MemoryBytes: 36 << 20, Connections: connections, DefersForwarding: true})
	memory := newBodyMemory(2 * largeBytes)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	served := make(chan struct{})
	var inProgress sync.WaitGroup
	inProgress.Add(2)
	server := &http.Server{MaxHeaderBytes: 64 << 10, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := callerlimit.FromContext(r.Context())
		_, release, err := memory.read(r.Context(), r.Body, r.ContentLength, largeBytes, time.Minute)
		if release != nil {
			defer release()
		}
		if err != nil || conn.IsEvicted() || !conn.BeginForwarding(callerlimit.CallBytes) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.ContentLength == largeBytes {
			inProgress.Done()
			<-served
		}
	})}
	limiter.Configure(server)
	go func() { _ = server.Serve(limiter.NewListener(listener)) }()
	defer server.Close()
	defer close(served)
	send := func(address, head string, body string) net.Conn {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)}}
		conn, err := dialer.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\n%s\r\n%s", head, body)
		is.NoErr(err)
		return conn
	}
	for range 2 {
		send("127.0.0.1", fmt.Sprintf("Content-Length: %d\r\n", largeBytes), strings.Repeat("x", largeBytes))
	}
	inProgress.Wait()
	for range crowd {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.0.0.2")}}
		conn, err := dialer.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		// The entry may close the connection before it has read everything.
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a: b\r\n", 2500)+fmt.Sprintf("Content-Length: %d\r\n\r\n", largeBytes))
		time.Sleep(20 * time.Millisecond) // so that each is read, and those before are no longer new
	}
	const ordinaryBytes = 40 << 10
	ordinary := send("127.0.0.3", fmt.Sprintf("Content-Length: %d\r\n", ordinaryBytes), strings.Repeat("x", ordinaryBytes))
	response, err := http.ReadResponse(bufio.NewReader(ordinary), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.True(limiter.ConnectionCount() <= connections+connections/4)
}
