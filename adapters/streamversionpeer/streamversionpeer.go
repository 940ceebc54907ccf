// Package streamversionpeer carries the records of package streamversion between entries, as JSON over HTTP.
package streamversionpeer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/streamversion"
)

const (
	path = "/stream-versions"
	// streamParameter and customerParameter name the stream and its customer in the query of a GET.
	streamParameter   = "stream"
	customerParameter = "customer"
	// maxRecordBytes limits what is read of one record, or of the versions that have served lately.
	maxRecordBytes = 4 << 10
	// servingParameter in the query of a GET asks for the versions that have served lately.
	servingParameter = "serving"
)

// Client implements streamversion.Transport.
type Client struct{ client *http.Client }

// NewClient returns a Client that sends through client.
func NewClient(client *http.Client) *Client { return &Client{client} }

// Put implements streamversion.Transport.
func (c *Client) Put(ctx context.Context, peer membership.Peer, record streamversion.Record) error {
	body, err := json.Marshal(record)
	if err != nil {
		return err
	}
	_, _, err = c.do(ctx, http.MethodPut, "http://"+peer.Address+path, body)
	return err
}

// Get implements streamversion.Transport.
func (c *Client) Get(ctx context.Context, peer membership.Peer, stream, customer string) (streamversion.Record, bool, error) {
	query := url.Values{streamParameter: {stream}, customerParameter: {customer}}.Encode()
	body, found, err := c.do(ctx, http.MethodGet, "http://"+peer.Address+path+"?"+query, nil)
	if err != nil || !found {
		return streamversion.Record{}, false, err
	}
	var record streamversion.Record
	if err := json.Unmarshal(body, &record); err != nil {
		return streamversion.Record{}, false, err
	}
	return record, record.Stream == stream, nil
}

// Serving implements streamversion.Transport.
func (c *Client) Serving(ctx context.Context, peer membership.Peer) (map[string][]string, bool, error) {
	body, known, err := c.do(ctx, http.MethodGet, "http://"+peer.Address+path+"?"+servingParameter, nil)
	if err != nil || !known {
		return nil, false, err
	}
	var serving map[string][]string
	if err := json.Unmarshal(body, &serving); err != nil {
		return nil, false, err
	}
	return serving, true, nil
}

// do sends a request; found is false after status 204.
func (c *Client) do(ctx context.Context, method, address string, body []byte) (answer []byte, found bool, err error) {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, false, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(io.LimitReader(response.Body, maxRecordBytes))
	if err == nil && response.StatusCode >= http.StatusMultipleChoices {
		err = fmt.Errorf("%s %s: status %d", method, path, response.StatusCode)
	}
	return answer, response.StatusCode == http.StatusOK, err
}

// NewHandler returns the handler of an entry's records, and its path.
func NewHandler(records *streamversion.Manager) (pattern string, handler http.Handler) {
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case http.MethodPut:
			var record streamversion.Record
			if err := json.NewDecoder(io.LimitReader(r.Body, maxRecordBytes)).Decode(&record); err != nil || record.Stream == "" {
				http.Error(w, "not a record of a stream", http.StatusBadRequest)
				return
			}
			records.Put(record)
			w.WriteHeader(http.StatusNoContent)
		case http.MethodGet:
			query := r.URL.Query()
			if query.Has(servingParameter) {
				serving, known := records.Serving()
				writeAnswer(w, serving, known)
				return
			}
			record, found := records.Get(query.Get(streamParameter), query.Get(customerParameter))
			writeAnswer(w, record, found)
		default:
			w.WriteHeader(http.StatusMethodNotAllowed)
		}
	})
}

// writeAnswer answers a GET; status 204 says that the entry doesn't know it.
func writeAnswer(w http.ResponseWriter, answer any, known bool) {
	if !known {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // the peer may have left
}
