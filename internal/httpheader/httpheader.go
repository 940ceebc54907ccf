// Package httpheader tells the header fields of one connection from those that are passed on.
package httpheader

import (
	"net/http"
	"slices"
	"strings"
)

// connectionFields concern one connection only (RFC 9110, section 7.6.1).
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ConcernsConnection tells whether the field of that name always concerns one connection only.
func ConcernsConnection(name string) bool {
	return slices.Contains(connectionFields, http.CanonicalHeaderKey(name))
}

// EndToEnd returns a copy without the fields that concern one connection, those that the header names
// as such included.
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
