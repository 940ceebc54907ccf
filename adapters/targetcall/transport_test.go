package targetcall

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/service"
	"github.com/azurebarrow/azurebarrow/standin/server"
)

// newCountedServer serves calls, whose answers name them, and counts its open connections and all it has accepted.
func newCountedServer(t *testing.T, handler http.HandlerFunc) (url string, connections func() (open, accepted int)) {
	t.Helper()
	var mu sync.Mutex
	open, accepted := 0, 0
	counted := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		server.NameCall(w, r)
		handler(w, r)
	}))
	counted.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		switch state {
		case http.StateNew:
			open++
			accepted++
		case http.StateClosed:
			open--
		}
	}
	counted.Start()
	t.Cleanup(counted.Close)
	return counted.URL, func() (int, int) {
		mu.Lock()
		defer mu.Unlock()
		return open, accepted
	}
}

func call(t *testing.T, client *http.Client, method, url, body string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return http.StatusText(response.StatusCode) + ":" + string(content)
}

func TestCallsArriveUnchangedOnOneConnection(t *testing.T) {
	is := is.New(t)
	url, connections := newCountedServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path == "/refused" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = io.WriteString(w, r.Method+" "+r.RequestURI+" "+string(body))
	})
	client := &http.Client{Transport: New(Options{})}
	defer client.CloseIdleConnections()
	for range 3 {
		for _, path := range []string{"/a%2Fb?x=1", "/refused"} {
			for _, method := range []string{http.MethodPost, http.MethodGet} {
				want := "OK:"
				if path == "/refused" {
					want = "Service Unavailable:"
				}
				is.Equal(call(t, client, method, url+path, "body"), want+method+" "+path+" body")
				time.Sleep(5 * time.Millisecond) // lets the goroutine that writes the request end
			}
		}
	}
	_, accepted := connections()
	is.Equal(accepted, 1)
}

func TestIdleConnectionsAreClosedWithoutFurtherCalls(t *testing.T) {
	is := is.New(t)
	url, connections := newCountedServer(t, func(http.ResponseWriter, *http.Request) {})
	client := &http.Client{Transport: New(Options{IdleTimeout: 50 * time.Millisecond})}
	is.Equal(call(t, client, http.MethodGet, url, ""), "OK:")
	deadline := time.Now().Add(5 * time.Second)
	for open, _ := connections(); open > 0; open, _ = connections() {
		if time.Now().After(deadline) {
			t.Fatal("the idle connection stays open")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestAnswerMustBeginInTime(t *testing.T) {
	is := is.New(t)
	silent := make(chan struct{})
	url, _ := newCountedServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/late-body" {
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(w, "late")
			return
		}
		<-silent
	})
	defer close(silent)
	client := &http.Client{Transport: New(Options{HeadTimeout: 50 * time.Millisecond})}
	defer client.CloseIdleConnections()
	_, err := client.Get(url)
	var notSent *service.NotSentError
	is.True(errors.Is(err, errHeadTimeout))
	is.True(!errors.As(err, &notSent))
	is.Equal(call(t, client, http.MethodGet, url+"/late-body", ""), "OK:late") // only the head is limited
}

// Guards against a data race, or a reader that hangs: streams are closed while they are read.
func TestBodyMayBeClosedWhileItIsRead(t *testing.T) {
	is := is.New(t)
	url, _ := newCountedServer(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	client := &http.Client{Transport: New(Options{})}
	response, err := client.Get(url)
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, response.Body)
		ended <- err
	}()
	time.Sleep(5 * time.Millisecond)
	is.NoErr(response.Body.Close())
	is.True(<-ended != nil) // cut off is not complete
}

func TestRefusedConnectionProvesThatNothingWasSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	_, err = (&http.Client{Transport: New(Options{})}).Get("http://" + listener.Addr().String())
	var notSent *service.NotSentError
	is.True(errors.As(err, &notSent))
}
