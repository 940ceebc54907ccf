package callerlimit

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Phases of a connection.
const (
	// phaseNew: nothing has been read.
	phaseNew int32 = iota
	// phaseIdle: no request is in progress, and nothing of the next one has been read.
	phaseIdle
	// phaseHead: the head of a request is being read.
	phaseHead
	// phaseRequest: a handler serves the request, which has not been forwarded.
	phaseRequest
	// phaseForwarded: the request may have been forwarded to a target.
	phaseForwarded
	// phaseEvicted: the request is refused, or the connection closed, in favor of others.
	phaseEvicted
)

const (
	// readBufferBytes is the size of the buffer into which net/http reads.
	readBufferBytes = 4 << 10
	// writeProgressTimeout is the time after which a connection is closed to which nothing could be written.
	writeProgressTimeout = 10 * time.Second
	// writeDeadlineStep is the time for which writes share a deadline: setting one for each event of a stream would cost more.
	writeDeadlineStep = time.Second
	// refusalTimeout limits the time for writing a refusal and for waiting until the caller closes the connection. Without the wait, the
	// kernel would discard the refusal when unread bytes of the caller arrive.
	refusalTimeout = 50 * time.Millisecond
	// refusal is the response to a request whose head is incomplete.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// errRefused is returned by Conn.Read for a connection that is refused. net/http closes a connection without a response on io.EOF.
var errRefused = io.EOF

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// Conn counts what a caller's connection makes the process hold. Reads are counted before net/http parses them.
type Conn struct {
	net.Conn
	limiter *Limiter
	address netip.Addr
	phase   atomic.Int32
	// since is the time at which the request began, or the connection became idle, in ns since 1970.
	since atomic.Int64
	// used is what the request in progress holds.
	used atomic.Int64
	// head is the part of it that is the head's.
	head atomic.Int64
	// granted is the shared memory that the connection has taken; Limiter.mu guards its changes.
	granted atomic.Int64
	// closing is set when the request is refused or the connection evicted, releasing when others have got its memory by that.
	// Limiter.mu guards both.
	closing, releasing bool
	// refused is set once a refusal has been written.
	refused atomic.Bool
	// buffered is the cost of the last read: as much of the next head may be in the buffer of net/http when a request ends.
	buffered atomic.Int64
	// unread is set once a write has made no progress.
	unread atomic.Bool
	// writeMu guards the fields below: the deadline that was set, zero for none, and that for progress.
	writeMu          sync.Mutex
	writeDeadline    time.Time
	progressDeadline time.Time
	// deadlines counts the read deadlines that net/http has set since the last request: the first when it starts to wait for the next
	// request, the second when it has seen the beginning of that.
	deadlines atomic.Int32
	// onEviction is called when the connection is evicted; nil for nothing.
	onEviction atomic.Pointer[func()]
}

// enter sets the phase and its start.
func (c *Conn) enter(phase int32) {
	c.since.Store(time.Now().UnixNano())
	c.phase.Store(phase)
}

// moveTo changes the phase if it is one of from, and reports whether it is to now.
func (c *Conn) moveTo(to int32, from ...int32) bool {
	for _, phase := range from {
		if c.phase.CompareAndSwap(phase, to) {
			return true
		}
	}
	return c.phase.Load() == to
}

// age returns how long the request has been in progress, or the connection idle.
func (c *Conn) age(now time.Time) time.Duration { return now.Sub(time.Unix(0, c.since.Load())) }

// isEvictable reports whether the connection holds shared memory for a request that has not been forwarded.
func (c *Conn) isEvictable() bool {
	phase := c.phase.Load()
	return (phase == phaseHead || phase == phaseRequest || phase == phaseIdle) && c.granted.Load() > 0
}

// evict marks the connection as evicted and ends its read, so that the goroutine that serves it refuses the request. It reports false
// if the request may have been forwarded.
func (c *Conn) evict() bool {
	for {
		phase := c.phase.Load()
		if phase == phaseForwarded || phase == phaseEvicted {
			return false
		}
		if c.phase.CompareAndSwap(phase, phaseEvicted) {
			if phase == phaseNew || phase == phaseIdle {
				_ = c.Conn.Close()
			} else {
				_ = c.Conn.SetReadDeadline(past)
			}
			if call := c.onEviction.Load(); call != nil {
				(*call)()
			}
			return true
		}
	}
}

// OnEviction has call called when the connection is evicted, at once if it is already, until the returned function is called. A handler
// that waits for something else than its body would hold the memory of an evicted request until the end of that wait. call must
// not block, and may be called twice. There is one call at a time; for nil there is none.
func (c *Conn) OnEviction(call func()) (stop func()) {
	if c == nil {
		return func() {}
	}
	c.onEviction.Store(&call)
	if c.IsEvicted() {
		call()
	}
	return func() { c.onEviction.Store(nil) }
}

// IsEvicted reports whether the request must be refused. It is false for nil.
func (c *Conn) IsEvicted() bool { return c != nil && c.phase.Load() == phaseEvicted }

// BeginForwarding marks the request as forwarded, so that it is not evicted. It charges cost, which is StreamBytes or CallBytes, and the copy
// of a large head that a target gets. It reports false if the request must be refused. It is true for nil.
func (c *Conn) BeginForwarding(cost int64) bool {
	return c == nil || c.Charge(cost+max(0, c.head.Load()-prepaidBytes/2)) && c.moveTo(phaseForwarded, phaseRequest)
}

// Charge charges bytes to the request in progress. It reports false if there is no memory for them. It is true for nil. The bytes are
// released with the request.
func (c *Conn) Charge(bytes int64) bool {
	if c == nil {
		return true
	}
	used := c.used.Add(bytes)
	if used <= prepaidBytes+c.granted.Load() || c.limiter.grant(c, used-prepaidBytes) {
		return true
	}
	c.used.Add(-bytes)
	return false
}

// costOf returns the memory for bytes of a head.
func costOf(head []byte) int64 {
	return int64(len(head)) + fieldBytes*int64(bytes.Count(head, newline))
}

var newline = []byte{'\n'}

// Read implements net.Conn. It refuses the request if there is no memory for its head.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 1 {
		// net/http waits for the end of the connection while a request is in progress. That goroutine changes nothing here.
		return c.Conn.Read(p)
	}
	switch c.phase.Load() {
	case phaseEvicted:
		return 0, c.refuse(KindEvicted)
	case phaseRequest, phaseForwarded:
		n, err := c.Conn.Read(p)
		if n > 0 && len(p) <= readBufferBytes {
			c.buffered.Store(costOf(p[:n]))
		}
		return n, err
	case phaseIdle:
		if c.deadlines.Load() < 2 {
			c.setUsed(0) // net/http waits for the next request, so its buffer is empty
		}
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.chargeHead(p[:n]) {
		return 0, c.refuse(KindHead)
	}
	if c.phase.Load() == phaseEvicted && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, c.refuse(KindEvicted)
	}
	return n, err
}

