package server

import "net/http"

// CallIDHeader is the field of a call that its answer repeats.
const CallIDHeader = "Azurebarrow-Call-Id"

// NameCall copies the ID of a call into its answer.
func NameCall(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(CallIDHeader); id != "" {
		w.Header().Set(CallIDHeader, id)
	}
}
