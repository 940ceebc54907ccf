package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/azurebarrow/azurebarrow/standin/fault"
)

// maxRequestBytes limits the size of a request body.
const maxRequestBytes = 64 << 20

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("/faults", func(w http.ResponseWriter, r *http.Request) { e.faults.ServeHTTP(w, r, e.Apply) })
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(w, http.StatusOK, e.Stats())
	})
	mux.HandleFunc("POST /v1/generate", e.pausable(e.serveGenerate))
	mux.HandleFunc("GET /v1/streams/{id}/{attempt}", e.pausable(e.serveStream))
	mux.HandleFunc("DELETE /v1/streams/{id}/{attempt}", e.pausable(e.serveCancel))
	mux.HandleFunc("GET /v1/health", e.pausable(e.serveHealth))
	mux.HandleFunc("GET /v1/load", e.pausable(e.serveLoad))
	mux.HandleFunc("GET /v1/cache/events", e.pausable(e.serveCacheEvents))
	mux.HandleFunc("GET /v1/cache/summary", e.pausable(e.serveCacheSummary))
	mux.HandleFunc("GET /v1/inventory", e.pausable(e.serveInventory))
	mux.HandleFunc("POST /v1/orders", e.pausable(e.serveOrder))
	return mux
}

// pausable delays a handler while a Pause fault is active.
func (e *Engine) pausable(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.faults.WaitWhile(r.Context(), fault.Pause) == nil {
			next(w, r)
		}
	}
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var request generateRequest
	if !decodeBody(w, r, &request) {
		return
	}
	s, refused := e.acceptStream(request)
	if refused != nil {
		fault.WriteJSON(w, refused.status, refused)
		return
	}
	e.serveEvents(w, r, s, len(request.Output))
}

func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		http.Error(w, "from: want an index", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	s := e.findStream(r.PathValue("id"), r.PathValue("attempt"))
	if s != nil {
		e.stats.Resumes++
	}
	e.mu.Unlock()
	if s == nil {
		fault.WriteJSON(w, http.StatusNotFound, refusal{Code: "unknown-stream"})
		return
	}
	e.serveEvents(w, r, s, from)
}

type cancelResponse struct {
	Stopped bool `json:"stopped"`
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.findStream(r.PathValue("id"), r.PathValue("attempt"))
	if s != nil {
		e.cancelStream(s)
	}
	e.mu.Unlock()
	if s == nil {
		fault.WriteJSON(w, http.StatusNotFound, refusal{Code: "unknown-stream"})
		return
	}
	fault.WriteJSON(w, http.StatusOK, cancelResponse{Stopped: true})
}

type healthResponse struct {
	Incarnation string `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	LeaveAtMs   int64  `json:"leaveAtMs"`
}

func (e *Engine) incarnationText() string {
	return fmt.Sprintf("%s-%d", e.options.Name, e.incarnation)
}

func (e *Engine) serveHealth(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	answer := healthResponse{Incarnation: e.incarnationText(), Leaving: !e.terminatesAt.IsZero()}
	if answer.Leaving {
		answer.LeaveAtMs = max(0, time.Until(e.terminatesAt).Milliseconds())
	}
	e.mu.Unlock()
	fault.WriteJSON(w, http.StatusOK, answer)
}

type loadReport struct {
	AgeMs       int64 `json:"ageMs"`
	Running     int   `json:"running"`
	Queued      int   `json:"queued"`
	Concurrency int   `json:"concurrency"`
	CacheBytes  int   `json:"cacheBytes"`
}

// serveLoad answers with the last load sample, and then takes a new sample if that one is at least
// LoadLag old: reports lag behind the load.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	fresh := loadReport{
		Running:     len(e.running),
		Queued:      len(e.queue),
		Concurrency: e.options.Concurrency,
		CacheBytes:  e.cache.bytes(),
	}
	if e.loadSampledAt.IsZero() {
		e.sampledLoad, e.loadSampledAt = fresh, now
	}
	answer := e.sampledLoad
	answer.AgeMs = now.Sub(e.loadSampledAt).Milliseconds()
	if now.Sub(e.loadSampledAt) >= e.options.LoadReportInterval {
		e.sampledLoad, e.loadSampledAt = fresh, now
	}
	e.mu.Unlock()
	fault.WriteJSON(w, http.StatusOK, answer)
}

type cacheEvents struct {
	Events []CacheEvent `json:"events"`
	Last   int64        `json:"last"`
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: want a sequence number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	events, last := e.cache.eventsAfter(after)
	e.mu.Unlock()
	fault.WriteJSON(w, http.StatusOK, cacheEvents{Events: events, Last: last})
}

type cacheSummary struct {
	Sequence int64    `json:"sequence"`
	Prefixes []string `json:"prefixes"`
}

func (e *Engine) serveCacheSummary(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	answer := cacheSummary{Sequence: e.cache.sequence, Prefixes: e.cache.prefixes()}
	e.mu.Unlock()
	fault.WriteJSON(w, http.StatusOK, answer)
}

type inventory struct {
	Incarnation string    `json:"incarnation"`
	Role        string    `json:"role"`
	Loaded      []Version `json:"loaded"`
	Loading     []Version `json:"loading"`
	Fence       int64     `json:"fence"`
}

func (e *Engine) serveInventory(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	answer := inventory{
		Incarnation: e.incarnationText(),
		Role:        e.control.role,
		Loaded:      append([]Version{}, e.control.loaded...),
		Loading:     append([]Version{}, e.control.loading...),
		Fence:       e.control.fence,
	}
	e.mu.Unlock()
	fault.WriteJSON(w, http.StatusOK, answer)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Command
	if !decodeBody(w, r, &order) {
		return
	}
	if !slices.Contains([]string{commandLoad, commandUnload, commandSetRole}, order.Kind) {
		http.Error(w, "unknown kind of order", http.StatusBadRequest)
		return
	}
	if refused := e.execute(order); refused != nil {
		fault.WriteJSON(w, http.StatusConflict, refused)
		return
	}
	fault.WriteJSON(w, http.StatusOK, order)
}
