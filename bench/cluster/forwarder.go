package cluster

import (
	"io"
	"net"
	"sync"
	"time"
)

// Forwarder passes TCP connections on to one address, and can be cut.
type Forwarder struct {
	target   string
	listener net.Listener

	mu          sync.Mutex
	connections map[net.Conn]struct{}
	delay       time.Duration
	// passing holds, for each direction, a channel that is closed while the link works, and replaced by an
	// open one when the direction is cut.
	passing [2]chan struct{}
	cut     [2]bool
	closed  bool
	wait    sync.WaitGroup
}

// NewForwarder listens on a free loopback address and passes connections on to target.
func NewForwarder(target string) (*Forwarder, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	f := &Forwarder{target: target, listener: listener, connections: map[net.Conn]struct{}{}}
	for direction := range f.passing {
		f.passing[direction] = make(chan struct{})
		close(f.passing[direction])
	}
	f.wait.Go(f.accept)
	return f, nil
}

// Address returns the address to connect to.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// Direction is one way through a Forwarder.
type Direction int

// Directions.
const (
	ToTarget Direction = iota
	FromTarget
)

// Cut stops passing bytes on, as a partition does: connections stay open and silent.
func (f *Forwarder) Cut() { f.CutOneWay(ToTarget); f.CutOneWay(FromTarget) }

// CutOneWay stops passing bytes on in one direction. New connections need both.
func (f *Forwarder) CutOneWay(direction Direction) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.cut[direction] {
		f.cut[direction] = true
		f.passing[direction] = make(chan struct{})
	}
}

// Heal passes bytes on again, those held back first.
func (f *Forwarder) Heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for direction := range f.cut {
		if f.cut[direction] {
			f.cut[direction] = false
			close(f.passing[direction])
		}
	}
}

// Reset closes every connection that is open now.
func (f *Forwarder) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for connection := range f.connections {
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = connection.Close()
	}
}

// SetDelay adds a one-way delay to every piece passed on from now on.
func (f *Forwarder) SetDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

// Close stops the forwarder.
func (f *Forwarder) Close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	_ = f.listener.Close()
	f.Heal()
	f.Reset()
	f.wait.Wait()
}

func (f *Forwarder) accept() {
	for {
		connection, err := f.listener.Accept()
		if err != nil {
			return
		}
		if !f.track(connection) {
			return
		}
		f.wait.Go(func() { f.forward(connection) })
	}
}

// track notes an open connection; it refuses one after Close.
func (f *Forwarder) track(connection net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		_ = connection.Close()
		return false
	}
	f.connections[connection] = struct{}{}
	return true
}

func (f *Forwarder) untrack(connection net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.connections, connection)
	_ = connection.Close()
}

func (f *Forwarder) forward(near net.Conn) {
	defer f.untrack(near)
	f.waitPassing(ToTarget)
	f.waitPassing(FromTarget)
	far, err := net.Dial("tcp", f.target)
	if err != nil {
		return
	}
	if !f.track(far) {
		return
	}
	defer f.untrack(far)
	var both sync.WaitGroup
	both.Go(func() { f.copy(far, near, ToTarget) })
	both.Go(func() { f.copy(near, far, FromTarget) })
	both.Wait()
}

// waitPassing blocks while the direction is cut and returns the delay in force.
func (f *Forwarder) waitPassing(direction Direction) time.Duration {
	f.mu.Lock()
	passing, delay := f.passing[direction], f.delay
	f.mu.Unlock()
	<-passing
	return delay
}

const copyBytes = 32 << 10

// copy passes one direction on and closes both ends when it is over.
func (f *Forwarder) copy(to, from net.Conn, direction Direction) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, copyBytes)
	for {
		n, err := from.Read(buffer)
		if delay := f.waitPassing(direction); delay > 0 {
			time.Sleep(delay)
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			return
		}
	}
}
