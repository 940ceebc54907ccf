//go:build review

package rig

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store.
type object struct {
	name              string
	revision, created int64
	spec, status      json.RawMessage
}

func (o *object) wire() json.RawMessage {
	text, _ := json.Marshal(map[string]any{
		"metadata": map[string]any{"name": o.name, "revision": o.revision, "created": o.created, "finalizers": []string{}, "deleting": false},
		"spec":     o.spec, "status": o.status,
	})
	return text
}

// change is a change of an object.
type change struct {
	kind     string
	revision int64
	object   json.RawMessage
	deleted  bool
}

// store is a stand-in of the platform's metadata store.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]*object
	history  []change
	changed  chan struct{}
	// down: all connections are reset; busy: all calls are answered 503.
	down, busy bool
	conns      map[net.Conn]bool
	// onStatus is called with each status of an object that a caller has written.
	onStatus func(kind, name string, status json.RawMessage)
}

func newStore() *store {
	s := &store{revision: 1, kinds: map[string]map[string]*object{}, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}", s.list)
	mux.HandleFunc("POST /v1/objects/{kind}", s.create)
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.get)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.replace)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}/status", s.replaceStatus)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.remove)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		busy := s.busy
		s.mu.Unlock()
		if busy {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
	server := &http.Server{Handler: handler, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch {
		case state == http.StateClosed || state == http.StateHijacked:
			delete(s.conns, c)
		case s.down:
			reset(c)
		default:
			s.conns[c] = true
		}
	}}
	go func() { _ = server.Serve(listener) }()
	return s
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// setDown has the store reset all connections, or serve again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if down {
		for c := range s.conns {
			reset(c)
		}
		clear(s.conns)
	}
}

// setBusy has the store answer all calls with 503, or serve again.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
}

// apply stores an object, or removes it if it is nil. The caller holds mu.
func (s *store) apply(kind, name string, o *object) {
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]*object{}
	}
	if o == nil {
		old := s.kinds[kind][name]
		delete(s.kinds[kind], name)
		s.history = append(s.history, change{kind, s.revision, old.wire(), true})
	} else {
		o.revision = s.revision
		s.kinds[kind][name] = o
		s.history = append(s.history, change{kind, s.revision, o.wire(), false})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put is a write of the operator or of an engine; it reports whether the store took it.
func (s *store) put(kind, name string, spec any) bool {
	text, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.busy {
		return false
	}
	old := s.kinds[kind][name]
	if old != nil && string(old.spec) == string(text) {
		return true
	}
	next := &object{name: name, created: s.revision + 1, spec: text}
	if old != nil {
		next.created, next.status = old.created, old.status
	}
	s.apply(kind, name, next)
	return true
}

// expire removes the entry of an engine, also while the store is down.
func (s *store) expire(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kinds[kind][name] != nil {
		s.apply(kind, name, nil)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	kind := r.PathValue("kind")
	if text := r.URL.Query().Get("watch"); text != "" {
		after, _ := strconv.ParseInt(text, 10, 64)
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
		defer cancel()
		s.watch(ctx, w, kind, after)
		return
	}
	s.mu.Lock()
	items := []json.RawMessage{}
	names := []string{}
	for name := range s.kinds[kind] {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if name > r.URL.Query().Get("after") {
			items = append(items, s.kinds[kind][name].wire())
		}
	}
	at := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "at": at})
}

func (s *store) watch(ctx context.Context, w http.ResponseWriter, kind string, after int64) {
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ctx.Err() != nil {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[r.PathValue("kind")][r.PathValue("name")]
	if o == nil {
		answer(w, http.StatusNotFound, nil)
		return
	}
	answer(w, http.StatusOK, o.wire())
}

// body is the body of a write.
type body struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision int64  `json:"revision"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

func (s *store) create(w http.ResponseWriter, r *http.Request) {
	text, _ := io.ReadAll(r.Body)
	var b body
	if json.Unmarshal(text, &b) != nil || b.Metadata.Name == "" {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := r.PathValue("kind")
	if old := s.kinds[kind][b.Metadata.Name]; old != nil {
		answer(w, http.StatusConflict, old.wire())
		return
	}
	s.apply(kind, b.Metadata.Name, &object{name: b.Metadata.Name, created: s.revision + 1, spec: b.Spec})
	answer(w, http.StatusOK, s.kinds[kind][b.Metadata.Name].wire())
}

func (s *store) replace(w http.ResponseWriter, r *http.Request)       { s.write(w, r, false) }
func (s *store) replaceStatus(w http.ResponseWriter, r *http.Request) { s.write(w, r, true) }

func (s *store) write(w http.ResponseWriter, r *http.Request, isStatus bool) {
	text, _ := io.ReadAll(r.Body)
	var b body
	if json.Unmarshal(text, &b) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	kind, name := r.PathValue("kind"), r.PathValue("name")
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.kinds[kind][name]
	switch {
	case old == nil:
		answer(w, http.StatusNotFound, nil)
		return
	case b.Metadata.Revision != 0 && b.Metadata.Revision != old.revision:
		answer(w, http.StatusConflict, old.wire())
		return
	}
	next := *old
	if isStatus {
		next.status = b.Status
	} else {
		next.spec = b.Spec
	}
	if string(next.spec) != string(old.spec) || string(next.status) != string(old.status) {
		s.apply(kind, name, &next)
	}
	answer(w, http.StatusOK, s.kinds[kind][name].wire())
	if isStatus && s.onStatus != nil {
		go s.onStatus(kind, name, slices.Clone(b.Status))
	}
}

func (s *store) remove(w http.ResponseWriter, r *http.Request) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.kinds[kind][name]
	revision, _ := strconv.ParseInt(strings.TrimSpace(r.URL.Query().Get("revision")), 10, 64)
	switch {
	case old == nil:
		answer(w, http.StatusNotFound, nil)
	case revision != 0 && revision != old.revision:
		answer(w, http.StatusConflict, old.wire())
	default:
		s.apply(kind, name, nil)
		answer(w, http.StatusOK, nil)
	}
}
