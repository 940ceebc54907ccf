package targethttp

import (
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Guards against a TCP_USER_TIMEOUT, which would decide when keep-alive probes give up, and against probes that give up
// at another time than intended: a lost connection to a target is found after keepAlive*(1+keepAliveProbes).
func TestConnectionsToTargetsGiveUpByKeepAliveAlone(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	c, err := NewPool(Options{}).dial(t.Context(), "t", listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Control(func(fd uintptr) {
		for option, want := range map[int]int{
			unix.TCP_USER_TIMEOUT: 0, unix.TCP_KEEPIDLE: int(keepAlive.Seconds()),
			unix.TCP_KEEPINTVL: int(keepAlive.Seconds()), unix.TCP_KEEPCNT: keepAliveProbes,
		} {
			got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
			is.NoErr(err)
			is.Equal(got, want)
		}
	}))
}
