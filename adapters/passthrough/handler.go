// Package passthrough serves callers whose requests and answers are opaque bytes. It finds the route
// and the customer, reads the request, passes it to generation.Relay (streams) or service.Forwarder
// (plain calls), and writes what they return. They choose the targets and decide on retries.
package passthrough

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/callerlimit"
	"github.com/azurebarrow/azurebarrow/adapters/targethttp"
	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/platform"
	"github.com/azurebarrow/azurebarrow/service"
)

// Options are the dependencies of a Handler.
type Options struct {
	Snapshot  func() *directory.Snapshot
	Relay     *generation.Relay
	Forwarder *service.Forwarder
	// Draining reports whether the entry is about to stop: callers are asked to close their connections.
	Draining func() bool
	// Accepts reports whether a request of the route, whose answer has up to that many tokens (0 if unknown) and whose caller waits
	// until the deadline, may start; it may not if the shutdown would cut it off.
	Accepts func(route *directory.Route, outputTokens int, deadline time.Time) bool
	// Stopped ends when the requests in progress must be answered, since the process is about to exit.
	Stopped context.Context
	// StreamBegan is called when a stream has been admitted, and the returned function at its end, with whether it is complete.
	StreamBegan func(StreamStart) (ended func(complete bool))
	// RequestMemoryBytes is the memory that callerlimit lets all requests share; 0 if nothing limits it.
	RequestMemoryBytes int64
	// BeginRequest is called when a request has been admitted; resumed is set for the rest of a stream. It returns the versions of targets
	// that may get the request, and a function to be called at its end with whether its caller may reconnect for the rest of a stream.
	// nil means any.
	BeginRequest func(service string, resumed bool) (versions VersionChoice, ended func(mayResume bool))
	// WaitReady waits until a snapshot is ready, up to limit.
	WaitReady func(ctx context.Context, limit time.Duration)
	// Log receives one event for each decision about a request.
	Log func(event string, fields ...generation.Field)
	// Observe is called at the end of each request.
	Observe func(Observation)
}

// VersionChoice is the choice of the software version that may run a request.
type VersionChoice interface {
	service.VersionChoice
	generation.VersionChoice
}

// beginRequest calls Options.BeginRequest.
func (h *Handler) beginRequest(name string, resumed bool) (versions VersionChoice, ended func(mayResume bool)) {
	if h.options.BeginRequest == nil {
		return nil, func(bool) {}
	}
	return h.options.BeginRequest(name, resumed)
}

// Observation is the outcome of one request. Status is 0 if the caller's connection was aborted.
type Observation struct {
	Class directory.Class
	// Route is the name of the route; empty if there is none.
	Route  string
	Status int
	Took   time.Duration
	// Dispatched reports that the request was admitted, so that targets may have got it.
	Dispatched bool
}

// StreamStart describes a stream that has been admitted.
type StreamStart struct {
	Route string
	// OutputTokens is the maximum length of the whole stream; 0 if unknown.
	OutputTokens int
	Arrived      time.Time
	// Remainder reports that the caller has a part of the stream already and asks for the rest.
	Remainder bool
}

// Handler serves callers. It implements http.Handler.
type Handler struct {
	options Options
	bodies  *bodyMemory
}

// NewHandler returns a Handler.
func NewHandler(options Options) *Handler {
	bodies := int64(maxBodiesBytes)
	if options.RequestMemoryBytes > 0 {
		bodies = min(bodies, int64(maxBodiesShare*float64(options.RequestMemoryBytes)))
	}
	return &Handler{options: options, bodies: newBodyMemory(bodies)}
}

const (
	// defaultWait is the timeout of requests whose caller does not say how long it waits.
	defaultWait = 30 * time.Second
	// bodyTimeout limits the time for reading a caller's body: the caller may stop sending.
	bodyTimeout = 5 * time.Second
	// defaultBodyBytes limits bodies if the configuration sets no limit.
	defaultBodyBytes = 4 << 20
	// maxReadyWait limits the wait of a request for the first snapshot of an entry that has just started,
	// which takes a few round trips to the store. It is short compared with the objectives of plain calls.
	maxReadyWait = 40 * time.Millisecond
	// stopRetryAfter is the Retry-After of an entry that stops: almost at once, since the retry reaches
	// another entry.
	stopRetryAfter = 20 * time.Millisecond
	// startRetryAfter is the Retry-After of an entry without a snapshot, while the store does not answer.
	startRetryAfter = 300 * time.Millisecond
	// bodyRetryAfter is the Retry-After of a request whose body found no room: large bodies are sent on within tenths of a second.
	bodyRetryAfter = 300 * time.Millisecond
)

