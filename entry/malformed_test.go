package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// peerPaths are the paths of the protocols between entries.
var peerPaths = []string{
	"/twirp/azurebarrow.membership.Membership/Probe", "/twirp/azurebarrow.membership.Membership/ProbeVia",
	"/twirp/azurebarrow.directory.Directory/Since", "/twirp/azurebarrow.retry.Retry/Report",
	"/stream-versions", "/stream-versions?serving", "/stream-versions?stream=s&customer=c", "/target-exchanges", "/target-probes",
}

// malformedJSON are messages that are JSON and not what the paths expect.
var malformedJSON = []string{
	`null`, `[]`, `{}`, `"text"`, `{"from":null,"deltas":[null,{}],"notices":[null,{}]}`, `{"peer":null,"message":{"from":{},"deltas":[null]}}`,
	`{"parts":[null]}`, `{"stream":"s","version":null}`, `{"stream":"s","customer":{},"version":1}`, `{"stream":"s","store":true}`,
	`{"entry":"e","services":{"x":-1}}`, `{"from":{"name":"","address":"","incarnation":"18446744073709551615"},"deltas":[{"peer":{},"state":99}]}`,
}

// Guards against an entry that ends, or stops serving, because of one malformed message of a peer, a caller or an operator.
func TestMalformedMessagesTakeNoEntryDown(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 3)
	random := rand.New(rand.NewPCG(1, 2))
	client := &http.Client{Timeout: 2 * time.Second}
	post := func(method, url, contentType string, body []byte) {
		request, err := http.NewRequest(method, url, bytes.NewReader(body))
		is.NoErr(err)
		request.Header.Set("Content-Type", contentType)
		response, err := client.Do(request)
		if err != nil {
			return // the entry may close the connection
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	settings := c.entries[0].settings
	for round := range 40 {
		for _, path := range peerPaths {
			for _, method := range []string{http.MethodPost, http.MethodPut} {
				noise := make([]byte, random.IntN(200))
				for i := range noise {
					noise[i] = byte(random.IntN(256))
				}
				post(method, "http://"+settings.PeerAddress+path, "application/protobuf", noise)
				post(method, "http://"+settings.PeerAddress+path, "application/json", []byte(malformedJSON[(round+len(path))%len(malformedJSON)]))
			}
		}
		post(http.MethodPost, "http://"+settings.AdminAddress+"/prompt-parts/allow", "application/x-www-form-urlencoded", []byte("parts=%zz&&=;"))
		post(http.MethodPost, "http://"+settings.CallerAddress+"/drafts/"+strings.Repeat("%2F..", round), "text/plain", nil)
	}
	for _, spec := range []string{`null`, `[]`, `{"version":"x"}`, `{"version":9,"routes":[null]}`, `{"version":10,"routes":[{"name":null}],"tenants":[null],"services":[null]}`} {
		c.store.Put("config", "main", json.RawMessage(spec))
		c.store.Put("servers", "i-strange", json.RawMessage(spec))
		c.store.Put("azurebarrow-stream-versions", "strange", json.RawMessage(spec))
		c.store.Put("azurebarrow-prompts", "strange", json.RawMessage(spec))
		time.Sleep(50 * time.Millisecond)
	}
	for i := range c.entries {
		path := fmt.Sprintf("/drafts/after-%d", i)
		response, text, err := c.request(i, "POST", path, fmt.Sprint("after-", i), "k1", "")
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(text, expectedStream(path))
	}
	is.Equal(c.eventCount("entry-stopped"), 0)
}
