package servicehttp

import (
	"net"
	"sync"
	"sync/atomic"
)

// countingConn counts the bytes that the operating system accepted. After stopWrites it accepts no
// more: the transport may still be about to write a request that was cancelled.
type countingConn struct {
	net.Conn
	written atomic.Int64

	mu            sync.Mutex
	writesStopped bool
}

// Write implements net.Conn.
func (c *countingConn) Write(content []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writesStopped {
		return 0, net.ErrClosed
	}
	written, err := c.Conn.Write(content)
	c.written.Add(int64(written))
	return written, err
}

// stopWrites makes further writes fail and returns the number of bytes written so far.
func (c *countingConn) stopWrites() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesStopped = true
	return c.written.Load()
}
