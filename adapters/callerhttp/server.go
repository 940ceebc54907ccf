// Package callerhttp is the HTTP server through which callers send completion requests and service
// calls.
package callerhttp

import (
	"context"
	"net/http"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/generation"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-ID"
	headerGeneration     = "Azurebarrow-Generation"
)

// Configuration is the port to the current configuration.
type Configuration interface {
	Snapshot() *config.Snapshot
}

// Generations is the port to the generation manager.
type Generations interface {
	Open(ctx context.Context, request generation.Request, after *generation.EventID) (*generation.Reader, error)
}

// Objectives is the port to the recorder of service-level objectives.
type Objectives interface {
	// Answered records whether a request got a complete answer.
	RecordAnswer(deployment string, complete bool)
	// Latency records a duration for an objective of the given kind.
	RecordLatency(deployment string, kind v1.ObjectiveKind, took time.Duration)
}

// Options configures a Server.
type Options struct {
	Configuration Configuration
	Generations   Generations
	Objectives    Objectives
	// Admission decides which completion requests are accepted; nil accepts all.
	Admission Admission
	// Services handles /v1/services/; if nil, these calls get status 404.
	Services http.Handler
	// BodyBytes limits the size of a request body, BodyTimeout the time to read it.
	MaxBodyBytes int64
	BodyTimeout  time.Duration
	// Ready reports whether a configuration is loaded; until then all requests are rejected.
	Ready func() bool
	// Draining reports whether the entry is draining: answers then ask the caller to close the
	// connection.
	Draining func() bool
	// Log is called for each generation that fails before any of its answer was sent.
	Log func(event string, fields ...generation.Field)
}

// Server is the HTTP handler for callers.
type Server struct {
	options Options
	mux     *http.ServeMux
}

// NewServer returns a Server.
func NewServer(options Options) *Server {
	server := &Server{options: options, mux: http.NewServeMux()}
	server.mux.HandleFunc("POST /v1/completions", server.completions)
	server.mux.HandleFunc("POST /v1/chat/completions", server.chatCompletions)
	if options.Services != nil {
		server.mux.Handle("/v1/services/", options.Services)
	}
	return server
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.options.Draining() {
		w.Header().Set("Connection", "close")
	}
	if !s.options.Ready() {
		WriteError(w, notReady().withKeyOf(r))
		return
	}
	s.mux.ServeHTTP(w, r)
}
