//go:build review

package rig

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one run of a request at an engine.
type run struct {
	at                       time.Time
	engine, version, request string
	method, path, tenant     string
}

// ledger holds what all engines ran.
type ledger struct {
	mu   sync.Mutex
	runs []run
}

func (l *ledger) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *ledger) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// engineOptions describe an engine. With events it answers streams, else plain calls after the work time.
type engineOptions struct {
	service, zone, version string
	slots                  int
	events                 int
	interval, work         time.Duration
	ledger                 *ledger
	// losesAnswer reports whether the answer to a request that the engine has run is lost; nil for none.
	losesAnswer func(request string) bool
}

// engine is a stand-in of one incarnation of an engine.
type engine struct {
	engineOptions
	id, address string
	born        int64
	leaving     atomic.Bool
	running     atomic.Int64
	server      *http.Server
	mu          sync.Mutex
	conns       map[net.Conn]struct{}
}

// startEngine starts an engine at the address, or at a free port of it.
func startEngine(id, address string, options engineOptions) (*engine, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &engine{engineOptions: options, id: id, address: listener.Addr().String(), born: time.Now().UnixMilli(), conns: map[net.Conn]struct{}{}}
	e.server = &http.Server{Handler: e, ConnState: func(conn net.Conn, state http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if state == http.StateClosed {
			delete(e.conns, conn)
			return
		}
		e.conns[conn] = struct{}{}
	}}
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

// crash ends the engine: its connections are reset, and nobody listens any more.
func (e *engine) crash() {
	e.mu.Lock()
	for conn := range e.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	e.mu.Unlock()
	_ = e.server.Close()
}

// spec is what the engine writes of itself to the store.
func (e *engine) spec(state string, warmup int) map[string]any {
	spec := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": e.slots,
		"state": state, "warmup_left_ms": warmup, "call_seq": 0, "born": e.born,
	}
	if e.events > 0 {
		spec["stage"] = "prefill_decode"
		spec["models"] = models
	}
	return spec
}

var models = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	if e.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	w.Header().Set("X-Instance-Id", e.id)
	request := r.Header.Get("X-Request-Id")
	switch {
	case r.URL.Path == "/v1/report" && e.events > 0:
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"stage":"prefill_decode","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"call_seq":0,"queued":0,"active":%d,"kv_used":0,"kv_total":55000,"handles":0}`, e.running.Load())
		return
	case r.URL.Path == "/health":
		return
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != e.id:
		w.Header().Set("X-Request-Id", request)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Request-Id", request)
	if r.Header.Get("Kv-From") != "" || e.running.Add(1) > int64(e.slots) {
		if r.Header.Get("Kv-From") == "" {
			e.running.Add(-1)
		}
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.running.Add(-1)
	e.ledger.add(run{time.Now(), e.id, e.version, request, r.Method, r.URL.RequestURI(), r.Header.Get("X-Tenant")})
	w.Header().Set("X-Response-Signature", "signed."+e.id+"."+request)
	if e.losesAnswer != nil && e.losesAnswer(request) {
		pause(r.Context(), e.work)
		reset(w)
		return
	}
	if e.events == 0 {
		pause(r.Context(), e.work)
		_, _ = io.WriteString(w, "done "+request+"\n")
		return
	}
	e.stream(w, r)
}

// stream answers with the events after the one in Last-Event-Id.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for id := last + 1; id <= e.events; id++ {
		if !pause(r.Context(), e.interval) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s text %d\n\n", id, e.version, id); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// pause waits, and returns false if ctx ended first.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// reset resets the connection of an answer.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
