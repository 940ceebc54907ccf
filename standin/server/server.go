// Package server serves the HTTP handler of a stand-in on a TCP address, and simulates its crash and
// restart on the same address.
package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Server serves one handler. It can be killed and restarted on the same address.
type Server struct {
	handler http.Handler
	// repeatRefusals is set by RepeatRefusals.
	repeatRefusals bool

	mu           sync.Mutex
	address      string
	server       *http.Server
	done         chan struct{}
	restartTimer *time.Timer
	closed       bool
}

// New returns a Server for an address, whose port may be 0. Start starts it.
func New(address string, handler http.Handler) *Server {
	return &Server{address: address, handler: handler}
}

// Address returns the address; after the first Start, with the port that was assigned.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.Address() }

// Start listens and serves; it does nothing if the server runs or was closed.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil || s.closed {
		return nil
	}
	listener, err := listen(s.address)
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	s.serve(listener)
	return nil
}

// A child process that is being started keeps the listeners of this process open for a moment after
// they are closed, so listening is retried while the address is in use.
const (
	maxListenAttempts   = 100
	listenRetryInterval = 10 * time.Millisecond
)

func listen(address string) (net.Listener, error) {
	for attempt := 1; ; attempt++ {
		listener, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || attempt == maxListenAttempts {
			return listener, err
		}
		time.Sleep(listenRetryInterval)
	}
}

func (s *Server) serve(listener net.Listener) {
	server := &http.Server{Handler: s.handler}
	if s.repeatRefusals {
		listener = &repeatingListener{Listener: listener}
	}
	done := make(chan struct{})
	s.server = server
	s.done = done
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
}

// Kill closes the listener and every connection. If after is positive, the server starts again after
// that time.
func (s *Server) Kill(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop()
	if after > 0 && !s.closed {
		s.restartTimer = time.AfterFunc(after, func() { _ = s.Start() })
	}
}

func (s *Server) stop() {
	if s.restartTimer != nil {
		s.restartTimer.Stop()
		s.restartTimer = nil
	}
	if s.server == nil {
		return
	}
	_ = s.server.Close()
	s.server = nil
}

// Running reports whether the server is listening.
func (s *Server) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server != nil
}

// Close stops the server permanently.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.stop()
	done := s.done
	s.mu.Unlock()
	if done != nil {
		<-done
	}
}

// Run starts the server and closes it when ctx ends.
func (s *Server) Run(ctx context.Context) error {
	if err := s.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	s.Close()
	return nil
}
