package peerexchange

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/adapters/targethttp"
	"github.com/azurebarrow/azurebarrow/detour"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/standin/linkfault"
)

// newLinkedServer starts a server and sends its connections that become idle to a channel.
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

// Guards against a request held up on a peer's link that counts as evidence against its target, or as not run.
func TestPeerTellsThatARequestWasHeldUp(t *testing.T) {
	is := is.New(t)
	pool := targethttp.NewPool(targethttp.Options{})
	target, conns := newLinkedServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(idHeader, r.Header.Get(idHeader))
	}))
	peer, _ := newLinkedServer(t, newPeerHandlerWith(soundLinks{}, pool))
	client, destination := newClient(), detour.Target{ID: "t1", Address: target}
	answer, err := client.Do(t.Context(), membership.Peer{Name: "peer", Address: peer}, destination, time.Second, request("POST"))
	is.NoErr(err)
	answer.Close()
	is.NoErr(linkfault.Drop(<-conns))
	time.Sleep(20 * time.Millisecond) // the connections are idle at their other ends
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() {
		const interval = 50 * time.Millisecond
		for ctx.Err() == nil {
			pool.GiveUpHeldUp(func(string) bool { return false }, time.Now())
			time.Sleep(interval)
		}
	}()
	_, err = client.Do(t.Context(), membership.Peer{Name: "peer", Address: peer}, destination, 5*time.Second, request("POST"))
	var notSent *NotSentError
	is.True(errors.Is(err, targethttp.ErrHeldUp))
	is.True(!errors.As(err, &notSent))
	is.True(!targethttp.IsConnectionLost(err))
}
