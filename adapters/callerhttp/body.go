package callerhttp

import (
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/callerlimit"
)

// readBody reads the body of a request, limited in size and time. If there is memory for the request, it is marked as forwarded.
func readBody(w http.ResponseWriter, r *http.Request, bytes int64, timeout time.Duration) ([]byte, *Error) {
	controller := http.NewResponseController(w)
	// A writer without deadlines, as in tests, gets only the size limit.
	_ = controller.SetReadDeadline(time.Now().Add(timeout))
	conn := callerlimit.FromContext(r.Context())
	body, err := conn.ReadBody(http.MaxBytesReader(w, r.Body, bytes), r.ContentLength, bytes)
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, badRequest(http.StatusRequestEntityTooLarge, CodeTooLarge, fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit))
	}
	if errors.Is(err, callerlimit.ErrNoMemory) || conn.IsEvicted() || err == nil && !conn.BeginForwarding(callerlimit.StreamBytes) {
		conn.RecordRefusal()
		w.Header().Set("Connection", "close")
		return nil, noMemory().withKeyOf(r)
	}
	if err != nil {
		return nil, badRequest(http.StatusRequestTimeout, CodeBadRequest, "the body did not arrive in time")
	}
	return body, nil
}

// requestKey returns the idempotency key of a request, and whether it was generated here because
// the caller sent none. More than one key in a request is an error: the caller could not know which
// one applies.
func requestKey(r *http.Request) (key string, minted bool, failure *Error) {
	values := r.Header.Values(headerIdempotencyKey)
	if len(values) > 1 {
		return "", false, badRequest(http.StatusBadRequest, CodeBadRequest, "Idempotency-Key: is given more than once")
	}
	key = r.Header.Get(headerIdempotencyKey)
	if key == "" {
		return rand.Text(), true, nil
	}
	if len(key) > maxKeyBytes {
		return "", false, badRequest(http.StatusBadRequest, CodeBadRequest, fmt.Sprintf("Idempotency-Key: longer than %d bytes", maxKeyBytes))
	}
	return key, false, nil
}
