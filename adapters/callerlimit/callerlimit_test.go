package callerlimit

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/generation"
)

// fieldsOfLargeHead is the number of short fields of a legal head that is as expensive as callers may send.
const fieldsOfLargeHead = 2500

// largeHead returns a request with so many short fields, without the empty line at its end.
func largeHead(fields int) string {
	var head strings.Builder
	head.WriteString("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n")
	for i := range fields {
		fmt.Fprintf(&head, "X%04d: abcdefgh\r\n", i)
	}
	return head.String()
}

// pipeConn is a connection with a remote address, as net.Pipe has none.
type pipeConn struct {
	net.Conn
	remote net.Addr
}

func (c *pipeConn) RemoteAddr() net.Addr { return c.remote }

// testServer is an HTTP server under limits, which callers reach through pipes.
type testServer struct {
	limiter *Limiter
	server  *http.Server
	conns   chan net.Conn
	closed  chan struct{}
}

func startServer(t testing.TB, options Options, handler http.HandlerFunc) *testServer {
	s := &testServer{limiter: New(options), conns: make(chan net.Conn), closed: make(chan struct{})}
	s.server = &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 15 * time.Second, MaxHeaderBytes: 64 << 10}
	s.limiter.Configure(s.server)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = s.server.Serve(s.limiter.NewListener(s))
	}()
	t.Cleanup(func() {
		_ = s.server.Close()
		<-served
	})
	return s
}

// Accept implements net.Listener.
func (s *testServer) Accept() (net.Conn, error) {
	select {
	case conn := <-s.conns:
		return conn, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (s *testServer) Close() error {
	close(s.closed)
	return nil
}

// Addr implements net.Listener.
func (s *testServer) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns a caller's side of a connection from 127.0.0.host.
func (s *testServer) dial(host byte) net.Conn {
	caller, server := net.Pipe()
	s.conns <- &pipeConn{server, &net.TCPAddr{IP: net.IPv4(127, 0, 0, host), Port: 1}}
	return caller
}

// call sends text on the connection and returns the status of the response, 0 if there is none.
func call(conn net.Conn, text string) int {
	go func() { _, _ = io.WriteString(conn, text) }() // the server may refuse the request before it has read all
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

const smallRequest = "POST /x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\nX-Request-Id: c1\r\nContent-Length: 0\r\n\r\n"

func answer(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// Guards against a limit that refuses a large but legal head while nothing else is held.
func TestLargeHeadIsServedInCalm(t *testing.T) {
	for _, memory := range []int64{0, minMemoryBytes, 1 << 20} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := startServer(t, Options{MemoryBytes: memory, Connections: 10}, answer)
			conn := s.dial(1)
			for range 3 {
				is.Equal(call(conn, largeHead(fieldsOfLargeHead)+"\r\n"), http.StatusOK)
			}
			synctest.Wait()
			is.Equal(s.limiter.HeldBytes(), int64(connectionBytes)) // what the request held is released
			_ = conn.Close()
			synctest.Wait()
			is.Equal(s.limiter.HeldBytes(), int64(0))
		})
	}
}

// Guards against crowds of callers whose unfinished heads take all of the memory of the process, and against ordinary callers that
// are refused since a crowd holds it.
func TestUnfinishedHeadsShareABoundOfMemory(t *testing.T) {
	const crowd = 300
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startServer(t, Options{MemoryBytes: minMemoryBytes, Connections: crowd + 2}, answer)
		var callers sync.WaitGroup
		var refused atomic.Int64
		for range crowd {
			conn := s.dial(1)
			callers.Go(func() {
				if call(conn, largeHead(fieldsOfLargeHead)) == http.StatusServiceUnavailable {
					refused.Add(1)
				}
			})
			time.Sleep(time.Millisecond) // the first ones get all memory that they need
		}
		time.Sleep(time.Second)
		held := s.limiter.HeldBytes()
		t.Logf("%d bytes held, %d refused", held, refused.Load())
		is.True(held <= minMemoryBytes+int64(maxReleasingShare*float64(s.limiter.shared)))
		is.Equal(call(s.dial(1), smallRequest), http.StatusOK)
		// From another address, or after the others have made no progress for a while, a large head gets the memory of a stalled one.
		is.Equal(call(s.dial(2), largeHead(fieldsOfLargeHead)+"\r\n"), http.StatusOK)
		is.Equal(call(s.dial(1), largeHead(fieldsOfLargeHead)+"\r\n"), http.StatusOK)
		callers.Wait()
		is.True(refused.Load() > crowd/2)
		is.True(s.limiter.RefusalCount(KindEvicted) >= 1)
		is.Equal(s.limiter.RefusalCount(KindHead)+s.limiter.RefusalCount(KindEvicted), refused.Load())
	})
}

