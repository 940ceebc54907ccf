package peerexchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/azurebarrow/azurebarrow/adapters/targethttp"
	"github.com/azurebarrow/azurebarrow/detour"
	"github.com/azurebarrow/azurebarrow/internal/httpheader"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/service"
)

// HandlerOptions are the dependencies of a Handler.
type HandlerOptions struct {
	Router *detour.Router
	// Send sends a request over this entry's own links, as targethttp.Pool.Do does.
	Send func(ctx context.Context, target detour.Target, request *targethttp.Request) (*targethttp.Answer, error)
	// ProbeOpen opens a connection to the target that must stay open for a while.
	ProbeOpen func(ctx context.Context, target detour.Target, open time.Duration) error
	// Lasts reports whether this entry runs for so long, Serves whether it sends requests to the target now.
	Lasts  func(timeout time.Duration) bool
	Serves func(target detour.Target) bool
}

// Handler sends requests of peers to targets.
type Handler struct {
	options HandlerOptions
	// room is the memory for large requests of peers.
	room *semaphore.Weighted
}

// NewHandler returns a Handler.
func NewHandler(options HandlerOptions) *Handler {
	return &Handler{options: options, room: semaphore.NewWeighted(maxLargeRequestsBytes)}
}

// Register adds the handler's paths to a mux. The handler of exchanges is wrapped.
func (h *Handler) Register(mux *http.ServeMux, wrap func(http.Handler) http.Handler) {
	mux.Handle("POST "+exchangePath, wrap(http.HandlerFunc(h.serveExchange)))
	mux.HandleFunc("POST "+probePath, h.serveProbe)
}

// question is what a peer asks about a target.
type question struct {
	target  detour.Target
	timeout time.Duration
}

// question returns what a peer asks, and detour.Sent if this entry may send to the target.
func (h *Handler) question(r *http.Request) (question, detour.Outcome) {
	if from := r.Header.Get(fieldFrom); from != "" {
		h.options.Router.RecordLost(from)
	}
	milliseconds, err := strconv.ParseInt(r.Header.Get(fieldTimeout), 10, 64)
	asked := question{detour.Target{ID: r.Header.Get(fieldTargetID), Address: r.Header.Get(fieldAddress)}, time.Duration(milliseconds) * time.Millisecond}
	switch {
	case err != nil, !h.options.Lasts(asked.timeout):
		return asked, detour.Refused
	case !h.options.Serves(asked.target):
		return asked, detour.Unserved
	}
	return asked, detour.Sent
}

func (h *Handler) serveProbe(w http.ResponseWriter, r *http.Request) {
	asked, outcome := h.question(r)
	result := detour.Result{Outcome: outcome}
	if outcome == detour.Sent {
		result = h.options.Router.HelpConnect(r.Context(), asked.target)
	}
	if asked.timeout > 0 && (result.Outcome == detour.Sent || result.Outcome == detour.Unreachable) {
		// Without a connection just now, too: this entry's links may have returned before they were checked.
		result.Outcome = h.probeOpen(r.Context(), asked)
	}
	writeResult(w, result)
}

// probeOpen returns detour.Sent if a connection to the target stays open for the time asked for, else detour.Unreachable.
func (h *Handler) probeOpen(ctx context.Context, asked question) detour.Outcome {
	if h.options.ProbeOpen(ctx, asked.target, asked.timeout) != nil {
		return detour.Unreachable
	}
	return detour.Sent
}

func writeResult(w http.ResponseWriter, result detour.Result) {
	if result.Helper != "" {
		w.Header().Set(fieldHelper, result.Helper)
	}
	writeOutcome(w, result.Outcome.String())
}

func writeOutcome(w http.ResponseWriter, outcome string) {
	w.Header().Set(fieldOutcome, outcome)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusOK)
}

