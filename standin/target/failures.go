package target

import (
	"errors"
	"io"
	"net/http"
)

// failEvery is the number of attempts that take up another target's stream of which one is answered with an error.
const failEvery = 2

// errFailed: the attempt was answered with an error.
var errFailed = errors.New("answered with an error")

// failures are answers that are no rest of a stream.
var failures = []func(w http.ResponseWriter){
	func(w http.ResponseWriter) { http.Error(w, "out of memory", http.StatusInternalServerError) },
	func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "text/plain")
		_, _ = io.WriteString(w, "id: 1000\ndata: error\n\n")
	},
	func(w http.ResponseWriter) {
		_, _ = io.WriteString(w, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\noops")
	},
	func(w http.ResponseWriter) { _, _ = io.WriteString(w, "event: error\ndata: out of memory\n\n") },
	func(w http.ResponseWriter) { w.WriteHeader(http.StatusNoContent) },
}

// failTakenUp answers some of the attempts that take up, after the event last, a stream that another target began in the same
// answer. It reports whether it did. What a caller takes up itself is not failed: there, the error would be the target's answer.
func (t *Target) failTakenUp(w http.ResponseWriter, r *http.Request, last int) bool {
	if !t.options.FailTakenUp || last == 0 || r.Header.Get(FieldResumes) != "" {
		return false
	}
	t.mu.Lock()
	t.takenUp++
	count := t.takenUp
	t.mu.Unlock()
	if count%failEvery != 0 {
		return false
	}
	failures[count/failEvery%len(failures)](w)
	return true
}
