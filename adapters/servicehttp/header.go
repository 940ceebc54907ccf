package servicehttp

import (
	"net/http"
	"slices"
	"strings"

	"github.com/azurebarrow/azurebarrow/adapters/targetcall"
	"github.com/azurebarrow/azurebarrow/idempotency"
	"github.com/azurebarrow/azurebarrow/internal/httpheader"
)

// withheldFields lists the header fields of a caller that are not forwarded to targets: the API key
// that identifies the customer to this system, the request's key under the callers' names for it, and
// the fields that the transport sets itself.
var withheldFields = []string{
	"Authorization", "Idempotency-Key", "X-Idempotency-Key", "Host", "Content-Length", "Expect",
	RequestKeyHeader, targetcall.IDHeader,
}

// isWithheld reports whether a header field of a caller is not forwarded to the target.
func isWithheld(name string) bool {
	canonical := http.CanonicalHeaderKey(name)
	return httpheader.IsHopByHop(canonical) || slices.Contains(withheldFields, canonical)
}

// endToEndFields returns the header fields of an answer that are forwarded to the caller, sorted by
// name.
func endToEndFields(header http.Header) []idempotency.HeaderField {
	var fields []idempotency.HeaderField
	for name, values := range httpheader.EndToEnd(header) {
		if name == "Content-Length" || name == targetcall.IDHeader {
			continue
		}
		for _, value := range values {
			fields = append(fields, idempotency.HeaderField{Name: name, Value: value})
		}
	}
	slices.SortStableFunc(fields, func(a, b idempotency.HeaderField) int { return strings.Compare(a.Name, b.Name) })
	return fields
}