// request is one request of a caller while it is served.
type request struct {
	handler *Handler
	header  platform.CallerHeader
	http    *http.Request
	writer  http.ResponseWriter
	// conn is the caller's connection; nil if its server doesn't limit what callers make the process hold.
	conn     *callerlimit.Conn
	arrived  time.Time
	deadline time.Time
	route    *directory.Route
	service  string
	customer string
	// priority is the customer's, which overrides the route's; nil if it has none.
	priority *int
	snapshot *directory.Snapshot
	body     []byte
	// releaseBody frees the memory that the body takes of that of all bodies; nil for a small one.
	releaseBody func()
	// dispatched is set once the request is admitted.
	dispatched bool
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	defer context.AfterFunc(h.options.Stopped, func() { cancel(errEntryStops) })()
	call := &request{
		handler: h, http: r.WithContext(ctx), writer: w, conn: callerlimit.FromContext(ctx), arrived: time.Now(),
		header: platform.DecodeCallerHeader(r.Header), snapshot: h.options.Snapshot(),
	}
	// Prevents net/http from adding fields that the target did not send.
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
	defer func() {
		if call.releaseBody != nil {
			call.releaseBody()
		}
	}()
	if rejected := call.admit(); rejected != nil {
		call.writeError(rejected)
		return
	}
	cost := int64(callerlimit.CallBytes)
	if call.route.Class == directory.Stream {
		cost = callerlimit.StreamBytes
	}
	if !call.conn.BeginForwarding(cost) {
		call.writeError(call.refuseForMemory())
		return
	}
	call.dispatched = true
	if call.route.Class == directory.Stream {
		call.relay()
		return
	}
	call.forward()
}

// errorAnswer is an answer that the entry itself gives, without one of a target.
type errorAnswer struct {
	status     int
	reason     string
	retryAfter time.Duration
	// text is the body, for people; empty for none.
	text string
}

// uriOf returns the path and query as the caller sent them, without scheme and host.
func uriOf(r *http.Request) string {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return r.URL.RequestURI()
	}
	return r.RequestURI
}

// writeError writes an answer that the entry itself gives.
func (c *request) writeError(r *errorAnswer) {
	if r.retryAfter > 0 {
		seconds := strconv.FormatFloat(r.retryAfter.Seconds(), 'f', -1, 64)
		c.writer.Header().Set("Retry-After", seconds)
	}
	c.askToClose()
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(r.text)))
	c.writer.WriteHeader(r.status)
	_, _ = io.WriteString(c.writer, r.text) // the caller may have left
	c.recordEnd(r.status, r.reason)
}

// recordEnd logs the end of the request and calls Observe.
func (c *request) recordEnd(status int, reason string) {
	took := time.Since(c.arrived)
	fields := []generation.Field{
		{Key: "request", Value: c.header.RequestID}, {Key: "status", Value: status}, {Key: "reason", Value: reason},
		{Key: "took", Value: took}, {Key: "left_at_arrival", Value: c.header.Timeout},
	}
	if c.snapshot.Ready() {
		fields = append(fields, generation.Field{Key: "configuration", Value: c.snapshot.Configuration.Version},
			generation.Field{Key: "targets_revision", Value: c.snapshot.TargetsRevision})
	}
	class, route := directory.AtMostOnce, ""
	if c.route != nil {
		class, route = c.route.Class, c.route.Name
		fields = append(fields, generation.Field{Key: "route", Value: c.route.Name}, generation.Field{Key: "service", Value: c.service})
	}
	c.handler.options.Log("request-ended", fields...)
	c.handler.options.Observe(Observation{Class: class, Route: route, Status: status, Took: took, Dispatched: c.dispatched})
}

// abort closes the caller's connection, so that the caller does not take a partial answer for a complete one.
func (c *request) abort(reason string) {
	c.recordEnd(0, reason)
	panic(http.ErrAbortHandler)
}

// enginePriority returns the request's priority at engines.
func (c *request) enginePriority() *int {
	if c.priority != nil {
		return c.priority
	}
	return &c.route.Priority
}

// targetPayload is the Payload of a RelayRequest or a ForwardedCall: it builds the request to a target.
type targetPayload struct {
	call *request
}

