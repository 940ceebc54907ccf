package servicehttp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/service"
)

// callIDHeader is the field by which a target's answer names its call.
const callIDHeader = "Azurebarrow-Call-Id"

// settleTime lets what follows an answer arrive, and the goroutine that wrote the request end.
const settleTime = 10 * time.Millisecond

// repeatingServer answers each request with its key. From the second request of a connection on, it first writes the answer to
// the one before once more.
type repeatingServer struct {
	listener net.Listener
	conns    atomic.Int64
	// status is that of every answer.
	status int
	// named tells whether answers name their calls.
	named bool
	// sound tells that no answer is written twice.
	sound bool
}

func (s *repeatingServer) start(t *testing.T) service.Target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.listener = listener
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn)
		}
	}()
	return service.Target{Address: listener.Addr().String()}
}

func (s *repeatingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	former := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if !s.sound {
			_, _ = io.WriteString(conn, former)
		}
		former = s.answer(request)
		_, _ = io.WriteString(conn, former)
	}
}

func (s *repeatingServer) answer(request *http.Request) string {
	name := ""
	if s.named {
		name = callIDHeader + ": " + request.Header.Get(callIDHeader) + "\r\n"
	}
	body := request.Header.Get(RequestKeyHeader) + request.URL.Path
	return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", s.status, name, len(body), body)
}

// Guards against a second answer to an earlier call, which a faulty target writes late: it was taken for the answer to the next
// call on the connection, whose caller got it, and the ledger kept it for that call's key.
func TestLateAnswerIsNotTakenForThatToTheNextCall(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		for _, named := range []bool{true, false} {
			for _, keys := range [][]string{{"k1", "k2", "k3"}, {"k1", "k1", "k1"}} {
				t.Run(fmt.Sprintf("%d/named=%v/%s", status, named, keys[1]), func(t *testing.T) {
					is := is.New(t)
					server := &repeatingServer{status: status, named: named}
					target := server.start(t)
					transport := New(Options{})
					defer transport.Close()
					for i, key := range keys {
						request := atMostOnceRequest(http.MethodPost, "x")
						request.RequestKey, request.Path = key, fmt.Sprintf("/%d", i)
						answer, err := transport.Do(t.Context(), target, request)
						is.NoErr(err)
						is.Equal(string(answer.Body), key+request.Path)
						time.Sleep(settleTime)
					}
				})
			}
		}
	}
}

func TestConnectionsAreKeptOnlyToTargetsThatNameCalls(t *testing.T) {
	for named, want := range map[bool]int64{true: 1, false: 3} {
		t.Run(fmt.Sprintf("named=%v", named), func(t *testing.T) {
			is := is.New(t)
			server := &repeatingServer{status: http.StatusOK, named: named, sound: true}
			target := server.start(t)
			transport := New(Options{})
			defer transport.Close()
			for range 3 {
				answer, err := transport.Do(t.Context(), target, atMostOnceRequest(http.MethodPost, "x"))
				is.NoErr(err)
				is.Equal(string(answer.Body), "k1/weighings")
				for _, field := range answer.Header {
					is.True(field.Name != callIDHeader) // the caller's answer is the same, whatever the target names
				}
				time.Sleep(settleTime)
			}
			is.Equal(server.conns.Load(), want)
		})
	}
}

// Guards against a caller who chooses the ID by which the answer to its call is known.
func TestCallersCannotNameCalls(t *testing.T) {
	is := is.New(t)
	server := &repeatingServer{status: http.StatusOK, named: true, sound: true}
	target := server.start(t)
	transport := New(Options{})
	defer transport.Close()
	request := atMostOnceRequest(http.MethodPost, "x")
	request.Header[0].Name, request.Header[0].Value = callIDHeader, "of the caller"
	outgoing, err := newRequest(t.Context(), target, request)
	is.NoErr(err)
	is.True(outgoing.Header.Get(callIDHeader) != "of the caller")
	_, err = transport.Do(t.Context(), target, request)
	is.NoErr(err)
}

// Guards against an answer that never comes being taken for a call that was not sent.
func TestCallWithOnlyAnswersToOthersMayHaveRun(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 503 x\r\n"+callIDHeader+": other\r\nContent-Length: 0\r\n\r\n")
		_ = conn.Close()
	}()
	transport := New(Options{})
	defer transport.Close()
	_, err = transport.Do(t.Context(), service.Target{Address: listener.Addr().String()}, atMostOnceRequest(http.MethodPost, "x"))
	var notSent *service.NotSentError
	is.True(err != nil)
	is.True(!errors.As(err, &notSent))
}
