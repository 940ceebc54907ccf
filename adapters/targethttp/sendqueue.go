package targethttp

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unacknowledgedBytes returns the number of bytes written to the connection that the peer's host has not acknowledged.
// The kernel keeps sending them, also after the connection was closed; see discardOnClose.
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

// discardOnClose has the next Close reset the connection: bytes that the peer's host has not acknowledged are discarded.
func discardOnClose(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
}
