package azurebarrow

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/oklog/run"

	"github.com/azurebarrow/azurebarrow/adapters/callerlimit"
)

// idleTimeout is how long an idle connection stays open, of callers as well as to peers.
const idleTimeout = 2 * time.Minute

// Limits of the connections to peers.
const (
	peerDialTimeout     = 300 * time.Millisecond
	peerIdleConnections = 16
)

// newPeerClient returns the HTTP client for calls to peers; each call sets its own timeout.
func newPeerClient() *http.Client {
	dialer := net.Dialer{Timeout: peerDialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: peerIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// boundServer is an HTTP server with its open listener. New opens the listeners, so that it returns an
// error when an address is already in use.
type boundServer struct {
	listener net.Listener
	server   *http.Server
	limiter  *callerlimit.Limiter
}

// servers are the three HTTP servers of an entry.
type servers struct {
	callers boundServer
	peers   boundServer
	admin   boundServer
	// peerMux routes requests to the handlers of the peer protocols.
	peerMux *http.ServeMux
}

// listen opens the listeners of the three servers; if one fails, it closes those opened before.
func (s *servers) listen(n *Entry, callers http.Handler) error {
	s.peerMux = http.NewServeMux()
	limits := n.settings.Limits
	callerLimits := callerlimit.Options{
		MemoryBytes: limits.CallerMemoryBytes, Connections: limits.CallerConnections, DefersForwarding: true, Listener: "callers", Log: n.logEvent,
	}
	for _, endpoint := range []struct {
		bound   *boundServer
		name    string
		address string
		handler http.Handler
		limits  callerlimit.Options
	}{
		{&s.callers, "callerAddress", n.settings.CallerAddress, callers, callerLimits},
		{&s.peers, "peerAddress", n.settings.PeerAddress, s.peerMux, callerlimit.ForPeers(n.logEvent)},
		{&s.admin, "adminAddress", n.settings.AdminAddress, n.adminHandler(), callerlimit.ForOperators("admin", n.logEvent)},
	} {
		listener, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			s.close()
			return merry.Prependf(err, "%s", endpoint.name)
		}
		server := &http.Server{
			Handler:           endpoint.handler,
			ReadHeaderTimeout: limits.HeaderTimeout,
			MaxHeaderBytes:    limits.HeaderBytes,
			IdleTimeout:       idleTimeout,
		}
		limiter := callerlimit.New(endpoint.limits)
		limiter.Configure(server)
		*endpoint.bound = boundServer{listener: limiter.NewListener(listener), server: server, limiter: limiter}
	}
	callerlimit.RegisterMetrics(n.metrics, s.callers.limiter, s.peers.limiter, s.admin.limiter)
	return nil
}

// close closes the listeners opened so far.
func (s *servers) close() {
	for _, bound := range []*boundServer{&s.callers, &s.peers, &s.admin} {
		if bound.listener != nil {
			bound.listener.Close()
		}
	}
}

// peerStopTimeout limits how long an entry that has answered every caller still waits for requests of
// peers and operators: without a limit, their long polls would delay the shutdown.
const peerStopTimeout = 2 * time.Second

func (s *servers) addActors(group *run.Group) {
	s.callers.addActor(group, 0)
	s.peers.addActor(group, peerStopTimeout)
	s.admin.addActor(group, peerStopTimeout)
}

// addActor adds the actor that serves. When it is interrupted it waits for open requests until the
// timeout; 0 means no time limit.
func (b *boundServer) addActor(group *run.Group, timeout time.Duration) {
	stopped := make(chan struct{})
	group.Add(func() error {
		err := b.server.Serve(b.listener)
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		// Shutdown has been called; it returns when the last request has ended.
		<-stopped
		return nil
	}, func(error) {
		b.stop(timeout)
		close(stopped)
	})
}

func (b *boundServer) stop(timeout time.Duration) {
	ctx := context.Background()
	if timeout > 0 {
		bounded, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		ctx = bounded
	}
	if b.server.Shutdown(ctx) != nil {
		b.server.Close()
	}
}
