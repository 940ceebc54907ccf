package entry

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
)

const (
	// defaultIdleTimeout, defaultHeaderTimeout and defaultHeaderBytes hold until a configuration is
	// known.
	defaultIdleTimeout   = 60 * time.Second
	defaultHeaderTimeout = 5 * time.Second
	defaultHeaderBytes   = 64 << 10
	// closingGrace is how much longer than the configured idle time-out a connection stays open:
	// callers use theirs until shortly before it.
	closingGrace = time.Second
	// acceptPause is the pause after a failed accept, such as for want of descriptors.
	acceptPause = 20 * time.Millisecond
)

// front accepts callers. The limits of a configuration hold for connections accepted after it: an
// http.Server takes them when it is made, so that each set of limits gets a server of its own.
type front struct {
	listener net.Listener
	handler  http.Handler
	log      func(event string, fields ...generation.Field)

	mu      sync.Mutex
	limits  directory.Limits
	current *frontServer
	servers []*frontServer
	closed  bool
}

// frontServer serves the connections that the front hands to it.
type frontServer struct {
	http  *http.Server
	conns *handedConns
}

func newFront(address string, handler http.Handler, log func(string, ...generation.Field)) (*front, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	f := &front{listener: listener, handler: handler, log: log}
	f.apply(directory.Limits{})
	return f, nil
}

// apply makes the limits hold for new connections.
func (f *front) apply(limits directory.Limits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || f.current != nil && f.limits == limits {
		return
	}
	f.limits = limits
	server := &frontServer{
		http: &http.Server{
			Handler:           f.handler,
			ReadHeaderTimeout: orDefault(limits.HeaderTimeout, defaultHeaderTimeout),
			IdleTimeout:       orDefault(limits.IdleTimeout, defaultIdleTimeout) + closingGrace,
			MaxHeaderBytes:    max(limits.HeaderBytes, defaultHeaderBytes),
		},
		conns: &handedConns{address: f.listener.Addr(), conns: make(chan net.Conn), done: make(chan struct{})},
	}
	f.current = server
	f.servers = append(f.servers, server)
	go func() { _ = server.http.Serve(server.conns) }() // returns when it is shut down
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}

// run accepts connections until the listener is closed.
func (f *front) run() error {
	for {
		conn, err := f.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			f.log("accept-failed", generation.Field{Key: "error", Value: err})
			time.Sleep(acceptPause)
			continue
		}
		f.mu.Lock()
		server := f.current
		f.mu.Unlock()
		server.conns.hand(conn)
	}
}

// close ends all connections at once.
func (f *front) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	_ = f.listener.Close()
	for _, server := range f.servers {
		_ = server.http.Close()
	}
}

// handedConns is a listener whose connections come from another one.
type handedConns struct {
	address net.Addr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (h *handedConns) hand(conn net.Conn) {
	select {
	case h.conns <- conn:
	case <-h.done:
		_ = conn.Close()
	}
}

// Accept implements net.Listener.
func (h *handedConns) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handedConns) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

// Addr implements net.Listener.
func (h *handedConns) Addr() net.Addr { return h.address }
