package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/objects"
	"github.com/azurebarrow/azurebarrow/standin/fault"
	"github.com/matryer/is"
)

// client calls the stand-in over HTTP.
type client struct {
	t   *testing.T
	url string
}

func start(t *testing.T, options Options) (*Platform, client) {
	t.Helper()
	standin := New(options)
	server := httptest.NewServer(standin)
	t.Cleanup(server.Close)
	return standin, client{t, server.URL}
}

// put writes the Lease with the name, with the header as condition unless its name is empty.
func (c client) put(name, header, value string) (int, objects.Object, error) {
	request, _ := http.NewRequest(http.MethodPut, c.url+"/v1/objects/Lease/"+name, strings.NewReader(`{"v":1}`))
	if header != "" {
		request.Header.Set(header, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, objects.Object{}, err
	}
	defer response.Body.Close()
	var object objects.Object
	_ = json.NewDecoder(response.Body).Decode(&object)
	return response.StatusCode, object, nil
}

func (c client) get(path string, into any) int {
	c.t.Helper()
	response, err := http.Get(c.url + path)
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(into)
	return response.StatusCode
}

func TestConditionalWrites(t *testing.T) {
	is := is.New(t)
	_, c := start(t, DefaultOptions())
	status, created, _ := c.put("a", "If-None-Match", "*")
	is.Equal(status, http.StatusOK)
	status, _, _ = c.put("a", "If-None-Match", "*")
	is.Equal(status, http.StatusConflict)
	status, updated, _ := c.put("a", "If-Match", fmt.Sprint(created.Revision))
	is.Equal(status, http.StatusOK)
	is.Equal(updated.UID, created.UID)
	is.True(updated.Revision > created.Revision)
	status, _, _ = c.put("a", "If-Match", fmt.Sprint(created.Revision))
	is.Equal(status, http.StatusConflict)
	status, _, _ = c.put("missing", "If-Match", "1")
	is.Equal(status, http.StatusConflict)
}

func TestWatchReturnsLaterChangesOfItsKinds(t *testing.T) {
	is := is.New(t)
	standin, c := start(t, DefaultOptions())
	first := standin.Put("Lease", "a", json.RawMessage(`1`))
	standin.Put("Other", "b", json.RawMessage(`1`))
	answered := make(chan objects.List)
	go func() {
		var list objects.List
		c.get(fmt.Sprintf("/v1/watch?kinds=Lease&after=%d&timeout=20s", first.Revision), &list)
		answered <- list
	}()
	standin.Put("Lease", "c", json.RawMessage(`2`))
	list := <-answered
	is.Equal(len(list.Items), 1)
	is.Equal(list.Items[0].Name, "c")
}

func TestWatchOfDroppedRevisionIsGone(t *testing.T) {
	is := is.New(t)
	standin, c := start(t, Options{KeptEvents: 4})
	for i := range 20 {
		standin.Put("Lease", fmt.Sprint(i), json.RawMessage(`1`))
	}
	is.Equal(c.get("/v1/watch?kinds=Lease&after=1&timeout=1ms", &objects.List{}), http.StatusGone)
}

func TestWriteWithLostAnswerTakesEffect(t *testing.T) {
	is := is.New(t)
	standin, c := start(t, DefaultOptions())
	standin.Apply(fault.Fault{Kind: fault.LostWriteResponse, Count: 1})
	_, _, err := c.put("a", "If-None-Match", "*")
	is.True(err != nil)
	is.Equal(len(standin.Objects("Lease")), 1)
	is.Equal(standin.Stats().LostAnswers, int64(1))
}

func TestRateLimitAndOutageRejectCalls(t *testing.T) {
	is := is.New(t)
	standin, c := start(t, Options{WritesPerSecond: 0.001, KeptEvents: 10})
	status, _, _ := c.put("a", "", "")
	is.Equal(status, http.StatusOK)
	status, _, _ = c.put("a", "", "")
	is.Equal(status, http.StatusTooManyRequests)
	standin.Apply(fault.Fault{Kind: fault.Outage, Duration: v1.Duration(time.Hour)})
	is.Equal(c.get("/v1/objects/Lease", &objects.List{}), http.StatusServiceUnavailable)
	standin.Faults().Clear()
	is.Equal(c.get("/v1/objects/Lease", &objects.List{}), http.StatusOK)
	is.Equal(standin.Stats().Puts, int64(2))
}

func TestStaleFaultAnswersReadsFromStateWhenSwitchedOn(t *testing.T) {
	is := is.New(t)
	standin, c := start(t, DefaultOptions())
	old := standin.Put("Lease", "a", json.RawMessage(`1`))
	standin.Apply(fault.Fault{Kind: fault.StaleReads})
	standin.Put("Lease", "a", json.RawMessage(`2`))
	var object objects.Object
	is.Equal(c.get("/v1/objects/Lease/a", &object), http.StatusOK)
	is.Equal(object.Revision, old.Revision)
	status, written, _ := c.put("a", "If-Match", fmt.Sprint(old.Revision+1))
	is.Equal(status, http.StatusOK)
	is.Equal(written.Revision, old.Revision+2)
}

func TestLoadStoresEveryDocument(t *testing.T) {
	is := is.New(t)
	standin, _ := start(t, DefaultOptions())
	is.NoErr(standin.Load(strings.NewReader("kind: Model\nmetadata: {name: m}\n---\nkind: Target\nmetadata: {name: e1}\nspec: {address: 127.0.0.1:1}\n")))
	is.Equal(len(standin.Objects("Model")), 1)
	var target v1.Target
	is.NoErr(json.Unmarshal(standin.Objects("Target")[0].Value, &target))
	is.Equal(target.Spec.Address, "127.0.0.1:1")
	is.True(standin.Load(strings.NewReader("metadata: {name: m}\n")) != nil)
}
