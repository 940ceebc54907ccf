//go:build review

package rig2

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeObject is one object of the platform's store.
type storeObject struct {
	name              string
	revision, created int64
	spec, status      json.RawMessage
}

type storeEvent struct {
	kind    string
	deleted bool
	object  storeObject
}

// store is a stand-in of the platform's store, as PROTOCOL.md describes it.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]storeObject
	events   []storeEvent
	changed  chan struct{}
	// silent is set while the store accepts calls and answers none.
	silent bool
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp", hostAddress(storeHost)+":8742")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), revision: 100, kinds: map[string]map[string]storeObject{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// put writes an object and returns its revision. A write that changes nothing does not raise the revision.
func (s *store) put(kind, name string, spec any) int64 {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a value of the rig itself
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, text, nil)
}

func (s *store) write(kind, name string, spec, status json.RawMessage) int64 {
	object := s.kinds[kind][name]
	if object.name != "" && string(object.spec) == string(spec) && string(object.status) == string(status) {
		return object.revision
	}
	s.revision++
	if object.name == "" {
		object = storeObject{name: name, created: s.revision}
	}
	object.revision, object.spec, object.status = s.revision, spec, status
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]storeObject{}
	}
	s.kinds[kind][name] = object
	s.notify(storeEvent{kind: kind, object: object})
	return s.revision
}

func (s *store) notify(event storeEvent) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// remove deletes an object, if it exists.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

func (s *store) delete(kind, name string) bool {
	object, found := s.kinds[kind][name]
	if !found {
		return false
	}
	s.revision++
	object.revision = s.revision
	delete(s.kinds[kind], name)
	s.notify(storeEvent{kind: kind, deleted: true, object: object})
	return true
}

func (o storeObject) encode() map[string]any {
	return map[string]any{
		"metadata": map[string]any{"name": o.name, "revision": o.revision, "created": o.created, "finalizers": []string{}, "deleting": false},
		"spec":     orNull(o.spec), "status": orNull(o.status),
	}
}

func orNull(text json.RawMessage) json.RawMessage {
	if len(text) == 0 {
		return json.RawMessage("null")
	}
	return text
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	path, found := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	switch {
	case r.Method == http.MethodGet && name != "":
		s.serveObject(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveList(w, kind)
	default:
		s.serveWrite(w, r, kind, name, isStatus)
	}
}

func (s *store) serveObject(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	object, found := s.kinds[kind][name]
	s.mu.Unlock()
	if !found {
		writeJSON(w, http.StatusNotFound, map[string]any{})
		return
	}
	writeJSON(w, http.StatusOK, object.encode())
}

func (s *store) serveList(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []map[string]any{}
	for _, object := range s.kinds[kind] {
		items = append(items, object.encode())
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool {
		return items[i]["metadata"].(map[string]any)["name"].(string) < items[j]["metadata"].(map[string]any)["name"].(string)
	})
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, event := range s.events {
			if event.kind == kind && event.object.revision > after {
				events = append(events, map[string]any{"object": event.object.encode(), "deleted": event.deleted})
			}
		}
		at, changed, silent := s.revision, s.changed, s.silent
		s.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || expired {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool) {
	var body struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision int64  `json:"revision"`
		} `json:"metadata"`
		Spec   json.RawMessage `json:"spec"`
		Status json.RawMessage `json:"status"`
	}
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = body.Metadata.Name
	}
	wanted := body.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		wanted, _ = strconv.ParseInt(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object, found := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && found, found && wanted != 0 && wanted != object.revision:
		writeJSON(w, http.StatusConflict, object.encode())
		return
	case r.Method != http.MethodPost && !found:
		writeJSON(w, http.StatusNotFound, map[string]any{})
		return
	case r.Method == http.MethodDelete:
		s.delete(kind, name)
		writeJSON(w, http.StatusOK, map[string]any{})
		return
	case isStatus:
		s.write(kind, name, object.spec, body.Status)
	default:
		s.write(kind, name, body.Spec, object.status)
	}
	writeJSON(w, http.StatusOK, s.kinds[kind][name].encode())
}