// chargeHead charges bytes of a head, and reports whether there is memory for them.
func (c *Conn) chargeHead(head []byte) bool {
	c.beginHead()
	cost := costOf(head)
	c.buffered.Store(cost)
	c.head.Add(cost)
	return c.Charge(cost)
}

// beginHead notes that the first bytes of a request have arrived.
func (c *Conn) beginHead() {
	if phase := c.phase.Load(); phase == phaseNew || phase == phaseIdle {
		c.since.Store(time.Now().UnixNano())
		c.moveTo(phaseHead, phaseNew, phaseIdle)
	}
}

// setUsed sets what the connection holds, and releases the rest of its shared memory.
func (c *Conn) setUsed(used int64) {
	c.used.Store(used)
	c.head.Store(used)
	if c.granted.Load() == 0 {
		return
	}
	needed := (max(0, used-prepaidBytes) + grantBytes - 1) / grantBytes * grantBytes
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if needed < c.granted.Load() {
		c.limiter.setGrant(c, needed)
	}
}

// beginRequest is called when the head of a request is complete.
func (c *Conn) beginRequest() { c.moveTo(phaseRequest, phaseHead, phaseIdle, phaseNew) }

// endRequest is called when the response is written and the connection stays open.
func (c *Conn) endRequest() {
	c.deadlines.Store(0)
	c.since.Store(time.Now().UnixNano())
	if !c.moveTo(phaseIdle, phaseForwarded, phaseRequest) {
		_ = c.Close() // evicted after its handler looked for that
		return
	}
	c.setUsed(c.buffered.Swap(0))
}