// encode returns the request for one attempt.
func (o *targetPayload) encode(header platform.TargetHeader) *targethttp.Request {
	header.Customer = o.call.customer
	r := o.call.http
	return &targethttp.Request{
		Method:   r.Method,
		URI:      uriOf(r),
		Host:     r.Host,
		Header:   header.Encode(r.Header),
		Body:     o.call.body,
		HasBody:  r.ContentLength != 0 || r.Header.Get("Content-Length") != "",
		IDHeader: platform.RequestIDHeader,
		ID:       o.call.header.RequestID,
	}
}

// answer is a target's answer with its whole body.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// write sends a target's answer to the caller. A failure whose status promises that nothing ran is replaced where the request may not
// be repeated: the target has not said so in the way in which targets do, and the caller would send the request again.
func (c *request) write(a *answer) {
	if !c.route.Repeatable() && platform.PromisesNotRun(a.status) {
		c.writeError(&errorAnswer{status: http.StatusBadGateway, reason: "outcome unknown: the target answered " + strconv.Itoa(a.status)})
		return
	}
	c.copyHeader(a.header)
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	if length := a.header.Get("Content-Length"); c.http.Method == http.MethodHead && length != "" {
		c.writer.Header().Set("Content-Length", length)
	}
	c.writer.WriteHeader(a.status)
	if _, err := c.writer.Write(a.body); err != nil && c.http.Method != http.MethodHead {
		c.abort("caller can't be written to: " + err.Error())
	}
	c.recordEnd(a.status, "answer of the target")
}

func (c *request) copyHeader(header http.Header) {
	into := c.writer.Header()
	for name, values := range platform.CallerAnswerHeader(header) {
		into[name] = values
	}
	c.askToClose()
}

// forward serves a plain call.
func (c *request) forward() {
	versions, ended := c.handler.beginRequest(c.service, false)
	defer ended(false)
	result, err := c.handler.options.Forwarder.Do(c.http.Context(), &service.ForwardedCall{
		ID:          c.header.RequestID,
		Fingerprint: c.fingerprint(),
		Service:     c.service,
		Route:       c.route.Name,
		Versions:    versions,
		Repeatable:  c.route.Repeatable(),
		MaxAttempts: c.route.MaxAttempts,
		Deadline:    c.deadline,
		Objective:   c.route.LatencyObjective,
		Payload:     &targetPayload{call: c},
	})
	var notRun *service.NotRunError
	var poison *generation.PoisonError
	switch {
	case err == nil:
		c.write(result.(*answer))
	case errors.As(err, &poison):
		c.writePoison(poison)
	case errors.As(err, &notRun):
		c.writeError(&errorAnswer{status: http.StatusServiceUnavailable, reason: notRun.Error(), retryAfter: notRun.RetryAfter})
	case c.isCutOff():
		c.writeError(&errorAnswer{status: http.StatusBadGateway, reason: "outcome unknown: " + errEntryStops.Error()})
	case errors.Is(err, context.Canceled):
		c.abort("caller gone")
	case errors.Is(err, context.DeadlineExceeded):
		c.writeError(&errorAnswer{status: http.StatusGatewayTimeout, reason: err.Error()})
	default:
		c.writeError(&errorAnswer{status: http.StatusBadGateway, reason: err.Error()})
	}
}

// writePoison answers a request that is refused because it crashes targets. The status is none that asks callers to
// come back.
func (c *request) writePoison(poison *generation.PoisonError) {
	c.writeError(&errorAnswer{status: http.StatusBadGateway, reason: poison.Error(), text: poisonText(poison)})
}

// poisonText tells a caller that its request must not come back.
func poisonText(poison *generation.PoisonError) string {
	if len(poison.Parts) == 0 {
		return "This request crashes engines and is refused. Do not send it again.\n"
	}
	return "Prompts with " + strings.Join(poison.Parts, " and ") + " crash engines and are refused. Do not send them again.\n"
}

// fingerprintBytes is the length of a fingerprint; short, since entries exchange fingerprints.
const fingerprintBytes = 12

// fingerprint identifies what a target runs: method, host, path, query, customer and body.
func (c *request) fingerprint() string {
	sum := sha256.New()
	for _, part := range []string{c.http.Method, strings.ToLower(hostOf(c.http.Host)), uriOf(c.http), c.customer} {
		_, _ = sum.Write([]byte(strconv.Itoa(len(part)) + ":" + part)) // never fails
	}
	_, _ = sum.Write(c.body)
	return hex.EncodeToString(sum.Sum(nil)[:fingerprintBytes])
}
