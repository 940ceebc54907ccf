package platformhttp

import (
	"errors"
	"net"
)

// isDialError reports whether a call failed before a connection was established, so that no byte was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
