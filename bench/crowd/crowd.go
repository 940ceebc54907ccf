// Package crowd has what misbehaving callers send: requests that cost an entry more than they cost their caller.
package crowd

import (
	"errors"
	"fmt"
	"strconv"
	"syscall"
)

// ManyFields returns count short header lines.
func ManyFields(count int) []string {
	lines := make([]string, count)
	for i := range lines {
		lines[i] = fmt.Sprintf("a%d: 1", i)
	}
	return lines
}

// ShortestFields returns as many header lines as fit into maxBytes, without values and with different names.
func ShortestFields(maxBytes int) []string {
	// firstName is the first number that has three digits to the base of 36.
	const firstName = 36 * 36
	var lines []string
	for i := firstName; len(lines)*len("xxx:\r\n") < maxBytes; i++ {
		lines = append(lines, strconv.FormatInt(int64(i), 36)+":")
	}
	return lines
}

// Chunk returns a body's bytes as one chunk.
func Chunk(content []byte) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", len(content), content) }

// ShrinkBuffers gives a connection, before it is opened, small buffers and the segments of a network, in which the kernel keeps a few
// dozen KB that are never read. With the buffers and segments of loopback it keeps more than 1 MB. It is a net.Dialer.Control.
func ShrinkBuffers(_, _ string, conn syscall.RawConn) error {
	const receiveBytes, sendBytes, segmentBytes = 4 << 10, 64 << 10, 1400
	var failure error
	err := conn.Control(func(descriptor uintptr) {
		failure = errors.Join(
			syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes),
			syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBytes),
			syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes))
	})
	return errors.Join(err, failure)
}
