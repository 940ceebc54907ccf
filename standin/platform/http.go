package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/azurebarrow/azurebarrow/objects"
	"github.com/azurebarrow/azurebarrow/standin/fault"
	"golang.org/x/time/rate"
)

const (
	defaultWatchTimeout = 30 * time.Second
	maxWatchTimeout     = 5 * time.Minute
)

func (p *Platform) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("/faults", func(w http.ResponseWriter, r *http.Request) { p.faults.ServeHTTP(w, r, p.Apply) })
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(w, http.StatusOK, p.Stats())
	})
	mux.HandleFunc("GET /v1/objects/{kind}", p.withFaultsAndLimit(&p.stats.Lists, p.reads, p.serveList))
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", p.withFaultsAndLimit(&p.stats.Gets, p.reads, p.serveGet))
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", p.withFaultsAndLimit(&p.stats.Puts, p.writes, p.servePut))
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", p.withFaultsAndLimit(&p.stats.Deletes, p.writes, p.serveDelete))
	mux.HandleFunc("GET /v1/watch", p.withFaultsAndLimit(&p.stats.Watches, p.reads, p.serveWatch))
	return mux
}

// withFaultsAndLimit counts a call, then passes it to next unless a fault or the rate limiter rejects it.
// Faults can also delay it.
func (p *Platform) withFaultsAndLimit(counter *int64, limiter *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.increment(counter)
		if !p.applyFaults(w, r) {
			return
		}
		if !limiter.Allow() {
			p.increment(&p.stats.Limited)
			w.Header().Set("Retry-After", "1")
			http.Error(w, "too many calls", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

// applyFaults carries out the faults that reject or delay a call. It reports whether the call may continue.
func (p *Platform) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	if _, on := p.faults.Consume(fault.Outage, r.URL.Path); on {
		p.increment(&p.stats.Refused)
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	if _, on := p.faults.Active(fault.Hang, r.URL.Path); on {
		p.increment(&p.stats.Refused)
		<-r.Context().Done()
		return false
	}
	if p.faults.WaitWhile(r.Context(), fault.Pause) != nil {
		return false
	}
	return p.faults.WaitSlow(r.Context(), r.URL.Path) == nil
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	list := p.storeForReads().list(r.PathValue("kind"))
	p.mu.Unlock()
	fault.WriteJSON(w, http.StatusOK, list)
}

func keyOf(r *http.Request) objectKey { return objectKey{r.PathValue("kind"), r.PathValue("name")} }

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	p.answerGet(w, r, func(object objects.Object) any { return object })
}

// answerGet answers with the object that the path names, converted by format.
func (p *Platform) answerGet(w http.ResponseWriter, r *http.Request, format func(objects.Object) any) {
	p.mu.Lock()
	object, exists := p.storeForReads().get(keyOf(r))
	p.mu.Unlock()
	if !exists {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	fault.WriteJSON(w, http.StatusOK, format(object))
}

var errBadCondition = errors.New("want If-Match: REVISION or If-None-Match: *")

// conditionOf returns the precondition in the request's headers.
func conditionOf(r *http.Request) (condition, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return condition{revision: objects.MustNotExist}, nil
	}
	match := r.Header.Get("If-Match")
	if match == "" {
		return condition{any: true}, nil
	}
	revision, err := strconv.ParseInt(strings.Trim(match, `"`), 10, 64)
	if err != nil {
		return condition{}, errBadCondition
	}
	return condition{revision: revision}, nil
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, objects.MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if !json.Valid(value) {
		http.Error(w, "value is not JSON", http.StatusBadRequest)
		return
	}
	p.writeConditionally(w, r, func(c condition) (objects.Object, error) { return p.store.put(keyOf(r), value, c) })
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	p.writeConditionally(w, r, func(c condition) (objects.Object, error) { return p.store.remove(keyOf(r), c) })
}

// writeConditionally calls apply with the condition in the request's headers.
func (p *Platform) writeConditionally(w http.ResponseWriter, r *http.Request, apply func(condition) (objects.Object, error)) {
	wanted, err := conditionOf(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.applyWrite(w, r, wanted, apply)
}

// applyWrite calls apply with the condition, notifies the watches and answers. A LostWriteResponse fault resets
// the connection instead of the answer; the write takes effect all the same.
func (p *Platform) applyWrite(w http.ResponseWriter, r *http.Request, wanted condition, apply func(condition) (objects.Object, error)) {
	p.mu.Lock()
	object, err := apply(wanted)
	if err == nil {
		p.notifyWatches()
	}
	p.mu.Unlock()
	if _, lost := p.faults.Consume(fault.LostWriteResponse, r.URL.Path); lost {
		p.increment(&p.stats.LostAnswers)
		fault.ResetConnection(w)
		return
	}
	p.answerWrite(w, object, err)
}

// conflictBody is the body of an answer 409: the current revision.
type conflictBody struct {
	Present int64 `json:"present"`
}

func (p *Platform) answerWrite(w http.ResponseWriter, object objects.Object, err error) {
	var conflict *objects.ConflictError
	switch {
	case errors.As(err, &conflict):
		p.increment(&p.stats.Conflicts)
		fault.WriteJSON(w, http.StatusConflict, conflictBody{Present: conflict.Present})
	case err != nil:
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		fault.WriteJSON(w, http.StatusOK, object)
	}
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: want a revision", http.StatusBadRequest)
		return
	}
	timeout := defaultWatchTimeout
	if text := query.Get("timeout"); text != "" {
		timeout, err = time.ParseDuration(text)
		if err != nil {
			http.Error(w, "timeout: "+err.Error(), http.StatusBadRequest)
			return
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(timeout, maxWatchTimeout))
	defer cancel()
	p.watch(ctx, w, after, strings.Split(query.Get("kinds"), ","), func(list objects.List) {
		if list.Items == nil {
			list.Items = []objects.Object{}
		}
		fault.WriteJSON(w, http.StatusOK, list)
	})
}

// watch waits until an object of the kinds has a change after the revision, or ctx ends. It answers with the
// changes, which answer writes. It answers 410 if the changes are no longer kept, or for a RevisionTooOld
// fault.
func (p *Platform) watch(ctx context.Context, w http.ResponseWriter, after int64, kinds []string, answer func(objects.List)) {
	for {
		p.mu.Lock()
		source := p.storeForReads()
		revision := source.revision
		tooOld := after < source.compactedRevision
		items := source.changesSince(after, kinds)
		changed := p.changed
		p.mu.Unlock()
		if _, gone := p.faults.Consume(fault.RevisionTooOld, ""); gone || tooOld {
			http.Error(w, "revision too old", http.StatusGone)
			return
		}
		if len(items) > 0 || ctx.Err() != nil {
			p.answerWatch(w, func() { answer(objects.List{Revision: max(revision, after), Items: items}) })
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// answerWatch sends the answer of a watch, or 503 if an outage began while the watch waited.
func (p *Platform) answerWatch(w http.ResponseWriter, answer func()) {
	if _, on := p.faults.Active(fault.Outage, "/v1/watch"); on {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	answer()
}
