package targethttp

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a target that is preferred for an idle connection which it has closed, or which must not carry a request since it has
// unexpected bytes: those are read here, and the connection must not be used without them.
func TestOnlyOpenConnectionsCountAsIdle(t *testing.T) {
	is := is.New(t)
	end, unexpected := make(chan bool), make(chan bool)
	target := newScriptedTarget(t, func(target *scriptedTarget, conn net.Conn, reader *bufio.Reader) {
		request, ok := target.read(reader)
		if !ok {
			return
		}
		_, _ = io.WriteString(conn, answerText(request.Header.Get("X-Request-Id"), "ok"))
		select {
		case <-unexpected:
			_, _ = io.WriteString(conn, "x")
			<-end
		case <-end:
		}
	})
	defer close(end)
	p := NewPool(Options{})
	is.True(!p.HasIdle("key"))
	for i, spoil := range []chan bool{end, unexpected} {
		_, err := exchangeBody(t, p, target.address(), newTestRequest("1"))
		is.NoErr(err)
		waitForIdleConn(t, p)
		is.True(p.HasIdle("key"))
		is.True(!p.HasIdle("other"))
		is.Equal(target.conns.Load(), int64(i+1))
		spoil <- true
		closed := false
		for begun := time.Now(); !closed && time.Since(begun) < 5*time.Second; time.Sleep(time.Millisecond) {
			closed = !p.HasIdle("key")
		}
		is.True(closed)
		is.Equal(len(p.idle), 0)
	}
}
