package linkfault

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against links that lose what they hold up while they hang: a real one delivers it later, unless the sender resets.
func TestLinkThatHungDeliversWhatItHeldUp(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(map[bool]string{true: "reset", false: "closed"}[reset], func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			accepted := make(chan net.Conn, 1)
			go func() {
				conn, err := listener.Accept()
				if err == nil {
					accepted <- conn
				}
			}()
			links := New()
			near, err := links.Dial(t.Context(), "tcp", listener.Addr().String())
			is.NoErr(err)
			target := <-accepted
			_, err = io.WriteString(near, "one")
			is.NoErr(err)
			read := func(limit time.Duration) string {
				buffer := make([]byte, 10)
				is.NoErr(target.SetReadDeadline(time.Now().Add(limit)))
				n, _ := target.Read(buffer)
				return string(buffer[:n])
			}
			is.Equal(read(time.Second), "one")
			links.Apply(Hang)
			_, err = io.WriteString(near, "two")
			is.NoErr(err)
			is.Equal(read(300*time.Millisecond), "")
			if reset {
				is.NoErr(near.(*net.TCPConn).SetLinger(0))
			}
			is.NoErr(near.Close())
			links.Apply(Sound)
			is.Equal(read(2*time.Second), map[bool]string{true: "", false: "two"}[reset])
		})
	}
}
