package linkfault

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Drop has this host drop all segments that arrive on a TCP connection, as a network partition does: the sender's host gets no
// acknowledgement and keeps sending them again, with growing pauses.
func Drop(conn net.Conn) error {
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	return control(conn, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(dropAll)), Filter: &dropAll[0]})
	})
}

// Restore ends Drop.
func Restore(conn net.Conn) error {
	return control(conn, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	})
}

func control(conn net.Conn, set func(fd int) error) error {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	if err := raw.Control(func(fd uintptr) { setErr = set(int(fd)) }); err != nil {
		return err
	}
	return setErr
}
