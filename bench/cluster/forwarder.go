package cluster

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/standin/linkfault"
)

// Forwarder forwards TCP connections to one address. It can simulate a network partition, a delay
// and connection resets.
type Forwarder struct {
	target   string
	listener net.Listener

	mu          sync.Mutex
	connections map[net.Conn]struct{}
	// inbound are the open connections of the connecting side.
	inbound map[net.Conn]struct{}
	delay   time.Duration
	// connected holds a channel for each direction. The channel is closed while the direction works; a cut
	// replaces it by an open one, on which the copying goroutines block.
	connected [2]chan struct{}
	cut       [2]bool
	closed    bool
	wait      sync.WaitGroup
}

// NewForwarder listens on a free loopback address and forwards connections to target.
func NewForwarder(target string) (*Forwarder, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	f := &Forwarder{target: target, listener: listener, connections: map[net.Conn]struct{}{}, inbound: map[net.Conn]struct{}{}}
	for direction := range f.connected {
		f.connected[direction] = make(chan struct{})
		close(f.connected[direction])
	}
	f.wait.Go(f.accept)
	return f, nil
}

// Address returns the address to connect to.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// Direction is a direction of traffic through a Forwarder.
type Direction int

// Directions of traffic: from the connecting side to the target, and back.
const (
	ToTarget Direction = iota
	FromTarget
)

// Cut stops forwarding in both directions, as a network partition does: connections stay open and
// silent.
func (f *Forwarder) Cut() { f.CutOneWay(ToTarget); f.CutOneWay(FromTarget) }

// CutOneWay stops forwarding in one direction. New connections to the target need both directions. The connecting side's
// host gets no acknowledgement of what it sends over a link that is cut to the target, and sends it again.
func (f *Forwarder) CutOneWay(direction Direction) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.cut[direction] {
		f.cut[direction] = true
		f.connected[direction] = make(chan struct{})
	}
	if direction == ToTarget {
		for connection := range f.inbound {
			_ = linkfault.Drop(connection) // fails only if the connection has ended
		}
	}
}

// Heal ends every cut. Bytes held back by the cut are forwarded first.
func (f *Forwarder) Heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for direction := range f.cut {
		if f.cut[direction] {
			f.cut[direction] = false
			close(f.connected[direction])
		}
	}
	for connection := range f.inbound {
		_ = linkfault.Restore(connection) // fails for connections that were not cut
	}
}

// Reset closes every open connection with a TCP reset.
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

// SetDelay sets the delay added to each chunk of data, in each direction.
func (f *Forwarder) SetDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

// Close stops the forwarder and closes its connections.
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
		f.trackInbound(connection)
		f.wait.Go(func() { f.forward(connection) })
	}
}

// track records an open connection. After Close it closes the connection instead and returns false.
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

// trackInbound records a connection of the connecting side.
func (f *Forwarder) trackInbound(connection net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inbound[connection] = struct{}{}
	if f.cut[ToTarget] {
		_ = linkfault.Drop(connection) // fails only if the connection has ended
	}
}

func (f *Forwarder) untrack(connection net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.connections, connection)
	delete(f.inbound, connection)
	_ = connection.Close()
}

func (f *Forwarder) forward(inbound net.Conn) {
	defer f.untrack(inbound)
	f.waitConnected(ToTarget)
	f.waitConnected(FromTarget)
	outbound, err := net.Dial("tcp", f.target)
	if err != nil {
		return
	}
	if !f.track(outbound) {
		return
	}
	defer f.untrack(outbound)
	var copies sync.WaitGroup
	copies.Go(func() { f.copy(outbound, inbound, ToTarget) })
	copies.Go(func() { f.copy(inbound, outbound, FromTarget) })
	copies.Wait()
}

// waitConnected blocks while the direction is cut and returns the current delay.
func (f *Forwarder) waitConnected(direction Direction) time.Duration {
	f.mu.Lock()
	connected, delay := f.connected[direction], f.delay
	f.mu.Unlock()
	<-connected
	return delay
}

const copyBytes = 32 << 10

// copy forwards one direction until it ends, and then closes both connections.
func (f *Forwarder) copy(to, from net.Conn, direction Direction) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, copyBytes)
	for {
		n, err := from.Read(buffer)
		if delay := f.waitConnected(direction); delay > 0 {
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
