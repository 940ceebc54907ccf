//go:build review

package rig

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a stream that has reached an engine.
type arrival struct {
	at         time.Time
	id, engine string
	poison     bool
}

// modelEngine is a stand-in of a model engine, which streams events. A prompt with the part poisonPart crashes it as it begins to write.
type modelEngine struct {
	name, service, zone string
	// version is that of the software. With keepsID, the engine starts again under the id that it had.
	version       string
	keepsID       bool
	slots, events int
	// prefill is the time until the first event, step that between two.
	prefill, step time.Duration
	// eventsBefore is the number of events that leave before a crash.
	eventsBefore int
	back         time.Duration
	store        *store
	say          func(format string, values ...any)
	arrived      func(arrival)
	crashed      func(time.Time)

	mu       sync.Mutex
	starts   int
	down     bool
	born     int64
	address  string
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
}

// poisonPart is the ID of the prompt part that crashes engines.
const poisonPart = "0badc0de"

// idOf returns the id of an incarnation.
func (e *modelEngine) idOf(incarnation int) string {
	if e.keepsID {
		return e.name
	}
	return fmt.Sprintf("%s-%d", e.name, incarnation)
}

// start begins an incarnation, at the address of the one before.
func (e *modelEngine) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := e.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var err error
	for range 50 {
		if e.listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	check(err)
	e.address, e.born, e.conns, e.down = e.listener.Addr().String(), time.Now().UnixMilli(), map[net.Conn]bool{}, false
	e.starts++
	e.running = 0
	incarnation, id := e.starts, e.idOf(e.starts)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, incarnation) }), ConnState: func(c net.Conn, state http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.starts != incarnation || e.down {
			_ = c.Close()
			return
		}
		e.conns[c] = true
		if state == http.StateClosed {
			delete(e.conns, c)
		}
	}}
	listener := e.listener
	go func() { _ = server.Serve(listener) }()
	spec := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": e.slots, "state": "ready", "warmup_left_ms": 0, "call_seq": 0, "born": e.born,
	}
	go func() { // beats, also while the store is away
		for !e.isOver(incarnation) {
			e.store.put("servers", id, spec)
			time.Sleep(heartbeat / 12)
		}
	}()
}

// restart ends the incarnation and starts another one, with other software, some time later.
func (e *modelEngine) restart(version string, away time.Duration) {
	e.mu.Lock()
	e.end()
	e.mu.Unlock()
	time.Sleep(away)
	e.mu.Lock()
	e.version = version
	e.mu.Unlock()
	e.start()
}

// end closes all connections, as a process that ends. The caller holds mu.
func (e *modelEngine) end() {
	e.down = true
	_ = e.listener.Close()
	for c := range e.conns {
		_ = c.Close()
	}
}

// crash ends the incarnation and starts another one some seconds later. Its entry runs out after three heartbeats.
func (e *modelEngine) crash(incarnation int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.starts != incarnation || e.down {
		return
	}
	e.end()
	e.crashed(time.Now())
	go func() {
		time.Sleep(e.back)
		e.start()
	}()
	go func() {
		time.Sleep(3 * heartbeat)
		e.store.expire("servers", e.idOf(incarnation))
	}()
}

func (e *modelEngine) isOver(incarnation int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts != incarnation || e.down
}

func (e *modelEngine) serve(w http.ResponseWriter, r *http.Request, incarnation int) {
	id := e.idOf(incarnation)
	request := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", request)
	w.Header().Set("X-Instance-Id", id)
	notRun := func(status int) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	switch {
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != id:
		notRun(http.StatusMisdirectedRequest)
		return
	case r.URL.Path == "/v1/report":
		answer(w, http.StatusOK, map[string]any{"stage": "prefill_decode", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "call_seq": 0, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 55000, "handles": 0, "born": e.born})
		return
	case strings.HasPrefix(r.URL.Path, "/v1/kv-"):
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Header.Get("Kv-From") != "":
		notRun(http.StatusServiceUnavailable) // no copy exists
		return
	}
	poison := strings.Contains(","+r.Header.Get("X-Prompt-Prefix"), ","+poisonPart+":")
	e.arrived(arrival{time.Now(), request, id, poison})
	e.mu.Lock()
	if e.running >= e.slots {
		e.mu.Unlock()
		notRun(http.StatusServiceUnavailable)
		return
	}
	e.running++
	version := e.version
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.starts == incarnation {
			e.running--
		}
	}()
	time.Sleep(e.prefill)
	if e.isOver(incarnation) || r.Context().Err() != nil {
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Signature", "signed."+request)
	for n := last + 1; n <= e.events; n++ {
		if poison && n-last > e.eventsBefore {
			e.crash(incarnation)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d\n\n", n, version, r.URL.Path, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(e.step)
		if r.Context().Err() != nil || e.isOver(incarnation) {
			return
		}
	}
}
