package servicehttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/idempotency"
	"github.com/azurebarrow/azurebarrow/service"
)

// abruptServer answers the first requests of each connection, then reads one more request and
// closes the connection without an answer.
type abruptServer struct {
	listener           net.Listener
	answers            int
	received           atomic.Int64
	idempotencyHeaders atomic.Int64
}

func newAbruptServer(t *testing.T, answers int) *abruptServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &abruptServer{listener: listener, answers: answers}
	t.Cleanup(func() { _ = listener.Close() })
	go server.serve()
	return server
}

func (s *abruptServer) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *abruptServer) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for range s.answers {
		callID, ok := s.readRequest(reader)
		if !ok {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+callIDHeader+": "+callID+"\r\nContent-Length: 2\r\n\r\nok")
	}
	_, _ = s.readRequest(reader)
}

func (s *abruptServer) readRequest(reader *bufio.Reader) (callID string, ok bool) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	s.received.Add(1)
	if request.Header.Get("Idempotency-Key") != "" || request.Header.Get("X-Idempotency-Key") != "" {
		s.idempotencyHeaders.Add(1)
	}
	return request.Header.Get(callIDHeader), true
}

func atMostOnceRequest(method string, body string) service.Request {
	return service.Request{
		Method: method, Path: "/weighings?crate=7", Body: []byte(body), RequestKey: "k1", Once: true,
		Header: []idempotency.HeaderField{{Name: "idempotency-key", Value: "k1"}, {Name: "X-Idempotency-Key", Value: "k1"}},
	}
}

func TestTransportNeverRetriesAtMostOnceRequest(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodPut, http.MethodDelete} {
		for _, body := range []string{"", "weight=312"} {
			for _, answers := range []int{0, 1} { // a new connection, a reused one
				t.Run(method+"/"+body, func(t *testing.T) {
					is := is.New(t)
					server := newAbruptServer(t, answers)
					transport := New(Options{})
					defer transport.Close()
					target := service.Target{Address: server.listener.Addr().String()}
					for range answers {
						_, err := transport.Do(t.Context(), target, atMostOnceRequest(method, body))
						is.NoErr(err)
						time.Sleep(settleTime)
					}
					_, err := transport.Do(t.Context(), target, atMostOnceRequest(method, body))
					var notSent *service.NotSentError
					is.True(err != nil)
					is.True(!errors.As(err, &notSent))                   // the server received the request
					is.Equal(server.received.Load(), int64(answers+1))   // not retried
					is.Equal(server.idempotencyHeaders.Load(), int64(0)) // no header that lets net/http retry
				})
			}
		}
	}
}

// Shows that the test above can fail: the transport of net/http retries a request that it considers idempotent.
func TestRetryOfNetHTTPIsSeen(t *testing.T) {
	is := is.New(t)
	server := newAbruptServer(t, 1)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for range 2 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.listener.Addr().String()+"/", nil)
		is.NoErr(err)
		response, err := transport.RoundTrip(request)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
	}
	is.Equal(server.received.Load(), int64(3))
}

// Requests that may be repeated are so by the caller of the transport alone, which counts them.
func TestTransportNeverRetriesIdempotentRequest(t *testing.T) {
	is := is.New(t)
	server := newAbruptServer(t, 1)
	transport := New(Options{})
	defer transport.Close()
	target := service.Target{Address: server.listener.Addr().String()}
	request := service.Request{Method: http.MethodGet, Path: "/"}
	_, err := transport.Do(t.Context(), target, request)
	is.NoErr(err)
	time.Sleep(settleTime)
	_, err = transport.Do(t.Context(), target, request)
	is.True(err != nil)
	is.Equal(server.received.Load(), int64(2))
}

func TestRefusedConnectionProvesThatNothingWasSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	_, err = New(Options{}).Do(t.Context(), service.Target{Address: address}, atMostOnceRequest(http.MethodPost, "x"))
	var notSent *service.NotSentError
	is.True(errors.As(err, &notSent))
}

func TestCancelledCallIsNotProvenUnsent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		conn, _ := listener.Accept()
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		cancel()
	}()
	_, err = New(Options{}).Do(ctx, service.Target{Address: listener.Addr().String()}, atMostOnceRequest(http.MethodPost, "x"))
	var notSent *service.NotSentError
	is.True(err != nil)
	is.True(!errors.As(err, &notSent))
}

func TestRedirectsAreNotFollowed(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var served atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
	})}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	answer, err := New(Options{}).Do(t.Context(), service.Target{Address: listener.Addr().String()}, atMostOnceRequest(http.MethodPost, "x"))
	is.NoErr(err)
	is.Equal(answer.Status, http.StatusTemporaryRedirect)
	is.Equal(served.Load(), int64(1))
}
