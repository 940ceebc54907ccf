// Package callerlimit limits what the callers of an HTTP server make the process hold: request heads, parsed header fields, bodies and
// connections. docs/design/caller-limits.md describes what is counted and who is refused.
package callerlimit

import (
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/internal/defect"
)

// The costs are resident memory: two to three times the live bytes, since the heap grows to twice its live size before it is collected,
// and what is allocated during a collection counts as live.
const (
	// connectionBytes is charged for each connection: goroutines and buffers of net/http, and the first prepaidBytes of its request.
	connectionBytes = 24 << 10
	// prepaidBytes is what one request may hold without taking of the shared memory, so that ordinary requests are never refused for
	// lack of it.
	prepaidBytes = 16 << 10
	// fieldBytes is charged for each line of a head, beside its bytes: net/http keeps a map entry, two strings and a slice for a field.
	fieldBytes = 384
	// StreamBytes and CallBytes are charged for a stream and for a call while it is forwarded: its connection to the target, goroutines and
	// buffers of the relay. Each exceeds connectionBytes and prepaidBytes together, so that forwarded requests use up the memory, and others
	// are refused, before they use up the connections.
	StreamBytes = 64 << 10
	CallBytes   = 48 << 10
	// reserveShare is a share of the shared memory beyond it, for addresses that hold no more than minorShare of it while another one holds
	// more than half: forwarded requests are not evicted, and could keep all others away.
	reserveShare = 0.125
	minorShare   = 0.03125
	// grantBytes is the step in which a connection takes shared memory, so that few reads take the lock of the Limiter.
	grantBytes = 4 << 10
	// maxReleasingShare is the share of the shared memory that evicted connections may still hold while others are granted it already.
	maxReleasingShare = 0.25
	// releaseWait and releasePolls limit the wait for evicted connections to release their memory, which takes milliseconds.
	releaseWait  = 5 * time.Millisecond
	releasePolls = 20
	// searchInterval is the time after a search for a connection to evict that found none in which there is no other for the same address:
	// a crowd that is refused would make the entry search all the time.
	searchInterval = 20 * time.Millisecond
	// minEvictionAge is the time for which a request keeps its memory before another of its address may have it evicted. Without it, each
	// of a crowd would evict another, and the memory of those that are evicted is free only once it is collected.
	minEvictionAge = 200 * time.Millisecond
	// newConnectionGrace is the time after which a connection that has sent nothing counts as idle. A caller sends its request as soon as
	// it is connected, but the entry may be slow to read it.
	newConnectionGrace = time.Second
	// logInterval is the minimum time between two log lines of one kind of refusal.
	logInterval = time.Second
)

// Kind is a kind of refusal.
type Kind int

// Kinds of refusals.
const (
	// KindHead: the head of a request found no shared memory.
	KindHead Kind = iota
	// KindBody: the body of a request, or a request that was to be forwarded, found no shared memory.
	KindBody
	// KindEvicted: the memory of a request that had not been forwarded was needed by others.
	KindEvicted
	// KindIdle: an idle connection was closed for a new one.
	KindIdle
	// KindConnection: a new connection was refused, since all others had requests that were forwarded.
	KindConnection
	// KindUnread: the caller did not read its response.
	KindUnread
	kinds
)

// String returns the kind as log events and metrics name it.
func (k Kind) String() string {
	return [kinds]string{"head", "body", "evicted", "idle", "connection", "unread"}[k]
}

// Kinds returns all kinds of refusals.
func Kinds() []Kind {
	all := make([]Kind, kinds)
	for i := range all {
		all[i] = Kind(i)
	}
	return all
}

// Options configures a Limiter.
type Options struct {
	// MemoryBytes is the memory that callers may make the process hold; 0 means a part of that which the process sees.
	MemoryBytes int64
	// Connections is the maximum number of connections; 0 means as many as MemoryBytes and the limit of descriptors allow.
	Connections int
	// DefersForwarding reports that the handler calls BeginForwarding. Otherwise, a request counts as forwarded once its handler runs.
	DefersForwarding bool
	// Listener names the listener in log events.
	Listener string
	// Log is called with each log event; nil discards them.
	Log func(event string, fields ...generation.Field)
}

// maxClosingShare is the share of the connections that don't count while they close: net/http takes up to half a second for one.
const maxClosingShare = 0.25

// Limiter limits the callers of one server. It is safe for concurrent use.
type Limiter struct {
	options Options
	// shared is the memory for what connections hold beyond prepaidBytes.
	shared   int64
	refusals [kinds]refusals

	mu sync.Mutex
	// granted is the part of the shared memory that connections hold, releasing the part of it that evicted connections hold.
	granted, releasing int64
	connections        map[*Conn]struct{}
	// closing is the number of connections that are being closed.
	closing int
	// searchedAt and searchedFor are the time and the address of the last search for a connection to evict that found none.
	searchedAt  time.Time
	searchedFor netip.Addr
	addresses   map[netip.Addr]*address
}

