// Package httpheader distinguishes the hop-by-hop header fields, which concern one connection, from the
// end-to-end fields, which a proxy forwards.
package httpheader

import (
	"net/http"
	"slices"
	"strings"
)

// connectionFields are the names of the hop-by-hop fields (RFC 9110, section 7.6.1).
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// IsHopByHop reports whether the field with that name is always hop-by-hop. It does not know
// the fields that a Connection field names.
func IsHopByHop(name string) bool {
	return slices.Contains(connectionFields, http.CanonicalHeaderKey(name))
}

// EndToEnd returns a copy of the header without the hop-by-hop fields, including those that its
// Connection field names.
func EndToEnd(header http.Header) http.Header {
	passed := header.Clone()
	for _, list := range header.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionFields {
		passed.Del(name)
	}
	return passed
}
