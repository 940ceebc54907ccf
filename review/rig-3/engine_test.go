//go:build review

package rig

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a request that an engine has received.
type run struct {
	at              time.Time
	id              string
	engine, version string
	status          int
	// cut is set if the engine stopped while it worked on the request.
	cut bool
}

// engine is a stand-in of an engine of plain calls.
type engine struct {
	id, service, address, zone, version string
	slots                               int
	work                                time.Duration
	born                                int64
	// fails reports whether the n-th run fails.
	fails func(n int) bool
	// slower returns how many times as long as usual the n-th run takes; nil for none.
	slower func(n int) time.Duration
	log    func(run)

	listener net.Listener
	mu       sync.Mutex
	state    string
	stopped  bool
	running  int
	runs     int
	conns    map[net.Conn]bool
}

func (e *engine) start() {
	var err error
	e.listener, err = net.Listen("tcp", "127.0.0.1:0")
	check(err)
	e.address, e.born, e.state, e.conns = e.listener.Addr().String(), time.Now().UnixMilli(), "ready", map[net.Conn]bool{}
	server := &http.Server{Handler: http.HandlerFunc(e.serve), ConnState: func(c net.Conn, state http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if state == http.StateClosed {
			delete(e.conns, c)
		} else {
			e.conns[c] = true
		}
	}}
	go func() { _ = server.Serve(e.listener) }()
}

// stop ends the engine at once, without draining.
func (e *engine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	_ = e.listener.Close()
	for c := range e.conns {
		reset(c)
	}
}

// spec is the engine's entry in the store.
func (e *engine) spec() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": e.slots, "state": e.state,
		"warmup_left_ms": 0, "call_seq": 0, "born": e.born,
	}
}

func (e *engine) isStopped() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopped
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", e.id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	sent, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	if e.running >= e.slots {
		e.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	e.runs++
	fails := e.fails != nil && e.fails(e.runs)
	work := e.work
	if e.slower != nil {
		work *= e.slower(e.runs)
	}
	e.mu.Unlock()
	done := run{at: time.Now(), id: id, engine: e.id, version: e.version, status: http.StatusOK}
	time.Sleep(work)
	e.mu.Lock()
	e.running--
	done.cut = e.stopped
	e.mu.Unlock()
	if fails {
		done.status = http.StatusInternalServerError
	}
	e.log(done)
	text := e.version + " " + r.Method + " " + r.RequestURI + " " + string(sent)
	w.Header().Set("X-Response-Signature", "signed."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(done.status)
	_, _ = io.WriteString(w, text)
}
