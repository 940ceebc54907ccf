package service

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/azurebarrow/azurebarrow/standin/fault"
	"github.com/matryer/is"
)

func call(url, key string) (int, error) {
	request, _ := http.NewRequest(http.MethodPost, url+"/weighings", strings.NewReader("412 kg"))
	request.Header.Set(RequestKeyHeader, key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	return response.StatusCode, nil
}

func TestExecutionsAreCountedByKey(t *testing.T) {
	is := is.New(t)
	standin := New(Options{Name: "s1"})
	server := httptest.NewServer(standin)
	defer server.Close()
	for _, key := range []string{"a", "b", "a"} {
		status, err := call(server.URL, key)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
	is.Equal(standin.Stats().Executions, int64(3))
	is.Equal(standin.Stats().ExecutedTwice, []KeyCount{{"a", 2}})
	is.Equal(standin.Executions()[0].Body, "412 kg")
}

func TestDeduplicatingServiceRunsAKeyOnce(t *testing.T) {
	is := is.New(t)
	standin := New(Options{Deduplicate: true})
	server := httptest.NewServer(standin)
	defer server.Close()
	for range 3 {
		_, err := call(server.URL, "a")
		is.NoErr(err)
	}
	is.Equal(standin.Stats().Executions, int64(1))
	is.Equal(standin.Stats().Deduplicated, int64(2))
}

func TestResetsBeforeAndAfterExecuting(t *testing.T) {
	is := is.New(t)
	standin := New(Options{})
	server := httptest.NewServer(standin)
	defer server.Close()
	standin.Apply(fault.Fault{Kind: fault.ResetBefore, Count: 1})
	_, err := call(server.URL, "a")
	is.True(err != nil)
	is.Equal(standin.Stats().Executions, int64(0))
	standin.Apply(fault.Fault{Kind: fault.ResetAfter, Count: 1})
	_, err = call(server.URL, "a")
	is.True(err != nil)
	is.Equal(standin.Stats().Executions, int64(1))
}