// Guards against a refusal, which promises that nothing has run, of a request that has been forwarded.
func TestForwardedRequestsAreNotEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		s := startServer(t, Options{MemoryBytes: minMemoryBytes, Connections: 100, DefersForwarding: true}, func(w http.ResponseWriter, r *http.Request) {
			if !FromContext(r.Context()).BeginForwarding(CallBytes) {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			<-release
		})
		var callers sync.WaitGroup
		var served, refused atomic.Int64
		for i := range 40 {
			conn := s.dial(1 + byte(i/20)) // of a second address once the requests of the first hold the memory
			if i == 20 {
				time.Sleep(time.Second)
			}
			callers.Go(func() {
				switch call(conn, largeHead(fieldsOfLargeHead)+"\r\n") {
				case http.StatusOK:
					served.Add(1)
				case http.StatusServiceUnavailable:
					refused.Add(1)
				}
			})
		}
		time.Sleep(time.Second)
		is.Equal(served.Load(), int64(0))
		close(release)
		callers.Wait()
		is.Equal(served.Load()+refused.Load(), int64(40)) // each has got a response
		is.True(served.Load() > 0 && refused.Load() >= 20)
	})
}

// Guards against forwarded requests of one address that take all memory or all connections, so that a small request of another address is
// refused; and against a charge that is too high for the streams that a load balancer sends to the smallest VM.
func TestForwardedRequestsOfOneAddressLeaveRoomForOthers(t *testing.T) {
	for name, cost := range map[string]int64{"streams": StreamBytes, "calls": CallBytes} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const fewest = 250
				is := is.New(t)
				release := make(chan struct{})
				end := sync.OnceFunc(func() { close(release) })
				defer end()
				options := Options{MemoryBytes: fallbackMemoryBytes / 4, DefersForwarding: true}
				s := startServer(t, options, func(w http.ResponseWriter, r *http.Request) {
					if !FromContext(r.Context()).BeginForwarding(cost) {
						w.Header().Set("Connection", "close")
						w.WriteHeader(http.StatusServiceUnavailable)
						return
					}
					if strings.HasPrefix(r.RemoteAddr, "127.0.0.1:") {
						<-release
					}
				})
				var callers sync.WaitGroup
				var served, refused atomic.Int64
				for i := range s.limiter.MaxConnections() {
					conn := s.dial(1)
					callers.Go(func() {
						switch call(conn, smallRequest) {
						case http.StatusOK:
							served.Add(1)
						case http.StatusServiceUnavailable:
							refused.Add(1)
							_ = conn.Close() // a pipe
						}
					})
					if i == fewest {
						synctest.Wait()
						is.Equal(refused.Load(), int64(0))
					}
				}
				synctest.Wait()
				is.Equal(call(s.dial(2), smallRequest), http.StatusOK)
				limit := s.limiter.MemoryBytes() + int64(reserveShare*float64(s.limiter.SharedBytes()))
				is.True(s.limiter.HeldBytes() <= limit)
				end()
				callers.Wait()
				is.True(served.Load() > fewest && refused.Load() > 0)
			})
		})
	}
}

// Guards against memory that stays charged while net/http closes a connection slowly, so that small requests of others are refused.
func TestBodyIsReleasedWhenItsHandlerReturns(t *testing.T) {
	is := is.New(t)
	limiter := New(Options{DefersForwarding: true})
	caller, inner := net.Pipe()
	conn := limiter.accept(inner)
	conn.beginRequest()
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		is.True(FromContext(r.Context()).Charge(1 << 20))
		is.True(limiter.HeldBytes() > 1<<20)
	})}
	limiter.Configure(server)
	request, err := http.NewRequestWithContext(server.ConnContext(t.Context(), conn), http.MethodGet, "/", nil)
	is.NoErr(err)
	server.Handler.ServeHTTP(&recorder{header: http.Header{}}, request)
	is.Equal(limiter.HeldBytes(), int64(connectionBytes))
	is.NoErr(conn.Close())
	is.NoErr(caller.Close())
}

