// Package targethttp keeps HTTP/1.1 connections to targets and sends each request over them once.
//
// It reports whether any byte of a request may have been sent, never retries, and matches answers to
// requests by their ID: a target may send a second answer to an earlier request late, in the place of the
// next answer.
package targethttp

import (
	"bufio"
	"context"
	"errors"
	"hash/maphash"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/azurebarrow/azurebarrow/generation"
)

// Options are the settings of a Pool. Zero values take the defaults.
type Options struct {
	// DialTimeout limits the time for connecting to a target.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept, unless the target gives a shorter time.
	IdleTimeout time.Duration
	// MaxIdleConnsPerTarget is the maximum number of idle connections per target.
	MaxIdleConnsPerTarget int
	// AcceptAnswersWithoutID accepts answers without an ID on kept connections too: for other entries, which write each answer once
	// and name no request in answers of their own.
	AcceptAnswersWithoutID bool
	// Dial opens a TCP connection to an address; nil dials it from this host.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Log receives events; nil discards them.
	Log func(event string, fields ...generation.Field)
}

// Defaults of Options.
const (
	// DefaultDialTimeout is many round trips within a region; a lost packet leads to an attempt at another
	// target.
	DefaultDialTimeout           = 200 * time.Millisecond
	DefaultIdleTimeout           = 4 * time.Second
	DefaultMaxIdleConnsPerTarget = 8
)

// TCP keep-alive probes on connections to targets.
const (
	keepAlive       = time.Second
	keepAliveProbes = 2
)

// Pool keeps idle connections by target. It is safe for concurrent use.
type Pool struct {
	options Options

	mu     sync.Mutex
	idle   map[string][]*conn
	dialed int64
	// unanswered are the exchanges whose answer has not begun.
	unanswered map[*exchange]sendProgress

	unacknowledged atomic.Int64
}

// NewPool returns a pool without connections.
func NewPool(options Options) *Pool {
	if options.DialTimeout == 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	if options.MaxIdleConnsPerTarget == 0 {
		options.MaxIdleConnsPerTarget = DefaultMaxIdleConnsPerTarget
	}
	if options.Dial == nil {
		options.Dial = (&net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveProbes,
		}}).DialContext
	}
	if options.Log == nil {
		options.Log = func(string, ...generation.Field) {}
	}
	return &Pool{options: options, idle: map[string][]*conn{}, unanswered: map[*exchange]sendProgress{}}
}

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	key    string
	reader *bufio.Reader
	// limiter limits what is read for a head or a body that is skipped.
	limiter *readLimiter
	// expires is the time after which the idle connection is not used any more.
	expires time.Time
	// carriedAnswer reports that the connection has carried an answer: a second one to the same request may follow at any time.
	carriedAnswer bool
	// failedIDs are the hashes of the IDs of requests that were answered without success here: callers choose the IDs, of up to tens
	// of kilobytes. A further attempt of such a request needs another connection, on which no second answer to the first
	// one can arrive.
	failedIDs map[uint64]struct{}
}

var idHashSeed = maphash.MakeSeed()

func idHash(id string) uint64 { return maphash.String(idHashSeed, id) }

// maxFailedPerConn limits the IDs that a connection keeps; it is replaced then.
const maxFailedPerConn = 256

// recordAnswer records the answer to a request. It reports whether the connection may carry further requests.
func (c *conn) recordAnswer(id string, status int) bool {
	c.carriedAnswer = true
	if status < http.StatusMultipleChoices {
		return true
	}
	if c.failedIDs == nil {
		c.failedIDs = map[uint64]struct{}{}
	}
	c.failedIDs[idHash(id)] = struct{}{}
	return len(c.failedIDs) < maxFailedPerConn
}

