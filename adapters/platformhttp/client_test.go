package platformhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/objects"
)

// testTimeout is the time without data after which the tests' client gives up.
const testTimeout = 200 * time.Millisecond

// pipeListener accepts the connections that its dial opens.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	l.conns <- server
	return client, nil
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// playWithStore calls play in virtual time with a client of a store that handler serves.
func playWithStore(t *testing.T, options Options, handler http.HandlerFunc, play func(t *testing.T, client *Client)) {
	synctest.Test(t, func(t *testing.T) {
		listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		server := &http.Server{Handler: handler}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = server.Serve(listener)
		}()
		transport := &http.Transport{DialContext: listener.dial}
		options.Transport = transport
		play(t, New("http://store", options))
		transport.CloseIdleConnections()
		_ = server.Close()
		<-ended
	})
}

// answerSlowly answers a call in eight pieces that together take twice testTimeout, and is then silent if the request asks for it.
func answerSlowly(w http.ResponseWriter, r *http.Request) {
	_, _ = w.Write([]byte(`{"revision":7,"items":[`))
	for range 8 {
		_ = http.NewResponseController(w).Flush()
		time.Sleep(testTimeout / 4)
		_, _ = w.Write([]byte(" "))
	}
	if r.URL.Path == "/v1/objects/Silent" {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	_, _ = w.Write([]byte(`]}`))
}

// Guards against a long list that is cut while data arrives, and read from the start for ever.
func TestLongListIsNotCutWhileDataArrives(t *testing.T) {
	playWithStore(t, Options{Timeout: testTimeout}, answerSlowly, func(t *testing.T, client *Client) {
		is := is.New(t)
		start := time.Now()
		list, err := client.List(t.Context(), "Target")
		is.NoErr(err)
		is.Equal(list.Revision, int64(7))
		is.Equal(time.Since(start), 2*testTimeout)
	})
}

func TestSilentListTimesOut(t *testing.T) {
	playWithStore(t, Options{Timeout: testTimeout}, answerSlowly, func(t *testing.T, client *Client) {
		is := is.New(t)
		start := time.Now()
		_, err := client.List(t.Context(), "Silent")
		is.True(errors.Is(err, objects.ErrUnavailable))
		is.True(errors.Is(err, errSilent))
		is.Equal(time.Since(start), 3*testTimeout) // the silence counts from the last piece
	})
}

// Guards against a watch that hangs unnoticed: config relies on the client to end it.
func TestSilentWatchTimesOut(t *testing.T) {
	silent := func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush() // the header alone is no answer
		<-r.Context().Done()
	}
	playWithStore(t, Options{}, silent, func(t *testing.T, client *Client) {
		is := is.New(t)
		start := time.Now()
		_, err := client.Watch(t.Context(), []string{"Target"}, 1, testTimeout)
		is.True(errors.Is(err, errSilent))
		is.Equal(time.Since(start), testTimeout+watchSlack)
	})
}
