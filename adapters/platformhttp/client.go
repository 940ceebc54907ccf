// Package platformhttp is the adapter to the platform's object API over HTTP.
package platformhttp

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
	"strings"
	"time"

	"github.com/azurebarrow/azurebarrow/objects"
)

const (
	defaultTimeout = 2 * time.Second
	// watchSlack is the time after its wait at which a watch must have begun to answer. It is short, so that a
	// watch that hangs is soon made again.
	watchSlack = time.Second
	// maxAnswerBytes limits an answer to a list or watch.
	maxAnswerBytes = 256 << 20
)

// Options configures a Client.
type Options struct {
	// Timeout limits each write, and the time without data of each read; 0 means two seconds. It does not limit
	// the whole of a read: a long list may arrive slowly, and would be read from the start after a cut.
	Timeout time.Duration
	// Transport defaults to http.DefaultTransport.
	Transport http.RoundTripper
}

// Client calls the platform. It is safe for concurrent use and never retries: after a lost answer
// only the caller knows how to find out whether a write took effect.
type Client struct {
	baseURL string
	timeout time.Duration
	http    http.Client
}

// New returns a client of the platform at baseURL, such as "http://127.0.0.1:7000".
func New(baseURL string, options Options) *Client {
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	return &Client{
		baseURL: strings.TrimSuffix(baseURL, "/"),
		timeout: options.Timeout,
		http:    http.Client{Transport: options.Transport},
	}
}

// Get reads one object. It returns objects.ErrNotFound if there is none.
func (c *Client) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	var object objects.Object
	err := c.read(ctx, objectPath(kind, name), c.timeout, func(text []byte) (err error) {
		object, err = decodeObject(text)
		return err
	})
	return object, err
}

// List reads all objects of a kind. Those whose name or revision can't be read are left out, and reported as Unreadable.
func (c *Client) List(ctx context.Context, kind string) (objects.List, error) {
	list, err := c.readList(ctx, "/v1/objects/"+url.PathEscape(kind), c.timeout)
	return keepKind(list, kind), err
}

// Watch waits, up to wait, until an object of one of the kinds has a revision later than after. An empty list
// with a revision means that nothing changed. After objects.ErrTooOld the caller must list again.
func (c *Client) Watch(ctx context.Context, kinds []string, after int64, wait time.Duration) (objects.List, error) {
	query := url.Values{
		"kinds":   {strings.Join(kinds, ",")},
		"after":   {strconv.FormatInt(after, 10)},
		"timeout": {wait.String()},
	}
	return c.readList(ctx, "/v1/watch?"+query.Encode(), wait+watchSlack)
}

func (c *Client) readList(ctx context.Context, path string, firstByteTimeout time.Duration) (list objects.List, err error) {
	err = c.read(ctx, path, firstByteTimeout, func(text []byte) (err error) {
		list, err = decodeList(text)
		return err
	})
	return list, err
}

// Put writes an object if its current revision equals expected; with objects.MustNotExist it creates the
// object. It returns the stored object, a *objects.ConflictError, or an error that wraps
// objects.ErrUnavailable (no effect) or objects.ErrUnknownOutcome.
func (c *Client) Put(ctx context.Context, kind, name string, expected int64, value []byte) (objects.Object, error) {
	var object objects.Object
	err := c.write(ctx, http.MethodPut, kind, name, expected, value, func(text []byte) (err error) {
		object, err = decodeObject(text)
		return err
	})
	return object, err
}

// Delete removes an object if its current revision equals expected. It returns the errors of Put.
func (c *Client) Delete(ctx context.Context, kind, name string, expected int64) error {
	return c.write(ctx, http.MethodDelete, kind, name, expected, nil, nil)
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

var (
	errSilent         = errors.New("the platform was silent")
	errAnswerTooLarge = errors.New("the answer is larger than the bound")
)

// read makes one call and has the answer decoded. The answer must begin within firstByteTimeout.
func (c *Client) read(ctx context.Context, path string, firstByteTimeout time.Duration, decode func([]byte) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silenceTimer := time.AfterFunc(firstByteTimeout, func() { cancel(errSilent) })
	defer silenceTimer.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", objects.ErrUnavailable, err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return objects.ErrNotFound
	case http.StatusGone:
		return objects.ErrTooOld
	default:
		return fmt.Errorf("%w: status %d", objects.ErrUnavailable, response.StatusCode)
	}
	body := &activityReader{reader: response.Body, onData: func() { silenceTimer.Reset(c.timeout) }}
	if err := decodeBody(body, decode); err != nil {
		return fmt.Errorf("%w: %w", objects.ErrUnavailable, err)
	}
	return nil
}

// activityReader calls onData after each read that returned data.
type activityReader struct {
	reader io.Reader
	onData func()
}

// Read implements io.Reader.
func (r *activityReader) Read(buffer []byte) (int, error) {
	n, err := r.reader.Read(buffer)
	if n > 0 {
		r.onData()
	}
	return n, err
}

func (c *Client) write(ctx context.Context, method, kind, name string, expected int64, value []byte, decode func([]byte) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+objectPath(kind, name), bytes.NewReader(value))
	if err != nil {
		return err
	}
	// Without GetBody the transport can't retry the write by itself.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	if expected == objects.MustNotExist {
		request.Header.Set("If-None-Match", "*")
	} else {
		request.Header.Set("If-Match", strconv.FormatInt(expected, 10))
	}
	response, err := c.http.Do(request)
	if err != nil {
		return writeError(err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return objects.ErrNotFound
	case http.StatusConflict:
		return conflict(response.Body, kind, name, expected)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", objects.ErrUnavailable, response.StatusCode)
	default:
		return fmt.Errorf("platform: %s %s/%s: status %d", method, kind, name, response.StatusCode)
	}
	if decode == nil {
		return nil
	}
	if err := decodeBody(response.Body, decode); err != nil {
		return fmt.Errorf("%w: %w", objects.ErrUnknownOutcome, err)
	}
	return nil
}

// writeError distinguishes a write that was never sent from one whose answer was lost.
func writeError(err error) error {
	if isDialError(err) {
		return fmt.Errorf("%w: %w", objects.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", objects.ErrUnknownOutcome, err)
}

func conflict(body io.Reader, kind, name string, expected int64) error {
	var present struct {
		Present int64 `json:"present"`
	}
	if err := decodeBody(body, func(text []byte) error { return json.Unmarshal(text, &present) }); err != nil {
		return errors.Join(&objects.ConflictError{Kind: kind, Name: name, Expected: expected}, err)
	}
	return &objects.ConflictError{Kind: kind, Name: name, Expected: expected, Present: present.Present}
}

func decodeBody(body io.Reader, decode func([]byte) error) error {
	text, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err != nil {
		return err
	}
	if len(text) > maxAnswerBytes {
		return errAnswerTooLarge
	}
	return decode(text)
}