// address is what the connections of one remote address hold.
type address struct {
	connections int
	// granted is the shared memory that they hold.
	granted int64
	// evictable is scratch memory of a search for a connection to evict.
	evictable int64
}

// refusals counts the refusals of one kind.
type refusals struct {
	count atomic.Int64

	mu       sync.Mutex
	logged   int64
	loggedAt time.Time
}

// New returns a Limiter.
func New(options Options) *Limiter {
	if options.Log == nil {
		options.Log = func(string, ...generation.Field) {}
	}
	if options.MemoryBytes <= 0 {
		options.MemoryBytes = defaultMemory(memoryOfProcess)
	}
	if options.Connections <= 0 {
		options.Connections = defaultConnections(options.MemoryBytes, descriptorsOfProcess)
	}
	// At least half of the memory is shared: connections are charged for less than they may hold only if more of them are configured
	// than the other half pays for.
	reserved := min(int64(options.Connections)*connectionBytes, options.MemoryBytes/2)
	return &Limiter{
		options: options, shared: options.MemoryBytes - reserved, connections: map[*Conn]struct{}{}, addresses: map[netip.Addr]*address{},
	}
}

// MemoryBytes returns the memory that callers may make the process hold.
func (l *Limiter) MemoryBytes() int64 { return l.options.MemoryBytes }

// MaxConnections returns the maximum number of connections.
func (l *Limiter) MaxConnections() int { return l.options.Connections }

// SharedBytes returns the memory for what connections hold beyond the part that each may hold.
func (l *Limiter) SharedBytes() int64 { return l.shared }

// HeldBytes returns the memory that is charged to callers.
func (l *Limiter) HeldBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.granted + int64(len(l.connections))*connectionBytes
}

// ConnectionCount returns the number of open connections.
func (l *Limiter) ConnectionCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.connections)
}

// RefusalCount returns the number of refusals of the kind.
func (l *Limiter) RefusalCount(kind Kind) int64 { return l.refusals[kind].count.Load() }

// accept returns the connection under the limits, nil if it is refused.
func (l *Limiter) accept(conn net.Conn) *Conn {
	limited := &Conn{Conn: conn, limiter: l, address: addressOf(conn.RemoteAddr())}
	limited.enter(phaseNew)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.makeRoom(time.Now()) {
		go limited.refuseNew() // logging takes the lock
		return nil
	}
	l.connections[limited] = struct{}{}
	from := l.addresses[limited.address]
	if from == nil {
		from = &address{}
		l.addresses[limited.address] = from
	}
	from.connections++
	return limited
}

// makeRoom reports whether there is room for another connection. At the limit it closes one. The caller holds mu.
func (l *Limiter) makeRoom(now time.Time) bool {
	open := len(l.connections) - min(l.closing, int(maxClosingShare*float64(l.options.Connections)))
	if open < l.options.Connections {
		return true
	}
	victim := l.leastActive(now)
	if victim == nil {
		return false
	}
	if phase := victim.phase.Load(); phase == phaseNew || phase == phaseIdle {
		go l.record(KindIdle, victim.address) // logging takes the lock
	}
	return l.evict(victim)
}

// leastActive returns the connection to close for a new one: of the address that has more than half of all connections, if there is one;
// of these, one that is idle or, if there is none, one whose request has not been forwarded; of these, one of the address that has the most
// connections; of these, the one that has been so for the longest time. It returns nil if there is none. The caller holds mu.
func (l *Limiter) leastActive(now time.Time) *Conn {
	var found *Conn
	var rank [4]int64
	for conn := range l.connections {
		idle := int64(0)
		switch conn.phase.Load() {
		case phaseIdle:
			idle = 1
		case phaseNew:
			if conn.age(now) > newConnectionGrace {
				idle = 1
			}
		case phaseHead, phaseRequest:
		default:
			continue
		}
		share, most := int64(l.addresses[conn.address].connections), int64(0)
		if share > int64(l.options.Connections/2) {
			most = 1
		}
		candidate := [4]int64{most, idle, share, int64(conn.age(now))}
		if found == nil || slices.Compare(candidate[:], rank[:]) > 0 {
			found, rank = conn, candidate
		}
	}
	return found
}

