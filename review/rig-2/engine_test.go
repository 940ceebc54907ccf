//go:build review

package rig2

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that an engine began to work on.
type run struct {
	id, engine, service, method, path string
	began, ended                      time.Time
	// complete is set once the engine had worked to the end.
	complete bool
	body     int
}

// engine is a stand-in of an engine: of a service with plain calls, or one with streams if events is above 0.
type engine struct {
	id, service, zone, version, address string
	slots, events                       int
	// work is the time of a plain call, or until the first event of a stream that is begun; interval that between events.
	work, interval time.Duration
	born           int64
	store          *store
	server         *http.Server
	record         *record

	mu      sync.Mutex
	running int
	header  http.Header
	// serve replaces the way in which requests are answered; nil for the usual one.
	serve func(e *engine, w http.ResponseWriter, r *http.Request, done func(complete bool))
}

// start starts the engine at an address and registers it.
func (e *engine) start(address string) error {
	if err := e.listen(address); err != nil {
		return err
	}
	e.register("ready")
	return nil
}

// listen starts the engine at an address.
func (e *engine) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.address, e.header = address, http.Header{}
	if e.born == 0 {
		e.born = time.Now().UnixMilli()
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }()
	return nil
}

// entry is what the engine writes to the store.
func (e *engine) entry(state string) map[string]any {
	return map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": e.slots, "state": state,
		"warmup_left_ms": 0, "call_seq": 0, "born": e.born,
	}
}

func (e *engine) register(state string) { e.store.put("servers", e.id, e.entry(state)) }

// crash closes the listener and all connections. The entry is removed after three heartbeats, as PROTOCOL.md says.
func (e *engine) crash() {
	_ = e.server.Close()
	time.AfterFunc(3*1200*time.Millisecond, func() { e.store.remove("servers", e.id) })
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/report" {
		e.report(w)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header()["Date"] = nil
	if r.Header.Get("X-Expect-Instance") != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	full := e.running >= e.slots
	if !full {
		e.running++
	}
	serve, extra := e.serve, e.header.Clone()
	e.mu.Unlock()
	for name, values := range extra {
		w.Header()[name] = values
	}
	if full {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, _ := io.ReadAll(r.Body)
	begun := &run{id: id, engine: e.id, service: e.service, method: r.Method, path: r.URL.Path, began: time.Now(), body: len(body)}
	e.record.addRun(begun)
	done := func(complete bool) {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
		e.record.endRun(begun, complete)
	}
	if serve != nil {
		serve(e, w, r, done)
		return
	}
	e.answer(w, r, done)
}

// report answers GET /v1/report; only engines of models do.
func (e *engine) report(w http.ResponseWriter) {
	if e.events == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "prefill_decode", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "call_seq": 0,
		"queued": 0, "active": 0, "kv_used": 0, "kv_total": 55000, "handles": 0, "born": e.born,
	})
}

// answer works on a request and answers it.
func (e *engine) answer(w http.ResponseWriter, r *http.Request, done func(complete bool)) {
	if e.events > 0 {
		e.stream(w, r, done)
		return
	}
	complete := sleep(r.Context(), e.work)
	defer done(complete)
	if !complete {
		return
	}
	text := bodyOf(r.Header.Get("X-Request-Id"), e.id)
	w.Header().Set("X-Response-Signature", signatureOf(text))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request, done func(complete bool)) {
	complete := false
	defer func() { done(complete) }()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Signature", signatureOf(e.id))
	if !sleep(r.Context(), e.work) {
		return
	}
	for n := last + 1; n <= e.events; n++ {
		if !sleep(r.Context(), e.interval) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, e.version, n); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
	complete = true
}

func bodyOf(id, engine string) string { return "done " + id + " by " + engine + "\n" }

func signatureOf(text string) string { return fmt.Sprintf("%x.sig", len(text)) }

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// setHeader has all further answers carry a header field.
func (e *engine) setHeader(name, value string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.header.Set(name, value)
}
