package crowds

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	crowds "github.com/azurebarrow/azurebarrow/bench/crowd"
)

// place is where a crowd sends its requests.
type place struct {
	name    string
	address func(*entryProcess) string
	method  string
	path    string
}

var (
	route     = place{"route", (*entryProcess).callers, "POST", callPrefix + "crowd"}
	stream    = place{"stream", (*entryProcess).callers, "POST", streamPrefix + "crowd"}
	noRoute   = place{"no-route", (*entryProcess).callers, "POST", "/nowhere"}
	readiness = place{"readiness", (*entryProcess).readiness, "GET", "/v1/ready"}
)

func (e *entryProcess) callers() string   { return e.callerAddress }
func (e *entryProcess) readiness() string { return e.readyAddress }

// head returns the head of a request with further lines, up to the blank line that ends it.
func (p place) head(lines ...string) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Request-Id: %s\r\n", p.method, p.path, hostName, apiKey, crowdRequestID)
	for _, line := range lines {
		text.WriteString(line + "\r\n")
	}
	text.WriteString("\r\n")
	return text.Bytes()
}

// caller is one caller of a crowd, with its connection.
type caller struct {
	crowd *crowd
	conn  *net.TCPConn
}

// send writes to the connection, in pieces so that the progress shows. It reports whether the entry has taken everything.
func (c *caller) send(text []byte) bool {
	const pieceBytes = 16 << 10
	for len(text) > 0 {
		n, err := c.conn.Write(text[:min(len(text), pieceBytes)])
		c.crowd.sent.Add(int64(n))
		if err != nil {
			return false
		}
		text = text[n:]
	}
	return true
}

// sleep waits, and reports whether the crowd continues.
func (c *caller) sleep(pause time.Duration) bool {
	select {
	case <-c.crowd.ctx.Done():
		return false
	case <-time.After(pause):
		return true
	}
}

// reconnect waits until the entry closes the connection and opens another one. It reports whether there is one and the crowd
// continues.
func (c *caller) reconnect() bool {
	_, _ = io.Copy(io.Discard, c.conn) // returns when the connection is closed
	_ = c.conn.Close()
	return c.connect()
}

// connect opens a connection. It reports whether there is one and the crowd continues.
func (c *caller) connect() bool {
	c.crowd.dials <- struct{}{}
	conn, err := c.crowd.dialer.DialContext(c.crowd.ctx, "tcp", c.crowd.address)
	<-c.crowd.dials
	if err != nil {
		c.crowd.recordDialError(err)
		return false
	}
	c.conn = conn.(*net.TCPConn)
	c.crowd.mu.Lock()
	defer c.crowd.mu.Unlock()
	c.crowd.conns = append(c.crowd.conns, c.conn)
	return c.crowd.ctx.Err() == nil
}

// crowd is a number of callers that behave alike.
type crowd struct {
	address string
	dialer  net.Dialer
	dials   chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	callers sync.WaitGroup
	// dialed is the number of callers that have a connection or were refused one, sent the number of bytes that all have written.
	dialed, sent atomic.Int64

	mu    sync.Mutex
	conns []*net.TCPConn
	// dialError is a fault of the test itself that kept a caller away, for example a lack of descriptors.
	dialError error
}

// recordDialError keeps an error with which a connection was not opened, unless the entry refused it, which is allowed, or the crowd
// stops.
func (c *crowd) recordDialError(err error) {
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ETIMEDOUT)
	if refused || c.ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialError = err
}

// concurrentDials limits the connections that are being opened, to stay below the accept queue of the listener.
const concurrentDials = 100

// startCrowd opens a connection for each caller and then runs behave for it. The connections stay open until stop.
func startCrowd(size int, address string, behave func(*caller)) *crowd {
	c := &crowd{
		address: address, dials: make(chan struct{}, concurrentDials),
		dialer: net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(crowdAddress)}, Control: crowds.ShrinkBuffers},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for range size {
		c.callers.Go(func() {
			each := &caller{crowd: c}
			connected := each.connect()
			c.dialed.Add(1)
			if connected {
				behave(each)
			}
		})
	}
	return c
}

// stop resets all connections of the crowd.
func (c *crowd) stop() {
	c.cancel()
	c.reset()
	c.callers.Wait()
	c.reset() // those that were opened meanwhile
}

func (c *crowd) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.SetLinger(0) // this and Close fail only if the connection is closed
		_ = conn.Close()
	}
}

// The crowd has done its worst once all callers are connected, and neither side has moved more than quietBytes for quietTime. It is not
// waited for longer than settleTimeout.
const (
	quietBytes    = 64 << 10
	quietTime     = 500 * time.Millisecond
	settleTimeout = 10 * time.Second
)

// settle waits until the crowd has done its worst.
func (c *crowd) settle(e *entryProcess, size int) {
	progress := func() int64 {
		read, _ := e.process.ProcValue("io", "rchar") // an error means that the process has ended, which isAlive reports
		return read + c.sent.Load()
	}
	last, since := progress(), time.Now()
	for end := time.Now().Add(settleTimeout); time.Now().Before(end) && e.isAlive(); time.Sleep(pollInterval) {
		if now := progress(); now-last > quietBytes || c.dialed.Load() < int64(size) {
			last, since = now, time.Now()
		}
		if time.Since(since) > quietTime {
			return
		}
	}
}

// withstand starts an entry and a crowd, and fails the test unless the entry stays alive and within its bounds, and serves an ordinary
// caller beside the crowd and after it.
func withstand(t *testing.T, at place, size int, behave func(*caller)) {
	t.Helper()
	e := startEntry(t, startStandins(t))
	c := startCrowd(size, at.address(e), behave)
	defer c.stop()
	c.settle(e, size)
	beside := e.callOrdinarily("beside")
	c.stop()
	if c.dialError != nil {
		t.Fatal("the crowd was not complete: ", c.dialError)
	}
	after := e.callOrdinarily("after")
	e.stopWatch()
	resident, err := e.maxResident()
	if !e.isAlive() {
		err = errors.New("the process has ended")
	}
	t.Logf("%d callers at %s: VmHWM %.1f MB, %d descriptors, %.1f MB sent", size, at.name,
		float64(resident)/(1<<20), e.mostDescriptors, float64(c.sent.Load())/(1<<20))
	var faults []string
	fail := func(format string, values ...any) { faults = append(faults, fmt.Sprintf(format, values...)) }
	if err != nil {
		fail("not alive at the end: %v", err)
	}
	if resident > maxResidentBytes {
		fail("resident memory of %.1f MB, want at most %d", float64(resident)/(1<<20), maxResidentBytes>>20)
	}
	if e.mostDescriptors > maxDescriptors {
		fail("%d open descriptors, want at most %d", e.mostDescriptors, maxDescriptors)
	}
	if beside != nil {
		fail("ordinary caller beside the crowd: %v", beside)
	}
	if after != nil {
		fail("ordinary caller after the crowd: %v", after)
	}
	if len(faults) > 0 {
		t.Errorf("%s\nend of the entry's log:\n%s", strings.Join(faults, "\n"), e.lastLogLines())
	}
}

// at runs a test for each place.
func at(t *testing.T, places []place, test func(t *testing.T, at place)) {
	t.Helper()
	for _, each := range places {
		t.Run(each.name, func(t *testing.T) { test(t, each) })
	}
}