func addressOf(remote net.Addr) netip.Addr {
	if tcp, ok := remote.(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// remove forgets a connection and releases what it holds. A second call does nothing.
func (l *Limiter) remove(conn *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.connections[conn]; !open {
		return
	}
	l.setGrant(conn, 0)
	if conn.closing {
		l.closing--
	}
	delete(l.connections, conn)
	from := l.addresses[conn.address]
	if from.connections--; from.connections == 0 {
		delete(l.addresses, conn.address)
	}
}

// setGrant changes the shared memory of a connection. The caller holds mu.
func (l *Limiter) setGrant(conn *Conn, bytes int64) {
	change := bytes - conn.granted.Load()
	l.granted += change
	l.addresses[conn.address].granted += change
	if conn.releasing {
		l.releasing += change
	}
	conn.granted.Store(bytes)
}

// grant gives the connection shared memory, up to bytes in total. If there is none left it evicts connections. It reports whether the
// connection has got the memory.
func (l *Limiter) grant(conn *Conn, bytes int64) bool {
	bytes = (bytes + grantBytes - 1) / grantBytes * grantBytes
	for range releasePolls {
		granted, again := l.tryGrant(conn, bytes)
		if !again {
			return granted
		}
		time.Sleep(releaseWait)
	}
	return false
}

// tryGrant is grant without waiting for evicted connections; again reports that this would help.
func (l *Limiter) tryGrant(conn *Conn, bytes int64) (granted, again bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.connections[conn]; !open || conn.closing {
		return false, false // the grant of a closed connection would never be released
	}
	for {
		others := l.granted - l.releasing - conn.granted.Load()
		// A single request that exceeds all of the shared memory is within the limits of the configuration, and is held alone.
		if others <= 0 || others+bytes <= l.shared || defect.Enabled(defect.CallerMemoryUnlimited) {
			if float64(l.releasing) > maxReleasingShare*float64(l.shared) {
				return false, true
			}
			l.setGrant(conn, bytes)
			return true, false
		}
		now := time.Now()
		if now.Sub(l.searchedAt) < searchInterval && l.searchedFor == conn.address {
			return l.grantFromReserve(conn, bytes, others), false
		}
		victim := l.largestHolder(now)
		if victim == nil || victim == conn || victim.address == conn.address && victim.age(now) < minEvictionAge {
			l.searchedAt, l.searchedFor = now, conn.address
			return l.grantFromReserve(conn, bytes, others), false
		}
		l.evict(victim)
	}
}

// grantFromReserve is tryGrant for a connection of an address that holds little, while another address holds most of the shared memory and
// all others hold that many bytes. The caller holds mu.
func (l *Limiter) grantFromReserve(conn *Conn, bytes, others int64) bool {
	shared := float64(l.shared)
	held := l.addresses[conn.address].granted - conn.granted.Load() + bytes
	if float64(held) > minorShare*shared || float64(others+bytes) > (1+reserveShare)*shared {
		return false
	}
	for address, from := range l.addresses {
		if address != conn.address && float64(from.granted) > shared/2 {
			l.setGrant(conn, bytes)
			return true
		}
	}
	return false
}

// largestHolder returns the connection to evict for its memory: of the address whose connections hold the most, the one that has held
// the most for the longest time. It returns nil if no request may be evicted. The caller holds mu.
func (l *Limiter) largestHolder(now time.Time) *Conn {
	for _, from := range l.addresses {
		from.evictable = 0
	}
	var most int64
	for conn := range l.connections {
		if conn.isEvictable() {
			from := l.addresses[conn.address]
			from.evictable += conn.granted.Load()
			most = max(most, from.evictable)
		}
	}
	var found *Conn
	var highest float64
	for conn := range l.connections {
		if !conn.isEvictable() || l.addresses[conn.address].evictable < most {
			continue
		}
		if score := float64(conn.granted.Load()) * conn.age(now).Seconds(); found == nil || score > highest {
			found, highest = conn, score
		}
	}
	return found
}

// beginClosing counts a connection whose request is refused as closing. It reports whether the connection may wait until its caller has
// received the refusal: if many do, it is closed at once, since each holds a descriptor.
func (l *Limiter) beginClosing(conn *Conn) (mayWait bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.connections[conn]; open {
		l.setClosing(conn)
	}
	return float64(l.closing) <= maxReleasingShare*float64(l.options.Connections)
}

// setClosing counts a connection as closing. The caller holds mu.
func (l *Limiter) setClosing(conn *Conn) {
	if !conn.closing {
		conn.closing = true
		l.closing++
	}
}

// evict has a connection refuse its request, or closes it if it is idle. It reports false if the request may have been forwarded. The
// caller holds mu.
func (l *Limiter) evict(conn *Conn) bool {
	if !conn.evict() {
		return false
	}
	l.setClosing(conn)
	conn.releasing = true
	l.releasing += conn.granted.Load()
	return true
}

// record counts a refusal and logs it, at most once per logInterval.
func (l *Limiter) record(kind Kind, from netip.Addr) {
	r := &l.refusals[kind]
	count := r.count.Add(1)
	r.mu.Lock()
	now := time.Now()
	if now.Sub(r.loggedAt) < logInterval {
		r.mu.Unlock()
		return
	}
	since := count - r.logged
	r.logged, r.loggedAt = count, now
	r.mu.Unlock()
	l.options.Log("caller-refused", generation.Field{Key: "kind", Value: kind.String()}, generation.Field{Key: "listener", Value: l.options.Listener},
		generation.Field{Key: "address", Value: from.String()}, generation.Field{Key: "count", Value: since},
		generation.Field{Key: "held", Value: l.HeldBytes()})
}
