package peerexchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/detour"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/standin/linkfault"
)

// newLinkedServer starts a server and tells of the connections that become idle.
func newLinkedServer(t *testing.T, handler http.Handler) (address string, idle <-chan net.Conn) {
	t.Helper()
	conns := make(chan net.Conn, 16)
	server := httptest.NewUnstartedServer(handler)
	server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			conns <- conn
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), conns
}

// Guards against requests that reach a target after they were given up, held up on the link to the peer or from it.
func TestRequestGivenUpThroughAPeerNeverReachesItsTarget(t *testing.T) {
	const giveUpAfter, returnsAfter, retransmissionTime = 100 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second
	for _, cutAtPeer := range []bool{true, false} {
		name := map[bool]string{true: "link to the peer", false: "link of the peer"}[cutAtPeer]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			requests := make(chan string, 16)
			target, targetConns := newLinkedServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				requests <- r.Header.Get(idHeader)
				w.Header().Set(idHeader, r.Header.Get(idHeader))
			}))
			peer, peerConns := newLinkedServer(t, newPeerHandler(soundLinks{}))
			client, destination := newClient(), detour.Target{ID: "t1", Address: target}
			exchange := func(ctx context.Context, id string) error {
				outgoing := request("POST")
				outgoing.ID = id
				outgoing.Header = http.Header{idHeader: {id}}
				answer, err := client.Do(ctx, membership.Peer{Name: "peer", Address: peer}, destination, time.Second, outgoing)
				if err == nil {
					answer.Close()
				}
				return err
			}
			is.NoErr(exchange(t.Context(), "first"))
			is.Equal(<-requests, "first")
			conns := map[bool]net.Conn{false: <-targetConns, true: <-peerConns}
			conn := conns[cutAtPeer]
			is.NoErr(linkfault.Drop(conn))
			time.Sleep(20 * time.Millisecond) // the connections are idle at their other ends
			ctx, cancel := context.WithTimeout(t.Context(), giveUpAfter)
			defer cancel()
			is.True(exchange(ctx, "second") != nil)
			time.Sleep(returnsAfter)
			is.NoErr(linkfault.Restore(conn))
			select {
			case id := <-requests:
				t.Fatalf("%s reached the target after it was given up", id)
			case <-time.After(retransmissionTime):
			}
		})
	}
}
