// Package service simulates a plain HTTP service, a target that is no model engine, for tests. It
// counts the executions of each request key, and injects faults before or after an execution.
package service

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/standin/fault"
	"github.com/azurebarrow/azurebarrow/standin/server"
)

// RequestKeyHeader is the HTTP header with the request key.
const RequestKeyHeader = "Azurebarrow-Request-Key"

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 16 << 20

// Options configures a Service.
type Options struct {
	Name string
	// Latency is the time from the execution of a call to its response.
	Latency time.Duration
	// Deduplicate makes the service execute a key once and answer further calls without executing them.
	Deduplicate bool
	// OnDie is called when the service dies. It closes the listener, and opens it again after
	// returnAfter unless that is 0. May be nil.
	OnDie func(returnAfter time.Duration)
}

// Execution is the record of one execution of a call.
type Execution struct {
	Key    string    `json:"key"`
	Method string    `json:"method"`
	Path   string    `json:"path"`
	Body   string    `json:"body"`
	At     time.Time `json:"at"`
}

// KeyCount is how often the calls of one key were executed.
type KeyCount struct {
	Key   string `json:"key"`
	Count int    `json:"count"`
}

// Stats holds the counters of the service.
type Stats struct {
	Name       string `json:"name"`
	Calls      int64  `json:"calls"`
	Executions int64  `json:"executions"`
	// Deduplicated counts calls that were answered from an earlier execution.
	Deduplicated int64 `json:"deduplicated"`
	// ExecutedTwice lists the keys that were executed more than once.
	ExecutedTwice []KeyCount `json:"executedTwice"`
	// Keys lists all keys, if the request has ?keys=1.
	Keys []KeyCount `json:"keys,omitempty"`
	// AcceptedWhileDraining counts calls accepted while draining, that is after a Drain fault.
	// LastAcceptedWhileDrainingMs is the time from that fault to the last of them.
	AcceptedWhileDraining       int64 `json:"acceptedWhileLeaving"`
	LastAcceptedWhileDrainingMs int64 `json:"lastAcceptedLeavingMs"`
}

// Service simulates a service; it is an http.Handler.
type Service struct {
	options Options
	faults  *fault.Set
	mux     *http.ServeMux

	mu                      sync.Mutex
	calls                   int64
	deduplicated            int64
	executions              []Execution
	counts                  map[string]int
	drainingSince           time.Time
	callsWhileDraining      int64
	lastCallWhileDrainingMs int64
}

// New returns a service without executions.
func New(options Options) *Service {
	s := &Service{options: options, faults: fault.NewSet(), counts: map[string]int{}}
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("/faults", func(w http.ResponseWriter, r *http.Request) { s.faults.ServeHTTP(w, r, s.Apply) })
	s.mux.HandleFunc("GET /stats", s.serveStats)
	s.mux.HandleFunc("GET /healthz", s.serveHealth)
	s.mux.HandleFunc("/", s.serveCall)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	server.NameCall(w, r)
	s.mux.ServeHTTP(w, r)
}

// Faults returns the fault switches, for use without HTTP; see Apply.
func (s *Service) Faults() *fault.Set { return s.faults }

// Apply triggers a fault, as POST /faults does.
func (s *Service) Apply(f fault.Fault) {
	switch f.Kind {
	case fault.Die:
		s.die(f)
	case fault.Drain:
		s.mu.Lock()
		s.drainingSince = time.Now()
		s.mu.Unlock()
	default:
		s.faults.Add(f)
	}
}

func (s *Service) die(f fault.Fault) {
	if s.options.OnDie != nil {
		s.options.OnDie(time.Duration(f.Duration))
	}
}

func (s *Service) serveHealth(w http.ResponseWriter, r *http.Request) {
	if s.faults.WaitWhile(r.Context(), fault.Pause) == nil {
		w.WriteHeader(http.StatusOK)
	}
}

func (s *Service) serveStats(w http.ResponseWriter, r *http.Request) {
	stats := s.Stats()
	if r.URL.Query().Get("keys") != "" {
		stats.Keys = s.Keys()
	}
	fault.WriteJSON(w, http.StatusOK, stats)
}

// Answer is the body of every successful call.
type Answer struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Path    string `json:"path"`
	// Execution is the number of executions of the key so far; 1 after the first.
	Execution int    `json:"execution"`
	Body      string `json:"body"`
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	path := r.URL.Path
	if s.failBefore(w, path) {
		return
	}
	if s.faults.WaitWhile(r.Context(), fault.Pause) != nil {
		return
	}
	answer := s.execute(r, string(body))
	if s.failAfter(w, path) {
		return
	}
	if wait.For(r.Context(), s.options.Latency) != nil || s.faults.WaitSlow(r.Context(), path) != nil {
		return
	}
	fault.WriteJSON(w, http.StatusOK, answer)
}

// failBefore injects a fault before the call is executed. It reports whether the connection was reset.
func (s *Service) failBefore(w http.ResponseWriter, path string) bool {
	if died, on := s.faults.Consume(fault.DieBefore, path); on {
		s.die(died)
		panic(http.ErrAbortHandler)
	}
	_, reset := s.faults.Consume(fault.ResetBefore, path)
	if reset {
		fault.ResetConnection(w)
	}
	return reset
}

// failAfter injects a fault after the call was executed. It reports whether the connection was reset.
func (s *Service) failAfter(w http.ResponseWriter, path string) bool {
	if died, on := s.faults.Consume(fault.DieAfter, path); on {
		s.die(died)
		panic(http.ErrAbortHandler)
	}
	_, reset := s.faults.Consume(fault.ResetAfter, path)
	if reset {
		fault.ResetConnection(w)
	}
	return reset
}

func (s *Service) execute(r *http.Request, body string) Answer {
	key := r.Header.Get(RequestKeyHeader)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if !s.drainingSince.IsZero() {
		s.callsWhileDraining++
		s.lastCallWhileDrainingMs = time.Since(s.drainingSince).Milliseconds()
	}
	if s.options.Deduplicate && key != "" && s.counts[key] > 0 {
		s.deduplicated++
	} else {
		s.counts[key]++
		s.executions = append(s.executions, Execution{Key: key, Method: r.Method, Path: r.URL.Path, Body: body, At: time.Now()})
	}
	return Answer{Service: s.options.Name, Key: key, Path: r.URL.Path, Execution: s.counts[key], Body: body}
}

// Stats returns the counters; ExecutedTwice leaves out calls without a key, and Keys is empty.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{
		Name:                        s.options.Name,
		Calls:                       s.calls,
		Executions:                  int64(len(s.executions)),
		Deduplicated:                s.deduplicated,
		ExecutedTwice:               []KeyCount{},
		AcceptedWhileDraining:       s.callsWhileDraining,
		LastAcceptedWhileDrainingMs: s.lastCallWhileDrainingMs,
	}
	for key, count := range s.counts {
		if key != "" && count > 1 {
			stats.ExecutedTwice = append(stats.ExecutedTwice, KeyCount{key, count})
		}
	}
	slices.SortFunc(stats.ExecutedTwice, compareKeys)
	return stats
}

func compareKeys(a, b KeyCount) int { return strings.Compare(a.Key, b.Key) }

// Keys returns the number of executions of each key, sorted by key.
func (s *Service) Keys() []KeyCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]KeyCount, 0, len(s.counts))
	for key, count := range s.counts {
		list = append(list, KeyCount{key, count})
	}
	slices.SortFunc(list, compareKeys)
	return list
}

// Executions returns all executions in order of time.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.executions)
}
