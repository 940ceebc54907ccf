package directorypeer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"
)

// staticStore returns the same objects to each list, and never a change.
type staticStore map[string][]objects.Object

func (s staticStore) List(_ context.Context, kind string) (objects.List, error) {
	return objects.List{Items: s[kind], Revision: 100}, nil
}

func (s staticStore) Watch(ctx context.Context, _ string, _ int64, wait time.Duration) (objects.List, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return objects.List{Revision: 100}, ctx.Err()
}

type anyDecoder struct{}

func (anyDecoder) Configuration(objects.Object) (*directory.Configuration, error) {
	return directory.NewConfiguration(1, nil), nil
}

func (anyDecoder) Target(object objects.Object) (*directory.Target, error) {
	return &directory.Target{ID: object.Name}, nil
}

// platformObjects returns a configuration of some 10 KB, with random keys, and 100 targets, as the platform writes them.
func platformObjects(t *testing.T) staticStore {
	t.Helper()
	seed := uint64(1)
	word := func() string {
		seed = seed*6364136223846793005 + 1442695040888963407
		return fmt.Sprintf("%011x", seed>>20)
	}
	marshal := func(value any) []byte {
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	var routes, tenants []map[string]any
	for i := range 30 {
		routes = append(routes, map[string]any{
			"name": "route-" + word(), "hostname": word() + ".example", "path_prefix": "/" + word() + "/", "kind": "streaming", "timeout_ms": 25000,
			"target_latency_ms": 4500, "priority": i % 3, "service": "model", "max_attempts": 5, "public": false, "stream_resume": true,
		})
		tenants = append(tenants, map[string]any{"name": "tenant-" + word(), "api_keys": []string{word() + word()}})
	}
	store := staticStore{directory.KindConfiguration: {{
		Kind: directory.KindConfiguration, Name: "main", Revision: 5, Value: marshal(map[string]any{"version": 1, "routes": routes, "tenants": tenants}),
	}}}
	for i := range 100 {
		store[directory.KindTarget] = append(store[directory.KindTarget], objects.Object{
			Kind: directory.KindTarget, Name: "i-" + word(), Revision: int64(6 + i%90), Value: marshal(map[string]any{
				"service": "model", "address": fmt.Sprintf("10.1.64.%d:8640", i), "zone": "zone-a", "version": "v1", "slots": 64, "state": "ready",
				"warmup_left_ms": 0, "call_seq": 0, "born": 1785363704000 + i, "stage": "prefill_decode",
				"models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
			}),
		})
	}
	return store
}

// countingConn counts the bytes that were read.
type countingConn struct {
	net.Conn
	received *atomic.Int64
}

func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.received.Add(int64(n))
	return n, err
}

// Guards against feeds that spend their share of the link on a list for a few followers, so that all others read the store, and against
// an answer that a reader of a former build can't read.
func TestLargeAnswersAreCompressedForReadersThatTakeThem(t *testing.T) {
	is := is.New(t)
	store := platformObjects(t)
	manager := directory.NewManager(directory.Options{Store: store, Decoder: anyDecoder{}})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- manager.Run(ctx) }()
	defer func() { stop(); <-ended }()
	manager.WaitReady(ctx, 10*time.Second)
	is.True(manager.Snapshot().Ready())

	prefix, handler := NewHandler(manager.Feed(), &Transfers{})
	mux := http.NewServeMux()
	mux.Handle(prefix, handler)
	server := httptest.NewServer(mux)
	defer server.Close()
	peer := membership.Peer{Address: strings.TrimPrefix(server.URL, "http://")}

	plainBytes := 0
	for _, items := range store {
		for _, object := range items {
			plainBytes += len(object.Name) + len(object.Value)
		}
	}
	read := func(disableCompression bool) (bytes int64) {
		var received atomic.Int64
		client := NewClient(&http.Client{Transport: &http.Transport{
			DisableCompression: disableCompression, DisableKeepAlives: true,
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return &countingConn{conn, &received}, err
			},
		}})
		parts, err := client.Since(ctx, peer, directory.FeedQuery{Wait: time.Second})
		is.NoErr(err)
		is.Equal(len(parts), 2)
		for _, part := range parts {
			got := map[string]string{}
			for _, object := range part.Objects {
				got[object.Name] = string(object.Value)
			}
			is.Equal(len(got), len(store[part.Kind]))
			for _, object := range store[part.Kind] {
				is.Equal(got[object.Name], string(object.Value))
			}
		}
		return received.Load()
	}
	former, compressed := read(true), read(false)
	t.Logf("%d bytes of objects: %d sent plain, %d compressed", plainBytes, former, compressed)
	is.True(former >= int64(plainBytes))
	// The feed's budget charges a quarter.
	is.True(compressed <= int64(plainBytes)/4)
}
