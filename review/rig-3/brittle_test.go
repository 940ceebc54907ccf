//go:build review

package rig

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Figures of the deployment and times of the case.
const (
	brittleEngines = 3
	brittleEntries = 12
	brittleSlots   = 6
	brittleQueue   = 24
	brittleWork    = 30 * time.Millisecond
	brittleRate    = 450
	brittleBears   = 4               // N of Server-Brittle
	brittleWindow  = 4 * time.Second // stable_window_ms
	brittleBack    = 3 * time.Second
	brittleCalm    = 4 * time.Second
	brittleTime    = 26 * time.Second
)

// brittleEngine is a stand-in of an engine of plain calls that can be brittle. It serves under a new id each time it is back.
type brittleEngine struct {
	name, zone, address string
	say                 func(string, ...any)

	mu                        sync.Mutex
	room                      *sync.Cond
	starts                    int
	born                      int64
	listener                  net.Listener
	conns                     map[net.Conn]bool
	running, waiting          int
	brittle, thin, down, over bool
	turned                    []time.Time
	falls                     int
	runs                      []run
}

func (e *brittleEngine) id() string { return fmt.Sprintf("%s-%d", e.name, e.starts) }

// start begins to serve.
func (e *brittleEngine) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.address == "" {
		e.address = fmt.Sprintf("127.0.%d.%d:0", 1+os.Getpid()%200, 1+os.Getpid()/200%250)
	}
	var err error
	e.listener, err = net.Listen("tcp", e.address)
	check(err)
	e.address, e.born, e.conns, e.turned, e.down = e.listener.Addr().String(), time.Now().UnixMilli(), map[net.Conn]bool{}, nil, false
	e.room, e.running, e.waiting = sync.NewCond(&e.mu), 0, 0
	e.starts++
	incarnation, conns := e.starts, e.conns
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, incarnation) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if state == http.StateClosed {
				delete(conns, c)
			} else {
				conns[c] = true
			}
		},
	}
	listener := e.listener
	go func() { _ = server.Serve(listener) }()
}

// setBrittle has the engine say in all its answers that it is brittle. From brittleWindow later it lets none wait, and may fall over.
func (e *brittleEngine) setBrittle() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.brittle = true
	e.thinLater()
}

// thinLater is called with the lock held.
func (e *brittleEngine) thinLater() {
	e.thin = false
	incarnation := e.starts
	time.AfterFunc(brittleWindow, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if !e.down && e.starts == incarnation {
			e.thin = true
			e.say("%s lets none wait from now on", e.id())
		}
	})
}

// turnAway counts a request that the engine turns away, and has it fall over if these are too many. It is called with the lock held.
func (e *brittleEngine) turnAway(now time.Time) {
	if !e.thin {
		return
	}
	e.turned = append(slices.DeleteFunc(e.turned, func(at time.Time) bool { return now.Sub(at) >= time.Second }), now)
	if len(e.turned) <= brittleBears || e.down {
		return
	}
	e.say("%s falls over: it had to turn %d requests away within %v", e.id(), len(e.turned), now.Sub(e.turned[0]).Round(time.Millisecond))
	e.falls++
	e.down, e.thin = true, false
	_ = e.listener.Close()
	for c := range e.conns {
		reset(c)
	}
	time.AfterFunc(brittleBack, func() {
		e.start()
		e.mu.Lock()
		defer e.mu.Unlock()
		e.say("%s is back", e.id())
		e.thinLater()
	})
}

