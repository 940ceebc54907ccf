package enginehttp

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/generation"
)

func readAll(data []byte) ([]generation.StreamEvent, error) {
	stream := newStream(io.NopCloser(bytes.NewReader(data)), func() {})
	defer stream.Close()
	var events []generation.StreamEvent
	for {
		event, err := stream.Recv()
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}

func TestStreamIsCompleteOnlyWithFinishEvent(t *testing.T) {
	const token = `data: {"requestId":"g","attempt":1,"index":0,"token":"a"}` + "\n\n"
	const end = `data: {"requestId":"g","attempt":1,"index":1,"finish":"stop"}` + "\n\n"
	for _, test := range []struct {
		name, text string
		events     int
		want       error
	}{
		{"whole", ": comment\n" + token + end, 2, io.EOF},
		{"closed before the end", token, 1, generation.ErrStreamBroken},
		{"malformed event", token + "data: {\n\n", 1, generation.ErrStreamBroken},
		{"oversized event", "data: " + strings.Repeat("x", maxLineBytes+1), 0, generation.ErrStreamBroken},
		{"text behind the end", end + token, 1, io.EOF},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			events, err := readAll([]byte(test.text))
			is.Equal(len(events), test.events)
			is.True(errors.Is(err, test.want))
		})
	}
}

func FuzzRecv(f *testing.F) {
	f.Add([]byte("data: {\"requestId\":\"g\",\"attempt\":1,\"index\":0,\"token\":\"a\"}\n\n"))
	f.Add([]byte("data:{\"index\":-1,\"finish\":\"stop\"}\r\n\r\ndata: {}\n"))
	f.Add([]byte("event: x\nid: 3\n\ndata"))
	f.Fuzz(func(t *testing.T, data []byte) {
		events, err := readAll(data)
		complete := len(events) > 0 && events[len(events)-1].Finish != ""
		if complete != (err == io.EOF) {
			t.Fatalf("%d events, the last one final: %v, but ended by %v", len(events), complete, err)
		}
	})
}

func TestRefusalsAreTyped(t *testing.T) {
	for _, test := range []struct {
		status int
		body   string
		want   error
	}{
		{http.StatusNotFound, `{"code":"not-loaded"}`, generation.ErrNotLoaded},
		{http.StatusNotFound, `no JSON`, generation.ErrNoSuchStream},
		{http.StatusServiceUnavailable, `{"code":"overloaded"}`, generation.ErrRefused},
		{http.StatusServiceUnavailable, `{"code":"leaving"}`, generation.ErrRefused},
	} {
		is := is.New(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(test.status)
			_, _ = io.WriteString(w, test.body)
		}))
		var draining []string
		engine := New(Options{ObserveDraining: func(target string) { draining = append(draining, target) }})
		target := &v1.Target{Metadata: v1.Metadata{Name: "t1"}, Spec: v1.TargetSpec{Address: strings.TrimPrefix(server.URL, "http://")}}
		_, err := engine.Generate(t.Context(), target, generation.StreamRequest{})
		is.True(errors.Is(err, test.want))
		is.Equal(len(draining) == 1, strings.Contains(test.body, codeDraining))
		server.Close()
		// A request on a reused connection might have been received, so this uses a new client: the
		// failed dial proves that the request was not sent.
		_, err = New(Options{}).Generate(t.Context(), target, generation.StreamRequest{})
		is.True(errors.Is(err, generation.ErrUnreachable))
	}
}
