package targethttp

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unacknowledgedBytes returns the number of bytes written to the connection that the peer's host has not acknowledged.
// The kernel keeps sending them, also after the connection was closed.
func unacknowledgedBytes(c net.Conn) (int, error) {
	system, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return 0, err
	}
	var count int
	var queueErr error
	if err := raw.Control(func(fd uintptr) { count, queueErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil {
		return 0, err
	}
	return count, queueErr
}
