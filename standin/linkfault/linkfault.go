// Package linkfault cuts an entry's links to all targets, from inside its process: a partition that drops packets needs
// privileges that tests lack. The entry program contains it only when it is built with the tag "linkfault".
package linkfault

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// EnvironmentVariable names a file whose content is the Mode in force. The links confirm a mode by writing it to the
// file with ConfirmedSuffix.
const (
	EnvironmentVariable = "AZUREBARROW_LINK_FAULTS"
	ConfirmedSuffix     = ".confirmed"
)

// Mode is what happens to an entry's connections to targets.
type Mode string

// Modes.
const (
	// Sound: the links work.
	Sound Mode = ""
	// Hang: open connections are silent, new ones are not answered.
	Hang Mode = "hang"
	// Reset: open connections are reset, new ones are not answered.
	Reset Mode = "reset"
	// Refuse: open connections are reset, new ones refused.
	Refuse Mode = "refuse"
	// Keep: open connections live on, new ones are refused.
	Keep Mode = "keep"
)

// Modes are the modes in which links are cut.
var Modes = []Mode{Hang, Reset, Refuse, Keep}

const pollInterval = 10 * time.Millisecond

// Links are the links of one entry to targets.
type Links struct {
	file   string
	dialer net.Dialer

	mu    sync.Mutex
	mode  Mode
	conns map[*conn]struct{}
	// sound is closed while connections are not held back.
	sound chan struct{}
}

// FromEnvironment returns the links that the environment names; nil if it names none.
func FromEnvironment() *Links {
	file := os.Getenv(EnvironmentVariable)
	if file == "" {
		return nil
	}
	l := New()
	l.file = file
	go l.poll()
	return l
}

// New returns sound links.
func New() *Links {
	l := &Links{conns: map[*conn]struct{}{}, sound: make(chan struct{})}
	close(l.sound)
	return l
}

func (l *Links) poll() {
	for {
		time.Sleep(pollInterval)
		text, err := os.ReadFile(l.file)
		if err != nil {
			continue // not written yet
		}
		if mode := Mode(strings.TrimSpace(string(text))); l.Apply(mode) {
			const ownerOnly = 0o600
			_ = os.WriteFile(l.file+ConfirmedSuffix, []byte(mode), ownerOnly) // without it, the cut counts as not made
		}
	}
}

// Apply puts a mode into force and reports whether it is another one.
func (l *Links) Apply(mode Mode) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if mode == l.mode {
		return false
	}
	if l.mode == Hang {
		close(l.sound)
	}
	l.mode = mode
	switch mode {
	case Hang:
		l.sound = make(chan struct{})
	case Reset, Refuse:
		for open := range l.conns {
			open.reset()
		}
	}
	return true
}

// Dial opens a connection to a target.
func (l *Links) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	l.mu.Lock()
	mode := l.mode
	l.mu.Unlock()
	switch mode {
	case Refuse, Keep:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case Hang, Reset:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	opened, err := l.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &conn{TCPConn: opened.(*net.TCPConn), links: l, closed: make(chan struct{}), deadlineSet: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// conn is a connection over the links.
type conn struct {
	*net.TCPConn
	links *Links

	closeOnce sync.Once
	closed    chan struct{}
	// held are bytes that arrived while the link hung. Only the goroutine that reads uses it.
	held []byte

	mu       sync.Mutex
	wasReset bool
	// readDeadline limits Read also while the link hangs; deadlineSet is closed when it changes.
	readDeadline time.Time
	deadlineSet  chan struct{}
}

func (c *conn) reset() {
	c.mu.Lock()
	c.wasReset = true
	c.mu.Unlock()
	_ = c.TCPConn.SetLinger(0)
	_ = c.TCPConn.Close()
}

// sound returns the channel that is closed while the links don't hang.
func (c *conn) sound() <-chan struct{} {
	c.links.mu.Lock()
	defer c.links.mu.Unlock()
	return c.links.sound
}

// hangs reports whether the links hang.
func (c *conn) hangs() bool {
	select {
	case <-c.sound():
		return false
	default:
		return true
	}
}

// awaitRead waits while the links hang, as a read of a silent connection does: until its deadline, or the end of the
// connection.
func (c *conn) awaitRead() error {
	for {
		c.mu.Lock()
		deadline, changed := c.readDeadline, c.deadlineSet
		c.mu.Unlock()
		var expired <-chan time.Time
		if !deadline.IsZero() {
			expired = time.After(time.Until(deadline))
		}
		select {
		case <-c.sound():
			return nil
		case <-c.closed:
			return net.ErrClosed
		case <-expired:
			return os.ErrDeadlineExceeded
		case <-changed:
		}
	}
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	c.readDeadline = deadline
	close(c.deadlineSet)
	c.deadlineSet = make(chan struct{})
	c.mu.Unlock()
	return c.TCPConn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(deadline time.Time) error {
	return errors.Join(c.SetReadDeadline(deadline), c.SetWriteDeadline(deadline))
}

// resetOr returns the error of a connection that was reset, or err.
func (c *conn) resetOr(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && c.wasReset {
		return &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	}
	return err
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) {
	for {
		if c.hangs() {
			if err := c.awaitRead(); err != nil {
				return 0, c.resetOr(err)
			}
		}
		if len(c.held) > 0 {
			n := copy(buffer, c.held)
			c.held = c.held[n:]
			return n, nil
		}
		n, err := c.TCPConn.Read(buffer)
		if n > 0 && c.hangs() {
			c.held = slices.Clone(buffer[:n])
			continue
		}
		return n, c.resetOr(err)
	}
}

// Write implements net.Conn.
func (c *conn) Write(content []byte) (int, error) {
	select {
	case <-c.sound():
	case <-c.closed:
		return 0, net.ErrClosed
	}
	n, err := c.TCPConn.Write(content)
	return n, c.resetOr(err)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.links.mu.Lock()
	delete(c.links.conns, c)
	c.links.mu.Unlock()
	return c.TCPConn.Close()
}
