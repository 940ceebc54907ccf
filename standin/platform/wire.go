package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/objects"
	"github.com/azurebarrow/azurebarrow/standin/fault"
)

// Wire returns a handler that serves the same objects, faults and counters in the format of the users'
// platform, without pages, finalizers and stale reads.
func (p *Platform) Wire() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/faults", func(w http.ResponseWriter, r *http.Request) { p.faults.ServeHTTP(w, r, p.Apply) })
	mux.HandleFunc("GET /v1/objects/{kind}", p.call(&p.stats.Lists, p.reads, p.serveWireKind))
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", p.call(&p.stats.Gets, p.reads, p.serveWireGet))
	mux.HandleFunc("POST /v1/objects/{kind}", p.call(&p.stats.Puts, p.writes, p.serveWireCreate))
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", p.call(&p.stats.Puts, p.writes, p.serveWireReplace))
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", p.call(&p.stats.Deletes, p.writes, p.serveDelete))
	return mux
}

// wireObject is an object in the format of the users' platform.
type wireObject struct {
	Metadata wireMetadata    `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type wireMetadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

type wireEvent struct {
	Object  wireObject `json:"object"`
	Deleted bool       `json:"deleted"`
}

func toWire(object objects.Object) wireObject {
	return wireObject{Metadata: wireMetadata{object.Name, object.Revision}, Spec: object.Value}
}

// serveWireKind lists a kind, or watches it when the query says from where.
func (p *Platform) serveWireKind(w http.ResponseWriter, r *http.Request) {
	kind := r.PathValue("kind")
	if text := r.URL.Query().Get("watch"); text != "" {
		p.serveWireWatch(w, r, kind, text)
		return
	}
	p.mu.Lock()
	list := p.readable().list(kind)
	p.mu.Unlock()
	items := make([]wireObject, len(list.Items))
	for i, item := range list.Items {
		items[i] = toWire(item)
	}
	fault.WriteJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "at": list.Revision})
}

func (p *Platform) serveWireWatch(w http.ResponseWriter, r *http.Request, kind, from string) {
	after, err := strconv.ParseInt(from, 10, 64)
	if err != nil {
		http.Error(w, "watch: want a revision", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(wait)*time.Millisecond, defaultWatchTimeout))
	defer cancel()
	p.watch(ctx, w, after, []string{kind}, func(list objects.List) any {
		events := make([]wireEvent, len(list.Items))
		for i, item := range list.Items {
			events[i] = wireEvent{toWire(item), item.Deleted}
		}
		return map[string]any{"events": events, "at": list.Revision}
	})
}

func (p *Platform) serveWireGet(w http.ResponseWriter, r *http.Request) {
	p.answerGet(w, r, func(object objects.Object) any { return toWire(object) })
}

var errNotAnObject = errors.New("want an object with metadata and spec")

// readWireObject reads the object of a write; it answers itself when there is none.
func readWireObject(w http.ResponseWriter, r *http.Request) (wireObject, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, objects.MaxValueBytes))
	var object wireObject
	if err != nil || json.Unmarshal(body, &object) != nil || object.Spec == nil {
		http.Error(w, errNotAnObject.Error(), http.StatusBadRequest)
		return object, false
	}
	return object, true
}

func (p *Platform) serveWireCreate(w http.ResponseWriter, r *http.Request) {
	if object, ok := readWireObject(w, r); ok {
		key := objectKey{r.PathValue("kind"), object.Metadata.Name}
		p.putWire(w, r, key, object.Spec, condition{revision: objects.MustNotExist})
	}
}

func (p *Platform) serveWireReplace(w http.ResponseWriter, r *http.Request) {
	object, ok := readWireObject(w, r)
	if !ok {
		return
	}
	p.mu.Lock()
	_, exists := p.store.get(keyOf(r))
	p.mu.Unlock()
	if !exists {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	p.putWire(w, r, keyOf(r), object.Spec, condition{any: object.Metadata.Revision == 0, revision: object.Metadata.Revision})
}

func (p *Platform) putWire(w http.ResponseWriter, r *http.Request, key objectKey, spec json.RawMessage, wanted condition) {
	p.mu.Lock()
	p.touched[key] = time.Now()
	p.mu.Unlock()
	p.write(w, r, wanted, func(c condition) (objects.Object, error) { return p.store.put(key, spec, c) })
}

// lapsePoll is the time between two looks for lapsed objects.
const lapsePoll = 50 * time.Millisecond

// RunLapse removes the objects of a kind that were not written for the given time, until ctx ends.
func (p *Platform) RunLapse(ctx context.Context, kind string, silence time.Duration) {
	for wait.For(ctx, lapsePoll) == nil {
		p.lapse(kind, time.Now().Add(-silence))
	}
}

func (p *Platform) lapse(kind string, before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, at := range p.touched {
		if key.kind != kind || at.After(before) {
			continue
		}
		delete(p.touched, key)
		if _, err := p.store.remove(key, condition{any: true}); err == nil {
			p.announce()
		}
	}
}
