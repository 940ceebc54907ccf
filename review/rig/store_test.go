//go:build review

package rig

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metadata and object are an object of the platform's store as PROTOCOL.md gives it.
type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

// content is what the store holds; a copy of it is what a drill restores.
type content struct {
	kinds    map[string]map[string]object
	events   []event
	revision int64
}

func (c *content) clone() *content {
	copied := &content{kinds: map[string]map[string]object{}, events: slices.Clone(c.events), revision: c.revision}
	for kind, objects := range c.kinds {
		copied.kinds[kind] = maps.Clone(objects)
	}
	return copied
}

// mode is how the store answers calls over the network.
type mode int

const (
	up mode = iota
	// silent: calls are accepted and never answered, also those that wait when the silence begins.
	silent
	// busy: calls are answered 503.
	busy
)

// store is a stand-in of the platform's store. The operator and the engines of the rig write to it directly.
type store struct {
	mu      sync.Mutex
	content *content
	era     int
	mode    mode
	// outage counts the changes of the mode; a call that began in another one is never answered.
	outage  int
	changed chan struct{}
	url     string
	server  *http.Server
}

func newStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{content: &content{kinds: map[string]map[string]object{}, revision: 100}, era: 1, changed: make(chan struct{})}
	s.url = "http://" + listener.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setMode(to mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = to
	s.outage++
	s.notify()
}

// snapshot returns a copy of what the store holds now.
func (s *store) snapshot() *content {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.clone()
}

// restore replaces what the store holds by an older copy and raises the era.
func (s *store) restore(from *content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content = from.clone()
	s.era++
	s.notify()
}

func (s *store) revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.revision
}

// put creates or replaces an object and returns its revision. It reports false while the store is away.
func (s *store) put(kind, name string, spec any) (int64, bool) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != up {
		return 0, false
	}
	return s.write(kind, name, text).Metadata.Revision, true
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	objects := s.content.kinds[kind]
	if objects == nil {
		objects = map[string]object{}
		s.content.kinds[kind] = objects
	}
	known, found := objects[name]
	if found && bytes.Equal(known.Spec, spec) {
		return known
	}
	s.content.revision++
	written := object{Metadata: metadata{Name: name, Revision: s.content.revision, Created: s.content.revision, Finalizers: []string{}}, Spec: spec}
	if found {
		written.Metadata.Created = known.Metadata.Created
	}
	objects[name] = written
	s.content.events = append(s.content.events, event{Object: written, kind: kind})
	s.notify()
	return written
}

// remove deletes an object. It reports false while the store is away.
func (s *store) remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != up {
		return false
	}
	s.delete(kind, name)
	return true
}

func (s *store) delete(kind, name string) {
	known, found := s.content.kinds[kind][name]
	if !found {
		return
	}
	s.content.revision++
	known.Metadata.Revision = s.content.revision
	delete(s.content.kinds[kind], name)
	s.content.events = append(s.content.events, event{Object: known, Deleted: true, kind: kind})
	s.notify()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	began, current := s.outage, s.mode
	s.mu.Unlock()
	switch current {
	case silent:
		<-r.Context().Done()
		return
	case busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	path, found := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	query := r.URL.Query()
	var status int
	var answer any
	switch {
	case r.Method == http.MethodGet && query.Get("watch") != "":
		status, answer = s.watch(r, kind, began)
	case r.Method == http.MethodGet && name == "":
		status, answer = s.list(kind, query.Get("after"))
	default:
		status, answer = s.call(r, kind, name, body)
	}
	s.mu.Lock()
	lost, era := s.outage != began, s.era
	s.mu.Unlock()
	if lost {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func (s *store) list(kind, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for _, name := range slices.Sorted(maps.Keys(s.content.kinds[kind])) {
		if name > after {
			items = append(items, s.content.kinds[kind][name])
		}
	}
	return http.StatusOK, map[string]any{"items": items, "has_more": false, "at": s.content.revision}
}

func (s *store) watch(r *http.Request, kind string, began int) (int, any) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		if since > s.content.revision {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := []event{}
		for _, each := range s.content.events {
			if each.kind == kind && each.Object.Metadata.Revision > since {
				events = append(events, each)
			}
		}
		at, changed, lost := s.content.revision, s.changed, s.outage != began
		s.mu.Unlock()
		if len(events) > 0 || expired || lost {
			return http.StatusOK, map[string]any{"events": events, "at": at}
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			expired = true
		}
	}
}

// call makes a call that names an object, or creates one.
func (s *store) call(r *http.Request, kind, name string, body []byte) (int, any) {
	var sent object
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		return http.StatusBadRequest, nil
	}
	if name == "" {
		name = sent.Metadata.Name
	}
	name, isStatus := strings.CutSuffix(name, "/status")
	revision := sent.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		revision, _ = strconv.ParseInt(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known, found := s.content.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && found:
		return http.StatusConflict, known
	case r.Method == http.MethodPost:
		return http.StatusCreated, s.write(kind, name, sent.Spec)
	case !found:
		return http.StatusNotFound, nil
	case r.Method == http.MethodGet, isStatus:
		return http.StatusOK, known
	case revision != 0 && revision != known.Metadata.Revision:
		return http.StatusConflict, known
	case r.Method == http.MethodPut:
		return http.StatusOK, s.write(kind, name, sent.Spec)
	case r.Method == http.MethodDelete:
		s.delete(kind, name)
		return http.StatusOK, known
	}
	return http.StatusMethodNotAllowed, nil
}