// Guards against the handler of a request whose connection was evicted while its head was complete already.
func TestEvictedRequestDoesNotReachItsHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limiter := New(Options{})
		ran := false
		handler := limiter.handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran = true }))
		server := &http.Server{Handler: handler}
		limiter.Configure(server)
		caller, inner := net.Pipe()
		conn := limiter.accept(inner)
		conn.beginRequest()
		is.True(conn.evict())
		is.True(!conn.BeginForwarding(CallBytes))
		request, err := http.NewRequestWithContext(server.ConnContext(t.Context(), conn), http.MethodGet, "/", nil)
		is.NoErr(err)
		writer := &recorder{header: http.Header{}}
		server.Handler.ServeHTTP(writer, request)
		is.Equal(writer.status, http.StatusServiceUnavailable)
		is.True(!ran)
		is.NoErr(conn.Close())
		is.NoErr(caller.Close())
	})
}

type recorder struct {
	header http.Header
	status int
}

func (r *recorder) Header() http.Header         { return r.header }
func (r *recorder) Write(p []byte) (int, error) { return len(p), nil }
func (r *recorder) WriteHeader(status int)      { r.status = status }

// Guards against pipelined heads that are parsed from the buffer of net/http without being charged.
func TestPipelinedHeadIsChargedToItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var held []int64
		var limiter *Limiter
		s := startServer(t, Options{Connections: 10}, func(http.ResponseWriter, *http.Request) { held = append(held, limiter.HeldBytes()) })
		limiter = s.limiter
		conn := s.dial(1)
		second := largeHead(100) + "\r\n" // fits in the buffer behind the first request
		is.True(len(smallRequest)+len(second) < readBufferBytes)
		go func() { _, _ = io.WriteString(conn, smallRequest+second) }()
		reader := bufio.NewReader(conn)
		for range 2 {
			response, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
		}
		is.Equal(len(held), 2)
		is.True(held[1] >= connectionBytes-prepaidBytes+costOf([]byte(second)))
		synctest.Wait()
		is.Equal(limiter.HeldBytes(), int64(connectionBytes)) // nothing is in the buffer any more
	})
}

// Guards against refusals without a trace in the log, and against a log that a crowd fills.
func TestRefusalsAreLoggedOncePerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var lines []string
		limiter := New(Options{Listener: "callers", Log: func(event string, fields ...generation.Field) {
			lines = append(lines, fmt.Sprint(event, fields))
		}})
		remote := addressOf(&net.TCPAddr{IP: net.IPv4(127, 0, 0, 3)})
		for range 5 {
			limiter.record(KindHead, remote)
		}
		time.Sleep(logInterval)
		limiter.record(KindHead, remote)
		is.Equal(len(lines), 2)
		is.Equal(lines[0], "caller-refused[{kind head} {listener callers} {address 127.0.0.3} {count 1} {held 0}]")
		is.True(strings.Contains(lines[1], "{count 5}"))
		is.Equal(limiter.RefusalCount(KindHead), int64(6))
	})
}

// Guards against defaults that exceed the smallest VM if the process can't find out what it has.
func TestDefaultsWithoutTheLimitsOfTheProcess(t *testing.T) {
	is := is.New(t)
	unknown := func() (int64, error) { return 0, errors.New("not readable") }
	of := func(value int64) func() (int64, error) { return func() (int64, error) { return value, nil } }
	is.Equal(defaultMemory(unknown), int64(fallbackMemoryBytes)/4)
	is.Equal(defaultMemory(of(32<<20)), int64(minMemoryBytes))
	is.Equal(defaultMemory(of(32<<30)), int64(maxMemoryBytes))
	is.Equal(defaultConnections(defaultMemory(unknown), unknown), fallbackMemoryBytes/8/connectionBytes)
	is.Equal(defaultConnections(maxMemoryBytes, of(1000)), 500)
	is.True(New(Options{}).options.MemoryBytes >= minMemoryBytes)
}

// chunkConn returns the given bytes in the given pieces.
type chunkConn struct {
	net.Conn
	rest   []byte
	pieces []byte
}

func (c *chunkConn) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		return 0, io.EOF
	}
	size := min(len(p), len(c.rest))
	if len(c.pieces) > 0 {
		size = min(size, 1+int(c.pieces[0]))
		c.pieces = c.pieces[1:]
	}
	n := copy(p, c.rest[:size])
	c.rest = c.rest[n:]
	return n, nil
}

