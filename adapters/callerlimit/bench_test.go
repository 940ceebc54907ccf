package callerlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// benchmarkServers runs a benchmark against a server without and one with limits, which differ by the cost of the limits.
func benchmarkServers(b *testing.B, handler http.HandlerFunc, run func(b *testing.B, conn net.Conn)) {
	for _, limited := range []bool{false, true} {
		b.Run(map[bool]string{false: "without", true: "with"}[limited], func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := &http.Server{Handler: handler}
			if limited {
				limiter := New(Options{})
				limiter.Configure(server)
				listener = limiter.NewListener(listener)
			}
			go func() { _ = server.Serve(listener) }()
			defer server.Close()
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			b.ReportAllocs()
			run(b, conn)
		})
	}
}

// BenchmarkCall measures small calls on one connection.
func BenchmarkCall(b *testing.B) {
	benchmarkServers(b, answer, func(b *testing.B, conn net.Conn) {
		response := make([]byte, 4<<10)
		for b.Loop() {
			if _, err := io.WriteString(conn, smallRequest); err != nil {
				b.Fatal(err)
			}
			if _, err := conn.Read(response); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkEvent measures events of one stream.
func BenchmarkEvent(b *testing.B) {
	const event = "id: 1\ndata: token\n\n"
	next := make(chan struct{})
	benchmarkServers(b, func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		for {
			select {
			case <-next:
			case <-r.Context().Done():
				return
			}
			_, _ = io.WriteString(w, event)
			_ = control.Flush()
		}
	}, func(b *testing.B, conn net.Conn) {
		if _, err := io.WriteString(conn, smallRequest); err != nil {
			b.Fatal(err)
		}
		reader := bufio.NewReader(conn)
		for b.Loop() {
			next <- struct{}{}
			for line := ""; line != "data: token\n"; { // the rest of the event is read with the next
				var err error
				if line, err = reader.ReadString('\n'); err != nil {
					b.Fatal(err)
				}
			}
		}
	})
}
