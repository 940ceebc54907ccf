package peermembership

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/membership"
)

// silentAddress returns the address of a listener whose queue is full, so that the kernel drops further SYNs.
func silentAddress(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	is.NoErr(err)
	t.Cleanup(func() { syscall.Close(socket) })
	is.NoErr(syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	is.NoErr(syscall.Listen(socket, 0))
	bound, err := syscall.Getsockname(socket)
	is.NoErr(err)
	local := bound.(*syscall.SockaddrInet4)
	address := (&net.TCPAddr{IP: local.Addr[:], Port: local.Port}).String()
	for {
		connection, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { connection.Close() })
	}
}

// Guards against probes of a peer that drops packets which leave a connecting socket each for two minutes, since a
// transport's dial outlasts its request: an entry that starts among many slow ones ran out of descriptors.
func TestDialsEndSoonAfterTheirProbes(t *testing.T) {
	is := is.New(t)
	transport := NewTransport()
	dial := transport.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	ended := make(chan error, 1)
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		ended <- err
		return connection, err
	}
	peer := membership.Peer{Name: "b", Address: silentAddress(t)}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := NewProber(&http.Client{Transport: transport}).Probe(ctx, peer, membership.Message{})
	is.True(errors.Is(err, context.DeadlineExceeded))
	const patience = 20 * membership.DefaultProbeTimeout
	select {
	case err := <-ended:
		is.True(err != nil)
	case <-time.After(patience):
		t.Fatal("the dial goes on after its probe")
	}
}

// Guards against a starting entry that keeps an idle connection to each peer it has probed.
func TestIdleConnectionsDoNotGrowWithThePeers(t *testing.T) {
	is := is.New(t)
	_, handler := NewHandler(&echoMember{})
	client := &http.Client{Transport: NewTransport()}
	defer client.CloseIdleConnections()
	const peers = 5 * maxIdleConnections
	var open, closed atomic.Int64
	for range peers {
		server := httptest.NewUnstartedServer(handler)
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				open.Add(1)
			case http.StateClosed:
				closed.Add(1)
			}
		}
		server.Start()
		defer server.Close()
		peer := membership.Peer{Name: "b", Address: server.Listener.Addr().String()}
		_, err := NewProber(client).Probe(t.Context(), peer, membership.Message{})
		is.NoErr(err)
	}
	is.Equal(open.Load(), int64(peers))
	// The servers notice the ends of connections late, but before the idle timeout closes the others.
	for deadline := time.Now().Add(idleConnectionTimeout / 2); closed.Load() < peers-maxIdleConnections && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(closed.Load(), int64(peers-maxIdleConnections))
}