func (c *chunkConn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }
func (c *chunkConn) Close() error         { return nil }

// FuzzHeadAccounting guards against a head that is charged less when it arrives in other pieces.
func FuzzHeadAccounting(f *testing.F) {
	f.Add([]byte(smallRequest), []byte{0, 1, 2})
	f.Add([]byte(largeHead(fieldsOfLargeHead)), []byte{})
	f.Add(bytes.Repeat([]byte("\n"), 5000), []byte{255, 0, 255, 7})
	f.Fuzz(func(t *testing.T, head, pieces []byte) {
		limiter := New(Options{MemoryBytes: 1 << 40, Connections: 1})
		conn := limiter.accept(&chunkConn{rest: head, pieces: pieces})
		buffer := make([]byte, readBufferBytes)
		for {
			if _, err := conn.Read(buffer); err != nil {
				break
			}
			if used := conn.used.Load(); used > prepaidBytes+conn.granted.Load() {
				t.Fatalf("%d used, %d granted", used, conn.granted.Load())
			}
		}
		if got, want := conn.used.Load(), costOf(head); got != want {
			t.Fatalf("charged %d, want %d", got, want)
		}
		conn.beginRequest()
		conn.endRequest()
		if left := conn.used.Load(); left > costOf(head) || left > readBufferBytes*(1+fieldBytes) {
			t.Fatalf("%d left after the request", left)
		}
		_ = conn.Close()
		if held := limiter.HeldBytes(); held != 0 {
			t.Fatalf("%d held after the end", held)
		}
	})
}

// FuzzServer guards against memory that stays charged, and connections that stay open, after any bytes of a caller.
func FuzzServer(f *testing.F) {
	f.Add([]byte(smallRequest+smallRequest), uint16(7))
	f.Add([]byte(largeHead(fieldsOfLargeHead)+"\r\n"+smallRequest), uint16(1000))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\n"), uint16(1))
	f.Add([]byte("PUT / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc"), uint16(50))
	f.Fuzz(func(t *testing.T, text []byte, piece uint16) {
		s := startServer(t, Options{MemoryBytes: 1 << 20, Connections: 4}, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
		})
		conn := s.dial(1)
		go func() {
			for rest := text; len(rest) > 0; {
				n := min(len(rest), 1+int(piece))
				if _, err := conn.Write(rest[:n]); err != nil {
					break
				}
				rest = rest[n:]
			}
			_ = conn.Close()
		}()
		_, _ = io.Copy(io.Discard, conn)
		for s.limiter.ConnectionCount() > 0 {
			time.Sleep(time.Millisecond)
		}
		if held := s.limiter.HeldBytes(); held != 0 {
			t.Fatalf("%d bytes held after the end", held)
		}
	})
}

// Guards against connections without a limit: callers open them and send nothing, or stop in the middle of a head, until no descriptor
// or no memory is left for others.
func TestConnectionsAreLimited(t *testing.T) {
	const limit = 20
	for _, sent := range []string{"", "POST /x HT", smallRequest} { // the last becomes idle
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := startServer(t, Options{Connections: limit}, answer)
			ordinary := s.dial(2)
			is.Equal(call(ordinary, smallRequest), http.StatusOK)
			time.Sleep(time.Second)
			for range 10 * limit {
				conn := s.dial(1)
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				go func() { _, _ = io.WriteString(conn, sent) }()
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(time.Second)
			is.True(s.limiter.ConnectionCount() <= limit)
			is.Equal(call(s.dial(2), smallRequest), http.StatusOK)
			// The connection that has been idle for the longest time is kept: its address has few.
			if sent != "POST /x HT" {
				is.Equal(call(ordinary, smallRequest), http.StatusOK)
			}
			is.True(s.limiter.RefusalCount(KindIdle)+s.limiter.RefusalCount(KindEvicted) >= 9*limit)
			is.Equal(s.limiter.RefusalCount(KindConnection), int64(0))
		})
	}
}

// Guards against new connections that end requests which have been forwarded.
func TestNewConnectionIsRefusedBesideForwardedRequests(t *testing.T) {
	const limit = 5
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		s := startServer(t, Options{Connections: limit}, func(http.ResponseWriter, *http.Request) { <-release })
		var callers sync.WaitGroup
		for range limit {
			conn := s.dial(1)
			callers.Go(func() { is.Equal(call(conn, smallRequest), http.StatusOK) })
		}
		synctest.Wait()
		is.Equal(call(s.dial(2), smallRequest), http.StatusServiceUnavailable)
		is.Equal(s.limiter.RefusalCount(KindConnection), int64(1))
		close(release)
		callers.Wait()
		synctest.Wait()                                        // net/http marks the connections as idle after the responses
		is.Equal(call(s.dial(2), smallRequest), http.StatusOK) // one of the others is idle now
	})
}

