package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/callerlimit"
	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
)

const (
	// defaultIdleTimeout, defaultHeaderTimeout and defaultHeaderBytes are the callers' limits until a
	// configuration is known.
	defaultIdleTimeout   = 60 * time.Second
	defaultHeaderTimeout = 5 * time.Second
	defaultHeaderBytes   = 64 << 10
	// idleTimeoutMargin is added to the configured idle timeout before a connection is closed: callers
	// use their connections until shortly before that timeout.
	idleTimeoutMargin = time.Second
	// acceptRetryDelay is the delay after a failed accept, for example when no file descriptor is free.
	acceptRetryDelay = 20 * time.Millisecond
	// closeTimeout is the time for requests that were accepted as the stop ended. A call takes milliseconds, and the time between
	// abortShare and the end of a grace of 2 s or more is longer.
	closeTimeout = 100 * time.Millisecond
)

// callerListener accepts callers' connections and serves them under the configured limits. New limits
// apply to connections accepted after the change: an http.Server can't change its limits while it
// serves, so each set of limits gets its own server.
type callerListener struct {
	listener net.Listener
	handler  http.Handler
	limiter  *callerlimit.Limiter
	log      func(event string, fields ...generation.Field)

	mu      sync.Mutex
	limits  directory.Limits
	current *limitedServer
	servers []*limitedServer
	closed  bool
}

// limitedServer is an HTTP server with one set of limits, for the connections that callerListener
// passes to it.
type limitedServer struct {
	http  *http.Server
	conns *channelListener
}

func newCallerListener(address string, handler http.Handler, limiter *callerlimit.Limiter, log func(string, ...generation.Field)) (*callerListener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &callerListener{listener: limiter.NewListener(listener), handler: handler, limiter: limiter, log: log}
	l.apply(directory.Limits{})
	return l, nil
}

// apply makes new connections use the limits.
func (l *callerListener) apply(limits directory.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.current != nil && l.limits == limits {
		return
	}
	l.limits = limits
	server := &limitedServer{
		http: &http.Server{
			Handler:           l.handler,
			ReadHeaderTimeout: orDefault(limits.HeaderTimeout, defaultHeaderTimeout),
			IdleTimeout:       orDefault(limits.IdleTimeout, defaultIdleTimeout) + idleTimeoutMargin,
			MaxHeaderBytes:    max(limits.HeaderBytes, defaultHeaderBytes),
		},
		conns: &channelListener{address: l.listener.Addr(), conns: make(chan net.Conn), done: make(chan struct{})},
	}
	l.limiter.Configure(server.http)
	l.current = server
	l.servers = append(l.servers, server)
	go func() { _ = server.http.Serve(server.conns) }() // returns when the server is closed
}

// orDefault returns the value, or the fallback if the value is not positive.
func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}

// run accepts connections until the listener is closed.
func (l *callerListener) run() error {
	for {
		conn, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			l.log("accept-failed", generation.Field{Key: "error", Value: err})
			time.Sleep(acceptRetryDelay)
			continue
		}
		l.mu.Lock()
		server := l.current
		l.mu.Unlock()
		server.conns.deliver(conn)
	}
}

// close closes the listener and all connections: those with a request in progress once it has ended, or after closeTimeout.
func (l *callerListener) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var servers sync.WaitGroup
	for _, server := range l.servers {
		servers.Go(func() {
			if server.http.Shutdown(ctx) != nil {
				_ = server.http.Close()
			}
		})
	}
	servers.Wait()
}

// channelListener is a net.Listener for connections that another listener has accepted.
type channelListener struct {
	address net.Addr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (l *channelListener) deliver(conn net.Conn) {
	select {
	case l.conns <- conn:
	case <-l.done:
		_ = conn.Close()
	}
}

// Accept implements net.Listener.
func (l *channelListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *channelListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *channelListener) Addr() net.Addr { return l.address }
