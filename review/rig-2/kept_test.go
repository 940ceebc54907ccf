//go:build review

package rig2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// keptClient sends one request after the other to one entry, on one connection as long as that lasts.
type keptClient struct {
	*record
	entry  *entryProcess
	prefix string
	conn   net.Conn
	reader *bufio.Reader
	// answered counts the answers on the connection.
	answered, sent int
}

// run sends calls until stop is closed.
func (k *keptClient) run(of call, pause time.Duration, stop <-chan struct{}) {
	defer k.close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		if k.send(of) != nil {
			time.Sleep(time.Second) // an entry that has ended is back by then
		}
	}
}

func (k *keptClient) close() {
	if k.conn != nil {
		_ = k.conn.Close()
	}
	k.conn, k.reader, k.answered = nil, nil, 0
}

// encode returns the bytes of a request.
func (c *call) encode(id string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		c.method, c.path, c.host, id, c.deadline.Milliseconds(), c.key)
	for name, value := range c.header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	if c.method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(c.body))
	}
	text.WriteString("\r\n" + c.body)
	return text.String()
}

func (k *keptClient) send(c call) (err error) {
	k.sent++
	a := &attempt{id: fmt.Sprintf("%s-%05d", k.prefix, k.sent), kind: c.kind, entry: k.entry.name, sent: time.Now(), kept: k.answered > 0}
	defer func() {
		a.ended = time.Now()
		k.addAttempt(a)
		if a.err != nil {
			k.close()
		}
		err = a.err
	}()
	if k.conn == nil {
		if k.conn, a.err = net.DialTimeout("tcp", k.entry.callers, time.Second); a.err != nil {
			return a.err
		}
		k.reader = bufio.NewReader(k.conn)
	}
	a.readAnswer(k.conn, k.reader, c)
	if a.err == nil {
		k.answered++
	}
	if a.closes {
		k.close()
	}
	return a.err
}

// readAnswer sends the request on a connection and reads the whole answer.
func (a *attempt) readAnswer(conn net.Conn, reader *bufio.Reader, c call) {
	_ = conn.SetDeadline(time.Now().Add(c.deadline))
	if _, a.err = io.WriteString(conn, c.encode(a.id)); a.err != nil {
		return
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: c.method})
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.signature, a.retryAfter = response.StatusCode, response.Header.Get("X-Response-Signature"), response.Header.Get("Retry-After")
	a.closes = response.Close
	body, err := io.ReadAll(response.Body)
	a.body, a.err = string(body), err
}
