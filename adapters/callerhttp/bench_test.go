package callerhttp

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// BenchmarkStreamedToken measures the cost of forwarding one token from the engine port to a
// caller's connection.
func BenchmarkStreamedToken(b *testing.B) {
	tokens := make([]string, b.N)
	for i := range tokens {
		tokens[i] = "token "
	}
	listener := httptest.NewServer(newTestServer(engineTarget, tokens...))
	defer listener.Close()
	b.ReportAllocs()
	b.ResetTimer()
	body := fmt.Sprintf(`{"model":"drafting","prompt":"p","stream":true,"max_tokens":%d}`, min(b.N, maxMaxTokens))
	request, err := http.NewRequest(http.MethodPost, listener.URL+"/v1/completions", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer ranch-key")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		b.Fatal(err)
	}
}
