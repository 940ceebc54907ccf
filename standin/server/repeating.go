package server

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
)

// Repeating serves a handler as a faulty target does: once the next call has arrived on a connection, it first writes its answer to
// the call before once more.
type Repeating struct {
	Handler http.Handler
	// Sound leaves the second answers out.
	Sound bool

	accepted atomic.Int64
}

// Accepted returns the number of connections.
func (s *Repeating) Accepted() int64 { return s.accepted.Load() }

// Serve serves until the listener is closed.
func (s *Repeating) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.accepted.Add(1)
		go s.serveConn(conn)
	}
}

func (s *Repeating) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var former []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := s.answer(request)
		if s.Sound {
			former = nil
		}
		if _, err := conn.Write(append(former, answer...)); err != nil {
			return
		}
		former = answer
	}
}

// answer returns the whole answer of the handler to a request.
func (s *Repeating) answer(request *http.Request) []byte {
	recorder := &answerRecorder{header: http.Header{}, status: http.StatusOK}
	s.Handler.ServeHTTP(recorder, request)
	recorder.header.Set("Content-Length", strconv.Itoa(recorder.body.Len()))
	var answer bytes.Buffer
	answer.WriteString("HTTP/1.1 " + strconv.Itoa(recorder.status) + " " + http.StatusText(recorder.status) + "\r\n")
	_ = recorder.header.Write(&answer) // writing to a buffer never fails
	answer.WriteString("\r\n")
	answer.Write(recorder.body.Bytes())
	return answer.Bytes()
}

// answerRecorder is an http.ResponseWriter that keeps the answer.
type answerRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *answerRecorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *answerRecorder) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *answerRecorder) Write(content []byte) (int, error) { return r.body.Write(content) }
