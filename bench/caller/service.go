package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Call is a call of a service.
type Call struct {
	Key        string
	APIKey     string
	Deployment string
	Method     string
	// Path starts with a slash.
	Path string
	Body string
}

// CallResult is the result of one call of Do.
type CallResult struct {
	// Status is the HTTP status; 0 if no response arrived.
	Status     int
	Body       string
	Outcome    string
	Code       string
	RetryAfter time.Duration
	Entry      string
	Duration   time.Duration
	Err        error
}

// Answered reports whether a response of the service arrived, and not an error of the entry.
func (r *CallResult) Answered() bool {
	return r.Err == nil && r.Outcome == "" && r.Status < http.StatusInternalServerError
}

// maxCallBytes limits how much of a response body is read.
const maxCallBytes = 16 << 20

// Do sends a call once, without retries, to the entry at the address. An empty address selects a
// random entry.
func (c *Caller) Do(ctx context.Context, call Call, address string) *CallResult {
	if address == "" {
		address = c.pickEntry("")
	}
	started := time.Now()
	result := &CallResult{Entry: address}
	defer func() { result.Duration = time.Since(started) }()
	url := "http://" + address + "/v1/services/" + call.Deployment + call.Path
	request, err := http.NewRequestWithContext(ctx, call.Method, url, strings.NewReader(call.Body))
	if err != nil {
		result.Err = err
		return result
	}
	request.Header.Set("Authorization", "Bearer "+call.APIKey)
	if call.Key != "" {
		request.Header.Set("Idempotency-Key", call.Key)
	}
	response, err := c.client.Do(request)
	if err != nil {
		result.Err = err
		return result
	}
	defer response.Body.Close()
	result.readResponse(response)
	return result
}

func (r *CallResult) readResponse(response *http.Response) {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxCallBytes))
	r.Err = err
	r.Status = response.StatusCode
	r.Body = string(text)
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	r.RetryAfter = time.Duration(seconds) * time.Second
	var answer ErrorAnswer
	if response.StatusCode >= http.StatusBadRequest && json.Unmarshal(text, &answer) == nil {
		r.Outcome = answer.Error.Outcome
		r.Code = answer.Error.Code
	}
}
