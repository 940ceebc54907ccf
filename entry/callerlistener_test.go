package entry

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/adapters/callerlimit"
	"github.com/azurebarrow/azurebarrow/generation"
)

// Guards against requests that are cut off without an answer since they were accepted in the moment in which a stop ends.
func TestRequestAcceptedAsTheStopEndsIsAnswered(t *testing.T) {
	is := is.New(t)
	accepted := make(chan struct{})
	listener, err := newCallerListener("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(accepted)
		time.Sleep(closeTimeout / 4) // a call takes milliseconds
		_, _ = io.WriteString(w, "whole")
	}), callerlimit.New(callerlimit.Options{}), func(string, ...generation.Field) {})
	is.NoErr(err)
	go func() { _ = listener.run() }()
	type result struct {
		text string
		err  error
	}
	answered := make(chan result, 1)
	go func() {
		response, err := http.Get("http://" + listener.listener.Addr().String())
		if err != nil {
			answered <- result{err: err}
			return
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		answered <- result{string(text), err}
	}()
	<-accepted
	listener.close()
	got := <-answered
	is.NoErr(got.err)
	is.Equal(got.text, "whole")
}

// Guards against a stop that waits for requests which don't end.
func TestStopEndsBesideARequestThatDoesNot(t *testing.T) {
	is := is.New(t)
	accepted := make(chan struct{})
	listener, err := newCallerListener("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(accepted)
		<-r.Context().Done()
	}), callerlimit.New(callerlimit.Options{}), func(string, ...generation.Field) {})
	is.NoErr(err)
	go func() { _ = listener.run() }()
	ended := make(chan error, 1)
	go func() {
		_, err := http.Get("http://" + listener.listener.Addr().String())
		ended <- err
	}()
	<-accepted
	listener.close()
	is.True(<-ended != nil)
}
