package azurebarrow

import (
	"net/http"
	"net/http/pprof"
)

// adminHandler serves the liveness and readiness checks, the metrics, the burn rates of the
// service-level objectives and the profiles.
func (e *Entry) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.HandleFunc("GET /burn", e.serveBurn)
	mux.Handle("GET /metrics", e.metrics.Handler())
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if e.draining.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	if !e.ready() {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
