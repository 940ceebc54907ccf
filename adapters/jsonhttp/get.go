// Package jsonhttp reads JSON documents over HTTP, for the adapters.
package jsonhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// MaxAnswerBytes limits the size of an answer; a longer one is cut there and fails to decode.
const MaxAnswerBytes = 16 << 20

// StatusError is the error for an answer with a status other than 200.
type StatusError struct {
	URL    string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("%s: status %d", e.URL, e.Status) }

// Get decodes the JSON document at url into the value that into points to. Errors are those of the
// transport and of the decoder, or a *StatusError.
func Get(ctx context.Context, client *http.Client, url string, into any) error {
	body, err := open(ctx, client, url)
	if err != nil {
		return err
	}
	defer body.Close()
	if err := json.NewDecoder(io.LimitReader(body, MaxAnswerBytes)).Decode(into); err != nil {
		return fmt.Errorf("%s: %w", url, err)
	}
	return nil
}

// Read returns the text of the document at url, cut at MaxAnswerBytes. Errors are those of the transport, or a *StatusError.
func Read(ctx context.Context, client *http.Client, url string) ([]byte, error) {
	body, err := open(ctx, client, url)
	if err != nil {
		return nil, err
	}
	defer body.Close()
	return io.ReadAll(io.LimitReader(body, MaxAnswerBytes))
}

// open returns the body of an answer with status 200.
func open(ctx context.Context, client *http.Client, url string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, &StatusError{URL: url, Status: response.StatusCode}
	}
	return response.Body, nil
}
