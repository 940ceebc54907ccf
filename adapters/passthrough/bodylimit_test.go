package passthrough

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/adapters/callerlimit"
)

// pipeListener accepts one end of a pipe for each call.
type pipeListener struct{ net.Listener }

// Accept implements net.Listener.
func (pipeListener) Accept() (net.Conn, error) {
	_, accepted := net.Pipe()
	return accepted, nil
}

// limitedRequests returns a function that begins a request on a connection of its own, under limits.
func limitedRequests(limiter *callerlimit.Limiter) func() (ctx context.Context, end func()) {
	server := &http.Server{Handler: http.NotFoundHandler()}
	limiter.Configure(server)
	listener := limiter.NewListener(pipeListener{})
	return func() (context.Context, func()) {
		conn, err := listener.Accept()
		if err != nil {
			panic(err) // a pipe is always accepted
		}
		server.ConnState(conn, http.StateActive)
		return server.ConnContext(context.Background(), conn), func() { _ = conn.Close() }
	}
}

// pieces is a body that arrives in the given pieces and then calls stopped, after which it fails.
type pieces struct {
	rest    int
	piece   int
	stopped func() error
}

func (p *pieces) Read(buffer []byte) (int, error) {
	if p.rest == 0 {
		return 0, p.stopped()
	}
	n := min(len(buffer), p.piece, p.rest)
	p.rest -= n
	return n, nil
}

// Guards against small bodies, in pieces, in one piece or with a length, that stop before their end and together exceed the memory of
// the entry; and against ordinary requests that are refused because of them.
func TestSmallBodiesThatStopShareABoundOfMemory(t *testing.T) {
	const (
		callers = 600
		size    = 100 << 10
	)
	for _, body := range []struct {
		name          string
		length        int64
		arrived, each int
	}{
		{"in pieces", -1, size, 1000},
		{"a byte at a time", -1, 9 << 10, 1},
		{"with a length", size + 1, size, size},
		{"with a length, of which nothing arrives", size + 1, 0, 1},
	} {
		t.Run(body.name, func(t *testing.T) {
			is := is.New(t)
			limiter := callerlimit.New(callerlimit.Options{MemoryBytes: 36 << 20, Connections: callers + 2, DefersForwarding: true})
			begin := limitedRequests(limiter)
			memory := newBodyMemory(maxBodiesBytes)
			stopped, goOn, ended := make(chan bool), make(chan struct{}), make(chan struct{})
			refused := 0
			for range callers {
				go func() {
					defer func() { ended <- struct{}{} }()
					ctx, end := begin()
					defer end()
					_, _, err := memory.read(ctx, &pieces{rest: body.arrived, piece: body.each, stopped: func() error {
						stopped <- true
						<-goOn
						return io.ErrUnexpectedEOF
					}}, body.length, defaultBodyBytes, 0)
					if err == errNoBodyRoom {
						stopped <- false
					}
				}()
				if !<-stopped {
					refused++
				}
			}
			t.Logf("%d bytes held, %d refused", limiter.HeldBytes(), refused)
			is.True(limiter.HeldBytes() <= 36<<20)
			if body.arrived == size {
				is.True(refused > 0)
			} else {
				is.Equal(refused, 0) // little is held for what has not arrived
			}
			ctx, end := begin()
			read, _, err := memory.read(ctx, io.LimitReader(zeros{}, 4<<10), 4<<10, defaultBodyBytes, 0)
			is.NoErr(err)
			is.Equal(len(read), 4<<10)
			end()
			close(goOn)
			for range callers {
				<-ended
			}
			is.Equal(limiter.HeldBytes(), int64(0))
		})
	}
}

// FuzzBodies guards against bodies that are changed or cut when they arrive in other pieces, that take more than the limit, and against
// memory that stays charged.
func FuzzBodies(f *testing.F) {
	f.Add(100, 1, true)
	f.Add(smallBodyBytes, 4096, false)
	f.Add(smallBodyBytes+1, 4097, false)
	f.Add(smallBodyBytes+1, 1, true)
	f.Add(3*smallBodyBytes, 70000, false)
	f.Add(0, 1, false)
	f.Fuzz(func(t *testing.T, size, piece int, known bool) {
		const limit = 3 * smallBodyBytes
		size, piece = int(uint(size)%(limit+2)), 1+int(uint(piece)%size64K)
		text := make([]byte, size)
		for i := range text {
			text[i] = byte(i * 31)
		}
		length := int64(-1)
		if known {
			length = int64(size)
		}
		limiter := callerlimit.New(callerlimit.Options{MemoryBytes: 8 << 20, Connections: 1, DefersForwarding: true})
		ctx, end := limitedRequests(limiter)()
		memory := newBodyMemory(maxBodiesBytes)
		body := io.Reader(&splitReader{rest: text, piece: piece})
		if piece%2 == 0 {
			body = iotest.DataErrReader(body) // the end comes with the last bytes
		}
		read, release, err := memory.read(ctx, http.MaxBytesReader(nil, io.NopCloser(body), limit), length, limit, 0)
		switch {
		case size > limit && err == nil:
			t.Fatalf("%d bytes read, over the limit", len(read))
		case size <= limit && err != nil:
			t.Fatal(err)
		case err == nil && !bytes.Equal(read, text):
			t.Fatalf("read %d bytes of %d, or others", len(read), size)
		}
		if release != nil {
			release()
		}
		if !memory.room.TryAcquire(maxBodiesBytes) {
			t.Fatal("room is lost")
		}
		end()
		if held := limiter.HeldBytes(); held != 0 {
			t.Fatalf("%d bytes held after the end", held)
		}
	})
}

// size64K is the size of the largest piece in FuzzBodies.
const size64K = 64 << 10

// splitReader returns its bytes in pieces.
type splitReader struct {
	rest  []byte
	piece int
}

func (r *splitReader) Read(buffer []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(buffer, r.rest[:min(len(r.rest), r.piece)])
	r.rest = r.rest[n:]
	return n, nil
}
