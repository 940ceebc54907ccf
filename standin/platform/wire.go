package platform

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/objects"
)

// UsersAPIHandler returns a handler that serves the same objects and faults in the HTTP format of the users'
// platform, and counts its calls in the same counters. Pagination, finalizers and stale reads of that platform
// are left out.
func (p *Platform) UsersAPIHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/faults", func(w http.ResponseWriter, r *http.Request) { p.faults.ServeHTTP(w, r, p.Apply) })
	mux.HandleFunc("GET /v1/objects/{kind}", p.withFaultsAndLimit(&p.stats.Lists, p.reads, p.serveWireKind))
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", p.withFaultsAndLimit(&p.stats.Gets, p.reads, p.serveWireGet))
	mux.HandleFunc("POST /v1/objects/{kind}", p.withFaultsAndLimit(&p.stats.Puts, p.writes, p.serveWireCreate))
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", p.withFaultsAndLimit(&p.stats.Puts, p.writes, p.serveWireReplace))
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}/status", p.withFaultsAndLimit(&p.stats.Puts, p.writes, p.serveWireStatus))
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", p.withFaultsAndLimit(&p.stats.Deletes, p.writes, p.serveDelete))
	return mux
}

// wireObject is an object in the format of the users' platform.
type wireObject struct {
	Metadata wireMetadata    `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type wireMetadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

// wireEvent is a change of an object, as a watch returns it.
type wireEvent struct {
	Object  wireObject `json:"object"`
	Deleted bool       `json:"deleted"`
}

// withStatus is the value of an object that has a status. A write of the object replaces it by a spec without one.
type withStatus struct {
	Spec   json.RawMessage `json:"specOfStatus"`
	Status json.RawMessage `json:"statusOfSpec"`
}

func toWire(object objects.Object) wireObject {
	wire := wireObject{Metadata: wireMetadata{object.Name, object.Revision}, Spec: object.Value}
	var split withStatus
	if json.Unmarshal(object.Value, &split) == nil && split.Status != nil {
		wire.Spec, wire.Status = split.Spec, split.Status
	}
	return wire
}

// serveWireStatus replaces the status of an object, if the revision in its metadata is the current one.
func (p *Platform) serveWireStatus(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, objects.MaxValueBytes))
	var written wireObject
	if err != nil || json.Unmarshal(body, &written) != nil || written.Status == nil {
		http.Error(w, "want an object with metadata and status", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	current, exists := p.store.get(keyOf(r))
	p.mu.Unlock()
	if !exists {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	value, err := json.Marshal(withStatus{Spec: toWire(current).Spec, Status: written.Status})
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// The condition also guards against a write since the object was read above.
	revision := cmp.Or(written.Metadata.Revision, current.Revision)
	p.applyWrite(w, r, condition{revision: revision}, func(c condition) (objects.Object, error) { return p.store.put(keyOf(r), value, c) })
}

// serveWireKind lists the objects of a kind, or watches them if the query has the parameter watch, a revision.
func (p *Platform) serveWireKind(w http.ResponseWriter, r *http.Request) {
	kind := r.PathValue("kind")
	if text := r.URL.Query().Get("watch"); text != "" {
		p.serveWireWatch(w, r, kind, text)
		return
	}
	p.mu.Lock()
	list := p.storeForReads().list(kind)
	p.mu.Unlock()
	items := make([]wireObject, len(list.Items))
	for i, item := range list.Items {
		items[i] = toWire(item)
	}
	p.writeWire(w, map[string]any{"items": items, "has_more": false, "at": list.Revision})
}

// serveWireWatch answers with the changes after the revision in from. If there is none yet, it waits for one
// up to wait_ms, but no longer than defaultWatchTimeout.
func (p *Platform) serveWireWatch(w http.ResponseWriter, r *http.Request, kind, from string) {
	after, err := strconv.ParseInt(from, 10, 64)
	if err != nil {
		http.Error(w, "watch: want a revision", http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(waitMs)*time.Millisecond, defaultWatchTimeout))
	defer cancel()
	p.watch(ctx, w, after, []string{kind}, func(list objects.List) {
		events := make([]wireEvent, len(list.Items))
		for i, item := range list.Items {
			events[i] = wireEvent{toWire(item), item.Deleted}
		}
		p.writeWire(w, map[string]any{"events": events, "at": list.Revision})
	})
}

// oddName is the object that an OddObject fault adds, oddValue its value in the store: answers have oddText in its place, which
// encoding/json rejects for its depth.
const (
	oddName  = "odd"
	oddValue = `"nested too deeply"`
	oddDepth = 10_001
)

var oddText = strings.Repeat("[", oddDepth) + strings.Repeat("]", oddDepth)

// addOddObject adds the odd object to a kind.
func (p *Platform) addOddObject(kind string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = p.store.put(objectKey{kind, oddName}, json.RawMessage(oddValue), condition{any: true}) // without a condition it can't fail
	p.notifyWatches()
}

// writeWire writes an answer in the format of the users' platform.
func (p *Platform) writeWire(w http.ResponseWriter, answer any) {
	text, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	text = bytes.Replace(text, []byte(`"spec":`+oddValue), []byte(`"spec":`+oddText), 1)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

func (p *Platform) serveWireGet(w http.ResponseWriter, r *http.Request) {
	p.answerGet(w, r, func(object objects.Object) any { return toWire(object) })
}

var errNotAnObject = errors.New("want an object with metadata and spec")

// readWireObject reads the object to write from the body. If the body has none, it answers 400 and returns
// false.
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

// putWire writes an object and restarts its expiry; see RunExpiry.
func (p *Platform) putWire(w http.ResponseWriter, r *http.Request, key objectKey, spec json.RawMessage, wanted condition) {
	p.mu.Lock()
	p.lastWritten[key] = time.Now()
	p.mu.Unlock()
	p.applyWrite(w, r, wanted, func(c condition) (objects.Object, error) { return p.store.put(key, spec, c) })
}

// expiryPollInterval is the time between two searches for expired objects.
const expiryPollInterval = 50 * time.Millisecond

// RunExpiry removes, until ctx ends, each object of a kind that was not written through UsersAPIHandler for
// the duration silence. Objects that were never written through it stay.
func (p *Platform) RunExpiry(ctx context.Context, kind string, silence time.Duration) {
	for wait.For(ctx, expiryPollInterval) == nil {
		p.removeExpired(kind, time.Now().Add(-silence))
	}
}

// removeExpired removes the objects of a kind that were last written at or before an instant.
func (p *Platform) removeExpired(kind string, before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, at := range p.lastWritten {
		if key.kind != kind || at.After(before) {
			continue
		}
		delete(p.lastWritten, key)
		if _, err := p.store.remove(key, condition{any: true}); err == nil {
			p.notifyWatches()
		}
	}
}
