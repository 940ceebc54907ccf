package cluster

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/azurebarrow/azurebarrow/bench/caller"
	"github.com/azurebarrow/azurebarrow/standin/engine"
	"github.com/azurebarrow/azurebarrow/standin/platform"
	"github.com/matryer/is"
)

const testTokens = 40

func startTestCluster(t *testing.T) *Cluster {
	t.Helper()
	options := engine.DefaultOptions()
	options.TokenInterval = 2 * time.Millisecond
	options.FixedLength = testTokens
	options.Divergent = true
	c, err := Start(context.Background(), Options{
		Seed:        1,
		Entries:     2,
		Directory:   t.TempDir(),
		Deployments: []DeploymentOptions{Generation(3, options)},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func request(key string) caller.Request {
	return caller.Request{
		Key:        key,
		APIKey:     APIKey(DefaultCustomer),
		Deployment: DefaultGeneration,
		Prompt:     "crate history",
		MaxTokens:  testTokens,
		Seed:       3,
		Model:      DefaultModel,
		Version:    DefaultVersion,
		Length:     testTokens,
	}
}

func TestAnswerIsVerifiedThroughInProcessEntries(t *testing.T) {
	is := is.New(t)
	c := startTestCluster(t)
	client := caller.New(caller.Options{Addresses: c.Addresses(), Seed: 1})
	defer client.Close()
	result := client.Generate(context.Background(), request("k1"))
	is.Equal(result.Status, caller.Complete)
	is.Equal(len(result.Violations), 0)
	is.Equal(len(result.Tokens), testTokens)
	is.Equal(c.EngineStats().DecodeTokens, int64(testTokens))
}

func TestStreamResumesAfterEngineDeath(t *testing.T) {
	is := is.New(t)
	c := startTestCluster(t)
	killed := 0
	kill := func(index int, _ string) {
		for _, target := range c.Engines() {
			if index == 10 && target.Engine().Stats().Running > 0 {
				target.Kill()
				killed++
				return // the stream may have been resumed at another engine already
			}
		}
	}
	client := caller.New(caller.Options{Addresses: c.Addresses()[:1], Seed: 1, OnToken: kill})
	defer client.Close()
	result := client.Generate(context.Background(), request("k1"))
	is.Equal(len(result.Violations), 0)
	is.Equal(result.Status, caller.Complete)
	is.Equal(len(result.Tokens), testTokens)
	is.Equal(killed, 1)
}

func TestForwarderCutsAndHeals(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(platform.New(platform.DefaultOptions()))
	defer server.Close()
	link, err := NewForwarder(strings.TrimPrefix(server.URL, "http://"))
	is.NoErr(err)
	defer link.Close()
	link.Cut()
	answered := make(chan error, 1)
	go func() {
		response, err := http.Get("http://" + link.Address() + "/v1/objects/Lease")
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
		answered <- err
	}()
	connection, err := net.Dial("tcp", link.Address())
	is.NoErr(err) // a cut link accepts connections but forwards nothing
	defer connection.Close()
	select {
	case <-answered:
		t.Fatal("answered through a cut link")
	default:
	}
	link.Heal()
	is.NoErr(<-answered)
}
