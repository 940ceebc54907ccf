// Package linkfault cuts an entry's links to all targets, from inside its process: a partition that drops packets needs
// privileges that tests lack. The entry program contains it only when it is built with the tag "linkfault".
package linkfault

import (
	"context"
	"net"
	"os"
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
	c := &conn{TCPConn: opened.(*net.TCPConn), links: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// conn is a connection over the links.
type conn struct {
	*net.TCPConn
	links *Links

	mu       sync.Mutex
	wasReset bool
}

func (c *conn) reset() {
	c.mu.Lock()
	c.wasReset = true
	c.mu.Unlock()
	_ = c.TCPConn.SetLinger(0)
	_ = c.TCPConn.Close()
}

func (c *conn) await() {
	c.links.mu.Lock()
	sound := c.links.sound
	c.links.mu.Unlock()
	<-sound
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
	n, err := c.TCPConn.Read(buffer)
	if n > 0 {
		c.await()
	}
	return n, c.resetOr(err)
}

// Write implements net.Conn.
func (c *conn) Write(content []byte) (int, error) {
	c.await()
	n, err := c.TCPConn.Write(content)
	return n, c.resetOr(err)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.links.mu.Lock()
	delete(c.links.conns, c)
	c.links.mu.Unlock()
	return c.TCPConn.Close()
}
