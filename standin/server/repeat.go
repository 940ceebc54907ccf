package server

import (
	"bytes"
	"net"
	"regexp"
	"sync"
	"sync/atomic"
)

// RepeatRefusals has the server write each 503 once more, late: before the next answer on the same connection. Every other
// one names no request then.
func (s *Server) RepeatRefusals() { s.repeatRefusals = true }

// repeatingListener accepts connections that repeat refusals.
type repeatingListener struct {
	net.Listener
	// repeated counts the refusals that were written again.
	repeated atomic.Int64
}

// Accept implements net.Listener.
func (l *repeatingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if tcp, ok := accepted.(*net.TCPConn); ok {
		return &repeatingConn{TCPConn: tcp, repeated: &l.repeated}, err
	}
	return accepted, err
}

// repeatingConn repeats refusals. It relies on net/http writing a short answer at once.
type repeatingConn struct {
	*net.TCPConn

	repeated *atomic.Int64

	mu      sync.Mutex
	refusal []byte
}

var (
	answerStart    = []byte("HTTP/1.1 ")
	refusalStart   = []byte("HTTP/1.1 503 ")
	requestIDField = regexp.MustCompile(`(?i)\r\nX-Request-Id: [^\r]*`)
)

// Write implements net.Conn.
func (c *repeatingConn) Write(text []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !bytes.HasPrefix(text, answerStart) {
		return c.TCPConn.Write(text)
	}
	if earlier := c.refusal; earlier != nil {
		if c.repeated.Add(1)%2 == 0 {
			earlier = requestIDField.ReplaceAll(earlier, nil)
		}
		if _, err := c.TCPConn.Write(earlier); err != nil {
			return 0, err
		}
	}
	c.refusal = nil
	if bytes.HasPrefix(text, refusalStart) {
		c.refusal = bytes.Clone(text)
	}
	return c.TCPConn.Write(text)
}
