package callerlimit

import (
	"context"
	"net"
	"net/http"
)

// Listener is a net.Listener whose connections are under the limits of a Limiter.
type Listener struct {
	net.Listener
	limiter *Limiter
}

// NewListener returns a listener for a server that Configure has prepared.
func (l *Limiter) NewListener(listener net.Listener) *Listener {
	return &Listener{Listener: listener, limiter: l}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if limited := l.limiter.accept(conn); limited != nil {
			return limited, nil
		}
	}
}

type connKey struct{}

// FromContext returns the connection of a request, nil if its server has no Limiter.
func FromContext(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}

// Configure makes the server report its connections' states to the Limiter and wraps its handler. The server must serve a Listener of
// the Limiter.
func (l *Limiter) Configure(server *http.Server) {
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		limited, ok := conn.(*Conn)
		if !ok {
			return
		}
		switch state {
		case http.StateActive:
			limited.beginRequest()
		case http.StateIdle:
			limited.endRequest()
		case http.StateHijacked:
			limited.setUsed(0)
		case http.StateClosed:
			l.remove(limited)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		limited, _ := conn.(*Conn)
		return context.WithValue(ctx, connKey{}, limited)
	}
	server.Handler = l.handler(server.Handler)
}

// handler returns a handler that refuses requests of evicted connections.
func (l *Limiter) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := FromContext(r.Context())
		if conn.IsEvicted() || !l.options.DefersForwarding && conn != nil && !conn.moveTo(phaseForwarded, phaseRequest) {
			conn.RecordRefusal()
			w.Header().Set("Retry-After", "1")
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if conn != nil {
			// net/http keeps a connection that it closes for another half second, in which the body is not used.
			defer func() { conn.setUsed(conn.head.Load()) }()
		}
		next.ServeHTTP(w, r)
	})
}
