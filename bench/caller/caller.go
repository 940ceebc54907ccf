package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/standin/chain"
)

// Options configures a Caller. New replaces zero durations by defaults.
type Options struct {
	// Addresses are the addresses at which the entries accept callers.
	Addresses []string
	Seed      int64
	// Timeout limits a whole request, over all connections.
	Timeout time.Duration
	// IdleTimeout is the time without an event or comment after which the caller reconnects to another
	// entry.
	IdleTimeout time.Duration
	// ReconnectDelay is the minimum delay before a reconnect.
	ReconnectDelay time.Duration
	// RetryNotRun retries a request after an error with the outcome "not-run".
	RetryNotRun bool
	// OnStart is called with the generation's ID when its first event arrives; may be nil.
	OnStart func(request Request, generation string)
	// OnToken is called with each token as it arrives; may be nil.
	OnToken func(index int, text string)
}

// Default values of Options.
const (
	DefaultTimeout        = 60 * time.Second
	DefaultIdleTimeout    = 3 * time.Second
	DefaultReconnectDelay = 5 * time.Millisecond
	maxIdleConnections    = 4096
)

// Caller sends requests to entries and verifies the answers. It is safe for concurrent use.
type Caller struct {
	options Options
	client  *http.Client

	mu     sync.Mutex
	random *rand.Rand
}

// New returns a Caller for the entries of the options.
func New(options Options) *Caller {
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	if options.ReconnectDelay == 0 {
		options.ReconnectDelay = DefaultReconnectDelay
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		DisableCompression:  true,
	}
	return &Caller{
		options: options,
		client:  &http.Client{Transport: transport},
		random:  rand.New(rand.NewPCG(uint64(options.Seed), 1)),
	}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// pickEntry returns a random entry other than last, or last if there is no other.
func (c *Caller) pickEntry(last string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	others := slices.DeleteFunc(slices.Clone(c.options.Addresses), func(a string) bool { return a == last })
	if len(others) == 0 {
		return last
	}
	return others[c.random.IntN(len(others))]
}

// Generate sends a request to a random entry and returns when the answer is complete or the request
// has failed. It reconnects as often as needed.
func (c *Caller) Generate(ctx context.Context, request Request) *Result {
	return c.GenerateAt(ctx, request, c.pickEntry(""))
}

// GenerateAt is like Generate, but connects to the given entry first.
func (c *Caller) GenerateAt(ctx context.Context, request Request, address string) *Result {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	state := &answerState{
		caller:   c,
		result:   &Result{Request: request, Started: time.Now()},
		verifier: chain.NewVerifier(request.chain()),
	}
	state.run(ctx, address)
	return state.result
}

// answerState is the state of one request and its answer, over all its connections.
type answerState struct {
	caller    *Caller
	result    *Result
	verifier  *chain.Verifier
	lastEvent string
	// pendingReconnect is set from the end of a connection to the next event; nil otherwise.
	pendingReconnect *Reconnect
	// mismatched is set after the first wrong token: tokens after it can't be verified.
	mismatched bool
}

func (a *answerState) elapsed() time.Duration { return time.Since(a.result.Started) }

func (a *answerState) addViolation(format string, args ...any) {
	a.result.Violations = append(a.result.Violations, fmt.Sprintf(format, args...))
}

func (a *answerState) run(ctx context.Context, address string) {
	defer func() { a.result.Ended = a.elapsed() }()
	for {
		next, err := a.connect(ctx, address)
		if a.result.Status != "" {
			return
		}
		if ctx.Err() != nil {
			a.result.Status = TimedOut
			return
		}
		a.recordDisconnect(err)
		select {
		case <-time.After(next):
		case <-ctx.Done():
		}
		address = a.caller.pickEntry(address)
	}
}

func (a *answerState) recordDisconnect(err error) {
	if a.pendingReconnect != nil {
		return
	}
	cause := "closed"
	if err != nil {
		cause = err.Error()
	}
	a.pendingReconnect = &Reconnect{Index: len(a.result.Tokens), Disconnected: a.elapsed(), Cause: cause}
}

var errIdle = errors.New("caller: the connection was silent for too long")

// connect makes one connection, reads its answer and returns the delay before the next connection.
func (a *answerState) connect(ctx context.Context, address string) (time.Duration, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := time.AfterFunc(a.caller.options.IdleTimeout, func() { cancel(errIdle) })
	defer idle.Stop()
	delay := a.caller.options.ReconnectDelay
	response, err := a.post(ctx, address)
	if err != nil {
		return delay, err
	}
	defer response.Body.Close()
	a.checkKey(response)
	if response.StatusCode != http.StatusOK {
		delay = a.handleErrorResponse(response)
		return delay, fmt.Errorf("caller: status %d %s", response.StatusCode, a.result.Message)
	}
	return delay, a.readEvents(response.Body, idle)
}

func (a *answerState) post(ctx context.Context, address string) (*http.Response, error) {
	body, err := a.result.Request.body()
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+a.result.Request.APIKey)
	if a.result.Request.Key != "" {
		request.Header.Set("Idempotency-Key", a.result.Request.Key)
	}
	if a.lastEvent != "" {
		request.Header.Set("Last-Event-ID", a.lastEvent)
	}
	return a.caller.client.Do(request)
}

