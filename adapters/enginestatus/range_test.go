package enginestatus

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/routing"
)

// Guards against a load out of range, which the router adds up and compares with others.
func TestLoadOutOfRangeIsNotReported(t *testing.T) {
	for _, load := range []string{
		`{"ageMs":0,"running":0,"queued":0,"concurrency":4611686018427387904}`,
		`{"ageMs":0,"running":0,"queued":0,"concurrency":-1}`,
		`{"ageMs":0,"running":-1000000,"queued":0,"concurrency":16}`,
		`{"ageMs":0,"running":9223372036854775807,"queued":1,"concurrency":16}`,
		`{"ageMs":0,"running":0,"queued":-5,"concurrency":16}`,
		`{"ageMs":-5,"running":0,"queued":0,"concurrency":16}`,
		`{"ageMs":0,"running":1e999,"queued":0,"concurrency":16}`,
	} {
		t.Run(load, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, load) }))
			defer server.Close()
			recorder := &fakeSink{}
			poller := NewPoller(nil, nil, recorder, NewInventories())
			poller.poll(t.Context(), "t", &v1.Target{Spec: v1.TargetSpec{Address: server.Listener.Addr().String()}}, &cachePosition{})
			is.Equal(recorder.load, routing.LoadReport{})
		})
	}
}

// Guards against an age that overflows.
func TestAgeOfALoadIsLimited(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"ageMs":9223372036854775807,"running":3,"queued":0,"concurrency":16}`)
	}))
	defer server.Close()
	recorder := &fakeSink{}
	poller := NewPoller(nil, nil, recorder, NewInventories())
	poller.poll(t.Context(), "t", &v1.Target{Spec: v1.TargetSpec{Address: server.Listener.Addr().String()}}, &cachePosition{})
	is.Equal(recorder.load, routing.LoadReport{Running: 3, Concurrency: 16, Age: maxLoadAge})
}