func (e *brittleEngine) serve(w http.ResponseWriter, r *http.Request, incarnation int) {
	id := r.Header.Get("X-Request-Id")
	sent, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	if e.starts != incarnation || e.down {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	engine := e.id()
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", engine)
	if e.brittle {
		w.Header().Set("Server-Brittle", strconv.Itoa(brittleBears))
	}
	refuse := func(status int) {
		e.runs = append(e.runs, run{at: time.Now(), id: id, engine: engine, status: status})
		e.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != engine {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	queue := brittleQueue
	if e.thin {
		queue = 0
	}
	if e.running >= brittleSlots && e.waiting >= queue {
		e.turnAway(time.Now())
		refuse(http.StatusServiceUnavailable)
		return
	}
	e.waiting++
	for e.running >= brittleSlots && e.starts == incarnation {
		e.room.Wait()
	}
	if e.starts != incarnation {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	e.waiting--
	e.running++
	began := time.Now()
	e.mu.Unlock()
	time.Sleep(brittleWork)
	e.mu.Lock()
	if e.starts == incarnation {
		e.running--
		e.room.Signal()
	}
	cut := e.down || e.starts != incarnation
	e.runs = append(e.runs, run{at: began, id: id, engine: engine, status: http.StatusOK, cut: cut})
	e.mu.Unlock()
	if cut {
		panic(http.ErrAbortHandler)
	}
	text := r.Method + " " + r.RequestURI + " " + string(sent)
	w.Header().Set("X-Response-Signature", "signed."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, text)
}

// register writes the engine's entry to the store until the case is over.
func (e *brittleEngine) register(s *store) {
	last := ""
	for {
		e.mu.Lock()
		id, down, over := e.id(), e.down, e.over
		spec := map[string]any{
			"service": "desk", "address": e.address, "zone": e.zone, "version": "v1", "slots": brittleSlots, "state": "ready", "warmup_left_ms": 0, "call_seq": 0,
			"born": e.born,
		}
		e.mu.Unlock()
		if over {
			return
		}
		if !down {
			if last != "" && last != id {
				s.expire("servers", last)
			}
			s.put("servers", id, spec)
			last = id
		}
		time.Sleep(heartbeat / 12)
	}
}

// brittleEnginesFall sends steady calls to engines whose slots have room for a third more, and that say from some moment on that they are brittle.
func brittleEnginesFall(folder string, trouble bool) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	check(err)
	defer record.Close()
	temporary, err := os.MkdirTemp("", "review-brittle-")
	check(err)
	defer os.RemoveAll(temporary)
	began := time.Now()
	var mu sync.Mutex
	say := func(format string, values ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(record, "%8.3f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, values...))
	}
	s := newStore()
	s.put("config", "main", map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "entry", "hostname": "registre.example", "path_prefix": "/entry/", "kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2, "service": "desk", "max_attempts": 3},
			{"name": "lookup", "hostname": "registre.example", "path_prefix": "/lookup/", "kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2, "service": "desk", "max_attempts": 3},
		},
		"services": []map[string]any{{"name": "desk", "max_connections": 560}},
		"limits":   map[string]any{"max_header_bytes": 65536, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	})
	zones := []string{"qc-est-a", "qc-est-b", "qc-est-c"}
	var engines []*brittleEngine
	for i := range brittleEngines {
		e := &brittleEngine{name: fmt.Sprintf("i-%d", i), zone: zones[i%len(zones)], say: say}
		e.start()
		go e.register(s)
		engines = append(engines, e)
	}
	var places []string
	for i := range brittleEntries {
		places = append(places, zones[i%len(zones)])
	}
	entries := newEntries(temporary, s.address, places, nil)
	for _, e := range entries {
		e.start()
	}
	time.Sleep(6 * time.Second)
	checkReady(entries)
	traffic := &clients{host: "registre.example", entries: entries, kinds: []callKind{
		{name: "entry", method: "POST", path: "/entry/", perSecond: brittleRate * 0.6, deadline: 1500 * time.Millisecond},
		{name: "lookup", method: "GET", path: "/lookup/", perSecond: brittleRate * 0.4, deadline: 1500 * time.Millisecond, idempotent: true},
	}}
	finished := make(chan struct{})
	go func() { traffic.run(time.Now().Add(brittleCalm + brittleTime)); close(finished) }()
	time.Sleep(brittleCalm)
	said := time.Now()
	if trouble {
		say("the engines say from now on in all their answers that they are brittle: Server-Brittle: %d", brittleBears)
		for _, e := range engines {
			e.setBrittle()
		}
	}
	<-finished
	checkReady(entries)
	before, after := map[string]int{}, map[string]int{}
	for _, a := range traffic.attempts {
		of := before
		if a.sent.After(said.Add(brittleWindow)) {
			of = after
		}
		of[fmt.Sprintf("%s %d", a.kind, a.status)]++
		fmt.Fprintf(record, "%.3f sent %s %s to %s, status %d\n", a.sent.Sub(began).Seconds(), a.kind, a.id, a.entry, a.status)
	}
	falls, cut := 0, 0
	for _, e := range engines {
		e.mu.Lock()
		e.over = true
		falls += e.falls
		for _, done := range e.runs {
			end := ""
			if done.cut {
				cut++
				end = ", cut by the fall"
			}
			fmt.Fprintf(record, "%.3f at %s %s, %d%s\n", done.at.Sub(began).Seconds(), done.engine, done.id, done.status, end)
		}
		e.mu.Unlock()
	}
	allowed := 2 + 0.1*brittleEngines
	say("answers until %v after the first word: %v", brittleWindow, before)
	say("answers later: %v", after)
	say("requests cut in mid-run: %d", cut)
	say("the %d engines fell over %d times; allowed %.1f", brittleEngines, falls, allowed)
	if float64(falls) > allowed {
		say("LIMIT is broken")
		return exitBroken
	}
	say("LIMIT held")
	return exitHeld
}
