package promptpeer

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/promptindex"
)

func peerOf(server *httptest.Server) membership.Peer {
	return membership.Peer{Address: strings.TrimPrefix(server.URL, "http://")}
}

func TestLocationIsToldAndFound(t *testing.T) {
	is := is.New(t)
	mux := http.NewServeMux()
	mux.Handle(NewHandler(promptindex.NewManager(promptindex.Options{})))
	server := httptest.NewServer(mux)
	defer server.Close()
	client := NewClient(server.Client())
	engine, err := client.Find(t.Context(), peerOf(server), "a&b")
	is.NoErr(err)
	is.Equal(engine, "")
	is.NoErr(client.Tell(t.Context(), peerOf(server), "a&b", "engine"))
	engine, err = client.Find(t.Context(), peerOf(server), "a&b")
	is.NoErr(err)
	is.Equal(engine, "engine")
	is.True(client.Tell(t.Context(), peerOf(server), "", "engine") != nil)
}

// An entry of a former build doesn't know the path, and an odd answer is no location.
func TestOddAnswersAreErrors(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"former build": http.NotFound,
		"no JSON":      func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("[[[")) },
		"other prompt": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"prompt":"x","engine":"y"}`)) },
		"endless": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"engine":"` + strings.Repeat("a", 1<<20)))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(answer)
			defer server.Close()
			engine, err := NewClient(server.Client()).Find(t.Context(), peerOf(server), "prompt")
			is.True(err != nil)
			is.Equal(engine, "")
		})
	}
}
