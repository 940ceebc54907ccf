// Package linkfault cuts an entry's links to all targets, from inside its process: a partition that drops packets needs
// privileges that tests lack. The entry program contains it only when it is built with the tag "linkfault".
package linkfault

import (
	"context"
	"io"
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

// Links are the links of one entry to targets. Each connection leads over a loopback connection within the process, on which what the
// entry sends is dropped while the link hangs: its kernel keeps the bytes and sends them again, as over a cut link.
type Links struct {
	file   string
	dialer net.Dialer
	// pairing guards the opening of loopback connections, one at a time.
	pairing sync.Mutex

	mu    sync.Mutex
	mode  Mode
	links map[*link]struct{}
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
	l := &Links{links: map[*link]struct{}{}, sound: make(chan struct{})}
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
		for open := range l.links {
			_ = Restore(open.inbound) // fails only if the connection has ended
		}
	}
	l.mode = mode
	switch mode {
	case Hang:
		l.sound = make(chan struct{})
		for open := range l.links {
			_ = Drop(open.inbound) // fails only if the connection has ended
		}
	case Reset, Refuse:
		for open := range l.links {
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
	outbound, err := l.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	near, inbound, err := l.pair(ctx)
	if err != nil {
		_ = outbound.Close()
		return nil, err
	}
	opened := &link{links: l, inbound: inbound.(*net.TCPConn), outbound: outbound.(*net.TCPConn)}
	l.mu.Lock()
	l.links[opened] = struct{}{}
	if l.mode == Hang {
		_ = Drop(opened.inbound) // cannot fail: the connection is open
	}
	l.mu.Unlock()
	go opened.carry()
	return near, nil
}

// pair opens a loopback connection and returns both of its ends.
func (l *Links) pair(ctx context.Context) (near, far net.Conn, err error) {
	l.pairing.Lock()
	defer l.pairing.Unlock()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer listener.Close()
	if near, err = l.dialer.DialContext(ctx, "tcp", listener.Addr().String()); err != nil {
		return nil, nil, err
	}
	if far, err = listener.Accept(); err != nil {
		_ = near.Close()
		return nil, nil, err
	}
	return near, far, nil
}

// link carries one connection between the entry, at inbound, and a target, at outbound.
type link struct {
	links             *Links
	inbound, outbound *net.TCPConn
}

func (k *link) carry() {
	var directions sync.WaitGroup
	directions.Go(func() { k.copy(k.outbound, k.inbound, false) })
	directions.Go(func() { k.copy(k.inbound, k.outbound, true) })
	directions.Wait()
	k.links.mu.Lock()
	delete(k.links.links, k)
	k.links.mu.Unlock()
	_ = k.inbound.Close()
	_ = k.outbound.Close()
}

const copyBytes = 16 << 10

// copy carries bytes in one direction until it ends; those to the entry wait while the links hang.
func (k *link) copy(to, from *net.TCPConn, held bool) {
	buffer := make([]byte, copyBytes)
	for {
		n, err := from.Read(buffer)
		if held {
			k.links.awaitSound()
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				k.reset()
				return
			}
		}
		switch {
		case err == io.EOF:
			_ = to.CloseWrite() // fails if the other direction has ended
			return
		case err != nil:
			k.reset()
			return
		}
	}
}

// awaitSound waits while the links hang.
func (l *Links) awaitSound() {
	l.mu.Lock()
	sound := l.sound
	l.mu.Unlock()
	<-sound
}

// reset resets both connections.
func (k *link) reset() {
	for _, conn := range []*net.TCPConn{k.inbound, k.outbound} {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}
