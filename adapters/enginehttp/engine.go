// Package enginehttp is the adapter that runs generations on engines over HTTP and server-sent
// events.
package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/targetcall"
	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/service"
)

const (
	dialTimeout = time.Second
	// headerTimeout limits the time from the start of a call to the header of its answer. An engine
	// answers as soon as it has queued the request, before the first token.
	headerTimeout       = 2 * time.Second
	cancelTimeout       = 2 * time.Second
	idleConnsPerTarget  = 64
	idleConnTimeout     = 30 * time.Second
	maxRefusalBodyBytes = 4 << 10
)

// errDraining is returned when a target rejects a request because it is draining.
var errDraining = fmt.Errorf("%w: leaving", generation.ErrRefused)

// Error codes of an engine that rejects a request because it is draining or has too many.
const (
	codeDraining   = "leaving"
	codeOverloaded = "overloaded"
)

// Options configures an Engine.
type Options struct {
	// ObserveDraining is called with the name of each target that rejects a request because it is
	// draining. It may be nil.
	ObserveDraining func(target string)
	// Send sends requests to targets; nil sends them over connections of the adapter's own.
	Send targetcall.Send
}

// Engine implements generation.Engine.
type Engine struct {
	options Options
	client  http.Client
}

// New returns an Engine with its own connection pool.
func New(options Options) *Engine {
	return &Engine{options: options, client: http.Client{Transport: targetcall.New(targetcall.Options{
		DialTimeout:           dialTimeout,
		HeadTimeout:           headerTimeout,
		MaxIdleConnsPerTarget: idleConnsPerTarget,
		IdleTimeout:           idleConnTimeout,
		Send:                  options.Send,
	})}}
}

type generateBody struct {
	RequestID string   `json:"requestId"`
	Attempt   int      `json:"attempt"`
	Model     string   `json:"model"`
	Version   string   `json:"version"`
	Adapter   string   `json:"adapter,omitempty"`
	Prompt    string   `json:"prompt"`
	Output    []string `json:"output,omitempty"`
	MaxTokens int      `json:"maxTokens"`
	Seed      int64    `json:"seed"`
	Priority  int      `json:"priority"`
}

// Generate implements generation.Engine.
func (e *Engine) Generate(ctx context.Context, target *v1.Target, request generation.StreamRequest) (generation.Stream, error) {
	body, err := json.Marshal(generateBody{
		RequestID: request.ID.Generation,
		Attempt:   request.ID.Attempt,
		Model:     request.Request.Model,
		Version:   request.Request.Version,
		Adapter:   request.Request.Adapter,
		Prompt:    request.Request.Prompt,
		Output:    request.Output,
		MaxTokens: request.Request.MaxTokens,
		Seed:      request.Request.Seed,
		Priority:  request.Request.Priority,
	})
	if err != nil {
		return nil, err
	}
	stream, err := e.openStream(ctx, http.MethodPost, "http://"+target.Spec.Address+"/v1/generate", body)
	if errors.Is(err, errDraining) && e.options.ObserveDraining != nil {
		e.options.ObserveDraining(target.Metadata.Name)
	}
	return stream, err
}

// Attach implements generation.Engine.
func (e *Engine) Attach(ctx context.Context, target *v1.Target, id generation.StreamID, from int) (generation.Stream, error) {
	return e.openStream(ctx, http.MethodGet, streamURL(target, id)+"?from="+strconv.Itoa(from), nil)
}

// Cancel implements generation.Engine.
func (e *Engine) Cancel(ctx context.Context, target *v1.Target, id generation.StreamID) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, streamURL(target, id), nil)
	if err != nil {
		return err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusNotFound {
		return fmt.Errorf("cancel of %s attempt %d: status %d", id.Generation, id.Attempt, response.StatusCode)
	}
	return nil
}

func streamURL(target *v1.Target, id generation.StreamID) string {
	return "http://" + target.Spec.Address + "/v1/streams/" + url.PathEscape(id.Generation) + "/" + strconv.Itoa(id.Attempt)
}

func (e *Engine) openStream(ctx context.Context, method, address string, body []byte) (generation.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := e.client.Do(request)
	if err != nil {
		cancel()
		return nil, dispatchError(err)
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		defer response.Body.Close()
		return nil, refusalError(response)
	}
	return newStream(response.Body, cancel), nil
}

// dispatchError distinguishes a request that was not sent, because no connection could be opened,
// from one that the target may have received.
func dispatchError(err error) error {
	var notSent *service.NotSentError
	if errors.As(err, &notSent) {
		return fmt.Errorf("%w: %w", generation.ErrUnreachable, err)
	}
	return fmt.Errorf("%w: %w", generation.ErrStreamBroken, err)
}

// isRequestRefused reports whether the status says that the request is at fault, so that nothing ran. A time-out may come from a
// host in front of the engine.
func isRequestRefused(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusRequestTimeout
}

// refusalError returns the typed error for an answer with a status other than 200. Only the refusals of the protocol prove that
// the engine ran nothing.
func refusalError(response *http.Response) error {
	var body struct {
		Code string `json:"code"`
	}
	data, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusalBodyBytes))
	// If the body is not JSON, the code stays empty and the status alone decides.
	_ = json.Unmarshal(data, &body)
	switch {
	case response.StatusCode == http.StatusNotFound && body.Code == "not-loaded":
		return generation.ErrNotLoaded
	case response.StatusCode == http.StatusNotFound:
		return generation.ErrNoSuchStream
	case response.StatusCode == http.StatusServiceUnavailable && body.Code == codeDraining:
		return errDraining
	case response.StatusCode == http.StatusServiceUnavailable && body.Code == codeOverloaded, isRequestRefused(response.StatusCode):
		return fmt.Errorf("%w: status %d %s", generation.ErrRefused, response.StatusCode, body.Code)
	default:
		return fmt.Errorf("%w: status %d %s", generation.ErrStreamBroken, response.StatusCode, body.Code)
	}
}
