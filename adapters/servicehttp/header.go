package servicehttp

import (
	"net/http"
	"slices"
	"strings"

	"github.com/azurebarrow/azurebarrow/idempotency"
	"github.com/azurebarrow/azurebarrow/internal/httpheader"
)

// private lists the header fields of callers that targets don't get: the key that identifies the
// customer to this system, the names that make net/http repeat a request, and what the transport
// sets itself.
var private = []string{
	"Authorization", "Idempotency-Key", "X-Idempotency-Key", "Host", "Content-Length", "Expect",
	RequestKeyHeader,
}

// dropped tells whether a caller's header field does not go to the target.
func dropped(name string) bool {
	canonical := http.CanonicalHeaderKey(name)
	return httpheader.IsHopByHop(canonical) || slices.Contains(private, canonical)
}

// endToEnd returns the fields of an answer that go to the caller, in the order of their names.
func endToEnd(header http.Header) []idempotency.HeaderField {
	var fields []idempotency.HeaderField
	for name, values := range httpheader.EndToEnd(header) {
		if name == "Content-Length" {
			continue
		}
		for _, value := range values {
			fields = append(fields, idempotency.HeaderField{Name: name, Value: value})
		}
	}
	slices.SortStableFunc(fields, func(a, b idempotency.HeaderField) int { return strings.Compare(a.Name, b.Name) })
	return fields
}
