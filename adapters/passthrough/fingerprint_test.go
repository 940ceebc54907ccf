package passthrough

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func fingerprintOf(method, host, uri, customer, body string) string {
	r := httptest.NewRequest(method, uri, http.NoBody)
	r.Host, r.RequestURI = host, uri
	return (&request{http: r, customer: customer, body: []byte(body)}).fingerprint()
}

// Guards against the refusal of a sound request that differs from the one that crashes targets, and against one that
// comes again in another form and is taken for a new one.
func TestFingerprintTellsRequestsApart(t *testing.T) {
	is := is.New(t)
	same := fingerprintOf("GET", "h.example", "/find/7?q=1", "ranch", "")
	is.Equal(same, fingerprintOf("GET", "H.Example:8740", "/find/7?q=1", "ranch", ""))
	is.Equal(same, fingerprintOf("GET", "h.example", "http://h.example/find/7?q=1", "ranch", ""))
	for _, other := range []string{
		fingerprintOf("POST", "h.example", "/find/7?q=1", "ranch", ""),
		fingerprintOf("GET", "other.example", "/find/7?q=1", "ranch", ""),
		fingerprintOf("GET", "h.example", "/find/7?q=2", "ranch", ""),
		fingerprintOf("GET", "h.example", "/find/7?q=1", "farm", ""),
		fingerprintOf("GET", "h.example", "/find/7?q=1", "ranch", "x"),
	} {
		is.True(other != same)
	}
}

// BenchmarkFingerprint measures what a call adds: an empty body, an ordinary one and one of a megabyte.
func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []struct {
		name  string
		bytes int
	}{{"empty", 0}, {"600_B", 600}, {"1_MB", 1 << 20}} {
		b.Run(size.name, func(b *testing.B) {
			r := httptest.NewRequest("POST", "http://h.example/hold/7", http.NoBody)
			r.RequestURI = "/hold/7"
			call := &request{http: r, customer: "ranch", body: []byte(strings.Repeat("x", size.bytes))}
			b.ReportAllocs()
			for b.Loop() {
				_ = call.fingerprint()
			}
		})
	}
}
