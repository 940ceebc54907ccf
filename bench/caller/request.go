// Package caller simulates the callers of a deployment. A Caller knows the correct tokens of every
// answer, reconnects to any entry with the ID of the last event that it received, and reports every
// error in the answers.
package caller

import (
	"encoding/json"
	"time"

	"github.com/azurebarrow/azurebarrow/standin/chain"
)

// Request is a request for a generation.
type Request struct {
	// Key is the idempotency key; if empty, the entry generates one.
	Key        string
	APIKey     string
	Deployment string
	Prompt     string
	MaxTokens  int
	Seed       int64
	// Priority, if not nil, requests a priority below the customer's.
	Priority *int
	// Model, Version and Adapter are those that the deployment runs; the correct tokens depend on them.
	Model   string
	Version string
	Adapter string
	// Length is the number of tokens of the correct answer; 0 if unknown.
	Length int
}

func (r Request) chain() chain.Request {
	return chain.Request{Model: r.Model, Version: r.Version, Adapter: r.Adapter, Prompt: r.Prompt, Seed: r.Seed}
}

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      int64  `json:"seed"`
	Stream    bool   `json:"stream"`
	Priority  *int   `json:"priority,omitempty"`
}

func (r Request) body() ([]byte, error) {
	return json.Marshal(completionBody{
		Model:     r.Deployment,
		Prompt:    r.Prompt,
		MaxTokens: r.MaxTokens,
		Seed:      r.Seed,
		Stream:    true,
		Priority:  r.Priority,
	})
}

// Status is how a request ended.
type Status string

// Statuses of requests.
const (
	// Complete: the whole answer arrived.
	Complete Status = "complete"
	// NotRun: an entry answered that no target received the request.
	NotRun Status = "not-run"
	// Lost: an entry answered that the stream can't be resumed after the output already received.
	Lost Status = "lost"
	// Refused: an entry answered with another error that is not retried.
	Refused Status = "refused"
	// TimedOut: Options.Timeout passed or the context ended.
	TimedOut Status = "timed-out"
)

// Reconnect describes the interruption of an answer by a connection that ended early.
type Reconnect struct {
	// Index is the index of the next token expected.
	Index int
	// Lost is when the connection ended and Resumed when the next event arrived, both since the start of
	// the request.
	Disconnected time.Duration
	Resumed      time.Duration
	Cause        string
}

// Latency returns the time from the end of the connection to the next event.
func (r Reconnect) Latency() time.Duration { return r.Resumed - r.Disconnected }

// Result describes a request and the answer that its caller received.
type Result struct {
	Request Request
	Status  Status
	// Outcome and Code are those of the last error response.
	Outcome string
	Code    string
	// Message is the text of the last error response.
	Message    string
	Tokens     []string
	Finish     string
	Generation string
	// Repeated counts tokens whose index the caller had received before.
	Repeated int
	Started  time.Time
	// Arrivals holds the arrival time of each token since the start of the request.
	Arrivals   []time.Duration
	Ended      time.Duration
	Reconnects []Reconnect
	// Refusals counts error responses, including the one that ended the request.
	Refusals int
	// Wrong describes what violates the guarantees to callers; empty for a correct answer or a reported
	// error.
	Violations []string
	// LastTerm is the highest term of a producer in an event ID.
	LastTerm int
}

// LongestGap returns the longest time between two tokens, and the index of the later one.
func (r *Result) LongestGap() (time.Duration, int) {
	var longest time.Duration
	index := 0
	for i := 1; i < len(r.Arrivals); i++ {
		if gap := r.Arrivals[i] - r.Arrivals[i-1]; gap > longest {
			longest, index = gap, i
		}
	}
	return longest, index
}