// Guards against connections that callers keep open by reading nothing of a response.
func TestResponseThatIsNotReadEndsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		failed := make(chan error, 1)
		s := startServer(t, Options{Connections: 10}, func(w http.ResponseWriter, _ *http.Request) {
			var err error
			for err == nil {
				_, err = w.Write(make([]byte, 8<<10)) // larger than the buffer of net/http
			}
			failed <- err
		})
		conn := s.dial(1)
		_, err := io.WriteString(conn, smallRequest)
		is.NoErr(err)
		start := time.Now()
		is.True(errors.Is(<-failed, os.ErrDeadlineExceeded))
		is.True(time.Since(start) <= writeProgressTimeout)
		synctest.Wait()
		is.Equal(s.limiter.ConnectionCount(), 0)
		is.Equal(s.limiter.RefusalCount(KindUnread), int64(1))
	})
}

// Guards against responses and streams that are cut although their caller reads them, slowly or after pauses; and against the deadline
// of a handler that is moved.
func TestSlowReadersGetTheirResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const size = 64 << 10
		s := startServer(t, Options{Connections: 10}, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/deadline" {
				is.NoErr(http.NewResponseController(w).SetWriteDeadline(time.Now().Add(3 * time.Second)))
			}
			if r.URL.Path == "/stream" {
				for range 5 { // longer between two events than the timeout
					time.Sleep(2 * writeProgressTimeout)
					_, err := io.WriteString(w, "event")
					is.NoErr(err)
					is.NoErr(http.NewResponseController(w).Flush())
				}
				return
			}
			w.Header().Set("Content-Length", strconv.Itoa(size))
			_, err := w.Write(make([]byte, size))
			is.Equal(errors.Is(err, os.ErrDeadlineExceeded), r.URL.Path == "/deadline")
		})
		for _, each := range []struct {
			path  string
			pause time.Duration
			want  int
		}{{"/slow", writeProgressTimeout - time.Second, size}, {"/stream", 0, len("event") * 5}} {
			conn := s.dial(1)
			go func() { _, _ = io.WriteString(conn, strings.Replace(smallRequest, "/x", each.path, 1)) }()
			response, err := http.ReadResponse(bufio.NewReader(&pausingReader{conn, each.pause}), nil)
			is.NoErr(err)
			text, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(len(text), each.want)
		}
		conn := s.dial(1)
		start := time.Now()
		go func() { _, _ = io.WriteString(conn, strings.Replace(smallRequest, "/x", "/deadline", 1)) }()
		response, err := http.ReadResponse(bufio.NewReader(&pausingReader{conn, time.Second}), nil)
		is.NoErr(err)
		_, err = io.ReadAll(response.Body)
		is.True(err != nil)
		is.True(time.Since(start) < 2*writeProgressTimeout)
	})
}

// pausingReader waits before each read.
type pausingReader struct {
	io.Reader
	pause time.Duration
}

func (r *pausingReader) Read(p []byte) (int, error) {
	time.Sleep(r.pause)
	return r.Reader.Read(p)
}

// Guards against a new connection that is closed as idle before its request has been read, since all others have requests in progress.
func TestNewConnectionDoesNotCountAsIdle(t *testing.T) {
	const limit = 5
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		s := startServer(t, Options{Connections: limit, DefersForwarding: true}, func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/held" {
				<-release
			}
		})
		for range limit {
			conn := s.dial(1)
			go call(conn, strings.Replace(smallRequest, "/x", "/held", 1))
		}
		time.Sleep(time.Millisecond)
		ordinary := s.dial(2)
		time.Sleep(time.Millisecond)
		next := s.dial(1)
		synctest.Wait()
		is.Equal(call(ordinary, smallRequest), http.StatusOK)
		is.Equal(s.limiter.RefusalCount(KindIdle), int64(0))
		time.Sleep(2 * newConnectionGrace)
		_ = s.dial(1)
		synctest.Wait()
		is.True(call(next, smallRequest) != http.StatusOK) // it has sent nothing for long enough
		close(release)
	})
}