// refuse writes a refusal and returns the error for Read.
func (c *Conn) refuse(kind Kind) error {
	c.phase.Store(phaseEvicted)
	if c.refused.Swap(true) {
		return errRefused
	}
	c.limiter.record(kind, c.address)
	mayWait := c.limiter.beginClosing(c)
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTimeout))
	if _, err := io.WriteString(c.Conn, refusal); err != nil || c.CloseWrite() != nil || !mayWait {
		return errRefused
	}
	var discarded [512]byte
	for {
		if _, err := c.Conn.Read(discarded[:]); err != nil {
			return errRefused
		}
	}
}

// refuseNew refuses a connection of which nothing has been read.
func (c *Conn) refuseNew() {
	c.limiter.record(KindConnection, c.address)
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, refusal) // the connection is closed in any case
	_ = c.Conn.Close()
}

// RecordRefusal counts a request that its handler refuses for lack of memory.
func (c *Conn) RecordRefusal() {
	if c == nil {
		return
	}
	kind := KindBody
	if c.IsEvicted() {
		kind = KindEvicted
	}
	c.limiter.record(kind, c.address)
}

// SetReadDeadline implements net.Conn. It doesn't change the deadline that ends the reads of an evicted connection.
func (c *Conn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	switch c.phase.Load() {
	case phaseEvicted:
		return c.Conn.SetReadDeadline(past)
	case phaseIdle:
		if c.deadlines.Add(1) == 2 {
			c.beginHead()
		}
	}
	return err
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Write implements net.Conn. It fails once nothing could be written for writeProgressTimeout, or at the deadline that was set.
func (c *Conn) Write(p []byte) (int, error) {
	if c.refused.Load() {
		return 0, net.ErrClosed // net/http would answer the incomplete head with 400
	}
	written := 0
	for {
		if err := c.extendWriteDeadline(); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if n == 0 || written == len(p) || !errors.Is(err, os.ErrDeadlineExceeded) || c.isPastWriteDeadline() {
			if errors.Is(err, os.ErrDeadlineExceeded) && !c.isPastWriteDeadline() && !c.unread.Swap(true) {
				c.limiter.record(KindUnread, c.address)
			}
			return written, err
		}
	}
}

// extendWriteDeadline lets the next write wait for writeProgressTimeout at least, or until the deadline that was set.
func (c *Conn) extendWriteDeadline() error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	now := time.Now()
	if c.progressDeadline.Sub(now) > writeProgressTimeout-writeDeadlineStep {
		return nil
	}
	return c.setEarlierWriteDeadline(now)
}

// setEarlierWriteDeadline sets the earlier of the deadline that was set and that for progress. The caller holds writeMu.
func (c *Conn) setEarlierWriteDeadline(now time.Time) error {
	c.progressDeadline = now.Add(writeProgressTimeout)
	deadline := c.progressDeadline
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(deadline) {
		deadline = c.writeDeadline
	}
	return c.Conn.SetWriteDeadline(deadline)
}

// isPastWriteDeadline reports whether the deadline that was set has passed.
func (c *Conn) isPastWriteDeadline() bool {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return !c.writeDeadline.IsZero() && !time.Now().Before(c.writeDeadline)
}

// SetWriteDeadline implements net.Conn. Writes fail at the deadline, or earlier if they make no progress.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if t.IsZero() && c.writeDeadline.IsZero() {
		return nil // net/http does so for each request
	}
	c.writeDeadline = t
	return c.setEarlierWriteDeadline(time.Now())
}

// CloseWrite closes the writing side. net/http calls it so that a caller that is still sending receives the response.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.limiter.remove(c)
	return c.Conn.Close()
}