// checkKey checks that the answer belongs to the request's idempotency key. If the request had none, it
// stores the key that the entry generated, for later connections.
func (a *answerState) checkKey(response *http.Response) {
	key := response.Header.Get("Idempotency-Key")
	if a.result.Request.Key == "" {
		a.result.Request.Key = key
	}
	if key != "" && key != a.result.Request.Key {
		a.addViolation("answer to key %q came to key %q", key, a.result.Request.Key)
	}
}

// ErrorAnswer is the body of an entry's error response.
type ErrorAnswer struct {
	Error struct {
		Code       string `json:"code"`
		Message    string `json:"message"`
		Outcome    string `json:"outcome"`
		RequestKey string `json:"requestKey"`
	} `json:"error"`
}

const maxErrorBytes = 64 << 10

// handleErrorResponse records an error response and returns the delay before a retry.
func (a *answerState) handleErrorResponse(response *http.Response) time.Duration {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	var answer ErrorAnswer
	if json.Unmarshal(text, &answer) != nil {
		answer.Error.Code = string(text)
	}
	retryAfter, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return a.handleError(response.StatusCode, answer, time.Duration(retryAfter)*time.Second)
}

func (a *answerState) handleError(status int, answer ErrorAnswer, retryAfter time.Duration) time.Duration {
	a.result.Code = answer.Error.Code
	a.result.Message = answer.Error.Message
	a.result.Outcome = answer.Error.Outcome
	notRun := answer.Error.Outcome == "not-run"
	if notRun && len(a.result.Tokens) > 0 {
		a.addViolation("not-run after %d tokens", len(a.result.Tokens))
	}
	switch {
	case status == http.StatusGone:
		a.result.Status = Lost
	case notRun && !a.caller.options.RetryNotRun:
		a.result.Status = NotRun
	case status < http.StatusInternalServerError && status != http.StatusTooManyRequests:
		a.result.Status = Refused
	}
	a.result.Refusals++
	return max(a.caller.options.ReconnectDelay, retryAfter)
}

// parseEventID parses an event ID and checks its generation and term. It reports false for an invalid
// ID or one of another generation.
func (a *answerState) parseEventID(text string) (generation.EventID, bool) {
	id, err := generation.ParseEventID(text)
	if err != nil {
		a.addViolation("event ID: %v", err)
		return id, false
	}
	if a.result.Generation == "" {
		a.result.Generation = id.Generation
		if a.caller.options.OnStart != nil {
			a.caller.options.OnStart(a.result.Request, id.Generation)
		}
	}
	if id.Generation != a.result.Generation {
		a.addViolation("generation %s after %s in one answer", id.Generation, a.result.Generation)
		return id, false
	}
	if id.Term < a.result.LastTerm {
		a.addViolation("term %d after %d", id.Term, a.result.LastTerm)
	}
	a.result.LastTerm = max(id.Term, a.result.LastTerm)
	return id, true
}
