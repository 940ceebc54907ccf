package azurebarrow

import (
	"net/http"
	"net/http/pprof"
)

// adminHandler serves the liveness and readiness checks, the metrics, the burn rates of the
// service-level objectives and the profiles.
func (n *Entry) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", n.serveReady)
	mux.HandleFunc("GET /burn", n.serveBurn)
	mux.Handle("GET /metrics", n.metrics.Handler())
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}

func (n *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.draining.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	if !n.ready() {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