func (h *Handler) serveExchange(w http.ResponseWriter, r *http.Request) {
	asked, outcome := h.question(r)
	if outcome != detour.Sent {
		writeResult(w, detour.Result{Outcome: outcome})
		return
	}
	release, hasRoom := h.reserve(r.ContentLength)
	if !hasRoom {
		writeResult(w, detour.Result{Outcome: detour.Refused})
		return
	}
	defer release()
	request, err := readRequest(http.MaxBytesReader(w, r.Body, maxRequestBytes), r.Header.Get(fieldIDHeader))
	if err != nil {
		writeResult(w, detour.Result{Outcome: detour.Refused})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), asked.timeout)
	defer cancel()
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(asked.timeout)) // if unsupported, the peer's close ends the exchange
	result := h.options.Router.Help(ctx, request.ID, asked.target, func(ctx context.Context, _ *membership.Peer) detour.Result {
		return h.exchange(ctx, w, asked.target, request)
	})
	if result.Outcome != detour.Sent {
		writeResult(w, result)
	}
}

// reserve takes memory for a request of a length, -1 if unknown, until release is called. It reports whether there was enough: a peer
// without room refuses, and another one may help.
func (h *Handler) reserve(length int64) (release func(), hasRoom bool) {
	if length < 0 {
		length = maxRequestBytes
	}
	if length <= smallRequestBytes {
		return func() {}, true
	}
	length = min(length, maxLargeRequestsBytes) // a larger one is held alone
	return func() { h.room.Release(length) }, h.room.TryAcquire(length)
}

// exchange sends the request and passes the answer on. If nothing was sent, nothing is passed on either.
func (h *Handler) exchange(ctx context.Context, w http.ResponseWriter, target detour.Target, request *targethttp.Request) detour.Result {
	answer, err := h.options.Send(ctx, target, request)
	var notSent *service.NotSentError
	switch {
	case errors.As(err, &notSent):
		return detour.Result{Outcome: detour.Unreachable}
	case targethttp.IsConnectionLost(err):
		writeOutcome(w, outcomeBroken)
	case errors.Is(err, targethttp.ErrHeldUp):
		writeOutcome(w, outcomeHeldUp)
	case err != nil:
		writeOutcome(w, outcomeUnknown)
	default:
		defer answer.Close()
		passAnswer(w, request, answer)
	}
	return detour.Result{Outcome: detour.Sent}
}

// passAnswer passes an answer on as it arrives. One that breaks off ends with the peer's connection.
func passAnswer(w http.ResponseWriter, request *targethttp.Request, answer *targethttp.Answer) {
	header := w.Header()
	header["Date"], header["Content-Type"] = nil, nil // net/http adds no fields that the target did not send
	for name, values := range httpheader.EndToEnd(answer.Header) {
		header[name] = values
	}
	header.Set(fieldOutcome, outcomeAnswered)
	switch {
	case request.Method == http.MethodHead:
		if length := header.Get("Content-Length"); length != "" {
			header.Set(fieldLength, length)
		}
		header.Set("Content-Length", "0")
	case answer.Length >= 0:
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	default:
		header.Del("Content-Length")
	}
	w.WriteHeader(answer.Status)
	if err := copyFlushing(w, answer.Body); err != nil {
		_ = http.NewResponseController(w).Flush() // without the head, the peer takes this entry for the one that broke off
		panic(http.ErrAbortHandler)
	}
}

// copyBufferBytes holds a few events of a stream.
const copyBufferBytes = 16 << 10

func copyFlushing(w http.ResponseWriter, body io.Reader) error {
	control := http.NewResponseController(w)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
			if flushErr := control.Flush(); flushErr != nil {
				return flushErr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readRequest reads a request in the form in which the target is to get it.
func readRequest(body io.Reader, idHeader string) (*targethttp.Request, error) {
	text, err := io.ReadAll(body)
	if err != nil {
		return nil, err
	}
	parsed, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
	if err != nil {
		return nil, err
	}
	defer parsed.Body.Close()
	content, err := io.ReadAll(parsed.Body)
	if err != nil {
		return nil, err
	}
	request := &targethttp.Request{
		Method: parsed.Method, URI: parsed.RequestURI, Host: parsed.Host, Header: parsed.Header, Body: content,
		HasBody: parsed.Header.Get("Content-Length") != "", IDHeader: idHeader, ID: parsed.Header.Get(idHeader),
	}
	request.Header.Del("Content-Length")
	return request, nil
}