// mayCarry reports whether no second answer to an earlier request can be taken for that to the request; an empty ID tells it
// from no other, and a second answer with a body can't be skipped while an answer to HEAD, without one, is expected.
func (c *conn) mayCarry(request *Request) bool {
	_, failed := c.failedIDs[idHash(request.ID)]
	return !failed && (!c.carriedAnswer || request.ID != "" && request.Method != http.MethodHead)
}

// readBufferBytes is enough for a few events of a stream.
const readBufferBytes = 4 << 10

// UnacknowledgedCount returns the number of requests that were given up before their targets' hosts had acknowledged all bytes.
func (p *Pool) UnacknowledgedCount() int64 { return p.unacknowledged.Load() }

// DialCount returns the number of connections that the pool has opened.
func (p *Pool) DialCount() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Connect opens a connection to the target and keeps it for a later request. It fails if the target
// does not accept one in time.
func (p *Pool) Connect(ctx context.Context, key, address string) error {
	c, err := p.dial(ctx, key, address)
	if err != nil {
		return err
	}
	c.expires = time.Now().Add(p.options.IdleTimeout)
	p.putIdle(c)
	return nil
}

// Ready has a connection to the target ready for the next request: an idle one, or else a new one.
func (p *Pool) Ready(ctx context.Context, key, address string) error {
	c, err := p.getConn(ctx, key, address, func(*conn) bool { return true })
	if err != nil {
		return err
	}
	if c.expires.IsZero() {
		c.expires = time.Now().Add(p.options.IdleTimeout)
	}
	p.putIdle(c)
	return nil
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	clear(p.idle)
}

// errClosedAtOnce: a connection was accepted and closed.
var errClosedAtOnce = errors.New("the connection was closed as soon as it was accepted")

// Probe is Connect for a target that may be gone: the connection must also stay open for a while, since a host in front
// of the target may accept it and then find nobody behind.
func (p *Pool) Probe(ctx context.Context, key, address string, open time.Duration) error {
	c, err := p.dial(ctx, key, address)
	if err != nil {
		return err
	}
	select {
	case <-time.After(open):
	case <-ctx.Done():
	}
	if !c.usable() {
		_ = c.Close()
		return errClosedAtOnce
	}
	c.expires = time.Now().Add(p.options.IdleTimeout)
	p.putIdle(c)
	return nil
}

// getConn returns a suitable idle connection, or a new one. The key identifies the target's incarnation.
func (p *Pool) getConn(ctx context.Context, key, address string, isSuitable func(*conn) bool) (*conn, error) {
	for {
		c := p.takeIdle(key, isSuitable)
		if c == nil {
			return p.dial(ctx, key, address)
		}
		if time.Now().Before(c.expires) && c.usable() {
			return c, nil
		}
		_ = c.Close()
	}
}

// takeIdle returns the idle connection that was used last, among those that are suitable; nil if there is none.
func (p *Pool) takeIdle(key string, isSuitable func(*conn) bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[key]
	for i, c := range slices.Backward(conns) {
		if !isSuitable(c) {
			continue
		}
		conns = slices.Delete(conns, i, i+1)
		if p.idle[key] = conns; len(conns) == 0 {
			delete(p.idle, key)
		}
		return c
	}
	return nil
}

func (p *Pool) dial(ctx context.Context, key, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	opened, err := p.options.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	limiter := &readLimiter{reader: opened}
	return &conn{Conn: opened, key: key, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes)}, nil
}

// putIdle keeps a connection for a later request, or closes it if the target has enough idle ones.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.key]) >= p.options.MaxIdleConnsPerTarget {
		_ = c.Close()
		return
	}
	p.idle[c.key] = append(p.idle[c.key], c)
}

// Sweep closes idle connections that have expired, and those of targets for which keep returns false.
func (p *Pool) Sweep(keep func(key string) bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.expires) && keep(key) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		p.idle[key] = kept
		if len(kept) == 0 {
			delete(p.idle, key)
		}
	}
}

// usable reports whether the idle connection is open and has no unread bytes. Bytes that the target sent
// without a request belong to no answer.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	system, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
